//! What the agent on an upstream's VM says of itself.

use std::{collections::BTreeMap, net::SocketAddr};

use derive_more::Display;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::{artifact, name, order::Fence};

/// The kind of upstream that stands beside an agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum Upstream {
    /// A model engine.
    Engine {
        /// Whether it refuses an order with an old fencing number by itself.
        checks_fencing: bool,
    },
    /// A plain service.
    Service {
        /// The name under which callers reach it.
        name: name::Service,
    },
    /// None: the VM runs an entry.
    Entry,
    /// None: the VM runs a replica of control.
    Control,
}

/// Who a VM is. It changes only when the agent restarts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// The VM.
    pub vm: name::Vm,
    /// Its availability zone.
    pub zone: name::AvailabilityZone,
    /// The region of that zone.
    pub region: name::Region,
    /// A number that grows at each start of the agent.
    pub incarnation: u64,
    /// Where entries send calls.
    pub call_addr: SocketAddr,
    /// Where other agents fetch chunks.
    pub chunk_addr: SocketAddr,
    /// What stands beside the agent.
    pub upstream: Upstream,
}

/// How an upstream stands towards new work.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Lifecycle {
    /// It is known, and serves nothing yet.
    #[display("announced")]
    Announced,
    /// It loads its first version.
    #[display("loading")]
    Loading,
    /// It serves, and bears little load.
    #[display("cold")]
    Cold,
    /// It bears its full load.
    #[display("warm")]
    Warm,
    /// It finishes what runs and takes nothing new.
    #[display("draining")]
    Draining,
    /// Its session ended or expired.
    #[display("gone")]
    Gone,
}

impl Lifecycle {
    /// Whether new work may be sent to an upstream in this state.
    pub fn is_serving(self) -> bool {
        matches!(self, Self::Cold | Self::Warm)
    }
}

/// How far an agent has come with one version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Holding {
    /// Some chunks are verified.
    Fetching {
        /// How many chunks are verified.
        chunks: u32,
    },
    /// Every chunk is verified.
    Held,
    /// The engine was asked to load it.
    Loading,
    /// The engine confirmed that it serves exactly this version.
    Serving,
    /// The engine failed to load it.
    Failed {
        /// What was seen.
        reason: String,
    },
}

/// What an agent reports with its heartbeats.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// How the upstream stands towards new work.
    pub lifecycle: Lifecycle,
    /// Each version that the agent wants or holds.
    #[serde(with = "holdings")]
    pub holdings: BTreeMap<artifact::Id, Holding>,
    /// The highest fencing number that the agent has seen.
    pub fence: Fence,
    /// How many calls it bears at once.
    pub limit: u32,
}

impl Status {
    /// Whether the upstream takes new calls for the version.
    pub fn serves(&self, artifact: &artifact::Id) -> bool {
        self.lifecycle.is_serving() && self.holdings.get(artifact) == Some(&Holding::Serving)
    }
}

/// A VM as control knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// Who it is.
    pub announcement: Announcement,
    /// What it last reported.
    pub status: Status,
}

/// Map keys that are structures become a list of pairs, since JSON has only text keys.
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
