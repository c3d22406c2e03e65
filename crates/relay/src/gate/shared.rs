//! Admission of requests for services that share by priority.
//!
//! It handles demand above the capacity of the engines. [`Admitter`] refuses the part of each
//! priority's work for which the fleet has no capacity, and the admitted requests wait in a
//! [`Queue`] until an engine accepts one of their rank. See `docs/LOAD.md`, "Admission by priority",
//! and `docs/design/admission.md`.

use std::{
    cell::RefCell,
    collections::{BTreeMap, BTreeSet, HashMap},
    ops::Range,
    rc::Rc,
    time::Duration,
};

use derive_more::Display;
use domain::{
    clock::Instant,
    load::{Demand, Priority},
    name,
    routing::Engine,
};
use policy::{
    admission::Timeliness,
    level::{self, Admitter, Correction, Load, Rates},
    load,
    placement::{self, Choice, Requirements},
    queue::{Bounds, Place, Queue},
    view::View,
    work::{self, Size},
};
use rand::{SeedableRng, rngs::StdRng};
use slog::info;
use telemetry::budget::{Budget, Class, Rate};
use tokio::{sync::oneshot, time};

use super::{Permit, WAIT_PERCENT};
use crate::{
    dialect::Ask,
    site::{Site, Turn},
};

/// How often the fractions are computed at most. Reports of other entries come less often.
const COMPUTE_PERIOD: Duration = Duration::from_millis(100);
/// How often engines are looked for. Other entries' requests end without an event here. It is a
/// tenth of the time that a request may wait at a usual latency target.
const POLL_PERIOD: Duration = Duration::from_millis(20);
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
/// The longest delay after which a caller comes back: a third of the six seconds that callers wait.
const MAX_RETRY: Duration = Duration::from_secs(2);
/// The part of the time left that a caller waits at most before it comes back.
const RETRY_PART: u32 = 3;
/// The part of the delay by which callers are spread.
const RETRY_SPREAD: f64 = 0.5;
/// The largest urgency value that engines know.
const MAX_URGENCY: u8 = 9;
/// Log lines about priorities that begin or end to be shed.
const SHED_LINES: Rate = Rate {
    per_s: 1,
    burst: 12,
};

/// The urgency that is sent to engines for a rank.
pub fn urgency(rank: u32) -> u8 {
    u8::try_from(rank).unwrap_or(MAX_URGENCY).min(MAX_URGENCY)
}

/// A request that needs admission.
#[derive(Clone, Debug)]
pub struct Request {
    /// The service.
    pub service: name::Service,
    /// The allowed regions, as in [`Requirements::regions`].
    pub regions: [Vec<name::Region>; 2],
    /// Its priority.
    pub priority: Priority,
    /// Whose request it is.
    pub customer: Option<name::Customer>,
    /// Whether it can still be answered in time.
    pub timeliness: Timeliness,
    /// The latency target.
    pub target: Duration,
    /// How long the caller still waits.
    pub left: Duration,
    /// What its head says.
    pub ask: Ask,
}

impl Request {
    fn size(&self) -> Size {
        Size {
            prompt: self.ask.prompt_tokens,
            answer_hint: self.ask.answer_hint,
            answer_limit: self.ask.answer_limit,
        }
    }

    /// Whether its answer began in an earlier request, so that a refusal would cut it off.
    fn is_resumed(&self) -> bool {
        self.ask.last_event.is_some()
    }

    /// Whether the fraction of its priority applies to it. A caller that comes back was refused by
    /// the fraction before.
    fn is_subject_to_fraction(&self) -> bool {
        self.timeliness == Timeliness::OnTime && !self.is_resumed()
    }

    fn has_needs_of(&self, other: &Self) -> bool {
        self.ask.model == other.ask.model && self.regions == other.regions
    }

    fn requirements(&self, rank: u32) -> Requirements<'_> {
        Requirements {
            service: &self.service,
            model: self.ask.model.as_ref(),
            pinned: None,
            regions: [&self.regions[0], &self.regions[1]],
            tried: &[],
            rank: Some(rank),
        }
    }
}

