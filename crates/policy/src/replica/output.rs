//! What a replica asks its shell to do, in an order that the types enforce.

use std::sync::Arc;

use domain::replica::{Entry, Mark, Message, Snapshot};

use super::HardState;

/// Changes to make durable, all or none.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Batch {
    /// The hard state.
    pub hard: HardState,
    /// A new snapshot.
    pub snapshot: Option<Arc<Snapshot>>,
    /// Entries up to this one are dropped from the log.
    pub base: Option<Mark>,
    /// Entries from this index on are dropped before `entries` are added.
    pub truncate_from: Option<u64>,
    /// New entries.
    pub entries: Vec<Entry>,
}

/// A batch that waits for the disk. What depends on it stays in the replica until its
/// [`Synced`] comes back.
#[derive(Debug)]
#[must_use]
pub struct Write {
    pub(super) batch: Batch,
    pub(super) last: Mark,
}

impl Write {
    /// Lets `save` make the batch durable. Only its success yields a [`Synced`].
    ///
    /// # Errors
    ///
    /// What `save` reports.
    pub fn persist<E>(self, save: impl FnOnce(&Batch) -> Result<(), E>) -> Result<Synced, E> {
        save(&self.batch)?;
        Ok(Synced {
            last: self.last,
            term: self.batch.hard.term,
        })
    }
}

/// The proof that a [`Write`] is durable.
#[derive(Debug)]
#[must_use]
pub struct Synced {
    pub(super) last: Mark,
    pub(super) term: u64,
}

/// What to do now.
#[derive(Debug, Default)]
pub struct Ready {
    /// A batch to persist; no other one is given out before [`super::Replica::advance`].
    pub write: Option<Write>,
    /// Messages that depend on nothing that is not durable yet.
    pub messages: Vec<Message>,
    /// A snapshot that replaces the applied state, before `committed`.
    pub restore: Option<Arc<Snapshot>>,
    /// Entries to apply, in order.
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
