//! Orders to engines, each with the fencing number of the commit that asked for it.

use derive_more::Display;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::artifact;

/// A fencing number: orders with a lower one than the last are stale.
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
#[display("{term}.{index}")]
pub struct Fence {
    /// The term in which the order was committed.
    pub term: u64,
    /// Its place in the replicated log.
    pub index: u64,
}

/// The part that an engine takes in serving.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// Both phases of a call.
    #[default]
    Full,
    /// Only reads prompts.
    Prefill,
    /// Only generates tokens.
    Decode,
}

/// What an engine is asked to do.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Order {
    /// Load a version whose chunks all lie verified in the spool.
    Load(artifact::Id),
    /// Stop serving a version and free its memory.
    Unload(artifact::Id),
    /// Change the engine's role.
    Role(Role),
}