/// A request that runs.
pub struct Start {
    /// The engine that accepts it.
    pub choice: Choice,
    /// Its place at the engine.
    pub turn: Turn,
    /// The permit to run.
    pub permit: Permit,
    /// The number of more urgent priorities in use.
    pub rank: u32,
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum Reason {
    /// The capacity goes to other requests.
    #[display("the capacity is used up by requests that are as urgent or more urgent")]
    Shed,
    /// Too many requests wait.
    #[display("too many requests wait for an engine")]
    Full,
    /// A more urgent request took its place in the queue.
    #[display("a more urgent request waits in its place")]
    Displaced,
    /// No engine accepted it in time.
    #[display("no engine accepted it in time")]
    Expired,
    /// No engine may serve it.
    #[display("{_0}")]
    Unserved(placement::Error),
}

impl Reason {
    /// The name of the reason in metrics.
    fn label(self) -> &'static str {
        match self {
            Self::Shed => "shed",
            Self::Full => "full",
            Self::Displaced => "displaced",
            Self::Expired => "expired",
            Self::Unserved(_) => "unserved",
        }
    }
}

/// A refusal. The request did not run and never will.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[display("{reason}")]
pub struct Refusal {
    /// Why.
    pub reason: Reason,
    /// When the caller should come back.
    pub retry: Duration,
}

/// A request in the queue.
struct Waiter {
    request: Rc<Request>,
    rank: u32,
    reply: oneshot::Sender<Result<Start, Reason>>,
}

/// The requests for one service.
struct Lane {
    admitter: Admitter,
    correction: Correction,
    /// The work that the callers of all entries ask for.
    demand: Rates,
    computed_at: Option<Instant>,
    queue: Queue,
    waiters: BTreeMap<Place, Waiter>,
    /// When engines were last looked for.
    polled_at: Instant,
    running: usize,
    /// The priorities that are admitted only in part.
    shed: BTreeSet<Priority>,
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
    fn rank(&self, request: &Request) -> u32 {
        if request.is_resumed() {
            return 0;
        }
        let more_urgent = self.demand.range(..request.priority);
        let in_use = more_urgent.filter(|(_, work)| **work >= MIN_RATE);
        u32::try_from(in_use.count()).unwrap_or(u32::MAX)
    }

    fn bounds(&self) -> Bounds {
        let each = (self.running * QUEUE_PERCENT / 100).max(MIN_QUEUE);
        Bounds {
            each,
            total: each * QUEUE_FACTOR,
        }
    }

    fn take(&mut self, place: Place) -> Option<Waiter> {
        self.queue.remove(place);
        self.waiters.remove(&place)
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
            waiting: u32::try_from(self.queue.waiting(priority)).unwrap_or(u32::MAX),
        });
        let is_in_use = |demand: &Demand| demand.offered_ms > 0 || demand.waiting > 0;
        demand.filter(is_in_use).collect()
    }
}

/// The requests for all services that share by priority.
pub struct Lanes {
    lanes: RefCell<HashMap<name::Service, Lane>>,
    /// Whether a service shares by priority, with the state by which that was decided.
    shared: RefCell<HashMap<name::Service, (u64, bool)>>,
    lines: RefCell<Budget>,
}

impl Default for Lanes {
    fn default() -> Self {
        Self {
            lanes: RefCell::default(),
            shared: RefCell::default(),
            lines: RefCell::new(Budget::new(SHED_LINES, SHED_LINES)),
        }
    }
}

impl Lanes {
    /// Whether a service shares by priority. The answer is kept while the state stays the same,
    /// because it takes a look at all routes.
    pub(super) fn is_shared(&self, view: &View, service: &name::Service) -> bool {
        let mut shared = self.shared.borrow_mut();
        match shared.get(service) {
            Some((commit, is_shared)) if *commit == view.commit => *is_shared,
            _ => {
                let is_shared = load::is_shared(view, service);
                shared.insert(service.clone(), (view.commit, is_shared));
                is_shared
            }
        }
    }

    pub(super) fn demand(&self, now: Instant) -> Vec<Demand> {
        let lanes = self.lanes.borrow();
        let demand = lanes.iter();
        demand
            .flat_map(|(service, lane)| lane.own_demand(service, now))
            .collect()
    }

    pub(super) fn release(&self, service: &name::Service) {
        self.with(service, |lane| {
            lane.running = lane.running.saturating_sub(1)
        });
    }

    fn with<T>(&self, service: &name::Service, work: impl FnOnce(&mut Lane) -> T) -> Option<T> {
        self.lanes.borrow_mut().get_mut(service).map(work)
    }

