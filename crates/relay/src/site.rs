//! What all requests of one relay share. No borrow is held across a wait.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use domain::{
    clock::{Clock, Instant},
    instance::Instance,
    load::{Demand, Report},
    name,
    routing::{Kind, Limits, Route},
};
use opentelemetry::metrics::Meter;
use peer::uplink::{Client, Feed};
use policy::{
    crash::SURVIVAL,
    memory::Memory,
    notice::{Change, Notice},
    placement::{Choice, Placer},
    retry::Budget,
    round_robin::RoundRobin,
    view::View,
    wait::Estimator,
};
use slog::{Logger, info};
use tokio::{sync::watch, time};

use crate::{
    dialect::{Ask, Dialect},
    gate::{self, Gate},
    journal::Journal,
    meters::Meters,
    pool::{Connection, Pool},
    witness::{Reports, Witness},
};

/// How often readings are taken and idle connections are looked at.
const SWEEP_PERIOD: Duration = Duration::from_millis(500);

/// Where the relay gets the state.
pub trait State {
    /// The state as it is now known.
    fn feed(&self) -> Arc<Feed>;
}

impl State for Client {
    fn feed(&self) -> Arc<Feed> {
        Client::feed(self)
    }
}

/// What bounds the relay.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// How old the state may be that a request is decided by.
    pub max_age: Duration,
    /// How old the state may be while the relay counts as ready.
    pub ready_age: Duration,
    /// How many requests may be sent again, in hundredths of all.
    pub retry_percent: u32,
    /// How many more requests all entries together may send again within the retry window.
    pub retry_slack: u32,
    /// How much memory requests, answers and connections may take, in bytes.
    pub memory: usize,
}

/// What a relay is given.
pub struct Given {
    /// The clock.
    pub clock: Arc<dyn Clock>,
    /// The state.
    pub state: Rc<dyn State>,
    /// How heads are written.
    pub dialect: Rc<dyn Dialect>,
    /// The choice of instances.
    pub placer: Placer,
    /// The bounds.
    pub bounds: Bounds,
    /// Where crashes are told.
    pub reports: Rc<dyn Reports>,
    /// Where to log.
    pub logger: Logger,
    /// Where to count.
    pub meter: Meter,
}

/// What all requests of one relay share.
pub struct Site {
    /// How heads are written.
    pub dialect: Rc<dyn Dialect>,
    /// Connections to instances.
    pub pool: Rc<Pool>,
    /// The log of requests.
    pub journal: Journal,
    /// The instruments.
    pub meters: Meters,
    /// The bounds.
    pub bounds: Bounds,
    /// The admission of requests, by service.
    pub gate: Gate,
    /// The memory budget of the process.
    pub memory: Memory,
    clock: Arc<dyn Clock>,
    state: Rc<dyn State>,
    /// What is known of crashes.
    pub(crate) witness: Witness,
    placer: RefCell<Placer>,
    budgets: RefCell<HashMap<name::Service, Budget>>,
    turns: RefCell<HashMap<Arc<str>, RoundRobin>>,
    patiences: RefCell<HashMap<name::Route, Estimator>>,
    running: Cell<u32>,
    /// When the process ends, once it is to end.
    ends_at: Cell<Option<Instant>>,
    /// Whether requests that are still unanswered get their last word.
    ending: watch::Sender<bool>,
}

impl Site {
    /// A relay that has seen nothing yet.
    pub fn new(given: Given) -> Rc<Self> {
        let memory = Memory::new(given.bounds.memory);
        Rc::new(Self {
            dialect: given.dialect,
            pool: Pool::new(memory.clone()),
            journal: Journal::new(given.logger),
            meters: Meters::new(&given.meter),
            bounds: given.bounds,
            gate: Gate::default(),
            memory,
            clock: given.clock,
            state: given.state,
            witness: Witness::new(given.reports),
            placer: RefCell::new(given.placer),
            budgets: RefCell::default(),
            turns: RefCell::default(),
            patiences: RefCell::default(),
            running: Cell::default(),
            ends_at: Cell::default(),
            ending: watch::Sender::new(false),
        })
    }

    /// The current instant.
    pub fn now(&self) -> Instant {
        self.clock.now()
    }

    /// The state as it is now known.
    pub fn feed(&self) -> Arc<Feed> {
        self.state.feed()
    }

    /// What callers' connections may do.
    pub fn limits(&self) -> Limits {
        let feed = self.feed();
        feed.view
            .routing
            .as_ref()
            .map(|routing| routing.limits)
            .unwrap_or_default()
    }

