//! Counts of what the engine did, as `GET /stats` and `GET /runs` tell them.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Counts since the start.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Stats {
    /// Calls taken.
    pub started: u64,
    /// Calls answered whole.
    pub completed: u64,
    /// Calls cancelled by order.
    pub cancelled: u64,
    /// Calls whose connection went away first.
    pub vanished: u64,
    /// Calls that came when a cold engine bore no more.
    pub overloads: u64,
    /// Calls refused while the engine was down after an overload.
    pub refused: u64,
    /// Calls for a version that is not served.
    pub unserved: u64,
    /// Most calls at once.
    pub peak: u64,
    /// Tokens made.
    pub tokens: u64,
    /// Blocks of prompts seen.
    pub prefix_blocks: u64,
    /// Of these, blocks that were cached.
    pub prefix_hits: u64,
    /// Orders carried out.
    pub orders: u64,
    /// Orders refused because of an old fencing number.
    pub fenced: u64,
    /// Orders carried out although a newer fencing number had been seen.
    pub stale_orders: u64,
    /// Load orders refused because the files don't make up the version.
    pub bad_loads: u64,
}

/// How often each attempt was started.
pub type Runs = BTreeMap<String, u64>;
