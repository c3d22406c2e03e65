//! The group's configuration: the members set by the log, including by uncommitted entries, which
//! may be truncated later.

use domain::replica::{Entry, Members, Payload};

#[derive(Debug)]
struct Change {
    index: u64,
    members: Members,
}

/// The members at the snapshot and each later change of them in the log.
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

    /// The current members. A change takes effect when it is appended, before it is committed.
    pub(super) fn current(&self) -> &Members {
        &self.newest().members
    }

    /// The log index of the newest change.
    pub(super) fn index(&self) -> u64 {
        self.newest().index
    }

    /// The members in effect at a log index.
    pub(super) fn at(&self, index: u64) -> Members {
        self.changes
            .iter()
            .rev()
            .find(|change| change.index <= index)
            .map(|change| change.members.clone())
            .unwrap_or_default()
    }

    /// Adds the change that `entry` holds, if any.
    pub(super) fn record(&mut self, entry: &Entry) {
        if let Payload::Members(members) = &entry.payload {
            self.changes.push(Change {
                index: entry.index,
                members: members.clone(),
            });
        }
    }

    /// Removes the changes at and after `index`.
    pub(super) fn truncate(&mut self, index: u64) {
        let keep = self
            .changes
            .iter()
            .skip(1)
            .take_while(|change| change.index < index)
            .count();
        self.changes.truncate(keep + 1);
    }

    /// Removes the changes before the one that is in effect at `index`.
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
        // The list is never empty: it starts with the members at the snapshot.
        &self.changes[self.changes.len() - 1]
    }
}
