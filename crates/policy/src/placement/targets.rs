//! Until when older versions of a model may be used once a newer one was set.

use std::{collections::HashMap, time::Duration};

use domain::{clock::Instant, name};

use crate::{naming, view::View};

/// A target version of a model.
#[derive(Clone, Copy, Debug)]
struct Target {
    version: u64,
    /// From when on older versions must not be used.
    due_at: Instant,
}

/// The target versions of each model, oldest first.
#[derive(Clone, Debug)]
pub(super) struct Targets {
    /// How long older versions may be used after the last state without a target.
    grace: Duration,
    /// When the first target may be due.
    earliest: Instant,
    models: HashMap<name::Artifact, Vec<Target>>,
}

impl Targets {
    /// Creates targets of which none is known.
    pub(super) fn new(grace: Duration, earliest: Instant) -> Self {
        Self {
            grace,
            earliest,
            models: HashMap::new(),
        }
    }

    /// Records the targets of a view. `set` has the versions that were set so far.
    pub(super) fn observe(&mut self, view: &View, set: &naming::Table, now: Instant) {
        for (model, version) in &view.targets {
            for target in set.of(model) {
                self.push(model, *target, now);
            }
            let unknown = naming::Target {
                version: *version,
                set_after: None,
            };
            self.push(model, unknown, now);
        }
    }

    fn push(&mut self, model: &name::Artifact, target: naming::Target, now: Instant) {
        let known = self.models.entry(model.clone()).or_default();
        if known
            .last()
            .is_some_and(|last| last.version >= target.version)
        {
            return;
        }
        // A target that has been superseded keeps its due time. Without this, requests could begin
        // on a version older than both targets.
        let due = known.iter().rposition(|target| now >= target.due_at);
        known.drain(..due.unwrap_or_default());
        let counted = target.set_after.map(|at| at + self.grace);
        known.push(Target {
            version: target.version,
            due_at: counted.map_or(self.earliest, |due_at| due_at.max(self.earliest)),
        });
    }

    /// When a version of a model must not be used any more, if a newer one is a target.
    pub(super) fn end_of(&self, model: &name::Artifact, version: u64) -> Option<Instant> {
        let mut targets = self.models.get(model)?.iter();
        // They are due in their order.
        let newer = targets.find(|target| target.version > version)?;
        Some(newer.due_at)
    }

    /// The oldest version of a model that is still allowed, if any target version is due.
    pub(super) fn min_version(&self, model: &name::Artifact, now: Instant) -> Option<u64> {
        let targets = self.models.get(model)?;
        let due = targets.iter().rev().find(|target| now >= target.due_at);
        due.map(|target| target.version)
    }
}
