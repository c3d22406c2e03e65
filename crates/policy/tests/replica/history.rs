//! What was seen to be committed, against which every host is checked.

use std::collections::BTreeMap;

use domain::{
    clock::Instant,
    replica::{Entry, Identity, Payload, Snapshot},
};

/// An entry and when it was first applied anywhere.
struct Seen {
    entry: Entry,
    at: Instant,
}

/// The one log that all hosts must agree on.
#[derive(Default)]
pub(crate) struct History {
    entries: Vec<Seen>,
    leaders: BTreeMap<u64, Identity>,
}

impl History {
    pub(crate) fn len(&self) -> u64 {
        self.entries.len() as u64
    }

    /// A host applies an entry.
    pub(crate) fn applied(&mut self, now: Instant, entry: &Entry) {
        let place = usize::try_from(entry.index - 1).unwrap();
        match self.entries.get(place) {
            Some(seen) => assert_eq!(&seen.entry, entry, "another entry was committed here"),
            None => {
                assert_eq!(place, self.entries.len(), "an entry was left out");
                self.entries.push(Seen {
                    entry: entry.clone(),
                    at: now,
                });
            }
        }
    }

    /// A host puts a snapshot in place of its state.
    pub(crate) fn restored(&self, snapshot: &Snapshot) {
        assert_eq!(snapshot.state, encode(&self.numbers(snapshot.mark.index)));
    }

    /// A host says that it leads a term.
    pub(crate) fn leads(&mut self, term: u64, identity: Identity) {
        let known = *self.leaders.entry(term).or_insert(identity);
        assert_eq!(known, identity, "two leaders in term {term}");
    }

    /// How many entries had been accepted at a time.
    pub(crate) fn accepted_at(&self, at: Instant) -> u64 {
        self.entries.partition_point(|seen| seen.at < at) as u64
    }

    /// The numbers proposed up to an index.
    pub(crate) fn numbers(&self, index: u64) -> Vec<u64> {
        let entries = self.entries.iter().map(|seen| &seen.entry);
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
