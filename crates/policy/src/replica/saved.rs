//! What a replica finds on its disk.

use std::sync::Arc;

use domain::replica::{Entry, Identity, Mark, Snapshot};
use serde::{Deserialize, Serialize};

use super::Batch;

/// What must be durable before any answer that depends on it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// The newest term seen.
    pub term: u64,
    /// The candidate that got this replica's vote in that term.
    pub vote: Option<Identity>,
    /// The group that the replica belongs to, or zero.
    pub group: u64,
    /// A lower bound of the commit index, so that a restart need not wait for a leader.
    pub commit: u64,
}

/// Everything that a replica starts from.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Saved {
    /// Term, vote, group and commit index.
    pub hard: HardState,
    /// The entry before the first one in `entries`.
    pub base: Mark,
    /// The newest snapshot.
    pub snapshot: Option<Arc<Snapshot>>,
    /// The log after `base`.
    pub entries: Vec<Entry>,
}

impl Saved {
    /// Takes a batch as a disk does: what a store must hold after it.
    pub fn apply(&mut self, batch: &Batch) {
        self.hard = batch.hard;
        if let Some(from) = batch.truncate_from {
            self.entries.retain(|entry| entry.index < from);
        }
        self.entries.extend(batch.entries.iter().cloned());
        if let Some(base) = batch.base {
            self.entries.retain(|entry| entry.index > base.index);
            self.base = base;
        }
        if let Some(snapshot) = &batch.snapshot {
            self.snapshot = Some(snapshot.clone());
        }
    }
}