    fn with_new<T>(
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

/// Waits until an engine accepts the request, at most a part of the latency target.
///
/// # Errors
///
/// [`Refusal`] if the request is not admitted, or no engine accepted it in time.
pub async fn enter(site: &Rc<Site>, request: Request) -> Result<Start, Refusal> {
    let request = Rc::new(request);
    let entered = wait(site, &request).await;
    let (service, priority) = (&request.service, request.priority);
    match &entered {
        Ok(_) => site.meters.admitted(service, priority),
        Err(reason) => site.meters.refused(service, priority, reason.label()),
    }
    entered.map_err(|reason| Refusal {
        reason,
        retry: retry_after(site, &request, reason),
    })
}

async fn wait(site: &Rc<Site>, request: &Rc<Request>) -> Result<Start, Reason> {
    let mut ticket = join(site, request)?;
    loop {
        let now = site.now();
        let polled_at = site
            .gate
            .shared
            .with(&request.service, |lane| lane.polled_at)
            .unwrap_or(now);
        let next = (polled_at + POLL_PERIOD).since(now);
        tokio::select! {
            biased;
            reply = &mut ticket.reply => return reply.unwrap_or(Err(Reason::Displaced)),
            () = time::sleep(next) => poll_if_due(site, &request.service),
        }
    }
}

/// A place in the queue. Dropping it leaves the queue.
struct Ticket {
    site: Rc<Site>,
    service: name::Service,
    place: Place,
    reply: oneshot::Receiver<Result<Start, Reason>>,
}

impl Drop for Ticket {
    fn drop(&mut self) {
        let place = self.place;
        let shared = &self.site.gate.shared;
        // Nothing is taken out if the request was served or refused.
        drop(shared.with(&self.service, |lane| lane.take(place)));
    }
}

/// Decides whether the request is admitted, and takes it into the queue.
fn join(site: &Rc<Site>, request: &Rc<Request>) -> Result<Ticket, Reason> {
    let now = site.now();
    compute(site, &request.service);
    let shared = &site.gate.shared;
    let work_ms = work_ms(site, request);
    let is_admitted = shared.with_new(&request.service, now, |lane| {
        let (priority, customer) = (request.priority, request.customer.as_ref());
        !request.is_subject_to_fraction() || lane.admitter.admit(priority, customer, work_ms, now)
    });
    if !is_admitted {
        return Err(Reason::Shed);
    }
    // The bounds don't apply to a request that an engine accepts at once.
    let unbounded = Bounds {
        each: usize::MAX,
        total: usize::MAX,
    };
    let ticket = queue(site, request, unbounded)?;
    poll(site, &request.service);
    let is_waiting = shared.with(&request.service, |lane| {
        lane.waiters.contains_key(&ticket.place)
    });
    match is_waiting {
        Some(true) => {
            drop(ticket);
            let bounds = shared.with_new(&request.service, now, |lane| lane.bounds());
            queue(site, request, bounds)
        }
        _ => Ok(ticket),
    }
}

/// Takes the request into the queue, and refuses the one that it displaces.
fn queue(site: &Rc<Site>, request: &Rc<Request>, bounds: Bounds) -> Result<Ticket, Reason> {
    let now = site.now();
    let limit = (request.target * WAIT_PERCENT / 100).min(request.left);
    let (sender, receiver) = oneshot::channel();
    let joined = site.gate.shared.with_new(&request.service, now, |lane| {
        let (priority, timeliness) = (request.priority, request.timeliness);
        let joined = lane.queue.join(priority, timeliness, now + limit, bounds)?;
        let displaced = joined
            .displaced
            .and_then(|place| lane.waiters.remove(&place));
        let waiter = Waiter {
            request: request.clone(),
            rank: lane.rank(request),
            reply: sender,
        };
        lane.waiters.insert(joined.place, waiter);
        Ok((joined.place, displaced))
    });
    let (place, displaced) = joined.map_err(|policy::queue::Full| Reason::Full)?;
    if let Some(displaced) = displaced {
        answer(displaced, Err(Reason::Displaced));
    }
    Ok(Ticket {
        site: site.clone(),
        service: request.service.clone(),
        place,
        reply: receiver,
    })
}

/// Answers a request that waits. If its caller has just left, a start ends here again.
fn answer(waiter: Waiter, reply: Result<Start, Reason>) {
    drop(waiter.reply.send(reply));
}

/// Looks for engines after a request of this entry has ended.
pub(crate) fn advance(site: &Rc<Site>, service: &name::Service) {
    let is_waiting = |lane: &mut Lane| !lane.queue.is_empty();
    if site.gate.shared.with(service, is_waiting) == Some(true) {
        poll(site, service);
    }
}

/// Looks for engines unless another request has just done so.
fn poll_if_due(site: &Rc<Site>, service: &name::Service) {
    let now = site.now();
    let is_due = |lane: &mut Lane| now.since(lane.polled_at) >= POLL_PERIOD;
    if site.gate.shared.with(service, is_due) == Some(true) {
        poll(site, service);
    }
}

/// Sends the waiting requests for which there is an engine, in their order. One that no engine
/// accepts doesn't keep others from being sent, because they may use other engines.
fn poll(site: &Rc<Site>, service: &name::Service) {
    let now = site.now();
    let shared = &site.gate.shared;
    let expired = shared.with(service, |lane| {
        lane.polled_at = now;
        let expired = lane.queue.expire(now).into_iter();
        let waiters = expired.filter_map(|place| lane.waiters.remove(&place));
        waiters.collect::<Vec<_>>()
    });
    for waiter in expired.into_iter().flatten() {
        answer(waiter, Err(Reason::Expired));
    }
    let waiting = shared.with(service, |lane| {
        let waiters = lane.waiters.iter();
        waiters
            .map(|(place, waiter)| (*place, waiter.request.clone(), waiter.rank))
            .collect::<Vec<_>>()
    });
    let feed = site.feed();
    let mut busy: Vec<(Rc<Request>, u32)> = Vec::new();
    for (place, request, rank) in waiting.into_iter().flatten() {
        let is_busy =
            |(other, busy): &(Rc<Request>, u32)| *busy == rank && request.has_needs_of(other);
        if busy.iter().any(is_busy) {
            continue;
        }
        let requirements = request.requirements(rank);
        match site.place(|placer| placer.choose(&feed.view, &requirements, now)) {
            Ok(choice) => start(site, place, choice, &feed.view),
            Err(placement::Error::Busy) => busy.push((request, rank)),
            Err(error) => {
                if let Some(Some(waiter)) = shared.with(service, |lane| lane.take(place)) {
                    answer(waiter, Err(Reason::Unserved(error)));
                }
            }
        }
    }
}

/// Hands a request to the engine that accepts it. It is counted at the engine from now on, before
/// the next request looks for one.
fn start(site: &Rc<Site>, place: Place, choice: Choice, view: &View) {
    let (now, service) = (site.now(), choice.instance.service.clone());
    let taken = site.gate.shared.with(&service, |lane| {
        let waiter = lane.take(place);
        lane.running += usize::from(waiter.is_some());
        waiter
    });
    let Some(Some(waiter)) = taken else {
        return;
    };
    let request = waiter.request.clone();
    if !request.is_subject_to_fraction() {
        let work_ms = work_ms(site, &request);
        let count = |lane: &mut Lane| lane.admitter.count(request.priority, work_ms, now);
        site.gate.shared.with(&service, count);
    }
    let start = Start {
        turn: site.begin(view, &choice, &request.ask),
        choice,
        permit: Permit {
            site: site.clone(),
            service,
            target: request.target,
            is_shared: true,
        },
        rank: waiter.rank,
    };
    answer(waiter, Ok(start));
}

/// The work of a request, in engine milliseconds.
fn work_ms(site: &Rc<Site>, request: &Request) -> f64 {
    let feed = site.feed();
    let engine = engine(&feed.view, &request.service);
    engine.map_or(0.0, |engine| {
        request.size().work(engine).as_secs_f64() * 1_000.0
    })
}

fn engine<'a>(view: &'a View, service: &name::Service) -> Option<&'a Engine> {
    let service = view.services.get(service)?;
    service.engine.as_ref()
}

