//! The documents that control and operators exchange.

use std::{net::SocketAddr, sync::Arc};

use domain::{
    artifact,
    edit::Revision,
    lists,
    manifest::Pin,
    name,
    order::Fence,
    rollout::Stage,
    vm::{Announcement, Status as VmStatus},
};
use serde::{Deserialize, Serialize};

/// The lists and the revision to which they belong.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lists {
    /// The revision in force.
    pub revision: Revision,
    /// The lists in force.
    pub lists: lists::Lists,
}

/// An availability zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Zone {
    /// Its name.
    pub zone: name::AvailabilityZone,
    /// Whether it takes new work.
    pub in_service: bool,
    /// How many VMs announced themselves in it.
    pub vms: usize,
    /// How many of those serve.
    pub serving: usize,
}

/// An upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Upstream {
    /// Who it is.
    pub announcement: Announcement,
    /// What its agent reported last.
    pub status: VmStatus,
    /// Whether an operator drains it.
    pub is_draining: bool,
    /// Whether it takes new work: neither it nor its zone was taken out, and it serves.
    pub in_service: bool,
}

/// How far a rollout has come over the VMs that are there.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rollout {
    /// The version.
    pub artifact: artifact::Id,
    /// Its manifest.
    pub pin: Pin,
    /// How far it has come.
    pub stage: Stage,
    /// The fencing number of its orders.
    pub fence: Fence,
    /// How many engines are there.
    pub engines: usize,
    /// How many of them hold every chunk.
    pub held: usize,
    /// How many of them serve the version.
    pub serving: usize,
    /// How many of them failed to load it.
    pub failed: usize,
    /// Verified chunks over all engines.
    pub chunks: u64,
    /// Chunks over all engines once all hold the version.
    pub chunks_total: u64,
}

/// How a replica of control stands.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The replica that answered.
    pub vm: name::Vm,
    /// Its identity, bound to its disk.
    pub identity: String,
    /// Whether it is forming a group, learning, following or leading.
    pub role: String,
    /// The leader that it knows of.
    pub leader: Option<String>,
    /// Its term.
    pub term: u64,
    /// The last committed entry of its log.
    pub commit: u64,
    /// The last applied entry.
    pub applied: u64,
    /// The revision in force.
    pub revision: Revision,
    /// An upper bound on how long ago a quorum confirmed its state, in milliseconds.
    pub age_ms: Option<u64>,
    /// How many VMs it knows of.
    pub vms: usize,
    /// How many calls its ledger holds.
    pub ledger_entries: usize,
    /// How many of those have started and not ended.
    pub ledger_started: usize,
    /// Everything that keeps it from serving its feed.
    pub obstacles: Vec<String>,
}

/// A member of the group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Its identity.
    pub identity: String,
    /// Its address.
    pub address: SocketAddr,
    /// Whether it votes; otherwise it still catches up.
    pub is_voter: bool,
    /// Whether it leads.
    pub is_leader: bool,
}

/// A wish to swap a member for the replica with a new identity at an address.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Replace {
    /// The identity to remove.
    pub identity: String,
    /// Where the new replica is.
    pub address: SocketAddr,
}

/// The body of a failed request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// What was seen.
    pub detail: Arc<str>,
}
