//! Operators' edits: compare-and-set on the revision, with an id that makes resends safe.

use std::{collections::BTreeMap, sync::Arc};

use derive_more::Display;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::{artifact, lists::Lists, manifest::Pin, name, routing::Document, violation::Violation};

/// The number of the last accepted edit. It never goes down.
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
    /// Replace both lists.
    Lists(Lists),
    /// Take an availability zone out of service, or return it.
    Zone {
        /// The zone.
        zone: name::AvailabilityZone,
        /// Whether it takes new work afterwards.
        in_service: bool,
    },
    /// Drain an upstream, or return it.
    Drain {
        /// The upstream's VM.
        vm: name::Vm,
        /// Whether it takes no new work afterwards.
        is_draining: bool,
    },
    /// Let a halted rollout go on.
    Resume {
        /// The version.
        artifact: artifact::Id,
    },
    /// Replace the routing. One that is not newer than the one in force changes nothing.
    Routing(Document),
    /// Name the version that a model's engines should serve. An older one changes nothing.
    Target {
        /// The model.
        model: name::Artifact,
        /// Its version.
        version: u64,
    },
}

/// One edit as an operator sends it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Edit {
    /// The operator's id of this edit; a resend carries the same one.
    pub id: Arc<str>,
    /// The revision from which it was made, or nothing for changes that don't depend on one.
    pub base: Option<Revision>,
    /// What it changes.
    pub change: Change,
    /// Accept it even if a plan is left with no version in service.
    #[serde(default)]
    pub allow_outage: bool,
    /// The operator's name, for the history.
    #[serde(default)]
    pub author: Option<Arc<str>>,
}

/// Manifests that control read from the origin for an edit, by `name@version`.
pub type Pins = BTreeMap<String, Pin>;

/// What became of an edit. A resend gets the same answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// It is in force from this revision on.
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
    /// It is wrong; nothing of it was taken.
    Refused {
        /// Everything that is wrong.
        violations: Vec<Violation>,
    },
}

/// A line of the history of accepted edits.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// The revision that the edit made.
    pub revision: Revision,
    /// The edit's id.
    pub id: Arc<str>,
    /// The operator's name.
    pub author: Option<Arc<str>>,
    /// When the leader took it, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// What it changed, in a few words.
    pub summary: String,
}
