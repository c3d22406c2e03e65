//! Records of the feed: the part of the state that entries and agents act on.

use std::sync::Arc;

use derive_more::{Display, From};
use serde::{Deserialize, Serialize};

use crate::{edit::Revision, instance::Instance, lists, name, rollout::Rollout, routing, vm::Vm};

/// One record as it is now.
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
    /// A VM that announced itself.
    Vm(Box<Vm>),
    /// The routing in force.
    Routing(Routing),
    /// A route.
    Route(routing::Route),
    /// A service.
    Service(Box<routing::Service>),
    /// Somebody who may ask.
    Caller(routing::Caller),
    /// An upstream instance that registered itself.
    Instance(Box<Instance>),
    /// The version that a model's engines should serve.
    Target(Target),
}

/// What of the routing is no record of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Routing {
    /// The operator's number.
    pub version: u64,
    /// What callers' connections may do.
    pub limits: routing::Limits,
    /// Whether callers need a key where a route is not public.
    pub has_callers: bool,
}

/// The version that a model's engines should serve.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// The model.
    pub model: name::Artifact,
    /// The newest version that an operator named.
    pub version: u64,
}

/// What tells records apart.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Key {
    /// See [`Record::Customer`].
    #[display("customer/{_0}")]
    Customer(name::Customer),
    /// See [`Record::Plan`].
    #[display("plan/{_0}")]
    Plan(name::Plan),
    /// See [`Record::Rollout`]; the key is `name@version`.
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
    /// See [`Record::Route`]; the key is the host with the path prefix.
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
}

impl Record {
    /// The record's key.
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
        }
    }
}

/// A record that was set or removed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Delta {
    /// The record is now this.
    Set(Record),
    /// The record is gone.
    Remove(Key),
}

/// How far a subscriber has come. It means something only to the replica that gave it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cursor {
    /// A random number that the replica drew at its start.
    pub epoch: u64,
    /// The place in that replica's sequence of changes.
    pub sequence: u64,
}

/// One answer of the feed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// Whether the subscriber must forget all that it had.
    pub is_snapshot: bool,
    /// What changed.
    pub deltas: Vec<Delta>,
    /// The newest accepted edit contained.
    pub revision: Revision,
    /// The index of the last command of the replicated log contained.
    pub commit: u64,
    /// How far the subscriber has come with this.
    pub cursor: Cursor,
    /// An upper bound, at the moment of answering, on how long ago a quorum confirmed that
    /// `revision` was the newest accepted one; in milliseconds.
    pub age_ms: u64,
}
