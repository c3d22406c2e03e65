//! The committed entries, against which every host is checked.

use std::collections::BTreeMap;

use domain::{
    clock::Instant,
    replica::{Entry, Identity, Payload, Snapshot},
};

/// An entry and when it was first applied anywhere.
struct Applied {
    entry: Entry,
    at: Instant,
}

/// The log that all hosts of a group must agree on, and the leader of each term.
#[derive(Default)]
pub(crate) struct History {
    entries: Vec<Applied>,
    leaders: BTreeMap<u64, Identity>,
}

impl History {
    pub(crate) fn len(&self) -> u64 {
        self.entries.len() as u64
    }

    /// Records an entry that a host applied. Panics if another host applied a different one at
    /// its index.
    pub(crate) fn record_applied(&mut self, now: Instant, entry: &Entry) {
        let position = usize::try_from(entry.index - 1).unwrap();
        match self.entries.get(position) {
            Some(applied) => assert_eq!(
                &applied.entry, entry,
                "hosts applied different entries at the same index"
            ),
            None => {
                assert_eq!(position, self.entries.len(), "an entry was skipped");
                self.entries.push(Applied {
                    entry: entry.clone(),
                    at: now,
                });
            }
        }
    }

    /// Panics unless a restored snapshot holds the state after the entries up to its index.
    pub(crate) fn check_restored(&self, snapshot: &Snapshot) {
        assert_eq!(snapshot.state, encode(&self.numbers(snapshot.mark.index)));
    }

    /// Records the leader of a term. Panics if another host leads the same term.
    pub(crate) fn record_leader(&mut self, term: u64, identity: Identity) {
        let known = *self.leaders.entry(term).or_insert(identity);
        assert_eq!(known, identity, "two leaders in term {term}");
    }

    /// The number of entries that some host had applied before a time.
    pub(crate) fn committed_at(&self, at: Instant) -> u64 {
        self.entries.partition_point(|applied| applied.at < at) as u64
    }

    /// The numbers proposed up to an index.
    pub(crate) fn numbers(&self, index: u64) -> Vec<u64> {
        let entries = self.entries.iter().map(|applied| &applied.entry);
        entries
            .take_while(|entry| entry.index <= index)
            .filter_map(|entry| number(&entry.payload))
            .collect()
    }
}

pub(crate) fn number(payload: &Payload) -> Option<u64> {
    match payload {
        Payload::Command(bytes) => Some(u64::from_le_bytes(bytes.as_slice().try_into().unwrap())),
        Payload::Noop | Payload::Members(_) => None,
    }
}

pub(crate) fn encode(numbers: &[u64]) -> Vec<u8> {
    numbers
        .iter()
        .flat_map(|number| number.to_le_bytes())
        .collect()
}

pub(crate) fn decode(bytes: &[u8]) -> Vec<u64> {
    let chunks = bytes.chunks_exact(8);
    chunks
        .map(|chunk| u64::from_le_bytes(chunk.try_into().unwrap()))
        .collect()
}
