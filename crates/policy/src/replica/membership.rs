//! Membership changes: one at a time, and only a learner that has caught up becomes a voter.

use std::{collections::BTreeSet, net::SocketAddr, time::Duration};

use domain::{
    clock::Instant,
    replica::{Entry, Identity, Members, Payload},
};

use super::{NotLeader, Replica, bootstrap::MAX_VOTERS, core::State};

/// Maximum number of replicas in a group.
pub const MAX_MEMBERS: usize = 16;
/// How long a learner may be silent before it is removed. It is longer than a restart takes. A
/// removed learner that comes back asks to be admitted again.
pub const LEARNER_SILENCE: Duration = Duration::from_secs(10);

/// Whether learners that have caught up become voters without a request from an operator.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Promotion {
    /// A learner only replaces the voter that an operator names, or one at the same address.
    #[default]
    Manual,
    /// Learners replace voters that don't answer for `silence`, and fill the group up to
    /// [`MAX_VOTERS`].
    Automatic {
        /// How long a voter may be silent before it is replaced.
        silence: Duration,
    },
}

/// The progress of a replica's admission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The replica is a voter, and the change is committed.
    Voter,
    /// The replica is a learner, or a voter by a change that is not committed yet. A learner may
    /// become a voter once it has caught up.
    Learner,
}

/// Why a replica is not admitted now.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, derive_more::Display, derive_more::Error, derive_more::From,
)]
pub enum Refusal {
    /// Only the leader admits replicas.
    #[display("{_0}")]
    NotLeader(NotLeader),
    /// Another membership change is not committed yet. The request may be repeated later.
    #[from(ignore)]
    #[display("another membership change is in progress")]
    Busy,
    /// The group has [`MAX_MEMBERS`] members.
    #[from(ignore)]
    #[display("the group already has {MAX_MEMBERS} members")]
    Full,
}

/// The request of a replica to join the group.
#[derive(Clone, Copy, Debug)]
pub struct JoinRequest {
    /// The identity of the replica.
    pub identity: Identity,
    /// The address that the replica listens on.
    pub address: SocketAddr,
    /// The voter that the replica replaces if there is no voter at its address.
    pub replaces: Option<Identity>,
}

impl Replica {
    /// Admits a replica as a learner. Once its durable log has caught up it replaces a voter: the
    /// one that the request names, or the one that was at its address before. In a full group, the
    /// learner that has been silent for longest makes room, if it is out of contact.
    ///
    /// # Errors
    ///
    /// [`Refusal`] if this replica is not the leader, another membership change is in progress, or
    /// the group is full.
    pub fn admit(&mut self, now: Instant, request: JoinRequest) -> Result<Admission, Refusal> {
        if !matches!(self.state, State::Leader(_)) {
            let leader = self.leader;
            return Err(NotLeader { leader }.into());
        }
        let members = self.configuration.current();
        let identity = request.identity;
        // Only one replica listens on an address. A voter known at this address is gone, and the
        // learner replaces it even if the request names another voter or none.
        let target = request
            .replaces
            .filter(|old| members.voters.contains_key(old))
            .filter(|_| voter_at(members, request.address).is_none());
        let is_known = members.learners.get(&identity) == Some(&request.address)
            && (target.is_none() || members.swaps.get(&identity) == target.as_ref());
        match () {
            () if members.voters.contains_key(&identity) && self.is_settled() => {
                return Ok(Admission::Voter);
            }
            () if is_known || members.voters.contains_key(&identity) => {
                return Ok(Admission::Learner);
            }
            () if !self.can_change() => return Err(Refusal::Busy),
            () => {}
        }
        let mut members = with_learner(members.clone(), request, target);
        if members.addresses().len() > MAX_MEMBERS {
            let silent = self.silent_learner(now, self.timing.election());
            members = without_learner(members, silent.ok_or(Refusal::Full)?);
        }
        self.append(now, Payload::Members(members));
        Ok(Admission::Learner)
    }

    /// Writes the first entry of a new group's log. Does nothing if the replica has a group or
    /// entries. Only the replica that [`super::bootstrap::decide`] selects may call this. The
    /// others are still empty and get this entry from it, so that two groups can't share a
    /// replica.
    pub fn bootstrap(&mut self, members: Members) {
        if self.hard.group != 0 || self.log.last().index != 0 {
            return;
        }
        self.join(members.group);
        self.hard.term += 1;
        self.hard.vote = Some(self.endpoint.identity);
        let entry = Entry {
            term: self.hard.term,
            index: 1,
            payload: Payload::Members(members),
        };
        self.configuration.record(&entry);
        self.log.push(entry);
        self.unsaved.entries_from(1);
    }

    /// Appends the next step of a membership change, if one is due.
    pub(super) fn change_members(&mut self, now: Instant) {
        if !self.can_change() {
            return;
        }
        let members = self.configuration.current();
        if !members.outgoing.is_empty() {
            let mut members = members.clone();
            members.outgoing.clear();
            self.append(now, Payload::Members(members));
        } else if !members.voters.contains_key(&self.endpoint.identity) {
            // The change that removed this replica from the voters is committed.
            self.become_follower(now, self.hard.term);
        } else if let Some((learner, old)) = self.next_swap(now) {
            let members = with_swap(members.clone(), learner, old);
            self.append(now, Payload::Members(members));
        } else if let Some(members) = self.promote(now) {
            self.append(now, Payload::Members(members));
        } else if let Some(silent) = self.silent_learner(now, LEARNER_SILENCE) {
            let members = without_learner(members.clone(), silent);
            self.append(now, Payload::Members(members));
        }
    }

