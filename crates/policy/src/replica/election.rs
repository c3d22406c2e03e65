//! Elections: pre-votes, votes and the change of terms.

use std::collections::BTreeSet;

use domain::{
    clock::Instant,
    replica::{Body, Identity, Mark, Members, Message, Payload},
};

use super::{Replica, core::State, progress::Leader, quorum};

/// How many usual waits a candidate gives its voters, whose disks may be slow. Nobody else waits
/// for it: a voter that did not hear of it asks for votes after the usual wait.
const CANDIDATE_TIMEOUT_FACTOR: u32 = 8;

impl Replica {
    /// Becomes a follower, in a newer term if `term` is one.
    pub(super) fn become_follower(&mut self, now: Instant, term: u64) {
        if term > self.hard.term {
            self.hard.term = term;
            self.hard.vote = None;
            self.unsaved.hard = true;
        }
        self.state = State::Follower;
        self.leader = None;
        self.reset_election_timeout(now);
    }

    /// Draws anew when to ask for votes.
    pub(super) fn reset_election_timeout(&mut self, now: Instant) {
        self.campaign_at = now + self.timing.random_election(&mut self.rng);
    }

    /// Asks whether a campaign could succeed, without opening a term: a replica that comes back
    /// from a partition doesn't depose a leader that the others still hear.
    pub(super) fn campaign(&mut self, now: Instant) {
        let wait = match self.contact_at {
            Some(_) => self.timing.random_election(&mut self.rng),
            None => self.timing.random_initial_election(&mut self.rng),
        };
        self.campaign_at = now + wait;
        self.leader = None;
        if !self.may_campaign() {
            return;
        }
        self.state = State::PreCandidate {
            granted: BTreeSet::from([self.endpoint.identity]),
        };
        let last = self.log.last();
        for to in self.other_voters() {
            let message = Message {
                term: self.hard.term + 1,
                ..self.message(to, Body::PreVote { last })
            };
            self.push_sendable(message);
        }
        self.count_votes(now);
    }

    /// A replica that a change removes may still be the only one that has the entry of the change,
    /// so it may lead until that entry is committed.
    fn may_campaign(&self) -> bool {
        let is_voter = |members: &Members| members.is_voter(self.endpoint.identity);
        let is_uncommitted = self.configuration.index() > self.commit;
        is_voter(self.configuration.current())
            || is_uncommitted && is_voter(&self.configuration.at(self.configuration.index() - 1))
    }

    pub(super) fn on_pre_vote(
        &mut self,
        now: Instant,
        group: u64,
        from: Identity,
        term: u64,
        last: Mark,
    ) {
        let is_granted =
            term > self.hard.term && self.log.is_covered_by(last) && !self.has_leader(now);
        // A refusal carries the own term, so that a sender that lags catches up.
        let term = match is_granted {
            true => term,
            false => self.hard.term,
        };
        let message = Message {
            group,
            term,
            ..self.message(from, Body::PreVoteReply { is_granted })
        };
        // A refusal shows the own term, which must be durable first.
        match is_granted {
            true => self.push_sendable(message),
            false => self.push_held(message),
        }
    }

    pub(super) fn on_pre_vote_reply(
        &mut self,
        now: Instant,
        from: Identity,
        term: u64,
        is_granted: bool,
    ) {
        match &mut self.state {
            State::PreCandidate { granted } if is_granted && term == self.hard.term + 1 => {
                granted.insert(from);
                self.count_votes(now);
            }
            _ => {}
        }
    }

    pub(super) fn on_vote(&mut self, now: Instant, group: u64, from: Identity, last: Mark) {
        self.join(group);
        let may_vote = self.hard.vote.is_none_or(|vote| vote == from);
        let is_granted = may_vote && self.log.is_covered_by(last);
        if is_granted && self.hard.vote.is_none() {
            self.hard.vote = Some(from);
            self.unsaved.hard = true;
            self.reset_election_timeout(now);
        }
        self.reply(from, Body::VoteReply { is_granted });
    }

    pub(super) fn on_vote_reply(&mut self, now: Instant, from: Identity, is_granted: bool) {
        match &mut self.state {
            State::Candidate { granted } if is_granted => {
                granted.insert(from);
                self.count_votes(now);
            }
            // Another candidate may have as many votes, so there is nothing to wait for.
            State::Candidate { .. } => self.reset_election_timeout(now),
            _ => {}
        }
    }

    /// Answers a message of an older term, so that its sender learns the newer one.
    pub(super) fn on_stale(&mut self, from: Identity, body: &Body) {
        match body {
            Body::Vote { .. } => self.reply(from, Body::VoteReply { is_granted: false }),
            Body::Append { .. } | Body::Install { .. } => {
                let index = self.log.last().index;
                // The sender may lead the newer term by now, and count rounds from the start.
                let round = 0;
                self.reply(
                    from,
                    Body::AppendReply {
                        is_match: false,
                        index,
                        round,
                    },
                );
            }
            Body::PreVote { .. }
            | Body::PreVoteReply { .. }
            | Body::VoteReply { .. }
            | Body::AppendReply { .. } => {}
        }
    }

    fn count_votes(&mut self, now: Instant) {
        let members = self.configuration.current();
        match &self.state {
            State::PreCandidate { granted }
                if quorum::is_reached(members, |id| granted.contains(&id)) =>
            {
                self.become_candidate();
            }
            State::Candidate { granted }
                if quorum::is_reached(members, |id| granted.contains(&id)) =>
            {
                self.become_leader(now);
            }
            _ => {}
        }
    }

    fn become_candidate(&mut self) {
        self.hard.term += 1;
        self.hard.vote = Some(self.endpoint.identity);
        self.unsaved.hard = true;
        self.state = State::Candidate {
            granted: BTreeSet::new(),
        };
        let last = self.log.last();
        for to in self.other_voters() {
            self.reply(to, Body::Vote { last });
        }
    }

    /// Counts the own vote once it is durable.
    pub(super) fn count_own_vote(&mut self, now: Instant) {
        match &mut self.state {
            State::Candidate { granted } if self.persisted_term == self.hard.term => {
                let is_new = granted.insert(self.endpoint.identity);
                if is_new {
                    self.campaign_at =
                        now + self.timing.random_election(&mut self.rng) * CANDIDATE_TIMEOUT_FACTOR;
                }
                self.count_votes(now);
            }
            _ => {}
        }
    }

    fn become_leader(&mut self, now: Instant) {
        self.leader = Some(self.endpoint.identity);
        let term_start = self.log.last().index + 1;
        self.state = State::Leader(Box::new(Leader::new(now, term_start)));
        self.append(now, Payload::Noop);
        self.tick_leader(now);
    }

    fn other_voters(&self) -> Vec<Identity> {
        let members = self.configuration.current();
        let voters: BTreeSet<_> = members
            .voters
            .keys()
            .chain(members.outgoing.keys())
            .copied()
            .filter(|id| *id != self.endpoint.identity)
            .collect();
        voters.into_iter().collect()
    }
}
