//! Which instance of a service gets a request: the decision of one entry, by what it knows.
//!
//! It answers loads up to the capacity of all instances that may serve a request: the least busy
//! one is chosen, nearer ones are preferred while they are not much busier, instances that fail
//! are avoided and cold ones are spared. Other entries send to the same instances unseen, so what
//! this entry has running there counts for all of them. See `docs/PLATFORM.md`, "Placing".

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use domain::{
    clock::Instant,
    instance::{Instance, Phase},
    name,
    routing::{Service, Warmup},
    vm::{Lifecycle, Upstream},
};
use rand::{RngExt, rngs::StdRng};

use crate::{
    breaker::{self, State},
    bucket::Bucket,
    view::View,
};

/// How much busier a near instance may be than a far one before the far one is chosen, as a part
/// of its slots. Crossing regions costs a few milliseconds and a part of a narrow link.
const REMOTE_PENALTY: f64 = 0.3;
/// How much busier than a cold instance another one may be: a cold one is slow.
const COLD_PENALTY: f64 = 0.5;
/// How many requests beyond its slots an entry gives an instance.
const MAX_WAITING: u32 = 8;
/// The part of the rate that a cold instance bears which the entries use together, in hundredths;
/// requests bunch up on their way.
const COLD_PERCENT: u64 = 80;
/// When a request that found every instance busy should come again: after the time that a usual
/// answer takes, so that those that run now have ended.
const BUSY_RETRY: Duration = Duration::from_millis(1_200);
/// When a request that no instance may serve should come again: engines that move to another
/// version, and instances that are replaced, are away for about so long.
const NO_INSTANCE_RETRY: Duration = Duration::from_millis(2_000);

/// How long the old version of a model may be used after a newer one was named, and how long by
/// an entry that does not know when that was.
#[derive(Clone, Copy, Debug)]
pub struct Grace {
    /// After the entry saw the name appear.
    pub seen: Duration,
    /// After the entry's start.
    pub unseen: Duration,
}

/// What a request needs.
#[derive(Clone, Copy, Debug)]
pub struct Requirements<'a> {
    /// The service.
    pub service: &'a name::Service,
    /// The model, if engines serve it.
    pub model: Option<&'a name::Artifact>,
    /// The version with which the answer began, if it has begun.
    pub pinned: Option<u64>,
    /// The only regions that may answer, for each list that is not empty.
    pub regions: [&'a [name::Region]; 2],
    /// Instances that were tried.
    pub tried: &'a [name::Instance],
}

/// The instance that gets the request.
#[derive(Clone, Debug)]
pub struct Choice {
    /// The instance.
    pub instance: Arc<Instance>,
    /// The version that it must have, where another one would be wrong.
    pub version: Option<u64>,
}

/// Why no instance gets the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum Error {
    /// None is known that may serve it.
    #[display("no instance may serve it")]
    NoInstance,
    /// Those that may serve it have no room.
    #[display("every instance is busy")]
    Busy,
}

impl Error {
    /// When to come again.
    pub fn retry_after(self) -> Duration {
        match self {
            Self::NoInstance => NO_INSTANCE_RETRY,
            Self::Busy => BUSY_RETRY,
        }
    }
}

#[derive(Debug, Default)]
struct Record {
    in_flight: u32,
    /// Prompt tokens of requests that have shown no event yet.
    unread_tokens: u64,
    cold: Option<Bucket>,
}

/// What an agent says of the engine beside it.
#[derive(Clone, Debug, Default)]
struct Engine {
    /// Whether it takes nothing new while it moves to another version.
    is_moving: bool,
    /// The models that it serves, with their versions.
    serving: Vec<(name::Artifact, u64)>,
}

#[derive(Clone, Copy, Debug)]
struct Named {
    version: u64,
    due_at: Instant,
}