    /// What keeps the relay from taking requests.
    pub fn obstacle(&self) -> Option<&'static str> {
        let feed = self.feed();
        match &feed.view.routing {
            _ if self.is_leaving() => Some("the process ends"),
            None => Some("no routing is known yet"),
            Some(_) if !feed.is_fresh(self.now(), self.bounds.ready_age) => {
                Some("the state is too old")
            }
            Some(_) => None,
        }
    }

    /// From now on connections end with their next answer. The process ends after `limit`.
    pub fn leave(&self, limit: Duration) {
        self.ends_at.set(Some(self.now() + limit));
    }

    /// Whether the process ends.
    pub fn is_leaving(&self) -> bool {
        self.ends_at.get().is_some()
    }

    /// When the process ends, once it is to end.
    pub fn ends_at(&self) -> Option<Instant> {
        self.ends_at.get()
    }

    /// Gives requests that are still unanswered their last word.
    pub fn end(&self) {
        self.ending.send_replace(true);
    }

    /// Whether requests that are still unanswered got their last word.
    pub fn has_ended(&self) -> bool {
        *self.ending.borrow()
    }

    /// Waits until [`Site::end`].
    pub async fn ended(&self) {
        // The sender lives as long as the site.
        let _ = self.ending.subscribe().wait_for(|ending| *ending).await;
    }

    /// How many requests are running.
    pub fn running(&self) -> u32 {
        self.running.get()
    }

    /// Counts a request until the guard is dropped.
    pub fn enter(self: &Rc<Self>) -> Presence {
        self.running.set(self.running.get() + 1);
        Presence { site: self.clone() }
    }

    /// The choice of instances.
    pub fn place<T>(&self, work: impl FnOnce(&mut Placer) -> T) -> T {
        work(&mut self.placer.borrow_mut())
    }

    /// The service whose turn it is on a route.
    pub fn next_service(&self, route: &Route) -> Option<name::Service> {
        match route.shares.as_slice() {
            [only] if only.weight > 0 => Some(only.service.clone()),
            shares => {
                let mut turns = self.turns.borrow_mut();
                turns.entry(route.key()).or_default().next(shares)
            }
        }
    }

    /// How long a caller of a route with so much time left has waited already.
    pub fn has_waited(&self, route: &Route, left: Duration) -> Duration {
        let now = self.now();
        let mut patiences = self.patiences.borrow_mut();
        let known = patiences.entry(route.name.clone());
        known
            .or_insert_with(|| Estimator::new(now))
            .observe(left, now)
    }

    /// Keeps a connection whose answer was read whole for the next request. What may not run twice
    /// never uses an idle one, so its connections are not kept either.
    pub fn keep(
        &self,
        instance: &Instance,
        mut connection: Connection,
        kind: Kind,
        lifetime: Option<Duration>,
    ) {
        connection.complete();
        if !kind.is_repeatable() {
            return;
        }
        let feed = self.feed();
        let service = feed.view.services.get(&instance.service);
        let most = service.map_or(0, |service| service.max_connections);
        let now = self.now();
        let share = most / self.place(|placer| placer.entries(now));
        self.pool.put(instance, connection, lifetime, share, now);
    }

    /// Takes in what an answer of an instance says of it. `id` is the request that was answered,
    /// which was sent at `sent_at`.
    pub fn heed(&self, instance: &Instance, notice: Notice, id: Option<&str>, sent_at: Instant) {
        let now = self.now();
        for change in self.place(|placer| placer.heed(instance, notice, sent_at, now)) {
            let age = self.feed().bound.age(now);
            let age_ms = age.map(|age| age.as_millis() as u64);
            let logger = self.journal.logger().new(slog::o!(
                "instance" => instance.id.to_string(), "born_ms" => instance.born_ms,
                "service" => instance.service.to_string(), "id" => id.map(str::to_owned),
                "phase" => format!("{:?}", instance.phase), "age_ms" => age_ms,
            ));
            match change {
                Change::Leaving => {
                    info!(logger, "instance: says that it leaves");
                    self.meters.noticed(&instance.service, "leaving");
                    // Its idle connections are of no more use.
                    self.pool.forget(&instance.id);
                }
                Change::Paused(pause) => {
                    info!(logger, "instance: asks for a pause";
                        "pause_ms" => pause.as_millis() as u64);
                    self.meters.noticed(&instance.service, "pause");
                }
                Change::Limited(limit) => {
                    info!(logger, "instance: names a limit"; "per_s" => limit.to_string());
                    self.meters.noticed(&instance.service, "limit");
                }
                Change::Unlimited => {
                    info!(logger, "instance: names no limit any more");
                }
            }
        }
    }

    /// Counts a request for a service.
    pub fn count(&self, service: &name::Service) {
        let now = self.now();
        self.with_budget(service, |budget| budget.call(now));
    }

    /// Takes leave to send a request of a service once more.
    pub fn may_retry(&self, service: &name::Service) -> bool {
        let now = self.now();
        self.with_budget(service, |budget| budget.take(now))
    }

    fn with_budget<T>(&self, service: &name::Service, work: impl FnOnce(&mut Budget) -> T) -> T {
        let now = self.now();
        let entries = self.place(|placer| placer.entries(now));
        // Half of the common slack stays unused, because entries that have just started are not
        // known to all others.
        let floor = u64::from(self.bounds.retry_slack / entries / 2);
        let mut budgets = self.budgets.borrow_mut();
        let budget = budgets
            .entry(service.clone())
            .or_insert_with(|| Budget::new(self.bounds.retry_percent));
        budget.set_floor(floor);
        work(budget)
    }

    /// A request is on its way to an instance until the turn is dropped.
    pub fn begin(self: &Rc<Self>, view: &View, choice: &Choice, ask: &Ask) -> Turn {
        let now = self.now();
        let prompt_tokens = ask.prompt_tokens;
        let limit = self.place(|placer| placer.limit(&choice.instance));
        if limit.is_some() {
            self.meters.limited(&choice.instance.service);
        }
        self.place(|placer| placer.begin(view, choice, prompt_tokens, now));
        Turn {
            site: self.clone(),
            instance: choice.instance.clone(),
            prompt_tokens,
            parts: ask.parts.clone(),
            expected_since: None,
            begun_at: None,
            is_sound: false,
        }
    }

    /// Records that a byte came from an instance.
    pub fn hear(&self, id: &name::Instance) {
        let now = self.now();
        self.place(|placer| placer.hear(id, now));
    }

    /// Follows the state.
    pub async fn follow(self: Rc<Self>, mut changes: watch::Receiver<u64>) {
        loop {
            let feed = self.feed();
            let now = self.now();
            self.place(|placer| placer.observe(&feed.view, &feed.targets, now));
            self.witness.observe(&self, &feed.view);
            if changes.changed().await.is_err() {
                return;
            }
        }
    }

    /// Takes readings and closes what is idle for too long.
    pub async fn sweep(self: Rc<Self>) {
        loop {
            time::sleep(SWEEP_PERIOD).await;
            let (feed, now) = (self.feed(), self.now());
            self.patiences
                .borrow_mut()
                .retain(|_, patience| !patience.is_idle(now));
            self.witness.sweep(now);
            self.pool
                .sweep(now, |id| feed.view.instances.contains_key(id));
            gate::shared::refresh(&self);
            self.meters.show(self.running(), feed.bound.age(now));
            self.meters.show_memory(&self.memory);
            self.meters
                .show_limited(self.place(|placer| placer.limited()));
        }
    }
}

