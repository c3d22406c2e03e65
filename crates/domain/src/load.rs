//! Load reports, which agents and entries send each other directly.
//!
//! They describe the last second only, so they are neither replicated nor stored. See
//! `docs/LOAD.md`, "Load reports".

use std::net::SocketAddr;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::{
    name,
    routing::{Caller, Route},
};

/// The priority of a request. Lower values are more urgent. The customer's priority takes
/// precedence over that of the route, which orders the requests of customers of equal priority.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
#[display("{customer}.{route}")]
pub struct Priority {
    /// The priority of the customer, or that of the route if the customer has none.
    pub customer: u8,
    /// The priority of the route.
    pub route: u8,
}

impl Priority {
    /// The priority of a caller's request on a route.
    pub fn new(route: &Route, caller: Option<&Caller>) -> Self {
        let customer = caller.and_then(|caller| caller.priority);
        Self {
            customer: customer.unwrap_or(route.priority),
            route: route.priority,
        }
    }
}

/// A load report with the state of its sender.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The VM that sent it.
    pub sender: name::Vm,
    /// The zone of the sender.
    pub zone: name::AvailabilityZone,
    /// When the sender started, in milliseconds since the Unix epoch. A later start replaces an
    /// earlier one.
    pub incarnation: u64,
    /// The number of the report. It increases with each report of one start.
    pub sequence: u64,
    /// What is reported.
    pub content: Content,
}

/// What a report is about.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Content {
    /// The engine beside an agent.
    Engine(Engine),
    /// The demand that one entry sees.
    Entry(Vec<Demand>),
    /// The sum of the demand that the entries of the sender's zone see, for other zones.
    Zone(Vec<Demand>),
}

/// The load of one engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Engine {
    /// Where the engine accepts requests.
    pub address: SocketAddr,
    /// Requests in the running batch.
    pub active: u32,
    /// Requests that wait for a place in the batch.
    pub queued: u32,
    /// Duration of a step relative to that of a healthy engine, in percent.
    pub pace_percent: u32,
    /// The part of the context memory that running requests occupy, in percent.
    pub memory_percent: u32,
    /// The time until the engine stops accepting requests in order to load another version, if
    /// that is scheduled, in milliseconds.
    pub moves_in_ms: Option<u32>,
}

/// The demand for one service at one priority.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Demand {
    /// The service.
    pub service: name::Service,
    /// The priority.
    pub priority: Priority,
    /// The work that callers asked for, in engine milliseconds per second.
    pub offered_ms: u32,
    /// The part of it that was admitted, in engine milliseconds per second.
    pub admitted_ms: u32,
    /// Requests that wait at the entries.
    pub waiting: u32,
}