/// The state of one entry's choices.
pub struct Placer {
    zone: name::AvailabilityZone,
    regions: HashMap<name::AvailabilityZone, name::Region>,
    grace: Grace,
    started_at: Instant,
    records: HashMap<name::Instance, Record>,
    breakers: breaker::Table<name::Instance>,
    /// The versions of each model that were named, the oldest first.
    named: HashMap<name::Artifact, Vec<Named>>,
    /// Zones that came back, until when their instances count as cold.
    returned: HashMap<name::AvailabilityZone, Instant>,
    out: Vec<name::AvailabilityZone>,
    /// What agents say of the engines beside them, by the engines' addresses.
    engines: HashMap<SocketAddr, Engine>,
    entries: u32,
    rng: StdRng,
}

impl Placer {
    /// An entry in the given zone that has sent nothing yet.
    pub fn new(
        zone: name::AvailabilityZone,
        regions: HashMap<name::AvailabilityZone, name::Region>,
        grace: Grace,
        rng: StdRng,
        now: Instant,
    ) -> Self {
        Self {
            zone,
            regions,
            grace,
            started_at: now,
            records: HashMap::new(),
            breakers: breaker::Table::new(),
            named: HashMap::new(),
            returned: HashMap::new(),
            out: Vec::new(),
            engines: HashMap::new(),
            entries: 1,
            rng,
        }
    }

    /// Takes in a new state.
    pub fn observe(&mut self, view: &View, now: Instant) {
        self.observe_targets(view, now);
        self.observe_zones(view, now);
        self.observe_engines(view);
        let entries = view
            .vms
            .values()
            .filter(|vm| vm.announcement.upstream == Upstream::Entry);
        let entries = u32::try_from(entries.count()).unwrap_or(u32::MAX).max(1);
        if entries != self.entries {
            self.entries = entries;
            self.share_cold(view, now);
        }
        self.records
            .retain(|id, record| record.in_flight > 0 || view.instances.contains_key(id));
        self.breakers.retain(|id| view.instances.contains_key(id));
    }

    /// How many entries share the instances, this one included.
    pub fn entries(&self) -> u32 {
        self.entries
    }

    /// Chooses an instance.
    ///
    /// # Errors
    ///
    /// [`Error`] if none may get the request now.
    pub fn choose(
        &mut self,
        view: &View,
        need: &Requirements<'_>,
        now: Instant,
    ) -> Result<Choice, Error> {
        let Some(service) = view.services.get(need.service).cloned() else {
            return Err(Error::NoInstance);
        };
        let mut refusal = Error::NoInstance;
        let mut best: Option<(f64, Choice)> = None;
        for instance in view.instances.values() {
            if self.is_suspected(instance, now) {
                continue;
            }
            let Some(version) = self.fits(view, &service, instance, need, now) else {
                continue;
            };
            refusal = Error::Busy;
            let Some(score) = self.score(&service, instance, now) else {
                continue;
            };
            if best.as_ref().is_none_or(|(lowest, _)| score < *lowest) {
                let instance = instance.clone();
                best = Some((score, Choice { instance, version }));
            }
        }
        best.map(|(_, choice)| choice).ok_or(refusal)
    }

    /// This entry's part of the slots of all instances that may serve a request, or nothing if
    /// there is none. Those that are avoided for a moment count as instances without slots.
    pub fn slots(&self, view: &View, need: &Requirements<'_>, now: Instant) -> Option<f64> {
        let service = view.services.get(need.service)?;
        let fit = view
            .instances
            .values()
            .filter(|instance| self.fits(view, service, instance, need, now).is_some());
        let slots = fit.map(|instance| match self.is_suspected(instance, now) {
            true => 0,
            false => instance.slots,
        });
        let slots: u32 = slots.reduce(|sum, slots| sum + slots)?;
        Some(f64::from(slots) / f64::from(self.entries))
    }

    /// A request is on its way to an instance.
    pub fn begin(&mut self, view: &View, choice: &Choice, prompt_tokens: u32, now: Instant) {
        let id = &choice.instance.id;
        self.breakers.begin(id, now);
        let service = view.services.get(&choice.instance.service);
        let cold = service.and_then(|service| service.cold);
        let is_cold = self.is_cold(&choice.instance, now);
        let entries = self.entries;
        let record = self.records.entry(id.clone()).or_default();
        record.in_flight += 1;
        record.unread_tokens += u64::from(prompt_tokens);
        match (cold, is_cold) {
            (Some(cold), true) => {
                record
                    .cold
                    .get_or_insert_with(|| cold_bucket(cold, entries, now))
                    .take(now);
            }
            _ => record.cold = None,
        }
    }

