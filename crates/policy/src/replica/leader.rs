//! The leader's work: heartbeats, replication, commits and the check that a quorum follows.

use domain::{
    clock::Instant,
    replica::{Body, Identity, Position},
};

use super::{
    Replica,
    core::State,
    progress::{Progress, WINDOW_ENTRIES},
    quorum,
};

impl Replica {
    /// Sends heartbeats, and steps down if no quorum has answered within the election timeout.
    pub(super) fn tick_leader(&mut self, now: Instant) {
        let (limit, heartbeat, commit) =
            (self.timing.election(), self.timing.heartbeat(), self.commit);
        let State::Leader(leader) = &mut self.state else {
            return;
        };
        if now.since(leader.quorum_at) >= limit {
            return self.become_follower(now, self.hard.term);
        }
        if now < leader.heartbeat_at {
            return;
        }
        leader.heartbeat_at = now + heartbeat;
        leader.open_round(now, commit);
        self.close_rounds();
        self.send_all(now);
        self.change_members(now);
    }

    pub(super) fn on_append_reply(
        &mut self,
        now: Instant,
        from: Identity,
        is_match: bool,
        index: u64,
        round: u64,
    ) {
        let last = self.log.last().index;
        let State::Leader(leader) = &mut self.state else {
            return;
        };
        let Some(progress) = leader.progress.get_mut(&from) else {
            return;
        };
        progress.answer(now, round);
        let has_progressed = match is_match {
            true => {
                progress.snapshot_sent_at = None;
                let has_progressed = index > progress.matched;
                progress.matched = progress.matched.max(index);
                progress.next = progress.next.max(progress.matched + 1);
                has_progressed || progress.next <= last
            }
            false => {
                let next = index.min(progress.next.saturating_sub(2)) + 1;
                progress.next = next.max(progress.matched + 1);
                true
            }
        };
        self.close_rounds();
        if has_progressed {
            self.update_commit(now);
            self.send_to(now, from, false);
            self.change_members(now);
        }
    }

    /// Advances the commit index to the last entry that a quorum holds if it is of the current
    /// term. Entries of older terms are committed along with it: on their own they could still be
    /// replaced.
    pub(super) fn update_commit(&mut self, now: Instant) {
        let (own, persisted) = (self.endpoint.identity, self.persisted);
        let State::Leader(leader) = &self.state else {
            return;
        };
        let matched = |id: Identity| match leader.progress.get(&id) {
            Some(progress) => progress.matched,
            None if id == own => persisted,
            None => 0,
        };
        let index = quorum::highest(self.configuration.current(), matched);
        if index <= self.commit || self.log.term_at(index) != Some(self.hard.term) {
            return;
        }
        self.commit = index;
        self.send_all(now);
        self.change_members(now);
    }

    /// Keeps one [`Progress`] for each other member.
    pub(super) fn refresh_progress(&mut self, now: Instant) {
        let next = self.log.last().index;
        let State::Leader(leader) = &mut self.state else {
            return;
        };
        let members = self.configuration.current().addresses();
        leader.progress.retain(|id, _| members.contains_key(id));
        for id in members.keys().filter(|id| **id != self.endpoint.identity) {
            leader
                .progress
                .entry(*id)
                .or_insert_with(|| Progress::new(now, next));
        }
    }

    /// Sends new entries to all followers whose window has room.
    pub(super) fn send_entries(&mut self, now: Instant) {
        for id in self.followers() {
            self.send_to(now, id, false);
        }
    }

    /// Sends new entries, or else a heartbeat, to all followers.
    fn send_all(&mut self, now: Instant) {
        for id in self.followers() {
            self.send_to(now, id, true);
        }
    }

    /// Sends the next entries or the snapshot to one follower. With nothing to send, the follower
    /// gets an empty append as a heartbeat if `is_heartbeat` is set.
    fn send_to(&mut self, now: Instant, to: Identity, is_heartbeat: bool) {
        let State::Leader(leader) = &mut self.state else {
            return;
        };
        let round = leader.round();
        let Some(progress) = leader.progress.get_mut(&to) else {
            return;
        };
        let base = self.log.base();
        if progress.next <= base.index {
            return self.send_snapshot(now, to, is_heartbeat);
        }
        let has_room = progress.next <= progress.matched + WINDOW_ENTRIES;
        let entries = match has_room {
            true => self.log.batch(progress.next),
            false => Vec::new(),
        };
        if entries.is_empty() && !is_heartbeat {
            return;
        }
        let index = progress.next - 1;
        let term = self.log.term_at(index).unwrap_or_default();
        progress.next += u64::try_from(entries.len()).unwrap_or_default();
        let body = Body::Append {
            prev: Position { index, term },
            entries,
            commit: self.commit,
            round,
        };
        self.send(to, body);
    }

    /// Sends the snapshot, or a heartbeat while the reply to the last snapshot is awaited.
    fn send_snapshot(&mut self, now: Instant, to: Identity, is_heartbeat: bool) {
        let retry = self.timing.snapshot_retry();
        let State::Leader(leader) = &mut self.state else {
            return;
        };
        let round = leader.round();
        let Some(progress) = leader.progress.get_mut(&to) else {
            return;
        };
        let is_waiting = progress
            .snapshot_sent_at
            .is_some_and(|at| now.since(at) < retry);
        let body = match &self.snapshot {
            Some(snapshot) if !is_waiting => {
                progress.snapshot_sent_at = Some(now);
                Body::Install {
                    snapshot: snapshot.clone(),
                    round,
                }
            }
            _ if !is_heartbeat => return,
            _ => Body::Append {
                prev: self.log.base(),
                entries: Vec::new(),
                commit: self.commit,
                round,
            },
        };
        self.send(to, body);
    }

    /// Closes the heartbeat rounds that a quorum has answered.
    fn close_rounds(&mut self) {
        let (own, term) = (self.endpoint.identity, self.hard.term);
        let State::Leader(leader) = &mut self.state else {
            return;
        };
        let current = leader.round();
        let answered = |id: Identity| match leader.progress.get(&id) {
            Some(progress) => progress.round,
            None if id == own => current,
            None => 0,
        };
        let number = quorum::highest(self.configuration.current(), answered);
        leader.close_rounds(number, term);
    }

    fn followers(&self) -> Vec<Identity> {
        match &self.state {
            State::Leader(leader) => leader.progress.keys().copied().collect(),
            _ => Vec::new(),
        }
    }
}
