//! Records of the feed: the part of the state that entries and agents act on.

use std::sync::Arc;

use derive_more::{Display, From};
use serde::{Deserialize, Serialize};

use crate::{edit::Revision, lists, name, rollout::Rollout, vm::Vm};

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