    /// The first sign of the answer came.
    pub fn first_event(&mut self, id: &name::Instance, prompt_tokens: u32) {
        if let Some(record) = self.records.get_mut(id) {
            record.unread_tokens = record.unread_tokens.saturating_sub(prompt_tokens.into());
        }
    }

    /// The request is over.
    pub fn end(&mut self, id: &name::Instance) {
        if let Some(record) = self.records.get_mut(id) {
            record.in_flight = record.in_flight.saturating_sub(1);
        }
    }

    /// The instance answered as it should.
    pub fn succeed(&mut self, id: &name::Instance) {
        self.breakers.succeed(id);
    }

    /// The instance refused without running the request.
    pub fn refuse(&mut self, id: &name::Instance, now: Instant) {
        self.breakers.refuse(id, now);
    }

    /// The instance failed.
    pub fn fail(&mut self, id: &name::Instance, now: Instant) {
        self.breakers.fail(id, now);
    }

    /// The call ended without saying anything about the instance.
    pub fn release(&mut self, id: &name::Instance) {
        self.breakers.release(id);
    }

    fn is_suspected(&self, instance: &Instance, now: Instant) -> bool {
        let standing = self.breakers.state(&instance.id, now);
        matches!(standing, State::Open(_))
    }

    /// Whether the instance may serve the request, and which version it must have if that matters.
    fn fits(
        &self,
        view: &View,
        service: &Service,
        instance: &Instance,
        need: &Requirements<'_>,
        now: Instant,
    ) -> Option<Option<u64>> {
        let region = self.regions.get(&instance.zone);
        let is_allowed = need.regions.iter().all(|regions| {
            regions.is_empty() || region.is_some_and(|region| regions.contains(region))
        });
        let is_fit = instance.service == *need.service
            && instance.phase == Phase::Ready
            && is_allowed
            && !view.zones_out.contains(&instance.zone)
            && !need.tried.contains(&instance.id);
        if !is_fit {
            return None;
        }
        let (Some(engine), Some(model)) = (&service.engine, need.model) else {
            return Some(None);
        };
        let told = self.engines.get(&instance.address);
        if told.is_some_and(|told| told.is_moving) {
            return None;
        }
        // The agent beside an engine knows of a move before the engine's next report.
        let told = told.and_then(|told| told.serving.iter().find(|(held, _)| held == model));
        let reported = instance.version_of(model, engine.layers);
        let held = reported.max(told.map(|(_, version)| *version))?;
        match (need.pinned, self.required(model, now)) {
            // An answer goes on with the version that it began with, unless that one is over.
            (Some(pinned), required) => {
                let is_over = required.is_some_and(|required| pinned < required);
                (pinned == held && !is_over).then_some(Some(held))
            }
            (None, Some(required)) => (held >= required).then_some(Some(held)),
            (None, None) => Some(None),
        }
    }

    /// The oldest version of a model that a request may begin with, if older ones are over.
    fn required(&self, model: &name::Artifact, now: Instant) -> Option<u64> {
        let named = self.named.get(model)?;
        let due = named.iter().rev().find(|named| now >= named.due_at);
        due.map(|named| named.version)
    }

