//! Settings of `gypsum-control`.

use std::{net::SocketAddr, path::PathBuf};

use domain::digest::Digest;
use garde::Validate;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::common::{Address, Log, Place, SecretFile};

/// The whole file.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
#[garde(allow_unvalidated)]
pub struct Control {
    /// Where it runs.
    #[garde(dive)]
    pub place: Place,
    /// How it logs.
    #[serde(default)]
    pub log: Log,
    /// The file with the shared secret of the system's processes.
    pub secret_file: SecretFile,
    /// The folder of its durable state.
    pub data: PathBuf,
    /// Where the system's processes connect.
    #[schemars(with = "Address")]
    pub peer_listen: SocketAddr,
    /// Where operators connect.
    #[schemars(with = "Address")]
    pub operator_listen: SocketAddr,
    /// Where the status page is served.
    #[schemars(with = "Address")]
    pub status_listen: SocketAddr,
    /// The peer addresses of the group's replicas, this one among them.
    #[garde(length(min = 1, max = 16))]
    #[schemars(with = "Vec<Address>")]
    pub replicas: Vec<SocketAddr>,
    /// Operators and the digests of their keys.
    #[garde(length(min = 1))]
    pub operators: Vec<Operator>,
    /// The origin of weights, from which manifests are read.
    #[schemars(with = "Address")]
    pub origin: SocketAddr,
    /// The time between two heartbeats of the leader, in milliseconds.
    #[serde(default = "heartbeat_ms")]
    #[garde(range(min = 10, max = 10_000))]
    pub heartbeat_ms: u64,
    /// The shortest time without a leader after which a replica asks for votes, in milliseconds.
    #[serde(default = "election_ms")]
    #[garde(range(min = 50, max = 60_000))]
    pub election_ms: u64,
    /// Entries of the log after which a snapshot replaces them.
    #[serde(default = "snapshot_entries")]
    #[garde(range(min = 16))]
    pub snapshot_entries: u64,
    /// How long the session of a silent VM lasts, in milliseconds.
    #[serde(default = "session_ms")]
    #[garde(range(min = 500, max = 600_000))]
    pub session_ms: u64,
    /// How long ledger entries and edit ids are kept, in seconds.
    #[serde(default = "retention_s")]
    #[garde(range(min = 60))]
    pub retention_s: u64,
    /// How many ledger entries are kept; a full ledger refuses.
    #[serde(default = "ledger_entries")]
    #[garde(range(min = 1))]
    pub ledger_entries: u64,
}

/// Somebody who may edit the lists.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Operator {
    /// The name, for the history.
    pub name: String,
    /// The digest of the key.
    pub key_digest: Digest,
}

fn heartbeat_ms() -> u64 {
    100
}

fn election_ms() -> u64 {
    500
}

fn snapshot_entries() -> u64 {
    4_096
}

fn session_ms() -> u64 {
    3_000
}

fn retention_s() -> u64 {
    24 * 60 * 60
}

fn ledger_entries() -> u64 {
    100_000
}
