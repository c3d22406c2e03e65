//! Upstream instances that register themselves with control.
//!
//! See `docs/PLATFORM.md`, "Registry".

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::name;

/// The report of an upstream instance about itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// The name of the instance. A restarted process may use the same name again.
    pub id: name::Instance,
    /// When the process started, in milliseconds since the Unix epoch. It distinguishes two
    /// processes of the same name.
    pub born_ms: u64,
    /// The service to which the instance belongs.
    pub service: name::Service,
    /// Where the instance accepts requests. A later instance of any service may reuse the address.
    pub address: SocketAddr,
    /// The availability zone in which the instance runs.
    pub zone: name::AvailabilityZone,
    /// The maximum number of concurrent requests.
    pub slots: u32,
    /// Whether the instance takes new requests.
    pub phase: Phase,
    /// How much longer the instance is cold and takes only a little load, in milliseconds.
    pub cold_ms: u32,
    /// The model layers that the instance has loaded.
    pub layers: Vec<Layers>,
    /// The number of the report. It increases with each report of one process.
    pub sequence: u64,
}

/// Whether an instance takes new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// It takes new requests.
    Ready,
    /// It finishes the running requests and then exits.
    Draining,
}

/// A contiguous range of a model's layers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Layers {
    /// The model.
    pub model: name::Artifact,
    /// The version of the weights.
    pub version: u64,
    /// The first layer.
    pub begin: u32,
    /// The end of the range, exclusive; `None` if the range extends to the last layer.
    pub end: Option<u32>,
}

impl Instance {
    /// The version of a model of which the instance holds all `count` layers, if there is one.
    pub fn version_of(&self, model: &name::Artifact, count: u32) -> Option<u64> {
        let whole = |held: &&Layers| {
            held.model == *model && held.begin == 0 && held.end.is_none_or(|end| end >= count)
        };
        self.layers.iter().find(whole).map(|held| held.version)
    }

    /// Whether the report differs from an earlier one, apart from the fields that change with each
    /// report.
    pub fn differs(&self, earlier: &Self) -> bool {
        let is_cold = |instance: &Self| instance.cold_ms > 0;
        self.born_ms != earlier.born_ms
            || self.service != earlier.service
            || self.address != earlier.address
            || self.zone != earlier.zone
            || self.slots != earlier.slots
            || self.phase != earlier.phase
            || self.layers != earlier.layers
            || is_cold(self) != is_cold(earlier)
    }
}

/// A write to the registry of instances.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Write {
    /// An instance reported for the first time, or its report changed.
    Report(Box<Instance>),
    /// An instance leaves the registry.
    Leave {
        /// The name of the instance.
        id: name::Instance,
        /// The start time of the process that leaves; `None` stands for the newest one.
        born_ms: Option<u64>,
    },
    /// Instances have not reported for too long.
    Expire {
        /// The names and start times of the instances.
        silent: Vec<(name::Instance, u64)>,
    },
    /// Instances reported to a replica that is not the leader.
    Touch {
        /// The names of the instances.
        heard: Vec<name::Instance>,
    },
}