/// Computes the fractions again for all services, so that they follow the demand also without
/// requests, and forgets services that no longer share by priority.
pub(crate) fn refresh(site: &Rc<Site>) {
    let feed = site.feed();
    let shared = &site.gate.shared;
    let services: Vec<_> = shared.lanes.borrow().keys().cloned().collect();
    for service in services {
        let is_idle = |lane: &mut Lane| lane.queue.is_empty() && lane.running == 0;
        match shared.is_shared(&feed.view, &service) {
            true => compute(site, &service),
            false if shared.with(&service, is_idle) == Some(true) => {
                shared.lanes.borrow_mut().remove(&service);
            }
            false => {}
        }
    }
    let exists = |service: &name::Service| feed.view.services.contains_key(service);
    let mut known = shared.shared.borrow_mut();
    known.retain(|service, _| exists(service));
}

/// Computes the fractions from the capacity of the engines and the demand of all entries.
fn compute(site: &Rc<Site>, service: &name::Service) {
    let now = site.now();
    let shared = &site.gate.shared;
    let is_due = shared.with_new(service, now, |lane| {
        let is_due = |at: Instant| now.since(at) >= COMPUTE_PERIOD;
        let is_due = lane.computed_at.is_none_or(is_due);
        if is_due {
            lane.computed_at = Some(now);
        }
        is_due
    });
    if !is_due {
        return;
    }
    let feed = site.feed();
    let requirements = Requirements {
        service,
        model: None,
        pinned: None,
        regions: [&[], &[]],
        tried: &[],
        rank: Some(0),
    };
    let (capacity, reported, factor) = site.place(|placer| {
        let reports = placer.reports();
        let factor = match reports.knows_demand(now) {
            true => 1.0,
            // Without reports, the callers of the other entries are taken to be like the own ones.
            false => f64::from(placer.entries(now)),
        };
        let capacity = placer.capacity(&feed.view, &requirements, now);
        (capacity, reports.demand(service, now), factor)
    });
    let slots = engine(&feed.view, service).map_or(1, |engine| engine.slots.max(1));
    let all_slots = (capacity.engine_ms / 1_000.0 * f64::from(slots)).max(1.0);
    shared.with(service, |lane| {
        let own = lane.admitter.offered(now).into_iter();
        let mut demand: Rates = own
            .map(|(priority, work)| (priority, work * factor))
            .collect();
        let mut waiting = lane.queue.len() as f64 * factor;
        for (priority, other) in reported {
            *demand.entry(priority).or_default() += f64::from(other.offered_ms);
            waiting += f64::from(other.waiting);
        }
        let load = Load {
            occupancy: capacity.occupancy,
            waiting: waiting / all_slots,
        };
        lane.correction
            .observe(load, lane.admitter.is_shedding(), now);
        let fractions = match capacity.engine_ms > 0.0 {
            true => level::fractions(capacity.engine_ms * lane.correction.factor(), &demand),
            // Placement says why no engine may serve a request.
            false => BTreeMap::new(),
        };
        lane.demand = demand;
        lane.admitter.set_fractions(fractions, now);
    });
    show(site, service);
}

