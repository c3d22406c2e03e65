//! Elections: pre-votes, votes and changes of the term.

use std::collections::BTreeSet;

use domain::{
    clock::Instant,
    replica::{Body, Identity, Members, Message, Payload, Position},
};

use super::{Replica, core::State, progress::Leader, quorum};

/// How many election timeouts a candidate waits for votes, because the voters' disks may be slow.
/// The other replicas don't wait longer: a voter that did not get the vote request campaigns
/// after its usual election timeout.
const CANDIDATE_TIMEOUT_FACTOR: u32 = 8;

impl Replica {
    /// Becomes a follower without a known leader, in `term` if that is newer.
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

    /// Restarts the election timer with a new random timeout.
    pub(super) fn reset_election_timeout(&mut self, now: Instant) {
        self.campaign_at = now + self.timing.random_election(&mut self.rng);
    }

    /// Requests pre-votes, which leave the term as it is. A replica that returns from a partition
    /// therefore doesn't depose a leader that the others are still in contact with.
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

    /// Whether this replica is a voter, or is one until an uncommitted change removes it. It may
    /// be the only replica that holds the entry with that change, so it may lead until the entry
    /// is committed.
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
        last: Position,
    ) {
        let is_granted =
            term > self.hard.term && self.log.is_covered_by(last) && !self.has_leader(now);
        // A rejection carries this replica's term, so that a sender in an older term catches up.
        let term = match is_granted {
            true => term,
            false => self.hard.term,
        };
        let message = Message {
            group,
            term,
            ..self.message(from, Body::PreVoteReply { is_granted })
        };
        // The term in a rejection must be durable first.
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

    pub(super) fn on_vote(&mut self, now: Instant, group: u64, from: Identity, last: Position) {
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
            // After a rejection the vote may be split, so the candidate returns to the usual
            // election timeout.
            State::Candidate { .. } => self.reset_election_timeout(now),
            _ => {}
        }
    }

    /// Replies to a message of an older term, so that its sender learns the current term.
    pub(super) fn on_stale(&mut self, from: Identity, body: &Body) {
        match body {
            Body::Vote { .. } => self.reply(from, Body::VoteReply { is_granted: false }),
            Body::Append { .. } | Body::Install { .. } => {
                let index = self.log.last().index;
                // The sender may meanwhile lead the newer term, in which rounds start from one
                // again. The round of the older term would confirm a round of the newer one.
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

    /// Opens a new term and requests votes in it.
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

    /// Counts this candidate's vote for itself once it is durable.
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

    /// Becomes the leader and appends the first entry of its term.
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
