//! The replica's state, inputs and outputs.

use std::{collections::BTreeSet, net::SocketAddr, sync::Arc};

use domain::{
    clock::Instant,
    replica::{Body, Entry, Identity, Message, Payload, Position, Snapshot},
};
use rand::rngs::StdRng;

use super::{
    Batch, HardState, Promotion, Ready, Saved, Synced, Timing, Write, configuration::Configuration,
    log::Log, progress::Leader,
};

/// Entries kept in the log behind a snapshot, so that a follower that lags by less needs no
/// snapshot.
const TRAILING_ENTRIES: u64 = 256;

/// The identity and address of a replica.
#[derive(Clone, Copy, Debug)]
pub struct Endpoint {
    /// The identity stored on the replica's disk.
    pub identity: Identity,
    /// The address that the replica listens on.
    pub address: SocketAddr,
}

/// The Raft role of a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Replicates the log of a leader, or waits for one.
    Follower,
    /// Requests votes or pre-votes.
    Candidate,
    /// Accepts proposals and replicates its log to the other members.
    Leader,
}

/// The replica is not the leader, so it accepts no proposals or join requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("this replica does not lead")]
pub struct NotLeader {
    /// The leader, if this replica knows one.
    pub leader: Option<Identity>,
}

/// The role with the state that belongs to it.
#[derive(Debug)]
pub(super) enum State {
    Follower,
    PreCandidate { granted: BTreeSet<Identity> },
    Candidate { granted: BTreeSet<Identity> },
    Leader(Box<Leader>),
}

/// The parts of the state that are not part of a [`Write`] yet.
#[derive(Debug, Default)]
pub(super) struct Unsaved {
    pub(super) hard: bool,
    pub(super) from: Option<u64>,
    pub(super) snapshot: bool,
    pub(super) base: bool,
}

impl Unsaved {
    fn is_empty(&self) -> bool {
        !self.hard && self.from.is_none() && !self.snapshot && !self.base
    }

    pub(super) fn entries_from(&mut self, index: u64) {
        self.from = Some(self.from.map_or(index, |from| from.min(index)));
    }
}

/// The write in progress, which is not durable yet.
#[derive(Debug)]
struct Writing {
    /// Messages to send once the write is durable.
    messages: Vec<Message>,
    /// Whether the write changes the term, the vote or the group.
    has_hard: bool,
}

/// One replica of the replicated log.
pub struct Replica {
    pub(super) endpoint: Endpoint,
    pub(super) timing: Timing,
    pub(super) rng: StdRng,
    pub(super) hard: HardState,
    pub(super) log: Log,
    pub(super) configuration: Configuration,
    pub(super) snapshot: Option<Arc<Snapshot>>,
    pub(super) commit: u64,
    pub(super) applied: u64,
    pub(super) persisted: u64,
    pub(super) persisted_term: u64,
    pub(super) state: State,
    pub(super) leader: Option<Identity>,
    pub(super) contact_at: Option<Instant>,
    pub(super) campaign_at: Instant,
    pub(super) unsaved: Unsaved,
    sendable: Vec<Message>,
    held: Vec<Message>,
    writing: Option<Writing>,
    /// Whether the write in progress can't be completed for now.
    is_stalled: bool,
    pub(super) promotion: Promotion,
    trailing: u64,
}

impl Replica {
    /// Creates a follower from its durable state.
    pub fn new(
        endpoint: Endpoint,
        timing: Timing,
        saved: Saved,
        mut rng: StdRng,
        now: Instant,
    ) -> Self {
        let Saved {
            hard,
            base,
            snapshot,
            entries,
        } = saved;
        let (index, members) = snapshot
            .as_ref()
            .map(|snapshot| (snapshot.mark.index, snapshot.members.clone()))
            .unwrap_or_default();
        let mut configuration = Configuration::new(index, members);
        entries
            .iter()
            .filter(|entry| entry.index > index)
            .for_each(|entry| configuration.record(entry));
        let log = Log::new(base, entries);
        let last = log.last().index;
        Self {
            endpoint,
            timing,
            campaign_at: now + timing.random_initial_election(&mut rng),
            rng,
            hard,
            configuration,
            snapshot,
            commit: hard.commit.min(last).max(index),
            applied: 0,
            persisted: last,
            persisted_term: hard.term,
            log,
            state: State::Follower,
            leader: None,
            contact_at: None,
            unsaved: Unsaved::default(),
            sendable: Vec::new(),
            held: Vec::new(),
            writing: None,
            is_stalled: false,
            promotion: Promotion::default(),
            trailing: TRAILING_ENTRIES,
        }
    }