/// Shows the state of a service in metrics, and logs which priorities begin or end to be shed.
fn show(site: &Rc<Site>, service: &name::Service) {
    let now = Duration::from_nanos(site.now().as_nanos());
    let shared = &site.gate.shared;
    let changes = shared.with(service, |lane| {
        let factor = lane.correction.factor();
        site.meters.show_correction(service, factor);
        let mut changes = Vec::new();
        let known: BTreeSet<_> = lane.demand.keys().chain(&lane.shed).copied().collect();
        for priority in &known {
            let fraction = lane.admitter.fraction(*priority);
            let waiting = lane.queue.waiting(*priority);
            site.meters
                .show_priority(service, *priority, fraction, waiting);
            let is_changed = match fraction < 1.0 {
                true => lane.shed.insert(*priority),
                false => lane.shed.remove(priority),
            };
            if is_changed {
                changes.push((*priority, fraction, factor));
            }
        }
        changes
    });
    for (priority, fraction, factor) in changes.into_iter().flatten() {
        let Some(omitted) = shared.lines.borrow_mut().admit(Class::Routine, now) else {
            continue;
        };
        let what = match fraction < 1.0 {
            true => "begins to be shed",
            false => "is admitted as a whole again",
        };
        info!(site.journal.logger(), "admission: a priority {}", what;
            "service" => service.to_string(), "priority" => priority.to_string(),
            "fraction" => format!("{fraction:.3}"), "correction" => format!("{factor:.2}"),
            "omitted" => omitted);
    }
}

/// When the caller of a refused request should come back.
fn retry_after(site: &Rc<Site>, request: &Request, reason: Reason) -> Duration {
    let feed = site.feed();
    let (Reason::Shed | Reason::Full | Reason::Displaced | Reason::Expired, Some(engine)) =
        (reason, engine(&feed.view, &request.service))
    else {
        let error = match reason {
            Reason::Unserved(error) => error,
            _ => placement::Error::NoInstance,
        };
        return error.retry_after();
    };
    let fraction = site
        .gate
        .shared
        .with(&request.service, |lane| {
            lane.admitter.fraction(request.priority)
        })
        .filter(|_| reason == Reason::Shed);
    let answer = work::reading(engine, engine.usual_prompt) + Size::default().writing(engine);
    let bounds = retry_bounds(answer, fraction.unwrap_or(1.0), request.left);
    match bounds.is_empty() {
        true => bounds.start,
        false => rand::random_range(bounds),
    }
}

/// The time within which callers come back: after at least the duration of a usual answer, when the
/// running requests have ended, and up to twice that where little is admitted. Callers are spread
/// also where the upper bounds apply, so that they don't come back together.
pub fn retry_bounds(answer: Duration, fraction: f64, left: Duration) -> Range<Duration> {
    let most = MAX_RETRY.min(left / RETRY_PART);
    let least = answer.mul_f64(2.0 - fraction.clamp(0.0, 1.0));
    let least = least.min(most.div_f64(1.0 + RETRY_SPREAD));
    least..least.mul_f64(1.0 + RETRY_SPREAD).min(most)
}
