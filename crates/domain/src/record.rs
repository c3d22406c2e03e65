//! Records of the feed, the part of the state that entries and agents act on.

use std::sync::Arc;

use derive_more::{Display, From};
use serde::{Deserialize, Serialize};

use crate::{
    edit::Revision, instance::Instance, lists, name, quarantine, rollout::Rollout, routing, vm::Vm,
};

/// The current value of a record.
#[derive(Clone, Debug, From, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// A customer and its plan.
    Customer(lists::Customer),
    /// A plan.
    Plan(lists::Plan),
    /// A rollout.
    Rollout(Rollout),
    /// An availability zone that is out of service. A zone without a record is in service.
    ZoneOut(name::AvailabilityZone),
    /// A VM that an operator drains.
    Drain(name::Vm),
    /// A VM whose agent announced itself.
    Vm(Box<Vm>),
    /// The settings of the routing in force; see [`Routing`].
    Routing(Routing),
    /// A route.
    Route(routing::Route),
    /// A service.
    Service(Box<routing::Service>),
    /// A caller that may send requests.
    Caller(routing::Caller),
    /// An upstream instance that registered itself.
    Instance(Box<Instance>),
    /// The version that a model's engines should serve.
    Target(Target),
    /// A part of prompts that may crash instances.
    Suspect(quarantine::Suspect),
}

/// The parts of the routing in force that have no records of their own.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Routing {
    /// The version number that the operator gave the routing.
    pub version: u64,
    /// The limits on callers' connections.
    pub limits: routing::Limits,
    /// Whether requests need the key of a caller on routes that are not public, also if there is no
    /// caller.
    pub has_callers: bool,
    /// The services that share their engines by priority. Agents get no routes, from which this
    /// follows.
    #[serde(default)]
    pub shared: Vec<name::Service>,
}

/// The version that a model's engines should serve.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// The model.
    pub model: name::Artifact,
    /// The newest version that an operator set.
    pub version: u64,
}

/// The key of a record.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Key {
    /// See [`Record::Customer`].
    #[display("customer/{_0}")]
    Customer(name::Customer),
    /// See [`Record::Plan`].
    #[display("plan/{_0}")]
    Plan(name::Plan),
    /// See [`Record::Rollout`]. The key is `name@version`.
    #[display("rollout/{_0}")]
    Rollout(Arc<str>),
    /// See [`Record::ZoneOut`].
    #[display("zone/{_0}")]
    ZoneOut(name::AvailabilityZone),
    /// See [`Record::Drain`].
    #[display("drain/{_0}")]
    Drain(name::Vm),
    /// See [`Record::Vm`].
    #[display("vm/{_0}")]
    Vm(name::Vm),
    /// See [`Record::Routing`].
    #[display("routing")]
    Routing,
    /// See [`Record::Route`]. The key is the host followed by the path prefix.
    #[display("route/{_0}")]
    Route(Arc<str>),
    /// See [`Record::Service`].
    #[display("service/{_0}")]
    Service(name::Service),
    /// See [`Record::Caller`].
    #[display("caller/{_0}")]
    Caller(name::Customer),
    /// See [`Record::Instance`].
    #[display("instance/{_0}")]
    Instance(name::Instance),
    /// See [`Record::Target`].
    #[display("target/{_0}")]
    Target(name::Artifact),
    /// See [`Record::Suspect`].
    #[display("suspect/{_0}")]
    Suspect(quarantine::Key),
}

impl Record {
    /// The key of the record.
    pub fn key(&self) -> Key {
        match self {
            Self::Customer(customer) => Key::Customer(customer.name.clone()),
            Self::Plan(plan) => Key::Plan(plan.name.clone()),
            Self::Rollout(rollout) => Key::Rollout(rollout.artifact.to_string().into()),
            Self::ZoneOut(zone) => Key::ZoneOut(zone.clone()),
            Self::Drain(vm) => Key::Drain(vm.clone()),
            Self::Vm(vm) => Key::Vm(vm.announcement.vm.clone()),
            Self::Routing(_) => Key::Routing,
            Self::Route(route) => Key::Route(route.key()),
            Self::Service(service) => Key::Service(service.name.clone()),
            Self::Caller(caller) => Key::Caller(caller.name.clone()),
            Self::Instance(instance) => Key::Instance(instance.id.clone()),
            Self::Target(target) => Key::Target(target.model.clone()),
            Self::Suspect(suspect) => Key::Suspect(suspect.key.clone()),
        }
    }
}

/// A change of one record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Delta {
    /// The record was added or replaced.
    Set(Record),
    /// The record was removed.
    Remove(Key),
}

/// A subscriber's position in the feed. It is valid only for the replica process that issued it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cursor {
    /// A random number that the replica draws when it starts.
    pub epoch: u64,
    /// The position in the replica's sequence of changes.
    pub sequence: u64,
}

/// A batch of changes, sent in answer to a poll of the feed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// Whether the batch holds all records, so that the subscriber must discard the ones it has.
    pub is_snapshot: bool,
    /// The changes.
    pub deltas: Vec<Delta>,
    /// The revision of the newest accepted edit that the batch includes.
    pub revision: Revision,
    /// The index of the last log entry that the batch includes.
    pub commit: u64,
    /// The position of the subscriber after this batch.
    pub cursor: Cursor,
    /// The age of the batch when it was sent: an upper bound on the time since a quorum confirmed
    /// that `revision` was the newest accepted one, in milliseconds.
    pub age_ms: u64,
    /// How long the poll was held before the batch was sent, in milliseconds. The batch was sent at
    /// least so long after the subscriber's request.
    pub held_ms: u64,
}
