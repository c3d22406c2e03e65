//! The latest edit of each subject, by which an edit that was held up on its way is recognized.
//!
//! A command can wait in a connection for as long as a network partition lasts, while the operator
//! sends the edit to another replica and then makes further ones. Edits without a base revision
//! would undo those when they arrive. See `docs/ARCHITECTURE.md`, "Edits".

use std::{collections::BTreeMap, sync::Arc};

use domain::{
    artifact,
    edit::{Change, Outcome, Revision},
    name,
};
use serde::{Deserialize, Serialize};

/// What an edit without a base revision sets. Changes with an order of their own, such as
/// versions, have no subject.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
enum Subject {
    Zone(name::AvailabilityZone),
    Upstream(name::Vm),
    Rollout(artifact::Id),
}

impl Subject {
    fn of(change: &Change) -> Option<Self> {
        match change {
            Change::Zone { zone, .. } => Some(Self::Zone(zone.clone())),
            Change::Drain { vm, .. } => Some(Self::Upstream(vm.clone())),
            Change::Resume { artifact } => Some(Self::Rollout(artifact.clone())),
            Change::Lists(_) | Change::Routing(_) | Change::Target { .. } => None,
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Latest {
    revision: Revision,
    id: Arc<str>,
    at_ms: u64,
}

/// The latest accepted edit of each subject.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Table(BTreeMap<Subject, Latest>);

impl Table {
    /// The conflict of a change that was sent when `seen` was the newest revision, if its subject
    /// has been changed since.
    pub(super) fn conflict(&self, change: &Change, seen: Revision) -> Option<Outcome> {
        let latest = self.0.get(&Subject::of(change)?)?;
        (latest.revision > seen).then(|| Outcome::Conflict {
            revision: latest.revision,
            winner: latest.id.clone(),
        })
    }

    /// Records an accepted change.
    pub(super) fn record(
        &mut self,
        change: &Change,
        revision: Revision,
        id: &Arc<str>,
        at_ms: u64,
    ) {
        if let Some(subject) = Subject::of(change) {
            let id = id.clone();
            let latest = Latest {
                revision,
                id,
                at_ms,
            };
            self.0.insert(subject, latest);
        }
    }

    /// Removes edits made before `horizon_ms`, in milliseconds since the Unix epoch.
    pub(super) fn expire(&mut self, horizon_ms: u64) {
        self.0.retain(|_, latest| latest.at_ms >= horizon_ms);
    }
}
