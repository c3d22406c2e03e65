//! One feed: its records and those who wait for the next change.

use std::{cell::RefCell, time::Duration};

use domain::record::{Cursor, Delta, Key, Record};
use policy::changes::{Changes, Update};
use tokio::{sync::watch, time};

/// How long further changes are gathered after the first one. A burst of changes then costs one
/// answer for each subscriber, not one for each change.
const GATHER: Duration = Duration::from_millis(10);

/// The records of one feed.
pub struct Lane {
    changes: RefCell<Changes>,
    version: watch::Sender<u64>,
}

impl Lane {
    /// An empty feed with a fresh epoch.
    pub fn new() -> Self {
        Self {
            changes: RefCell::new(Changes::new(rand::random())),
            version: watch::Sender::new(0),
        }
    }

    /// Takes changes and wakes those who wait if any was one.
    pub fn apply(&self, deltas: impl IntoIterator<Item = Delta>) {
        let mut changes = self.changes.borrow_mut();
        let is_changed = deltas
            .into_iter()
            .fold(false, |is_changed, delta| changes.apply(delta) | is_changed);
        drop(changes);
        self.wake(is_changed);
    }

    /// Replaces the records whose keys are covered.
    pub fn replace(&self, records: Vec<Record>, is_covered: impl Fn(&Key) -> bool) {
        let is_changed = self.changes.borrow_mut().replace(records, is_covered);
        self.wake(is_changed);
    }

    /// What a subscriber lacks.
    pub fn since(&self, cursor: Cursor) -> Update {
        self.changes.borrow().since(cursor)
    }

    /// Waits until a subscriber lacks something, at most for `limit`.
    pub async fn wait(&self, cursor: Cursor, limit: Duration) {
        let mut version = self.version.subscribe();
        let is_current = {
            let since = self.changes.borrow().cursor();
            since == cursor
        };
        if !is_current {
            return;
        }
        if let Ok(Ok(())) = time::timeout(limit, version.changed()).await {
            time::sleep(GATHER).await;
        }
    }

    fn wake(&self, is_changed: bool) {
        if is_changed {
            self.version.send_modify(|version| *version += 1);
        }
    }
}

impl Default for Lane {
    fn default() -> Self {
        Self::new()
    }
}
