//! Operators' edits. An edit is a compare-and-set on the revision; its id makes resends
//! idempotent.

use std::{collections::BTreeMap, sync::Arc};

use derive_more::Display;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::{artifact, lists::Lists, manifest::Pin, name, routing::Document, violation::Violation};

/// The number of the last accepted edit. It never decreases.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    JsonSchema,
)]
#[serde(transparent)]
pub struct Revision(pub u64);

/// What an edit changes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum Change {
    /// Replaces both lists.
    Lists(Lists),
    /// Takes an availability zone out of service, or returns it to service.
    Zone {
        /// The zone.
        zone: name::AvailabilityZone,
        /// Whether the zone takes new work after the edit.
        in_service: bool,
    },
    /// Drains an upstream, or returns it to service.
    Drain {
        /// The upstream's VM.
        vm: name::Vm,
        /// Whether the upstream is drained after the edit, that is, takes no new work.
        is_draining: bool,
    },
    /// Resumes a halted rollout.
    Resume {
        /// The artifact that is rolled out.
        artifact: artifact::Id,
    },
    /// Replaces the routing, unless the given one is not newer than the current one.
    Routing(Document),
    /// Sets the version that a model's engines should serve, unless it is not newer than the
    /// current one.
    Target {
        /// The model.
        model: name::Artifact,
        /// The version of its weights.
        version: u64,
    },
}

/// An edit as an operator sends it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Edit {
    /// The id of the edit, chosen by the operator. A resend carries the same id.
    pub id: Arc<str>,
    /// The revision on which the edit is based, or `None` for changes that don't depend on one.
    pub base: Option<Revision>,
    /// The change.
    pub change: Change,
    /// Whether the edit is accepted even if a plan is left with no version in service.
    #[serde(default)]
    pub allow_outage: bool,
    /// The operator's name, for the history.
    #[serde(default)]
    pub author: Option<Arc<str>>,
}

/// The manifests that control read from the origin for an edit, by `name@version`.
pub type Pins = BTreeMap<String, Pin>;

/// The outcome of an edit. A resend gets the same one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The edit is in force from this revision on.
    Accepted {
        /// The new revision.
        revision: Revision,
    },
    /// Another edit was accepted first.
    Conflict {
        /// The revision in force.
        revision: Revision,
        /// The id of the edit that made it.
        winner: Arc<str>,
    },
    /// The edit is invalid, and nothing of it was applied.
    Refused {
        /// Everything that is wrong with the edit.
        violations: Vec<Violation>,
    },
}

/// An accepted edit in the history.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// The revision that the edit made.
    pub revision: Revision,
    /// The edit's id.
    pub id: Arc<str>,
    /// The operator's name.
    pub author: Option<Arc<str>>,
    /// When the leader received the edit, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// A short description of the change.
    pub summary: String,
}