    /// Sets how many entries are kept in the log behind a snapshot.
    #[must_use]
    pub fn with_trailing(mut self, entries: u64) -> Self {
        self.trailing = entries;
        self
    }

    /// Sets how learners become voters while this replica leads.
    #[must_use]
    pub fn with_promotion(mut self, promotion: Promotion) -> Self {
        self.promotion = promotion;
        self
    }

    /// Handles a message from another replica. Messages to another replica or from another group
    /// are ignored.
    pub fn step(&mut self, now: Instant, message: Message) {
        if message.to != self.endpoint.identity || !self.is_own_group(&message) {
            return;
        }
        let Message {
            group,
            from,
            term,
            body,
            ..
        } = message;
        match &body {
            // A replica that is in contact with its leader doesn't help to depose that leader.
            Body::Vote { .. } if term > self.hard.term && self.has_leader(now) => return,
            // A pre-vote carries the term of a possible later election. No replica is in that
            // term yet.
            Body::PreVote { .. } | Body::PreVoteReply { is_granted: true } => {}
            _ if term > self.hard.term => self.become_follower(now, term),
            _ if term < self.hard.term => return self.on_stale(from, &body),
            _ => {}
        }
        match body {
            Body::PreVote { last } => self.on_pre_vote(now, group, from, term, last),
            Body::PreVoteReply { is_granted } => {
                self.on_pre_vote_reply(now, from, term, is_granted);
            }
            Body::Vote { last } => self.on_vote(now, group, from, last),
            Body::VoteReply { is_granted } => self.on_vote_reply(now, from, is_granted),
            Body::Append {
                prev,
                entries,
                commit,
                round,
            } => {
                self.join(group);
                self.on_append(now, from, prev, entries, commit, round);
            }
            Body::Install { snapshot, round } => {
                self.join(group);
                self.on_install(now, from, snapshot, round);
            }
            Body::AppendReply {
                is_match,
                index,
                round,
            } => self.on_append_reply(now, from, is_match, index, round),
        }
    }

    /// Acts on the passage of time: a leader sends heartbeats, another replica may campaign.
    pub fn tick(&mut self, now: Instant) {
        match &self.state {
            State::Leader(_) => self.tick_leader(now),
            // A new campaign would void a vote that is still being written. Where writes take
            // longer than the election timeout, no campaign would ever succeed.
            _ if now >= self.campaign_at && !self.is_hard_unsaved() && !self.is_stalled => {
                self.campaign(now);
            }
            _ => {}
        }
    }

    /// Appends a command to the log and returns its position. The command is committed once
    /// [`Ready::committed`] contains an entry with that index and term.
    ///
    /// # Errors
    ///
    /// [`NotLeader`] unless this replica is the leader.
    pub fn propose(&mut self, now: Instant, command: Vec<u8>) -> Result<Position, NotLeader> {
        match self.state {
            State::Leader(_) => Ok(self.append(now, Payload::Command(command))),
            _ => Err(NotLeader {
                leader: self.leader,
            }),
        }
    }

    /// Returns the work for the caller. There is no second [`Write`] until [`Self::advance`]
    /// confirms the first one.
    pub fn ready(&mut self) -> Ready {
        if self.writing.is_none() && self.unsaved.is_empty() {
            self.sendable.append(&mut self.held);
        }
        let write = match self.writing {
            None if !self.unsaved.is_empty() => Some(self.write()),
            _ => None,
        };
        let restore = self.restore();
        Ready {
            write,
            messages: std::mem::take(&mut self.sendable),
            restore,
            committed: self.take_committed(),
        }
    }

    /// Reports that the last [`Write`] can't be completed for now, for instance because the disk is
    /// full. Until [`Self::advance`] the replica neither leads nor campaigns; another one, whose
    /// disk works, can lead.
    pub fn stall(&mut self, now: Instant) {
        self.is_stalled = self.writing.is_some();
        if matches!(self.state, State::Leader(_)) {
            self.become_follower(now, self.hard.term);
        }
    }

    /// Confirms that the last [`Write`] is durable and releases the messages that depend on it.
    pub fn advance(&mut self, now: Instant, Synced { last, term }: Synced) {
        let Some(Writing { messages, has_hard }) = self.writing.take() else {
            return;
        };
        self.is_stalled = false;
        self.sendable.extend(messages);
        self.persisted_term = term;
        if has_hard {
            // The election timer restarts, because a candidate that got the vote can win only now
            // that the vote is durable.
            self.reset_election_timeout(now);
        }
        // The log may have been truncated during the write. Entries with the same index and term
        // are equal.
        if self.log.term_at(last.index) == Some(last.term) {
            self.persisted = self.persisted.max(last.index);
        }
        self.count_own_vote(now);
        self.update_commit(now);
    }

