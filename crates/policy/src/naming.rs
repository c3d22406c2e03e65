//! When target versions were set, as far as the states of the feed prove it.
//!
//! The time since a target was set can't be counted from when this VM learns of it: a suspended VM, a
//! partition or a slow feed can delay that by any time. But a confirmed state without the target
//! proves that the target was set after the confirmation, so the newest such state bounds the time
//! from above. No clocks of other VMs are involved. See `docs/DECISIONS.md`, "The time of an old
//! version".

use std::collections::HashMap;

use domain::{clock::Instant, name};

use crate::{age::Bound, view::View};

/// Target versions that are remembered of one model. A reader that misses states in between still
/// finds every target set since its last state.
const MAX_TARGETS: usize = 8;

/// A target version of a model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Target {
    /// The version.
    pub version: u64,
    /// When the newest state without it was confirmed: it was set later. Nothing if no such state
    /// is known, so that it may have been set at any time.
    pub set_after: Option<Instant>,
}

/// The target versions of all models.
#[derive(Clone, Debug, Default)]
pub struct Table {
    targets: HashMap<name::Artifact, Vec<Target>>,
}

impl Table {
    /// Creates a table without targets.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the targets of a state. `before` is the bound of the state that it replaces.
    pub fn observe(&mut self, view: &View, before: Bound) {
        for (model, version) in &view.targets {
            let known = self.targets.entry(model.clone()).or_default();
            if known.last().is_some_and(|last| last.version >= *version) {
                continue;
            }
            known.push(Target {
                version: *version,
                set_after: before.confirmed_at(),
            });
            let excess = known.len().saturating_sub(MAX_TARGETS);
            known.drain(..excess);
        }
    }

    /// The target versions of a model, oldest first.
    pub fn of(&self, model: &name::Artifact) -> &[Target] {
        self.targets.get(model).map_or(&[], Vec::as_slice)
    }
}
