//! Settings of `gypsum-agent`.

use std::{net::SocketAddr, path::PathBuf};

use domain::{name, vm};
use garde::Validate;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::common::{Address, Log, Place, SecretFile, max_feed_age_ms};

/// The whole file.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
#[garde(allow_unvalidated)]
pub struct Agent {
    /// Where it runs.
    #[garde(dive)]
    pub place: Place,
    /// How it logs.
    #[serde(default)]
    pub log: Log,
    /// The file with the shared secret of the system's processes.
    pub secret_file: SecretFile,
    /// Addresses of control replicas.
    #[garde(length(min = 1))]
    #[schemars(with = "Vec<Address>")]
    pub control: Vec<SocketAddr>,
    /// Where entries send calls.
    #[schemars(with = "Address")]
    pub call_listen: SocketAddr,
    /// Where other agents fetch chunks.
    #[schemars(with = "Address")]
    pub chunk_listen: SocketAddr,
    /// Where the status page is served.
    #[schemars(with = "Address")]
    pub status_listen: SocketAddr,
    /// What stands beside the agent.
    pub upstream: vm::Upstream,
    /// The address of the upstream.
    #[schemars(with = "Address")]
    pub upstream_addr: SocketAddr,
    /// How old state may be before the agent stops acting on it, in milliseconds.
    #[serde(default = "max_feed_age_ms")]
    #[garde(range(min = 500, max = 60_000))]
    pub max_feed_age_ms: u64,
    /// Which calls are let through to the upstream, and when.
    #[serde(default)]
    #[garde(dive)]
    pub gate: Gate,
    /// Where weights come from and where they lie. A plain service needs none.
    #[garde(dive)]
    pub weights: Option<Weights>,
    /// How long running calls may take to end at a shutdown, in milliseconds.
    #[serde(default = "shutdown_limit_ms")]
    #[garde(range(max = 3_600_000))]
    pub shutdown_limit_ms: u64,
}

/// Which calls are let through to the upstream, and when.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields, default)]
pub struct Gate {
    /// How many calls a cold upstream bears at once.
    #[garde(range(min = 1, max = 10_000))]
    pub cold_limit: u32,
    /// How many calls a warm upstream bears at once.
    #[garde(range(min = 1, max = 100_000))]
    pub warm_limit: u32,
    /// How many calls of one customer may wait.
    #[garde(range(min = 1, max = 100_000))]
    pub queue_calls: u32,
    /// How long the upstream may be silent within a call, in milliseconds.
    #[garde(range(min = 50, max = 600_000))]
    pub progress_timeout_ms: u64,
}

impl Default for Gate {
    fn default() -> Self {
        Self {
            cold_limit: 2,
            warm_limit: 16,
            queue_calls: 32,
            progress_timeout_ms: 10_000,
        }
    }
}

/// Where weights come from and where they lie.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
#[garde(allow_unvalidated)]
pub struct Weights {
    /// The folder of verified chunks.
    pub spool: PathBuf,
    /// The most that the folder may hold, in bytes.
    #[serde(default = "spool_bytes")]
    #[garde(range(min = 1_048_576))]
    pub spool_bytes: u64,
    /// The origin of weights.
    #[schemars(with = "Address")]
    pub origin: SocketAddr,
    /// The rate-limited weight store, if there is one.
    #[serde(default)]
    #[schemars(with = "Option<Address>")]
    pub store: Option<SocketAddr>,
    /// The rate of the VM's link, in bytes per second.
    #[serde(default = "link_bytes_per_s")]
    #[garde(range(min = 1_024))]
    pub link_bytes_per_s: u64,
    /// The rate of the link between two regions, in bytes per second.
    #[serde(default = "region_link_bytes_per_s")]
    #[garde(range(min = 1_024))]
    pub region_link_bytes_per_s: u64,
    /// How much of each link is kept free for live calls, in hundredths.
    #[serde(default = "live_percent")]
    #[garde(range(max = 90))]
    pub live_percent: u32,
    /// How many peers the agent exchanges chunks with at once.
    #[serde(default = "neighbours")]
    #[garde(range(min = 1, max = 256))]
    pub neighbours: usize,
    /// How many chunks the agent asks for at once.
    #[serde(default = "pipeline")]
    #[garde(range(min = 1, max = 256))]
    pub pipeline: usize,
    /// How much the origin may send of a version when links between regions are slow, in
    /// hundredths of a copy.
    #[serde(default = "origin_percent_max")]
    #[garde(range(min = 100, max = 300))]
    pub origin_percent_max: u32,
    /// How many versions the engine can hold in memory at once.
    #[serde(default = "slots")]
    #[garde(range(min = 1, max = 1_000))]
    pub slots: usize,
    /// The artifacts that this engine can serve, or all.
    #[serde(default)]
    pub artifacts: Option<Vec<name::Artifact>>,
}

fn shutdown_limit_ms() -> u64 {
    60_000
}

fn spool_bytes() -> u64 {
    64 * 1024 * 1024 * 1024
}

fn link_bytes_per_s() -> u64 {
    125_000_000
}

fn region_link_bytes_per_s() -> u64 {
    3_125_000
}

fn live_percent() -> u32 {
    10
}

fn neighbours() -> usize {
    8
}

fn pipeline() -> usize {
    8
}

fn origin_percent_max() -> u32 {
    115
}

fn slots() -> usize {
    8
}