    /// The members after the promotion of a learner, if one is due.
    ///
    /// An even number of voters tolerates no more failures than one voter less, so an odd group
    /// grows only if two learners are ready.
    fn promote(&self, now: Instant) -> Option<Members> {
        let Promotion::Automatic { silence } = self.promotion else {
            return None;
        };
        let members = self.configuration.current();
        let ready: BTreeSet<Identity> = self.ready_learners(now).collect();
        let first = *ready.first()?;
        if let Some(silent) = self.silent_voter(now, silence) {
            return Some(with_swap(members.clone(), first, silent));
        }
        let is_even = members.voters.len().is_multiple_of(2);
        let grows = members.voters.len() < MAX_VOTERS && (is_even || ready.len() > 1);
        grows.then(|| with_voter(members.clone(), first))
    }

    /// A voter that has not answered for `silence` since this replica became the leader.
    fn silent_voter(&self, now: Instant, silence: Duration) -> Option<Identity> {
        let mut voters = self.configuration.current().voters.keys().copied();
        voters.find(|id| self.silence(now, *id) >= silence)
    }

    /// The learner that has been silent for longest, if it has not answered for `silence` since
    /// this replica became the leader. There is none while the leader itself is out of contact
    /// with a quorum, for example after it was paused.
    fn silent_learner(&self, now: Instant, silence: Duration) -> Option<Identity> {
        let learners = self.configuration.current().learners.keys().copied();
        let longest = learners.max_by_key(|id| self.silence(now, *id))?;
        let is_lost = self.has_leader(now) && self.silence(now, longest) >= silence;
        is_lost.then_some(longest)
    }

    /// How long a follower of this leader has not answered.
    fn silence(&self, now: Instant, follower: Identity) -> Duration {
        match &self.state {
            State::Leader(leader) => leader
                .progress
                .get(&follower)
                .map(|progress| progress.silence(now))
                .unwrap_or_default(),
            _ => Duration::ZERO,
        }
    }

    /// Learners that hold all committed entries and have answered within the election timeout.
    fn ready_learners(&self, now: Instant) -> impl Iterator<Item = Identity> {
        let learners = self.configuration.current().learners.keys().copied();
        learners.filter(move |id| self.is_ready(now, id))
    }

    fn is_ready(&self, now: Instant, learner: &Identity) -> bool {
        let State::Leader(leader) = &self.state else {
            return false;
        };
        leader.progress.get(learner).is_some_and(|progress| {
            let answered = progress.answered_at.map(|at| now.since(at));
            progress.matched >= self.commit
                && answered.is_some_and(|span| span < self.timing.election())
        })
    }

    /// Whether the last membership change and an entry of the current term are committed.
    fn can_change(&self) -> bool {
        match &self.state {
            State::Leader(leader) => {
                self.commit >= leader.term_start && self.commit >= self.configuration.index()
            }
            _ => false,
        }
    }

    /// A learner that is ready to replace a voter, and that voter.
    fn next_swap(&self, now: Instant) -> Option<(Identity, Identity)> {
        let members = self.configuration.current();
        let swap = |learner: &Identity| {
            let address = members.learners.get(learner)?;
            let old = voter_at(members, *address).or(members.swaps.get(learner).copied())?;
            members.voters.contains_key(&old).then_some((*learner, old))
        };
        self.ready_learners(now).find_map(|learner| swap(&learner))
    }
}

fn voter_at(members: &Members, address: SocketAddr) -> Option<Identity> {
    let mut voters = members.voters.iter();
    voters
        .find(|(_, other)| **other == address)
        .map(|(id, _)| *id)
}

/// Adds a learner and removes other learners at its address. `target` is the voter that it is to
/// replace; another learner's claim to that voter is dropped.
fn with_learner(mut members: Members, request: JoinRequest, target: Option<Identity>) -> Members {
    members
        .learners
        .retain(|_, other| *other != request.address);
    members.swaps.retain(|_, old| Some(*old) != target);
    members.learners.insert(request.identity, request.address);
    let learners = &members.learners;
    members.swaps.retain(|id, _| learners.contains_key(id));
    if let Some(old) = target {
        members.swaps.insert(request.identity, old);
    }
    members
}

/// Removes a learner, and its claim to a voter.
fn without_learner(mut members: Members, learner: Identity) -> Members {
    members.learners.remove(&learner);
    members.swaps.remove(&learner);
    members
}

/// Replaces the voter `old` by a learner. Decisions need majorities of both sets of voters (joint
/// consensus) until the next change is committed. For A, B, C → A, B, D the old majority {B, C}
/// and the new majority {A, D} would otherwise have no replica in common.
fn with_swap(mut members: Members, learner: Identity, old: Identity) -> Members {
    members.outgoing = members.voters.clone();
    members.voters.remove(&old);
    members
        .swaps
        .retain(|id, other| *id != learner && *other != old);
    if let Some(address) = members.learners.remove(&learner) {
        members.voters.insert(learner, address);
    }
    members
}

/// Adds a learner to the voters, also by joint consensus.
fn with_voter(mut members: Members, learner: Identity) -> Members {
    members.outgoing = members.voters.clone();
    members.swaps.remove(&learner);
    if let Some(address) = members.learners.remove(&learner) {
        members.voters.insert(learner, address);
    }
    members
}