    /// How busy the instance is, or nothing if it has no room.
    fn score(&mut self, service: &Service, instance: &Instance, now: Instant) -> Option<f64> {
        let is_cold = self.is_cold(instance, now);
        let jitter = self.rng.random_range(0.0..0.02);
        let entries = self.entries;
        let record = self.records.entry(instance.id.clone()).or_default();
        if record.in_flight >= instance.slots + MAX_WAITING {
            return None;
        }
        if let (true, Some(cold)) = (is_cold, service.cold) {
            let bucket = record
                .cold
                .get_or_insert_with(|| cold_bucket(cold, entries, now));
            if !bucket.has(now) {
                return None;
            }
        }
        let slots = f64::from(instance.slots.max(1));
        let running = f64::from(record.in_flight) * f64::from(entries) / slots;
        let reading = service.engine.as_ref().map_or(0.0, |engine| {
            let seconds = record.unread_tokens as f64 / f64::from(engine.read_per_s.max(1));
            // A prompt that takes as long as the usual one weighs like a slot.
            let usual = f64::from(engine.usual_prompt.max(1)) / f64::from(engine.read_per_s.max(1));
            seconds / usual / slots
        });
        let distance = match instance.zone == self.zone {
            true => 0.0,
            false => REMOTE_PENALTY,
        };
        let coldness = match is_cold {
            true => COLD_PENALTY,
            false => 0.0,
        };
        Some(running + reading + distance + coldness + jitter)
    }

    /// Whether the instance bears little yet.
    pub fn is_cold(&self, instance: &Instance, now: Instant) -> bool {
        let has_returned = self
            .returned
            .get(&instance.zone)
            .is_some_and(|until| now < *until);
        instance.cold_ms > 0 || has_returned
    }

    fn observe_targets(&mut self, view: &View, now: Instant) {
        let is_first = now.since(self.started_at) < self.grace.unseen;
        let due_at = match is_first {
            true => self.started_at + self.grace.unseen,
            false => now + self.grace.seen,
        };
        for (model, version) in &view.targets {
            let named = self.named.entry(model.clone()).or_default();
            if named.last().is_some_and(|last| last.version >= *version) {
                continue;
            }
            // A version that is overtaken stays due when it was.
            let over = named.iter().rposition(|named| now >= named.due_at);
            named.drain(..over.unwrap_or_default());
            named.push(Named {
                version: *version,
                due_at,
            });
        }
    }

    /// Divides what cold instances bear anew: an entry that starts may know the others late.
    fn share_cold(&mut self, view: &View, now: Instant) {
        for (id, record) in &mut self.records {
            let service = view
                .instances
                .get(id)
                .and_then(|instance| view.services.get(&instance.service));
            let cold = service.and_then(|service| service.cold);
            if let (Some(bucket), Some(cold)) = (&mut record.cold, cold) {
                bucket.set_rate(cold_rate(cold, self.entries), now);
            }
        }
    }

    fn observe_engines(&mut self, view: &View) {
        let agents = view
            .vms
            .values()
            .filter(|vm| matches!(vm.announcement.upstream, Upstream::Engine { .. }));
        self.engines = agents
            .map(|vm| {
                let serving = vm.status.holdings.keys().filter_map(|id| {
                    let version = id.version.as_str().parse().ok()?;
                    Some((id.name.clone(), version))
                });
                let engine = Engine {
                    is_moving: vm.status.lifecycle == Lifecycle::Loading,
                    serving: serving.collect(),
                };
                (vm.announcement.call_addr, engine)
            })
            .collect();
    }

    /// Instances of a zone that was out of service may have become cold there.
    fn observe_zones(&mut self, view: &View, now: Instant) {
        let longest = view.services.values().filter_map(|service| service.cold);
        let span = longest.map(|cold| cold.span_ms).max().unwrap_or_default();
        let until = now + Duration::from_millis(span.into());
        let back = self
            .out
            .iter()
            .filter(|zone| !view.zones_out.contains(*zone))
            .cloned();
        self.returned.retain(|_, until| now < *until);
        self.returned.extend(back.map(|zone| (zone, until)));
        self.out = view.zones_out.iter().cloned().collect();
    }
}

/// An entry's share of what a cold instance bears, in thousandths of a request a second.
fn cold_rate(cold: Warmup, entries: u32) -> u64 {
    (cold.millicalls_per_s * COLD_PERCENT / 100 / u64::from(entries)).max(1)
}

fn cold_bucket(cold: Warmup, entries: u32, now: Instant) -> Bucket {
    Bucket::new(cold_rate(cold, entries), 1, now)
}
