//! The work that a replica hands to its caller, in an order that the types enforce.

use std::sync::Arc;

use domain::replica::{Entry, Message, Position, Snapshot};

use super::HardState;

/// Changes to make durable atomically.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Batch {
    /// The current hard state.
    pub hard: HardState,
    /// A new snapshot.
    pub snapshot: Option<Arc<Snapshot>>,
    /// Entries up to and including this one are removed from the log.
    pub base: Option<Position>,
    /// Entries at and after this index are removed before `entries` are appended.
    pub truncate_from: Option<u64>,
    /// New entries.
    pub entries: Vec<Entry>,
}

/// A batch to write to the disk. Messages that depend on it stay in the replica until its
/// [`Synced`] is returned.
#[derive(Debug)]
#[must_use]
pub struct Write {
    pub(super) batch: Batch,
    pub(super) last: Position,
}

impl Write {
    /// Calls `save`, which must make the batch durable, and returns the [`Synced`] that proves it.
    ///
    /// # Errors
    ///
    /// The error of `save`.
    pub fn persist<E>(self, save: impl FnOnce(&Batch) -> Result<(), E>) -> Result<Synced, E> {
        save(&self.batch)?;
        Ok(Synced {
            last: self.last,
            term: self.batch.hard.term,
        })
    }
}

/// Proof that a [`Write`] is durable, for [`super::Replica::advance`].
#[derive(Debug)]
#[must_use]
pub struct Synced {
    pub(super) last: Position,
    pub(super) term: u64,
}

/// Work for the caller of [`super::Replica::ready`].
#[derive(Debug, Default)]
pub struct Ready {
    /// A batch to persist. There is no other one until [`super::Replica::advance`] is called.
    pub write: Option<Write>,
    /// Messages to send now: all state that they depend on is durable.
    pub messages: Vec<Message>,
    /// A snapshot to replace the applied state with, before `committed` is applied.
    pub restore: Option<Arc<Snapshot>>,
    /// Committed entries to apply, in order.
    pub committed: Vec<Entry>,
}

impl Ready {
    /// Whether there is nothing to do.
    pub fn is_empty(&self) -> bool {
        self.write.is_none()
            && self.messages.is_empty()
            && self.restore.is_none()
            && self.committed.is_empty()
    }
}
