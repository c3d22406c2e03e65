//! Changes of the members: one at a time, and a voter's place only for a replica that caught up.

use std::{collections::BTreeSet, net::SocketAddr, time::Duration};

use domain::{
    clock::Instant,
    replica::{Entry, Identity, Members, Payload},
};

use super::{NotLeader, Replica, bootstrap::MAX_VOTERS, core::State};

/// Replicas that a group may have.
pub const MAX_MEMBERS: usize = 16;

/// Whether learners that caught up become voters without being named for a voter's place.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Promotion {
    /// They don't: an operator names the voter that is replaced.
    #[default]
    Manual,
    /// They take the places of voters that were silent for so long, and fill the group up to
    /// [`MAX_VOTERS`].
    Automatic {
        /// How long a voter may be silent.
        silence: Duration,
    },
}

/// How far the admission of a replica is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It is a voter, and the change is committed.
    Voter,
    /// It is a learner; it takes a voter's place when it has caught up.
    Learner,
}

/// A replica is not admitted now.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, derive_more::Display, derive_more::Error, derive_more::From,
)]
pub enum Refusal {
    /// Ask the leader.
    #[display("{_0}")]
    NotLeader(NotLeader),
    /// Ask again later.
    #[from(ignore)]
    #[display("another change of the members is under way")]
    Busy,
    /// The group is full.
    #[from(ignore)]
    #[display("the group has {MAX_MEMBERS} members already")]
    Full,
}

/// A replica that asks to be admitted.
#[derive(Clone, Copy, Debug)]
pub struct JoinRequest {
    /// Its identity.
    pub identity: Identity,
    /// Where it listens.
    pub address: SocketAddr,
    /// The voter whose place it takes if there is none at its address.
    pub replaces: Option<Identity>,
}

impl Replica {
    /// Admits a replica as a learner. Once it has caught up, durably, it takes the place of a
    /// voter: the one that it replaces, or the one that was at its address before.
    ///
    /// # Errors
    ///
    /// [`Refusal`] unless this replica leads and no other change is under way.
    pub fn admit(&mut self, now: Instant, request: JoinRequest) -> Result<Admission, Refusal> {
        if !matches!(self.state, State::Leader(_)) {
            let leader = self.leader;
            return Err(NotLeader { leader }.into());
        }
        let members = self.configuration.current();
        let identity = request.identity;
        // Only one replica listens at an address: a voter that was there is gone, and the
        // learner takes its place without being told.
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
        let members = with_learner(members.clone(), request, target);
        if members.addresses().len() > MAX_MEMBERS {
            return Err(Refusal::Full);
        }
        self.append(now, Payload::Members(members));
        Ok(Admission::Learner)
    }

    /// Opens the log of a new group. Only the founder does: the others are still empty and get
    /// this entry from it, so that two groups can't share a replica.
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

    /// Takes the next step of a change that is under way.
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
            // The change that replaced this replica is committed.
            self.become_follower(now, self.hard.term);
        } else if let Some((learner, old)) = self.next_swap(now) {
            let members = with_swap(members.clone(), learner, old);
            self.append(now, Payload::Members(members));
        } else if let Some(members) = self.promote(now) {
            self.append(now, Payload::Members(members));
        }
    }

    /// The members after a learner became a voter, if one should.
    ///
    /// A group of an even number bears no more losses than one with a voter less, so an odd group
    /// grows only when there are learners for two steps.
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

    /// A voter that has not answered for `silence` of this lead.
    fn silent_voter(&self, now: Instant, silence: Duration) -> Option<Identity> {
        let State::Leader(leader) = &self.state else {
            return None;
        };
        let is_silent = |id: &Identity| {
            leader.progress.get(id).is_some_and(|progress| {
                let contact_at = progress.answered_at.unwrap_or(leader.elected_at);
                now.since(contact_at.max(leader.elected_at)) >= silence
            })
        };
        let mut voters = self.configuration.current().voters.keys();
        voters.find(|id| is_silent(id)).copied()
    }

    /// Learners that hold all that is committed, and answer.
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

    /// Whether the last change, and an entry of the own term, are committed.
    fn can_change(&self) -> bool {
        match &self.state {
            State::Leader(leader) => {
                self.commit >= leader.term_start && self.commit >= self.configuration.index()
            }
            _ => false,
        }
    }

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

/// Adds a learner in place of other ones at the same address or for the same voter.
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

/// Puts a learner in a voter's place. Both sets decide until the next change is committed: the
/// old majority {B, C} and the new majority {A, D} of A, B, C → A, B, D share nobody.
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

/// Makes a learner a voter beside the others, again by the consent of both sets.
fn with_voter(mut members: Members, learner: Identity) -> Members {
    members.outgoing = members.voters.clone();
    members.swaps.remove(&learner);
    if let Some(address) = members.learners.remove(&learner) {
        members.voters.insert(learner, address);
    }
    members
}
