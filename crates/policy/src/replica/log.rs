//! The log in memory.

use std::collections::VecDeque;

use domain::replica::{Entry, Payload, Position};

/// Payload bytes in one message after which no further entry is added.
const MAX_BATCH_BYTES: usize = 256 * 1024;
/// Maximum number of entries in one message.
const MAX_BATCH_ENTRIES: usize = 512;

/// The entries after `base`, which is the last compacted entry.
#[derive(Debug)]
pub(super) struct Log {
    base: Position,
    entries: VecDeque<Entry>,
}

impl Log {
    pub(super) fn new(base: Position, entries: Vec<Entry>) -> Self {
        Self {
            base,
            entries: entries.into(),
        }
    }

    pub(super) fn base(&self) -> Position {
        self.base
    }

    pub(super) fn last(&self) -> Position {
        self.entries.back().map_or(self.base, |entry| Position {
            index: entry.index,
            term: entry.term,
        })
    }

    /// The term of the entry at `index`, or `None` if it is compacted or not in the log yet.
    pub(super) fn term_at(&self, index: u64) -> Option<u64> {
        match index == self.base.index {
            true => Some(self.base.term),
            false => self.get(index).map(|entry| entry.term),
        }
    }

    pub(super) fn get(&self, index: u64) -> Option<&Entry> {
        let offset = index.checked_sub(self.base.index + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// Appends an entry, which must have the next index.
    pub(super) fn push(&mut self, entry: Entry) {
        debug_assert_eq!(entry.index, self.last().index + 1);
        self.entries.push_back(entry);
    }

    /// Removes the entries at and after `index`.
    pub(super) fn truncate(&mut self, index: u64) {
        let keep = index.saturating_sub(self.base.index + 1);
        self.entries
            .truncate(usize::try_from(keep).unwrap_or(usize::MAX));
    }

    /// Removes the entries up to and including `index`. Does nothing if `index` is not in the log.
    pub(super) fn compact(&mut self, index: u64) {
        let Some(term) = self.term_at(index) else {
            return;
        };
        let count = index.saturating_sub(self.base.index);
        self.entries.drain(..usize::try_from(count).unwrap_or(0));
        self.base = Position { index, term };
    }

    /// Removes all entries. The next one follows `base`.
    pub(super) fn reset(&mut self, base: Position) {
        self.entries.clear();
        self.base = base;
    }

    /// All entries at and after `index`.
    pub(super) fn tail(&self, index: u64) -> impl Iterator<Item = &Entry> {
        let skip = index.saturating_sub(self.base.index + 1);
        self.entries
            .iter()
            .skip(usize::try_from(skip).unwrap_or(usize::MAX))
    }

    /// The entries from `index` on that fit in one message, at least one if there is any.
    pub(super) fn batch(&self, index: u64) -> Vec<Entry> {
        let mut bytes = 0;
        self.tail(index)
            .take(MAX_BATCH_ENTRIES)
            .take_while(|entry| {
                let has_room = bytes < MAX_BATCH_BYTES;
                bytes += size(entry);
                has_room
            })
            .cloned()
            .collect()
    }

    /// Whether a log that ends at `other` is at least as up to date as this one, by Raft's
    /// comparison of the last terms and then the last indices.
    pub(super) fn is_covered_by(&self, other: Position) -> bool {
        let last = self.last();
        (other.term, other.index) >= (last.term, last.index)
    }
}

/// The size of an entry's payload in bytes.
fn size(entry: &Entry) -> usize {
    match &entry.payload {
        Payload::Command(bytes) => bytes.len(),
        Payload::Noop | Payload::Members(_) => 0,
    }
}
