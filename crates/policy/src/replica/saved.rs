//! The durable state of a replica.

use std::sync::Arc;

use domain::replica::{Entry, Identity, Position, Snapshot};
use serde::{Deserialize, Serialize};

use super::Batch;

/// Raft's hard state, which must be durable before any message that depends on it is sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// The highest term seen.
    pub term: u64,
    /// The candidate that this replica voted for in `term`.
    pub vote: Option<Identity>,
    /// The group that the replica belongs to, or zero if it is empty.
    pub group: u64,
    /// A lower bound of the commit index. A restarted replica applies entries up to it without
    /// waiting for a leader.
    pub commit: u64,
}

/// All durable state, from which a replica starts.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Saved {
    /// Term, vote, group and commit index.
    pub hard: HardState,
    /// The position of the entry before the first one in `entries`.
    pub base: Position,
    /// The newest snapshot.
    pub snapshot: Option<Arc<Snapshot>>,
    /// The log entries after `base`.
    pub entries: Vec<Entry>,
}

impl Saved {
    /// Applies a batch. A store must hold the same state after it wrote the batch.
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
