//! Label values of bounded number, so that a list of customers can't fill the memory.

use std::{collections::BTreeSet, sync::Arc};

use parking_lot::RwLock;

/// Values beyond this many share the label [`OTHER`].
pub const MAX_VALUES: usize = 200;
/// The label of all values beyond the limit.
pub const OTHER: &str = "other";

/// The values of one label seen so far.
#[derive(Debug, Default)]
pub struct Labels {
    seen: RwLock<BTreeSet<Arc<str>>>,
}

impl Labels {
    /// An empty set.
    pub fn new() -> Self {
        Self::default()
    }

    /// The label for a value: the value itself, or [`OTHER`] when the set is full.
    pub fn label(&self, value: &str) -> Arc<str> {
        if let Some(known) = self.seen.read().get(value) {
            return known.clone();
        }
        let mut seen = self.seen.write();
        if seen.len() >= MAX_VALUES {
            return OTHER.into();
        }
        let value: Arc<str> = value.into();
        seen.insert(value.clone());
        value
    }
}
