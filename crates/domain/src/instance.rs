//! Upstream instances that register themselves with control.
//!
//! See `docs/PLATFORM.md`, "Registry".

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::name;

/// What an instance says of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// Its name. A restart may take the same one again.
    pub id: name::Instance,
    /// When it started, in milliseconds since the Unix epoch; it tells two starts apart.
    pub born_ms: u64,
    /// The service to which it belongs.
    pub service: name::Service,
    /// Where it takes requests. A later instance of any service may take the same address.
    pub address: SocketAddr,
    /// The availability zone in which it runs.
    pub zone: name::AvailabilityZone,
    /// How many requests it runs at once.
    pub slots: u32,
    /// Whether it takes new requests.
    pub phase: Phase,
    /// How much longer it bears only little, in milliseconds.
    pub cold_ms: u32,
    /// The layers of models that it holds.
    pub layers: Vec<Layers>,
    /// Grows with each report of one start.
    pub sequence: u64,
}

/// Whether an instance takes new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// It does.
    Ready,
    /// It finishes what runs and ends.
    Draining,
}

/// A run of a model's layers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Layers {
    /// The model.
    pub model: name::Artifact,
    /// The version of its weights.
    pub version: u64,
    /// The first layer.
    pub begin: u32,
    /// The layer after the last one; nothing if all are held.
    pub end: Option<u32>,
}

impl Instance {
    /// The version of a model that the instance serves alone, with all `count` layers.
    pub fn version_of(&self, model: &name::Artifact, count: u32) -> Option<u64> {
        let whole = |held: &&Layers| {
            held.model == *model && held.begin == 0 && held.end.is_none_or(|end| end >= count)
        };
        self.layers.iter().find(whole).map(|held| held.version)
    }

    /// Whether the report says something else than an earlier one of the same start, apart from
    /// what changes with each report.
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
    /// A report that says something new.
    Report(Box<Instance>),
    /// An instance leaves.
    Leave {
        /// Its name.
        id: name::Instance,
        /// The start that leaves; the newest one when nothing is said.
        born_ms: Option<u64>,
    },
    /// Instances were silent for too long.
    Expire {
        /// Their names with their starts.
        silent: Vec<(name::Instance, u64)>,
    },
    /// Instances were heard by a replica that does not lead.
    Touch {
        /// Their names.
        heard: Vec<name::Instance>,
    },
}
