//! The members as the log sets them, also those of entries that may be taken back.

use domain::replica::{Entry, Members, Payload};

#[derive(Debug)]
struct Change {
    index: u64,
    members: Members,
}

/// The members at the snapshot, and each later change in the log.
#[derive(Debug)]
pub(super) struct Configuration {
    changes: Vec<Change>,
}

impl Configuration {
    pub(super) fn new(index: u64, members: Members) -> Self {
        let base = Change { index, members };
        Self {
            changes: vec![base],
        }
    }

    /// The members in force: a change counts as soon as it is in the log.
    pub(super) fn current(&self) -> &Members {
        &self.newest().members
    }

    /// The index of the newest change.
    pub(super) fn index(&self) -> u64 {
        self.newest().index
    }

    /// The members in force at an index.
    pub(super) fn at(&self, index: u64) -> Members {
        self.changes
            .iter()
            .rev()
            .find(|change| change.index <= index)
            .map(|change| change.members.clone())
            .unwrap_or_default()
    }

    pub(super) fn record(&mut self, entry: &Entry) {
        if let Payload::Members(members) = &entry.payload {
            self.changes.push(Change {
                index: entry.index,
                members: members.clone(),
            });
        }
    }

    /// Takes back the changes from `index` on.
    pub(super) fn truncate(&mut self, index: u64) {
        let keep = self
            .changes
            .iter()
            .skip(1)
            .take_while(|change| change.index < index)
            .count();
        self.changes.truncate(keep + 1);
    }

    /// Forgets what was in force before the members at `index`.
    pub(super) fn compact(&mut self, index: u64) {
        let old = self
            .changes
            .iter()
            .skip(1)
            .take_while(|change| change.index <= index)
            .count();
        self.changes.drain(..old);
    }

    fn newest(&self) -> &Change {
        // There is always the base.
        &self.changes[self.changes.len() - 1]
    }
}
