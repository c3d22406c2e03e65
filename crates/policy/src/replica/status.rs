//! Read access to a replica's state.

use std::time::Duration;

use domain::{
    clock::Instant,
    replica::{Identity, Members},
};

use super::{Confirmed, Endpoint, Replica, Role, core::State};

impl Replica {
    /// The identity and address of this replica.
    pub fn endpoint(&self) -> Endpoint {
        self.endpoint
    }

    /// The current term.
    pub fn term(&self) -> u64 {
        self.hard.term
    }

    /// The group that this replica belongs to, or zero while it is empty.
    pub fn group(&self) -> u64 {
        self.hard.group
    }

    /// The Raft role. A replica that requests pre-votes counts as a candidate.
    pub fn role(&self) -> Role {
        match self.state {
            State::Follower => Role::Follower,
            State::PreCandidate { .. } | State::Candidate { .. } => Role::Candidate,
            State::Leader(_) => Role::Leader,
        }
    }

    /// The leader, if this replica knows one.
    pub fn leader(&self) -> Option<Identity> {
        self.leader
    }

    /// The commit index.
    pub fn commit(&self) -> u64 {
        self.commit
    }

    /// The index of the last entry handed to the caller to be applied.
    pub fn applied(&self) -> u64 {
        self.applied
    }

    /// The index of the last entry in the newest snapshot, or zero without a snapshot.
    pub fn snapshot_index(&self) -> u64 {
        self.snapshot
            .as_ref()
            .map_or(0, |snapshot| snapshot.mark.index)
    }

    /// The current members in this replica's log, committed or not.
    pub fn members(&self) -> &Members {
        self.configuration.current()
    }

    /// Whether the current members are committed and no membership change is in progress.
    pub fn is_settled(&self) -> bool {
        let members = self.members();
        self.configuration.index() <= self.commit && members.outgoing.is_empty()
    }

    /// The newest heartbeat round that a quorum answered, if this replica is the leader.
    pub fn confirmed(&self) -> Option<Confirmed> {
        match &self.state {
            State::Leader(leader) => leader.confirmed,
            _ => None,
        }
    }

    /// An upper bound on the age of the applied state: the time since the newest heartbeat round
    /// that a quorum answered was opened. `None` if this replica is not the leader or has not
    /// applied all entries that were committed then.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        let confirmed = self.confirmed()?;
        (self.applied >= confirmed.commit).then(|| now.since(confirmed.sent_at))
    }

    /// Whether there was contact with a leader, or with a quorum as the leader, within the
    /// election timeout.
    pub(super) fn has_leader(&self, now: Instant) -> bool {
        match &self.state {
            State::Leader(leader) => now.since(leader.quorum_at) < self.timing.election(),
            _ => self
                .contact_at
                .is_some_and(|at| now.since(at) < self.timing.election()),
        }
    }
}