/// A running request.
pub struct Presence {
    site: Rc<Site>,
}

impl Drop for Presence {
    fn drop(&mut self) {
        self.site.running.set(self.site.running.get() - 1);
    }
}

/// A request at an instance.
pub struct Turn {
    site: Rc<Site>,
    /// The instance.
    pub instance: Arc<Instance>,
    prompt_tokens: u32,
    parts: Arc<[name::Part]>,
    /// Since when a first byte is expected soon.
    expected_since: Option<Instant>,
    /// When the first sign of the answer came.
    begun_at: Option<Instant>,
    /// Whether the answer has shown that the prompt is sound.
    is_sound: bool,
}

impl Turn {
    /// The request was sent, and its answer usually begins soon.
    pub fn expect(&mut self) {
        let now = self.site.now();
        self.expected_since = Some(now);
        self.site
            .place(|placer| placer.expect(&self.instance.id, now));
    }

    /// More of the answer came.
    pub fn progress(&mut self) {
        let now = self.site.now();
        self.site.hear(&self.instance.id);
        self.stop_expecting(now);
        match self.begun_at {
            None => {
                self.begun_at = Some(now);
                let (id, tokens) = (&self.instance.id, self.prompt_tokens);
                self.site.place(|placer| placer.first_event(id, tokens));
            }
            Some(at) if now.since(at) >= SURVIVAL => self.acquit(),
            Some(_) => {}
        }
    }

    /// The whole answer came.
    pub fn finish(&mut self) {
        self.progress();
        self.acquit();
    }

    /// The connection broke.
    pub fn lose(&mut self) {
        if !self.is_sound {
            self.site
                .witness
                .lose(&self.site, &self.instance, &self.parts);
        }
    }

    fn stop_expecting(&mut self, now: Instant) {
        if let Some(since) = self.expected_since.take() {
            let id = &self.instance.id;
            self.site
                .place(|placer| placer.stop_expecting(id, since, now));
        }
    }

    fn acquit(&mut self) {
        if !std::mem::replace(&mut self.is_sound, true) {
            let service = &self.instance.service;
            self.site.witness.acquit(&self.site, service, &self.parts);
        }
    }
}

impl Drop for Turn {
    fn drop(&mut self) {
        self.stop_expecting(self.site.now());
        let id = &self.instance.id;
        self.site.place(|placer| {
            if self.begun_at.is_none() {
                placer.first_event(id, self.prompt_tokens);
            }
            placer.end(id);
            placer.release(id);
        });
        gate::shared::advance(&self.site, &self.instance.service);
    }
}

impl Site {
    /// Records a load report of an agent or another entry. Returns `false` if a newer one of its
    /// sender is known.
    pub fn observe_load(&self, report: Report) -> bool {
        let now = self.now();
        self.place(|placer| placer.observe_load(report, now))
    }

    /// The demand of this entry's callers for services that are shared by priority.
    pub fn demand(&self) -> Vec<Demand> {
        self.gate.demand(self.now())
    }
}
