//! What a replica says about itself.

use std::time::Duration;

use domain::{
    clock::Instant,
    replica::{Identity, Members},
};

use super::{Confirmed, Endpoint, Replica, Role, core::State};

impl Replica {
    /// Who it is.
    pub fn endpoint(&self) -> Endpoint {
        self.endpoint
    }

    /// Its term.
    pub fn term(&self) -> u64 {
        self.hard.term
    }

    /// The group that it belongs to, or zero while it is empty.
    pub fn group(&self) -> u64 {
        self.hard.group
    }

    /// The part that it takes.
    pub fn role(&self) -> Role {
        match self.state {
            State::Follower => Role::Follower,
            State::PreCandidate { .. } | State::Candidate { .. } => Role::Candidate,
            State::Leader(_) => Role::Leader,
        }
    }

    /// The leader that it knows of.
    pub fn leader(&self) -> Option<Identity> {
        self.leader
    }

    /// The last committed entry.
    pub fn commit(&self) -> u64 {
        self.commit
    }

    /// The last entry given out to be applied.
    pub fn applied(&self) -> u64 {
        self.applied
    }

    /// The newest snapshot's last entry.
    pub fn snapshot_index(&self) -> u64 {
        self.snapshot
            .as_ref()
            .map_or(0, |snapshot| snapshot.mark.index)
    }

    /// The members in force here.
    pub fn members(&self) -> &Members {
        self.configuration.current()
    }

    /// Whether the members in force here are committed and no change of them is under way.
    pub fn is_settled(&self) -> bool {
        let members = self.members();
        self.configuration.index() <= self.commit && members.outgoing.is_empty()
    }

    /// The newest round that a quorum answered, if this replica leads.
    pub fn confirmed(&self) -> Option<Confirmed> {
        match &self.state {
            State::Leader(leader) => leader.confirmed,
            _ => None,
        }
    }

    /// An upper bound on how long ago a quorum confirmed that what was given out to be applied
    /// is the newest state, if this replica leads.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        let confirmed = self.confirmed()?;
        (self.applied >= confirmed.commit).then(|| now.since(confirmed.sent_at))
    }

    /// Whether a leader was heard so lately that nobody needs a new one.
    pub(super) fn has_leader(&self, now: Instant) -> bool {
        match &self.state {
            State::Leader(leader) => now.since(leader.quorum_at) < self.timing.election(),
            _ => self
                .contact_at
                .is_some_and(|at| now.since(at) < self.timing.election()),
        }
    }
}
