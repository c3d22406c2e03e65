//! Settings of `gypsum-entry`.

use std::{collections::BTreeMap, net::SocketAddr};

use domain::name;
use garde::Validate;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::common::{Address, Log, Place, SecretFile, max_feed_age_ms};

/// The whole file.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
#[garde(allow_unvalidated)]
pub struct Entry {
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
    /// Where callers connect.
    #[schemars(with = "Address")]
    pub caller_listen: SocketAddr,
    /// Where the status page is served.
    #[schemars(with = "Address")]
    pub status_listen: SocketAddr,
    /// How old state may be before new calls are refused, in milliseconds.
    #[serde(default = "max_feed_age_ms")]
    #[garde(range(min = 500, max = 60_000))]
    pub max_feed_age_ms: u64,
    /// How long a call may take at most, in milliseconds.
    #[serde(default = "max_call_ms")]
    #[garde(range(min = 100, max = 3_600_000))]
    pub max_call_ms: u64,
    /// How long an upstream may be silent in the middle of an answer, in milliseconds.
    #[serde(default = "progress_timeout_ms")]
    #[garde(range(min = 50, max = 600_000))]
    pub progress_timeout_ms: u64,
    /// How long the balancer gets to notice a shutdown, in milliseconds.
    #[serde(default = "shutdown_grace_ms")]
    #[garde(range(max = 600_000))]
    pub shutdown_grace_ms: u64,
    /// How long running calls may take to end after that, in milliseconds.
    #[serde(default = "shutdown_limit_ms")]
    #[garde(range(max = 3_600_000))]
    pub shutdown_limit_ms: u64,
    /// The largest accepted request body, in bytes.
    #[serde(default = "max_body_bytes")]
    #[garde(range(min = 1_024, max = 268_435_456))]
    pub max_body_bytes: usize,
    /// How many calls the entry carries at once.
    #[serde(default = "max_calls")]
    #[garde(range(min = 1, max = 1_000_000))]
    pub max_calls: usize,
    /// How many upstreams of one model this entry uses; all of them in a small fleet.
    #[serde(default = "subset_size")]
    #[garde(range(min = 2, max = 10_000))]
    pub subset_size: usize,
    /// Retries as a fraction of recent calls, in hundredths.
    #[serde(default = "retry_percent")]
    #[garde(range(max = 100))]
    pub retry_percent: u32,
    /// Routes of plain services that differ from the default, by service.
    #[serde(default)]
    pub services: BTreeMap<name::Service, Vec<Route>>,
}

/// Whether calls on one route of a plain service may be repeated.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// The method, or any.
    #[serde(default)]
    pub method: Option<String>,
    /// The start of the path below the service.
    pub path_prefix: String,
    /// Whether a call may be repeated. By default GET and HEAD may, others may not.
    pub is_idempotent: bool,
}

fn max_call_ms() -> u64 {
    120_000
}

fn progress_timeout_ms() -> u64 {
    10_000
}

fn shutdown_grace_ms() -> u64 {
    3_000
}

fn shutdown_limit_ms() -> u64 {
    60_000
}

fn max_body_bytes() -> usize {
    4 * 1024 * 1024
}

fn max_calls() -> usize {
    10_000
}

fn subset_size() -> usize {
    32
}

fn retry_percent() -> u32 {
    10
}
