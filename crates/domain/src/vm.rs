//! VMs, as their agents announce and report them to control.

use std::{collections::BTreeMap, net::SocketAddr};

use derive_more::Display;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::{artifact, name, order::Fence};

/// The process that an agent runs beside.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum Upstream {
    /// A model engine.
    Engine {
        /// Whether the engine itself refuses orders with a stale fencing token.
        checks_fencing: bool,
    },
    /// A plain service.
    Service {
        /// The name under which callers reach the service.
        name: name::Service,
    },
    /// No upstream. The VM runs an entry.
    Entry,
    /// No upstream. The VM runs a replica of control.
    Control,
}

/// The properties of a VM that change only when its agent restarts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// The name of the VM.
    pub vm: name::Vm,
    /// The availability zone of the VM.
    pub zone: name::AvailabilityZone,
    /// The region of that zone.
    pub region: name::Region,
    /// A number that increases with each start of the agent.
    pub incarnation: u64,
    /// The address to which entries send calls.
    pub call_addr: SocketAddr,
    /// The address from which other agents fetch chunks.
    pub chunk_addr: SocketAddr,
    /// The process beside the agent.
    pub upstream: Upstream,
}

/// The state of an upstream, which decides whether it takes new work.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Lifecycle {
    /// The upstream is known and serves nothing yet.
    #[display("announced")]
    Announced,
    /// The upstream loads its first version.
    #[display("loading")]
    Loading,
    /// The upstream serves under reduced load.
    #[display("cold")]
    Cold,
    /// The upstream serves under full load.
    #[display("warm")]
    Warm,
    /// The upstream finishes the running work and takes no new work.
    #[display("draining")]
    Draining,
    /// The session of the agent ended or expired.
    #[display("gone")]
    Gone,
}

impl Lifecycle {
    /// Whether new work may be sent to an upstream in this state.
    pub fn is_serving(self) -> bool {
        matches!(self, Self::Cold | Self::Warm)
    }
}

/// An agent's progress with one version of an artifact.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Holding {
    /// The agent fetches the chunks.
    Fetching {
        /// The number of verified chunks.
        chunks: u32,
    },
    /// All chunks are verified.
    Held,
    /// The engine was ordered to load the version.
    Loading,
    /// The engine confirmed that it serves exactly this version.
    Serving,
    /// The engine failed to load the version.
    Failed {
        /// The reason for the failure.
        reason: String,
    },
}

/// The status that an agent reports with its heartbeats.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The state of the upstream.
    pub lifecycle: Lifecycle,
    /// The progress of each version that the agent fetches or holds.
    #[serde(with = "holdings")]
    pub holdings: BTreeMap<artifact::Id, Holding>,
    /// The highest fencing token that the agent has seen.
    pub fence: Fence,
    /// The maximum number of concurrent calls.
    pub limit: u32,
}

impl Status {
    /// Whether the upstream takes new calls for the given version.
    pub fn serves(&self, artifact: &artifact::Id) -> bool {
        self.lifecycle.is_serving() && self.holdings.get(artifact) == Some(&Holding::Serving)
    }
}

/// A VM as control knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// The announcement of its agent.
    pub announcement: Announcement,
    /// The last status that the agent reported.
    pub status: Status,
}

/// Serialises the map as a list of pairs, because JSON supports only strings as map keys.
mod holdings {
    use std::collections::BTreeMap;

    use serde::{Deserialize, Deserializer, Serializer};

    use super::Holding;
    use crate::artifact;

    type Map = BTreeMap<artifact::Id, Holding>;

    pub(super) fn serialize<S: Serializer>(map: &Map, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_seq(map)
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Map, D::Error> {
        Vec::<(artifact::Id, Holding)>::deserialize(deserializer).map(Map::from_iter)
    }
}