    /// Takes a snapshot: `state` is the encoded state after all applied entries and replaces
    /// them.
    pub fn compact(&mut self, state: Vec<u8>) {
        let index = self.applied;
        let Some(term) = self.log.term_at(index) else {
            return;
        };
        self.snapshot = Some(Arc::new(Snapshot {
            mark: Position { index, term },
            members: self.configuration.at(index),
            state,
        }));
        self.configuration.compact(index);
        self.log.compact(
            index
                .saturating_sub(self.trailing)
                .max(self.log.base().index),
        );
        self.unsaved.snapshot = true;
        self.unsaved.base = true;
    }

    fn write(&mut self) -> Write {
        let unsaved = std::mem::take(&mut self.unsaved);
        self.writing = Some(Writing {
            messages: std::mem::take(&mut self.held),
            has_hard: unsaved.hard,
        });
        self.hard.commit = self.commit;
        let entries = unsaved
            .from
            .map(|from| self.log.tail(from).cloned().collect());
        Write {
            last: self.log.last(),
            batch: Batch {
                hard: self.hard,
                snapshot: self.snapshot.clone().filter(|_| unsaved.snapshot),
                base: unsaved.base.then(|| self.log.base()),
                truncate_from: unsaved.from,
                entries: entries.unwrap_or_default(),
            },
        }
    }

    fn restore(&mut self) -> Option<Arc<Snapshot>> {
        let snapshot = self.snapshot.as_ref()?;
        let index = snapshot.mark.index;
        if index <= self.applied || index > self.persisted {
            return None;
        }
        self.applied = index;
        Some(snapshot.clone())
    }

    fn take_committed(&mut self) -> Vec<Entry> {
        let end = self.commit.min(self.persisted);
        // The entries after a snapshot that is not durable yet must wait until it is restored.
        if end <= self.applied || self.applied < self.log.base().index {
            return Vec::new();
        }
        let count = usize::try_from(end - self.applied).unwrap_or(usize::MAX);
        let committed = self
            .log
            .tail(self.applied + 1)
            .take(count)
            .cloned()
            .collect();
        self.applied = end;
        committed
    }

    fn is_own_group(&self, message: &Message) -> bool {
        match self.hard.group {
            0 => message.group != 0,
            group => group == message.group,
        }
    }

    /// Binds an empty replica to a group: the one of the first message that it acts on, or the
    /// one that it bootstraps.
    pub(super) fn join(&mut self, group: u64) {
        if self.hard.group == 0 {
            self.hard.group = group;
            self.unsaved.hard = true;
        }
    }

    /// Appends an entry of the current term and sends it to the followers.
    pub(super) fn append(&mut self, now: Instant, payload: Payload) -> Position {
        let entry = Entry {
            term: self.hard.term,
            index: self.log.last().index + 1,
            payload,
        };
        let mark = Position {
            index: entry.index,
            term: entry.term,
        };
        self.configuration.record(&entry);
        self.log.push(entry);
        self.unsaved.entries_from(mark.index);
        self.refresh_progress(now);
        self.send_entries(now);
        mark
    }

    /// Queues a message that may be sent once all state up to now is durable.
    pub(super) fn reply(&mut self, to: Identity, body: Body) {
        let message = self.message(to, body);
        self.held.push(message);
    }

    /// Whether the current term, vote or group is not durable yet.
    fn is_hard_unsaved(&self) -> bool {
        let is_writing = self.writing.as_ref().is_some_and(|write| write.has_hard);
        is_writing || self.unsaved.hard
    }

    /// Whether a write is in progress, so that replies made now have to wait.
    pub(super) fn is_writing(&self) -> bool {
        self.writing.is_some()
    }

    /// Queues a message that may be sent once the current term is durable.
    pub(super) fn send(&mut self, to: Identity, body: Body) {
        let message = self.message(to, body);
        match self.persisted_term == self.hard.term {
            true => self.sendable.push(message),
            false => self.held.push(message),
        }
    }

    pub(super) fn message(&self, to: Identity, body: Body) -> Message {
        Message {
            group: self.hard.group,
            from: self.endpoint.identity,
            address: self.endpoint.address,
            to,
            term: self.hard.term,
            body,
        }
    }

    pub(super) fn push_held(&mut self, message: Message) {
        self.held.push(message);
    }

    pub(super) fn push_sendable(&mut self, message: Message) {
        self.sendable.push(message);
    }
}
