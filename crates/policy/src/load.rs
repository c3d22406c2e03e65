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
    time::Duration,
};

use domain::{
    clock::Instant,
    load::{Content, Demand, Engine, Priority, Report},
    name,
    routing::{self, Route},
};

use crate::view::View;

pub mod exchange;

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
    /// The number of other entries in the zone of this one, as the feed lists them.
    others: usize,
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

    /// Sets how many other entries the feed lists in the zone of this one. In a zone with more
    /// entries than each reports to, the sums are scaled up from those that are heard.
    pub fn set_others(&mut self, others: usize) {
        self.others = others;
    }

    /// The number of engines with a recent report.
    pub fn recent_engines(&self, now: Instant) -> usize {
        let states = self.engines.values();
        let is_recent = |state: &&EngineState| now.since(state.received_at) < MAX_AGE;
        states.filter(is_recent).count()
    }

    /// The number of other entries of the zone with a recent report.
    pub fn recent_entries(&self, now: Instant) -> usize {
        let states = self.entries.values();
        let is_recent = |state: &&DemandState| now.since(state.received_at) < MAX_AGE;
        states.filter(is_recent).count()
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
        let zones = self.zones.values();
        let recent = zones.filter(|state| now.since(state.received_at) < MAX_AGE);
        let mut sums = self.demand_in_zone(service, now);
        add(
            &mut sums,
            recent.flat_map(|state| &state.demand).cloned(),
            service,
        );
        sums
    }

    /// The demand for a service at the other entries of this entry's zone, by priority.
    pub fn demand_in_zone(
        &self,
        service: &name::Service,
        now: Instant,
    ) -> BTreeMap<Priority, Demand> {
        let entries = self.entries.values();
        let recent = entries.filter(|state| now.since(state.received_at) < MAX_AGE);
        let mut sums = BTreeMap::new();
        add(
            &mut sums,
            recent.flat_map(|state| &state.demand).cloned(),
            service,
        );
        let heard = self.recent_entries(now);
        if self.others > exchange::ENTRY_FANOUT && heard > 0 && heard < self.others {
            let scale = |value: u32| {
                let scaled = u64::from(value) * self.others as u64 / heard as u64;
                u32::try_from(scaled).unwrap_or(u32::MAX)
            };
            for sum in sums.values_mut() {
                sum.offered_ms = scale(sum.offered_ms);
                sum.admitted_ms = scale(sum.admitted_ms);
                sum.waiting = scale(sum.waiting);
            }
        }
        sums
    }

    /// The demand for a service in another zone, or `None` without a recent report.
    pub fn demand_of_zone(
        &self,
        zone: &name::AvailabilityZone,
        service: &name::Service,
        now: Instant,
    ) -> Option<BTreeMap<Priority, Demand>> {
        let state = self.zones.get(zone)?;
        let is_recent = now.since(state.received_at) < MAX_AGE;
        is_recent.then(|| {
            let mut sums = BTreeMap::new();
            add(&mut sums, state.demand.iter().cloned(), service);
            sums
        })
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

/// Whether the load of a service is reported and shared by priority. Control lists these services
/// in the head of the routing, because agents get no routes and a routing may have thousands.
pub fn is_shared(view: &View, service: &name::Service) -> bool {
    let routing = view.routing.as_ref();
    routing.is_some_and(|routing| routing.shared.contains(service))
}

/// The services of a routing that are shared by priority: they run on engines, and the routes that
/// lead to them differ in priority. The priorities of customers alone don't ask for it.
pub fn shared(table: &routing::Table) -> Vec<name::Service> {
    let services = table.services.iter().filter(|service| {
        service.engine.is_some() && has_several_priorities(table.routes.iter(), &service.name)
    });
    services.map(|service| service.name.clone()).collect()
}

fn has_several_priorities<'a>(
    routes: impl Iterator<Item = &'a Route>,
    service: &name::Service,
) -> bool {
    let leads_here = |route: &&Route| {
        let mut shares = route.shares.iter();
        shares.any(|share| share.weight > 0 && share.service == *service)
    };
    let mut priorities = routes.filter(leads_here).map(|route| route.priority);
    let first = priorities.next();
    priorities.any(|priority| Some(priority) != first)
}

/// Adds demand for one service to its sums by priority.
fn add(
    sums: &mut BTreeMap<Priority, Demand>,
    demand: impl Iterator<Item = Demand>,
    service: &name::Service,
) {
    for part in demand.filter(|part| part.service == *service) {
        sums.entry(part.priority)
            .and_modify(|sum| {
                sum.offered_ms = sum.offered_ms.saturating_add(part.offered_ms);
                sum.admitted_ms = sum.admitted_ms.saturating_add(part.admitted_ms);
                sum.waiting = sum.waiting.saturating_add(part.waiting);
            })
            .or_insert(part);
    }
}
