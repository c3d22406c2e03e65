//! The load of the fleet as one entry knows it from the reports of agents and other entries.
//!
//! It handles demand that entries see unevenly: an entry knows what its own callers ask for, and
//! the reports add the occupancy of each engine in its zone and the demand at all other entries.
//! Reports may be lost, repeated or reordered, and their senders may stop or restart. Each report
//! replaces the earlier one of its sender, and an outdated one no longer counts, so that nothing is
//! counted twice and nothing stays. See `docs/LOAD.md`, "Load reports".

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use domain::{
    clock::Instant,
    load::{Content, Demand, Engine, Priority, Report},
    name,
    routing::Route,
};

use crate::view::View;

/// Age at which a report no longer counts. Several reports may be lost before that.
pub const MAX_AGE: Duration = Duration::from_millis(1_000);

/// The load of an engine, corrected by what this entry did since the report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Occupancy {
    /// Requests that run or wait at the engine.
    pub requests: u32,
    /// Duration of a step relative to that of a healthy engine, in percent.
    pub pace_percent: u32,
    /// The part of the context memory that running requests occupy, in percent.
    pub memory_percent: u32,
    /// The time until the engine stops accepting requests, if that is scheduled.
    pub moves_in: Option<Duration>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Number {
    incarnation: u64,
    sequence: u64,
}

#[derive(Clone, Debug)]
struct EngineState {
    engine: Engine,
    received_at: Instant,
    /// Requests that this entry sent since the report.
    begun: u32,
    /// Requests of this entry that ended since the report.
    ended: u32,
}

#[derive(Clone, Debug)]
struct DemandState {
    demand: Vec<Demand>,
    received_at: Instant,
}

/// The newest reports of all senders.
#[derive(Debug, Default)]
pub struct Table {
    /// The newest report of each sender, including those that are outdated.
    numbers: HashMap<name::Vm, (Number, Instant)>,
    engines: HashMap<SocketAddr, EngineState>,
    entries: HashMap<name::Vm, DemandState>,
    zones: HashMap<name::AvailabilityZone, DemandState>,
}

impl Table {
    /// Creates a table without reports.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a report. Returns `false` if a newer one of its sender is known.
    pub fn observe(&mut self, report: Report, now: Instant) -> bool {
        let number = Number {
            incarnation: report.incarnation,
            sequence: report.sequence,
        };
        let known = self.numbers.get(&report.sender);
        if known.is_some_and(|(known, _)| *known >= number) {
            return false;
        }
        self.numbers.insert(report.sender.clone(), (number, now));
        match report.content {
            Content::Engine(engine) => {
                let state = EngineState {
                    received_at: now,
                    begun: 0,
                    ended: 0,
                    engine,
                };
                self.engines.insert(state.engine.address, state);
            }
            Content::Entry(demand) => {
                let received_at = now;
                let state = DemandState {
                    demand,
                    received_at,
                };
                self.entries.insert(report.sender, state);
            }
            Content::Zone(demand) => {
                let received_at = now;
                let state = DemandState {
                    demand,
                    received_at,
                };
                self.zones.insert(report.zone, state);
            }
        }
        true
    }

    /// Records that this entry sends a request to an engine.
    pub fn begin(&mut self, engine: SocketAddr) {
        if let Some(state) = self.engines.get_mut(&engine) {
            state.begun += 1;
        }
    }

    /// Records that a request of this entry at an engine has ended.
    pub fn end(&mut self, engine: SocketAddr) {
        if let Some(state) = self.engines.get_mut(&engine) {
            state.ended += 1;
        }
    }

    /// The load of an engine, or `None` without a recent report.
    pub fn occupancy(&self, engine: SocketAddr, now: Instant) -> Option<Occupancy> {
        let state = self.engines.get(&engine)?;
        let age = now.since(state.received_at);
        let reported = state.engine.active.saturating_add(state.engine.queued);
        (age < MAX_AGE).then(|| Occupancy {
            requests: reported
                .saturating_add(state.begun)
                .saturating_sub(state.ended),
            pace_percent: state.engine.pace_percent,
            memory_percent: state.engine.memory_percent,
            moves_in: state.engine.moves_in_ms.map(|millis| {
                let span = Duration::from_millis(millis.into());
                span.saturating_sub(age)
            }),
        })
    }

    /// The demand for a service at the other entries of all zones, by priority.
    pub fn demand(&self, service: &name::Service, now: Instant) -> BTreeMap<Priority, Demand> {
        let states = self.entries.values().chain(self.zones.values());
        let recent = states.filter(|state| now.since(state.received_at) < MAX_AGE);
        sum(recent.flat_map(|state| &state.demand), service)
    }

    /// The demand for a service at the other entries of this entry's zone, by priority.
    pub fn demand_in_zone(
        &self,
        service: &name::Service,
        now: Instant,
    ) -> BTreeMap<Priority, Demand> {
        let recent = self
            .entries
            .values()
            .filter(|state| now.since(state.received_at) < MAX_AGE);
        sum(recent.flat_map(|state| &state.demand), service)
    }

    /// Whether the demand at any other entry is known.
    pub fn knows_demand(&self, now: Instant) -> bool {
        let mut states = self.entries.values().chain(self.zones.values());
        states.any(|state| now.since(state.received_at) < MAX_AGE)
    }

    /// Removes outdated reports. The numbers of their senders are kept for a while, so that a
    /// delayed report of one that has restarted is recognised.
    pub fn sweep(&mut self, now: Instant) {
        let is_recent = |at: &Instant| now.since(*at) < MAX_AGE;
        self.engines
            .retain(|_, state| is_recent(&state.received_at));
        self.entries
            .retain(|_, state| is_recent(&state.received_at));
        self.zones.retain(|_, state| is_recent(&state.received_at));
        self.numbers
            .retain(|_, (_, at)| now.since(*at) < MAX_AGE * 60);
    }
}

/// Whether the load of a service is reported and shared by priority: it runs on engines, and the
/// routes that lead to it differ in priority. The priorities of customers alone don't ask for it.
pub fn is_shared(view: &View, service: &name::Service) -> bool {
    let has_engines = view
        .services
        .get(service)
        .is_some_and(|service| service.engine.is_some());
    let leads_here = |route: &&Arc<Route>| {
        let mut shares = route.shares.iter();
        shares.any(|share| share.weight > 0 && share.service == *service)
    };
    let routes = view.routes.iter().filter(leads_here);
    let mut priorities = routes.map(|route| route.priority);
    let first = priorities.next();
    has_engines && priorities.any(|priority| Some(priority) != first)
}

/// Adds up the demand for one service by priority.
fn sum<'a>(
    demand: impl Iterator<Item = &'a Demand>,
    service: &name::Service,
) -> BTreeMap<Priority, Demand> {
    let mut sums = BTreeMap::<Priority, Demand>::new();
    for part in demand.filter(|part| part.service == *service) {
        sums.entry(part.priority)
            .and_modify(|sum| {
                sum.offered_ms = sum.offered_ms.saturating_add(part.offered_ms);
                sum.admitted_ms = sum.admitted_ms.saturating_add(part.admitted_ms);
                sum.waiting = sum.waiting.saturating_add(part.waiting);
            })
            .or_insert_with(|| part.clone());
    }
    sums
}
