//! What is known of the requests for one service.

use std::{
    cell::RefCell,
    collections::{BTreeMap, BTreeSet, HashMap},
    rc::Rc,
};

use domain::{
    clock::Instant,
    load::{Demand, Priority},
    name,
};
use policy::{
    level::{Admitter, Correction, Rates},
    queue::{Bounds, Place, Queue},
};
use rand::{SeedableRng, rngs::StdRng};
use telemetry::budget::{Budget, Rate};
use tokio::sync::oneshot;

use super::{Reason, Request, Start};

/// The waiting requests of one priority, as a percentage of the running ones: about the part of
/// them that ends while a request may wait.
const QUEUE_PERCENT: usize = 20;
/// The waiting requests of one priority, if few requests run.
const MIN_QUEUE: usize = 2;
/// The waiting requests of all priorities, as a multiple of those of one.
const QUEUE_FACTOR: usize = 2;
/// The work at which a priority is in use, in engine milliseconds per second. Averages of a
/// priority that is no longer used decay below it within ten seconds.
const MIN_RATE: f64 = 1.0;
/// Log lines about priorities that begin or end to be shed.
const SHED_LINES: Rate = Rate {
    per_s: 1,
    burst: 12,
};

/// A request in the queue.
pub(super) struct Waiter {
    pub(super) request: Rc<Request>,
    pub(super) rank: u32,
    /// The zone to which the request leaves its own one.
    pub(super) zone: Option<name::AvailabilityZone>,
    pub(super) reply: oneshot::Sender<Result<Start, Reason>>,
}

/// The requests for one service.
pub(super) struct Lane {
    pub(super) admitter: Admitter,
    pub(super) correction: Correction,
    /// The work that the callers of all entries ask for.
    pub(super) demand: Rates,
    pub(super) computed_at: Option<Instant>,
    pub(super) queue: Queue,
    pub(super) waiters: BTreeMap<Place, Waiter>,
    /// When engines were last looked for.
    pub(super) polled_at: Instant,
    pub(super) running: usize,
    /// The priorities that are admitted only in part.
    pub(super) shed: BTreeSet<Priority>,
}

impl Lane {
    fn new(now: Instant) -> Self {
        Self {
            // Entries draw their first decisions independently of each other.
            admitter: Admitter::new(StdRng::seed_from_u64(rand::random())),
            correction: Correction::new(now),
            demand: Rates::new(),
            computed_at: None,
            queue: Queue::new(),
            waiters: BTreeMap::new(),
            polled_at: now,
            running: 0,
            shed: BTreeSet::new(),
        }
    }

    /// The number of more urgent priorities in use.
    pub(super) fn rank(&self, request: &Request) -> u32 {
        if request.is_resumed() {
            return 0;
        }
        let more_urgent = self.demand.range(..request.priority);
        let in_use = more_urgent.filter(|(_, work)| **work >= MIN_RATE);
        u32::try_from(in_use.count()).unwrap_or(u32::MAX)
    }

    pub(super) fn bounds(&self) -> Bounds {
        let each = (self.running * QUEUE_PERCENT / 100).max(MIN_QUEUE);
        Bounds {
            each,
            total: each * QUEUE_FACTOR,
        }
    }

    pub(super) fn take(&mut self, place: Place) -> Option<Waiter> {
        self.queue.remove(place);
        self.waiters.remove(&place)
    }

    /// The waiting requests of a priority that can be answered in time. See
    /// `policy::level::Load`.
    fn waiting(&self, priority: Priority) -> usize {
        let places = self.queue.places();
        places
            .filter(|place| place.priority() == priority && !place.is_late())
            .count()
    }

    /// The waiting requests that can be answered in time.
    pub(super) fn all_waiting(&self) -> usize {
        self.queue.places().filter(|place| !place.is_late()).count()
    }

    /// What this entry's callers ask for.
    fn own_demand(&self, service: &name::Service, now: Instant) -> Vec<Demand> {
        let admitted = self.admitter.admitted(now);
        let offered = self.admitter.offered(now).into_iter();
        let demand = offered.map(|(priority, work)| Demand {
            service: service.clone(),
            priority,
            offered_ms: work.round() as u32,
            admitted_ms: admitted
                .get(&priority)
                .map_or(0, |work| work.round() as u32),
            waiting: u32::try_from(self.waiting(priority)).unwrap_or(u32::MAX),
        });
        let is_in_use = |demand: &Demand| demand.offered_ms > 0 || demand.waiting > 0;
        demand.filter(is_in_use).collect()
    }
}

/// The requests for all services that share by priority.
pub struct Lanes {
    pub(super) lanes: RefCell<HashMap<name::Service, Lane>>,
    pub(super) lines: RefCell<Budget>,
}

impl Default for Lanes {
    fn default() -> Self {
        Self {
            lanes: RefCell::default(),
            lines: RefCell::new(Budget::new(SHED_LINES, SHED_LINES)),
        }
    }
}

impl Lanes {
    pub(in crate::gate) fn demand(&self, now: Instant) -> Vec<Demand> {
        let lanes = self.lanes.borrow();
        let demand = lanes.iter();
        demand
            .flat_map(|(service, lane)| lane.own_demand(service, now))
            .collect()
    }

    pub(in crate::gate) fn release(&self, service: &name::Service) {
        self.with(service, |lane| {
            lane.running = lane.running.saturating_sub(1)
        });
    }

    pub(super) fn with<T>(
        &self,
        service: &name::Service,
        work: impl FnOnce(&mut Lane) -> T,
    ) -> Option<T> {
        self.lanes.borrow_mut().get_mut(service).map(work)
    }

    pub(super) fn with_new<T>(
        &self,
        service: &name::Service,
        now: Instant,
        work: impl FnOnce(&mut Lane) -> T,
    ) -> T {
        let mut lanes = self.lanes.borrow_mut();
        let lane = lanes.entry(service.clone());
        work(lane.or_insert_with(|| Lane::new(now)))
    }
}
