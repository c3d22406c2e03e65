//! How a follower handles the entries and snapshots of its leader.

use std::sync::Arc;

use domain::{
    clock::Instant,
    replica::{Body, Entry, Identity, Position, Snapshot},
};

use super::{Replica, configuration::Configuration, core::State};

impl Replica {
    pub(super) fn on_append(
        &mut self,
        now: Instant,
        from: Identity,
        prev: Position,
        entries: Vec<Entry>,
        commit: u64,
        round: u64,
    ) {
        self.record_contact(now, from);
        // Compacted entries are committed, so they match the log of every leader of this term.
        let is_match =
            prev.index < self.log.base().index || self.log.term_at(prev.index) == Some(prev.term);
        let answer = |index| Body::AppendReply {
            is_match,
            index,
            round,
        };
        if !is_match {
            let index = self.conflict_hint(prev.index);
            return self.reply(from, answer(index));
        }
        let index = prev.index + u64::try_from(entries.len()).unwrap_or_default();
        self.merge(entries);
        self.commit = self.commit.max(commit.min(index));
        if self.is_writing() {
            // Acknowledges the heartbeat without waiting for the disk, but only durable entries.
            // A leader would otherwise consider a follower with a slow disk failed.
            self.send(from, answer(index.min(self.persisted)));
        }
        self.reply(from, answer(index));
    }

    pub(super) fn on_install(
        &mut self,
        now: Instant,
        from: Identity,
        snapshot: Arc<Snapshot>,
        round: u64,
    ) {
        self.record_contact(now, from);
        let mark = snapshot.mark;
        if mark.index > self.commit {
            self.install_snapshot(snapshot);
        }
        let index = mark.index;
        self.reply(
            from,
            Body::AppendReply {
                is_match: true,
                index,
                round,
            },
        );
    }

    fn record_contact(&mut self, now: Instant, from: Identity) {
        self.state = State::Follower;
        self.leader = Some(from);
        self.contact_at = Some(now);
        self.reset_election_timeout(now);
    }

    /// The index after which the leader should try again: the last one before the conflicting
    /// term, but at least the commit index.
    fn conflict_hint(&self, prev: u64) -> u64 {
        let last = self.log.last().index;
        if prev > last {
            return last;
        }
        let Some(term) = self.log.term_at(prev) else {
            return self.commit;
        };
        let is_same = |index: &u64| self.log.term_at(*index) == Some(term);
        let first = (self.commit..prev).rev().take_while(is_same).last();
        first.unwrap_or(prev).saturating_sub(1).max(self.commit)
    }

    fn merge(&mut self, entries: Vec<Entry>) {
        for entry in entries {
            let known = self.log.term_at(entry.index);
            if known == Some(entry.term) || entry.index <= self.log.base().index {
                continue;
            }
            if known.is_some() {
                self.truncate_log(entry.index);
            }
            self.unsaved.entries_from(entry.index);
            self.configuration.record(&entry);
            self.log.push(entry);
        }
    }

    fn truncate_log(&mut self, index: u64) {
        assert!(index > self.commit, "a committed entry can't change");
        self.log.truncate(index);
        self.configuration.truncate(index);
        self.persisted = self.persisted.min(index - 1);
    }

    fn install_snapshot(&mut self, snapshot: Arc<Snapshot>) {
        let mark = snapshot.mark;
        if self.log.term_at(mark.index) == Some(mark.term) {
            // The log holds the entries of the snapshot already; only the commit index was missing.
            self.commit = mark.index;
            return;
        }
        self.persisted = self.persisted.min(self.commit);
        self.commit = mark.index;
        self.configuration = Configuration::new(mark.index, snapshot.members.clone());
        self.log.reset(mark);
        self.snapshot = Some(snapshot);
        self.unsaved.snapshot = true;
        self.unsaved.base = true;
        self.unsaved.entries_from(mark.index + 1);
    }
}
