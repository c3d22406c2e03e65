//! What a leader knows of its followers.

use std::collections::{BTreeMap, VecDeque};

use domain::{clock::Instant, replica::Identity};

/// Entries sent but not answered beyond which a follower gets heartbeats only.
pub(super) const WINDOW_ENTRIES: u64 = 4_096;
/// Rounds without answers of a quorum that are remembered.
const MAX_ROUNDS: usize = 256;

/// How far one follower has come.
#[derive(Debug)]
pub(super) struct Progress {
    /// The last entry known to be durable there.
    pub(super) matched: u64,
    /// The next entry to send.
    pub(super) next: u64,
    /// The newest round that it answered.
    pub(super) round: u64,
    /// When it last answered.
    pub(super) answered_at: Option<Instant>,
    /// When a snapshot was sent that it has not answered.
    pub(super) snapshot_sent_at: Option<Instant>,
}

impl Progress {
    pub(super) fn new(next: u64) -> Self {
        Self {
            matched: 0,
            next,
            round: 0,
            answered_at: None,
            snapshot_sent_at: None,
        }
    }
}

/// A heartbeat round.
#[derive(Clone, Copy, Debug)]
struct Round {
    number: u64,
    sent_at: Instant,
    commit: u64,
}

/// The newest round that a quorum answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Confirmed {
    /// The term of the leader.
    pub term: u64,
    /// Its commit index when the round was sent.
    pub commit: u64,
    /// When the round was sent, at the latest.
    pub sent_at: Instant,
}

/// A leader's own state.
#[derive(Debug)]
pub(super) struct Leader {
    pub(super) progress: BTreeMap<Identity, Progress>,
    /// The entry that opened the term. Nothing is known to be the newest before it is committed.
    pub(super) term_start: u64,
    pub(super) heartbeat_at: Instant,
    /// When the lead began.
    pub(super) elected_at: Instant,
    /// When a quorum was last known to follow.
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
            elected_at: now,
            quorum_at: now,
            confirmed: None,
            round: 0,
            rounds: VecDeque::new(),
        }
    }

    pub(super) fn round(&self) -> u64 {
        self.round
    }

    /// Opens a round that is sent from now on.
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

    /// Notes that a quorum answered all rounds up to `number`.
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
