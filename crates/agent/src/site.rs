//! What all parts of one agent share.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use arc_swap::ArcSwap;
use derive_more::Display;
use domain::{
    artifact,
    call::Target,
    clock::Clock,
    digest::Digest,
    lists::MIN_SHARE,
    name,
    vm::{Announcement, Lifecycle},
};
use parking_lot::Mutex;
use policy::{
    fair::Owner,
    lifecycle::{Event, Tracker},
};
use slog::{Logger, info};
use tokio::sync::watch;

use crate::{feed::Feed, gate::Gate, metrics::Metrics, problem};

/// The versions that calls may be sent to: the engine confirmed each with the pinned manifest.
pub type Served = BTreeMap<artifact::Id, Digest>;

/// Why a call can't be sent now.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Obstacle {
    /// The agent is ending, or an operator drains the VM.
    #[display("the upstream is draining")]
    Draining,
    /// The availability zone was taken out of service.
    #[display("zone {_0} is out of service")]
    ZoneOut(name::AvailabilityZone),
    /// The agent's state is too old to start a call that may not be repeated.
    #[display("no fresh state from control for {_0} ms")]
    Stale(u64),
    /// The engine does not serve the version.
    #[display("{_0} is not served")]
    NotServed(artifact::Id),
    /// The upstream's process does not answer.
    #[display("the upstream does not answer")]
    Lost,
}

/// What a call needs.
#[derive(Clone, Copy, Debug)]
pub enum Need<'a> {
    /// A model in a certain version.
    Model(&'a Target),
    /// A plain service, for a call that may be repeated.
    LookUp,
    /// A plain service, for a call that may not be repeated.
    Once,
}

/// One agent's shared parts.
pub struct Site {
    /// Who the agent is.
    pub announcement: Announcement,
    /// The oldest state that it acts on.
    pub max_feed_age: Duration,
    /// The clock, which also counts while the VM is paused.
    pub clock: Arc<dyn Clock>,
    /// The state.
    pub feed: Arc<dyn Feed>,
    /// The gate.
    pub gate: Arc<Gate>,
    /// What the engine serves.
    pub served: ArcSwap<Served>,
    /// Calls under way, by version.
    pub in_flight: InFlight,
    /// Makes failure answers.
    pub problems: problem::Maker,
    /// The metrics.
    pub metrics: Metrics,
    /// The log.
    pub log: Logger,
    lifecycle: Mutex<Tracker>,
    lifecycles: watch::Sender<Lifecycle>,
}

impl Site {
    /// Puts the parts together.
    pub fn new(
        announcement: Announcement,
        max_feed_age: Duration,
        clock: Arc<dyn Clock>,
        feed: Arc<dyn Feed>,
        gate: Arc<Gate>,
        metrics: Metrics,
        log: Logger,
    ) -> Arc<Self> {
        Arc::new(Self {
            problems: problem::Maker::new(announcement.vm.clone()),
            announcement,
            max_feed_age,
            clock,
            feed,
            gate,
            served: ArcSwap::default(),
            in_flight: InFlight::default(),
            metrics,
            log,
            lifecycle: Mutex::new(Tracker::new()),
            lifecycles: watch::Sender::new(Lifecycle::Announced),
        })
    }

    /// How the upstream stands towards new work.
    pub fn lifecycle(&self) -> Lifecycle {
        *self.lifecycles.borrow()
    }

    /// Moves on with each change of the lifecycle.
    pub fn lifecycles(&self) -> watch::Receiver<Lifecycle> {
        self.lifecycles.subscribe()
    }

    /// Takes in an event of the lifecycle.
    pub fn handle(&self, event: Event) {
        let mut tracker = self.lifecycle.lock();
        let state = tracker.handle(event);
        // Those who wait for a change must not wake up without one: some of them send events.
        self.lifecycles.send_if_modified(|current| {
            let is_new = *current != state;
            if is_new {
                info!(self.log, "upstream: now {state}, was {current}");
                *current = state;
            }
            is_new
        });
        drop(tracker);
    }

    /// What stands in the way of sending a call. Ask right before sending: the clock is read here,
    /// so that a process that slept meanwhile notices.
    ///
    /// # Errors
    ///
    /// The first obstacle.
    pub fn check(&self, need: Need<'_>) -> Result<(), Obstacle> {
        let feed = self.feed.current();
        let view = &feed.view;
        let own = &self.announcement;
        let lifecycle = self.lifecycle();
        if matches!(lifecycle, Lifecycle::Draining | Lifecycle::Gone)
            || view.drains.contains(&own.vm)
        {
            return Err(Obstacle::Draining);
        }
        if view.zones_out.contains(&own.zone) {
            return Err(Obstacle::ZoneOut(own.zone.clone()));
        }
        match need {
            Need::Model(target) => self.check_served(target),
            Need::LookUp => self.check_alive(lifecycle),
            Need::Once => {
                self.check_alive(lifecycle)?;
                let now = self.clock.now();
                match feed.is_fresh(now, self.max_feed_age) {
                    true => Ok(()),
                    false => Err(Obstacle::Stale(as_millis(feed.bound.age(now)))),
                }
            }
        }
    }

    /// The customer as the fair queue knows it. One that the state does not name yet gets the
    /// least share.
    pub fn owner(&self, customer: name::Customer) -> Owner {
        let feed = self.feed.current();
        let plan = feed
            .view
            .customers
            .get(&customer)
            .and_then(|known| feed.view.plans.get(&known.plan));
        let (plan, share) = match plan {
            Some(plan) => (plan.name.clone(), plan.share),
            None => ("".into(), MIN_SHARE),
        };
        Owner {
            customer,
            plan,
            share,
        }
    }

    fn check_served(&self, target: &Target) -> Result<(), Obstacle> {
        let served = self.served.load();
        let needed = std::iter::once(&target.model).chain(&target.adapter);
        needed
            .into_iter()
            .find(|id| !served.contains_key(*id))
            .map_or(Ok(()), |id| Err(Obstacle::NotServed(id.clone())))
    }

    fn check_alive(&self, lifecycle: Lifecycle) -> Result<(), Obstacle> {
        match lifecycle.is_serving() {
            true => Ok(()),
            false => Err(Obstacle::Lost),
        }
    }
}

/// Calls under way, by version, so that no version is unloaded under a call.
#[derive(Clone, Default)]
pub struct InFlight {
    counts: Arc<Mutex<BTreeMap<artifact::Id, u32>>>,
}

/// One call under way. Count it before checking that its version is served.
pub struct Flight {
    in_flight: InFlight,
    target: Target,
}

impl InFlight {
    /// Counts a call.
    pub fn start(&self, target: Target) -> Flight {
        let mut counts = self.counts.lock();
        for id in std::iter::once(&target.model).chain(&target.adapter) {
            *counts.entry(id.clone()).or_default() += 1;
        }
        drop(counts);
        Flight {
            in_flight: self.clone(),
            target,
        }
    }

    /// How many calls use a version.
    pub fn count(&self, id: &artifact::Id) -> u32 {
        self.counts.lock().get(id).copied().unwrap_or_default()
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        let mut counts = self.in_flight.counts.lock();
        for id in std::iter::once(&self.target.model).chain(&self.target.adapter) {
            if let Some(count) = counts.get_mut(id) {
                *count -= 1;
            }
        }
        counts.retain(|_, count| *count > 0);
    }
}

fn as_millis(age: Option<Duration>) -> u64 {
    age.map_or(u64::MAX, |age| {
        u64::try_from(age.as_millis()).unwrap_or(u64::MAX)
    })
}
