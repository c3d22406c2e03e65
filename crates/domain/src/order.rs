//! Orders to engines, and the fencing tokens by which stale orders are recognised.

use derive_more::Display;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::artifact;

/// A fencing token. An order whose token is lower than the highest one seen is stale.
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
    /// The term of the log entry that caused the order.
    pub term: u64,
    /// The index of that entry in the replicated log.
    pub index: u64,
}

/// The phases of a call that an engine serves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// Both prefill and decode.
    #[default]
    Full,
    /// Prefill only: the engine processes prompts.
    Prefill,
    /// Decode only: the engine generates tokens.
    Decode,
}

/// An order to an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Order {
    /// Loads a version whose chunks are all verified and stored in the spool.
    Load(artifact::Id),
    /// Stops serving a version and frees its memory.
    Unload(artifact::Id),
    /// Changes the role of the engine.
    Role(Role),
}
