//! The leader's view of its followers.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use domain::{clock::Instant, replica::Identity};

/// Unacknowledged entries after which a follower gets only heartbeats.
pub(super) const WINDOW_ENTRIES: u64 = 4_096;
/// Maximum number of open heartbeat rounds. Older ones are dropped.
const MAX_ROUNDS: usize = 256;

/// The replication progress of one follower.
#[derive(Debug)]
pub(super) struct Progress {
    /// The index of the last entry known to be durable on the follower.
    pub(super) matched: u64,
    /// The index of the next entry to send.
    pub(super) next: u64,
    /// The newest heartbeat round that the follower answered.
    pub(super) round: u64,
    /// When the follower last answered.
    pub(super) answered_at: Option<Instant>,
    /// When the follower was added.
    added_at: Instant,
    /// When the last snapshot was sent, until the follower has answered.
    pub(super) snapshot_sent_at: Option<Instant>,
}

impl Progress {
    pub(super) fn new(now: Instant, next: u64) -> Self {
        Self {
            matched: 0,
            next,
            round: 0,
            answered_at: None,
            added_at: now,
            snapshot_sent_at: None,
        }
    }

    /// Notes an answer of the follower.
    pub(super) fn answer(&mut self, now: Instant, round: u64) {
        self.round = self.round.max(round);
        self.answered_at = Some(now);
    }

    /// How long the follower has not answered since it was added.
    pub(super) fn silence(&self, now: Instant) -> Duration {
        now.since(self.answered_at.unwrap_or(self.added_at))
    }
}

/// A heartbeat round that no quorum has answered yet.
#[derive(Clone, Copy, Debug)]
struct Round {
    number: u64,
    sent_at: Instant,
    commit: u64,
}

/// The newest heartbeat round that a quorum answered. It confirms that the leader was still the
/// leader when the round was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Confirmed {
    /// The term of the leader.
    pub term: u64,
    /// The leader's commit index when the round was opened.
    pub commit: u64,
    /// When the round was opened, at or before its first message was sent.
    pub sent_at: Instant,
}

/// The state that only a leader has.
#[derive(Debug)]
pub(super) struct Leader {
    pub(super) progress: BTreeMap<Identity, Progress>,
    /// The index of the first entry of the leader's term. Until it is committed, the leader does
    /// not know the commit index of the former leaders and confirms no round.
    pub(super) term_start: u64,
    pub(super) heartbeat_at: Instant,
    /// When the newest round that a quorum answered was opened, or when the replica became the
    /// leader.
    pub(super) quorum_at: Instant,
    pub(super) confirmed: Option<Confirmed>,
    round: u64,
    rounds: VecDeque<Round>,
}

impl Leader {
    pub(super) fn new(now: Instant, term_start: u64) -> Self {
        Self {
            progress: BTreeMap::new(),
            term_start,
            heartbeat_at: now,
            quorum_at: now,
            confirmed: None,
            round: 0,
            rounds: VecDeque::new(),
        }
    }

    pub(super) fn round(&self) -> u64 {
        self.round
    }

    /// Opens the next heartbeat round. Messages carry its number from now on.
    pub(super) fn open_round(&mut self, now: Instant, commit: u64) {
        self.round += 1;
        if self.rounds.len() == MAX_ROUNDS {
            self.rounds.pop_front();
        }
        self.rounds.push_back(Round {
            number: self.round,
            sent_at: now,
            commit,
        });
    }

    /// Closes all rounds up to `number`, which a quorum answered.
    pub(super) fn close_rounds(&mut self, number: u64, term: u64) {
        let is_open = |round: &Round| round.number > number;
        let closed = self.rounds.iter().take_while(|round| !is_open(round));
        let Some(newest) = closed.last().copied() else {
            return;
        };
        self.rounds.retain(is_open);
        self.quorum_at = self.quorum_at.max(newest.sent_at);
        if newest.commit >= self.term_start {
            self.confirmed = Some(Confirmed {
                term,
                commit: newest.commit,
                sent_at: newest.sent_at,
            });
        }
    }
}
