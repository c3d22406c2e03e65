//! Placement: which instance of a service an entry sends a request to, decided on local knowledge.
//!
//! It handles loads up to the total capacity of the eligible instances: the least loaded one is
//! chosen, instances in the same zone are preferred unless they are much busier, failing instances
//! are avoided, cold ones get fewer requests and those that want a pause none. An entry doesn't see
//! what other entries send to the same instances, so it multiplies its own in-flight requests by the
//! number of entries. See `docs/PLATFORM.md`, "Placing".

mod capacity;
mod limits;
mod targets;

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use domain::{
    clock::Instant,
    instance::{Instance, Phase},
    load::Report,
    name,
    routing::{self, Service},
    vm::{Lifecycle, Upstream},
};
use rand::{RngExt, rngs::StdRng};

use crate::{
    breaker::{self, State},
    cold::Limit,
    load, naming,
    notice::{self, Availability, Notice},
    quota::Quota,
    roster::Roster,
    silence,
    spillover::Spillover,
    view::View,
};

pub use capacity::Capacity;
use targets::Targets;

/// Score penalty of an instance in another zone, as a fraction of its slots. Crossing regions adds
/// a few milliseconds and uses bandwidth of a narrow link.
const REMOTE_PENALTY: f64 = 0.3;
/// Score penalty of a cold instance, as a fraction of its slots, because it answers slowly.
const COLD_PENALTY: f64 = 0.5;
/// Requests that an engine may hold beyond its slots when it gets another one of the most urgent
/// priority, which overtakes others in the engine's queue. Each further priority may fill one less,
/// so that a flood of less urgent requests leaves places for urgent ones.
const MAX_BACKLOG: u32 = 3;
/// The same for the least urgent priority. An engine without any backlog stands still in part from
/// the end of a request until the next report of its load.
const MIN_BACKLOG: u32 = 1;
/// Hundredths of one.
const PERCENT: f64 = 100.0;
/// Score penalty of an engine that stops accepting requests before the response would end, as a
/// fraction of its slots. Each such response delays the switch of the engine's version.
const MOVE_PENALTY: f64 = 0.5;
/// The rank by which engines are looked for on behalf of requests that can no longer be answered in
/// time. A late answer is worth a fraction of a timely one, and refused callers come back in such
/// numbers that at the rank of their priority they would fill the slots.
pub const LATE_RANK: u32 = 9;
/// The part of an engine's slots that late requests may fill, in percent, while nobody else uses
/// them. If they may fill nearly all of them, callers that come back take the capacity of new
/// requests; if few, engines stand idle in part.
const LATE_PERCENT: u32 = 75;
/// Random engines of which the better one is chosen. Reports are up to a tenth of a second old, and
/// entries that all chose the least loaded of all engines would overload it until its next report.
/// If both are full, the request waits: choosing among those with room would keep all engines full.
const CANDIDATES: usize = 2;
/// Requests that an entry may have in flight at an instance beyond the instance's slots.
const MAX_WAITING: u32 = 8;
/// Retry delay when every instance is busy: about the duration of a typical answer, after which the
/// running requests have ended.
const BUSY_RETRY: Duration = Duration::from_millis(1_200);
/// Retry delay when no instance is eligible: about as long as an engine that switches versions, or
/// an instance that is being replaced, is unavailable.
const NO_INSTANCE_RETRY: Duration = Duration::from_millis(2_000);
/// The time over which callers come back after a pause that every instance asked for, so that they
/// don't all meet the first instance that is free again.
const PAUSE_SPREAD: Duration = Duration::from_millis(500);
/// Score penalty of an instance that leaves, as a multiple of its slots: above any other score, so
/// that it is used only where nothing else can serve the request.
const LEAVING_PENALTY: f64 = 1_000.0;

/// Grace periods during which the old version of a model may be used after a newer target version
/// was set.
#[derive(Clone, Copy, Debug)]
pub struct Grace {
    /// Counted from the newest confirmed state that lacks the target.
    pub seen: Duration,
    /// Counted from the start of the entry, for every target: an entry that has just started can't
    /// know when a target was set.
    pub unseen: Duration,
}

/// Constraints on the instance that serves a request.
#[derive(Clone, Copy, Debug)]
pub struct Requirements<'a> {
    /// The service.
    pub service: &'a name::Service,
    /// The model, if the service runs on engines.
    pub model: Option<&'a name::Artifact>,
    /// The model version that generated the first part of the answer, when a stream is resumed.
    pub pinned: Option<u64>,
    /// Allowed regions: the instance's region must be in each list that is not empty.
    pub regions: [&'a [name::Region]; 2],
    /// Instances that have already been tried for this request.
    pub tried: &'a [name::Instance],
    /// How the request shares the engines, if the service is shared by priority. Without it, load
    /// reports are not used.
    pub share: Option<Share<'a>>,
}

/// How a request shares the engines of a service with requests of other priorities.
#[derive(Clone, Copy, Debug)]
pub struct Share<'a> {
    /// The number of more urgent priorities in use.
    pub rank: u32,
    /// The expected time until the response ends.
    pub span: Duration,
    /// The zone to which [`Placer::spill`] sends the request, if it leaves its zone.
    pub zone: Option<&'a name::AvailabilityZone>,
}

/// The selected instance.
#[derive(Clone, Debug)]
pub struct Choice {
    /// The instance.
    pub instance: Arc<Instance>,
    /// The model version that the instance must serve, if only that one is acceptable.
    pub version: Option<u64>,
}

/// Why no instance was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum Error {
    /// No eligible instance is known.
    #[display("no instance may serve it")]
    NoInstance,
    /// All eligible instances are at their limit.
    #[display("every instance is busy")]
    Busy,
    /// All eligible instances asked for no requests, and the first one takes some again then.
    #[display("every instance asks for a pause of {} ms or more", _0.as_millis())]
    Paused(Duration),
    /// All eligible instances named a limit, or asked for no requests, and one of those with a
    /// limit is the first that may get one again, then.
    #[display("every instance is at the limit that it named for {} ms or more", _0.as_millis())]
    Limited(Duration),
}

impl Error {
    /// What holds after one more instance was found that takes a request only later.
    fn or_later(self, other: Self) -> Self {
        match self {
            Self::NoInstance => other,
            Self::Busy => Self::Busy,
            Self::Paused(_) | Self::Limited(_) if self.retry_after() <= other.retry_after() => self,
            Self::Paused(_) | Self::Limited(_) => other,
        }
    }

    /// How long the caller should wait before it retries.
    pub fn retry_after(self) -> Duration {
        match self {
            Self::NoInstance => NO_INSTANCE_RETRY,
            Self::Busy => BUSY_RETRY,
            Self::Paused(left) | Self::Limited(left) => left,
        }
    }
}

/// What this entry has in flight at one instance.
#[derive(Debug, Default)]
struct Load {
    in_flight: u32,
    /// Prompt tokens of the requests whose answers have not begun.
    prefill_tokens: u64,
    /// What this entry may send while the instance is cold.
    cold: Option<Quota>,
    /// What this entry may send while the instance names a limit.
    limited: Option<Quota>,
    /// Where the instance accepts requests.
    address: Option<SocketAddr>,
}

/// The state of an engine as reported by its agent.
#[derive(Clone, Debug, Default)]
struct Engine {
    /// Whether it accepts no new requests because it is loading another version.
    is_moving: bool,
    /// The served models with their versions.
    serving: Vec<(name::Artifact, u64)>,
}

/// The number of requests at an engine at which it gets no further one of the given rank.
fn occupancy_limit(slots: u32, rank: u32) -> u32 {
    match rank {
        LATE_RANK.. => (slots.saturating_mul(LATE_PERCENT) / 100).max(1),
        _ => slots.saturating_add(MAX_BACKLOG.saturating_sub(rank).max(MIN_BACKLOG)),
    }
}

/// Chooses instances for the requests of one entry.
pub struct Placer {
    zone: name::AvailabilityZone,
    regions: HashMap<name::AvailabilityZone, name::Region>,
    /// How long after the last request for an old version a request may begin on it.
    version_margin: Option<Duration>,
    loads: HashMap<name::Instance, Load>,
    breakers: breaker::Table<name::Instance>,
    /// Engines from which nothing comes.
    silent: silence::Table,
    /// What the instances said of themselves.
    notices: notice::Table,
    targets: Targets,
    /// Zones that are back in service, with the time until which their instances count as cold.
    cold_until: HashMap<name::AvailabilityZone, Instant>,
    zones_out: Vec<name::AvailabilityZone>,
    /// The reported state of engines, by address.
    engines: HashMap<SocketAddr, Engine>,
    /// The entries that share the instances.
    roster: Roster,
    /// What cold instances may get from all entries.
    cold_limit: Limit,
    /// The load that agents and other entries report.
    reports: load::Table,
    /// The work that leaves the zone, by service.
    spillovers: HashMap<name::Service, Spillover>,
    rng: StdRng,
}

impl Placer {
    /// Creates a placer for an entry in `zone`, with no requests in flight.
    pub fn new(
        zone: name::AvailabilityZone,
        regions: HashMap<name::AvailabilityZone, name::Region>,
        grace: Grace,
        rng: StdRng,
        now: Instant,
    ) -> Self {
        Self {
            roster: Roster::new(name::Vm::from(""), zone.clone()),
            zone,
            regions,
            version_margin: None,
            loads: HashMap::new(),
            breakers: breaker::Table::new(),
            silent: silence::Table::new(),
            notices: notice::Table::new(Duration::ZERO),
            targets: Targets::new(grace.seen, now + grace.unseen),
            cold_until: HashMap::new(),
            zones_out: Vec::new(),
            engines: HashMap::new(),
            cold_limit: Limit::default(),
            reports: load::Table::new(),
            spillovers: HashMap::new(),
            rng,
        }
    }

    /// Names the VM of this entry, by which the entries agree who uses which cold instance.
    #[must_use]
    pub fn with_vm(mut self, vm: name::Vm) -> Self {
        self.roster = Roster::new(vm, self.zone.clone());
        self
    }

    /// Sets what a cold instance may get from all entries together.
    #[must_use]
    pub fn with_cold_limit(mut self, limit: Limit) -> Self {
        self.cold_limit = limit;
        self
    }

    /// Uses instances that say that they leave for so long after their first notice, where nothing
    /// else can serve a request. Without it they are not used again.
    #[must_use]
    pub fn with_drain(mut self, drain: Duration) -> Self {
        self.notices = notice::Table::new(drain);
        self
    }

    /// Lets requests begin on an old version for so long after its grace period. Without it they
    /// may begin at any time.
    #[must_use]
    pub fn with_version_margin(mut self, margin: Duration) -> Self {
        self.version_margin = Some(margin);
        self
    }

    /// Updates from a new view of the replicated state. `targets` has the versions that were set so
    /// far.
    pub fn observe(&mut self, view: &View, targets: &naming::Table, now: Instant) {
        self.targets.observe(view, targets, now);
        self.observe_zones(view, now);
        self.observe_engines(view);
        let entries = view
            .vms
            .values()
            .map(|vm| &vm.announcement)
            .filter(|announcement| announcement.upstream == Upstream::Entry)
            .map(|announcement| (&announcement.vm, &announcement.zone));
        self.roster.observe(entries, view.instances.len(), now);
        self.reports.set_others(self.others_in_zone(view));
        self.loads
            .retain(|id, load| load.in_flight > 0 || view.instances.contains_key(id));
        self.breakers.retain(|id| view.instances.contains_key(id));
        self.silent.retain(|id| view.instances.contains_key(id));
        self.notices
            .retain(|id| view.instances.contains_key(id), now);
        self.reports.sweep(now);
        self.spillovers
            .retain(|service, _| view.services.contains_key(service));
    }

    /// Records a load report of an agent or another entry. Returns `false` if a newer one of its
    /// sender is known.
    pub fn observe_load(&mut self, report: Report, now: Instant) -> bool {
        self.reports.observe(report, now)
    }

    /// The load that agents and other entries report.
    pub fn reports(&self) -> &load::Table {
        &self.reports
    }

    /// The most entries that may share the instances, this one included.
    pub fn entries(&self, now: Instant) -> u32 {
        self.roster.most(now)
    }

    /// Chooses the eligible instance with the lowest score.
    ///
    /// Requests that share engines by priority go to the zone that [`Placer::spill`] chose, or else
    /// stay in the zone of this entry. They leave it also if no instance there may serve them, or
    /// if all of them are busy and another zone reports free capacity.
    ///
    /// # Errors
    ///
    /// [`Error`] if no eligible instance has capacity now.
    pub fn choose(
        &mut self,
        view: &View,
        requirements: &Requirements<'_>,
        now: Instant,
    ) -> Result<Choice, Error> {
        let Some(share) = requirements.share else {
            return self.choose_among(view, requirements, now, |_| true);
        };
        let home = self.zone.clone();
        if let Some(zone) = share.zone.filter(|zone| **zone != home) {
            let remote = self.choose_among(view, requirements, now, |other| other == zone);
            if remote.is_ok() {
                return remote;
            }
        }
        let local = self.choose_among(view, requirements, now, |zone| *zone == home);
        match local {
            Ok(choice) => Ok(choice),
            Err(Error::Busy) => {
                let spillover = self.spillovers.get(requirements.service);
                let free = spillover.map(Spillover::free_zones).unwrap_or_default();
                let remote = self.choose_among(view, requirements, now, |zone| free.contains(zone));
                remote.map_err(|_| Error::Busy)
            }
            Err(_) => self.choose_among(view, requirements, now, |_| true),
        }
    }

    fn choose_among(
        &mut self,
        view: &View,
        requirements: &Requirements<'_>,
        now: Instant,
        is_wanted: impl Fn(&name::AvailabilityZone) -> bool,
    ) -> Result<Choice, Error> {
        let Some(service) = view.services.get(requirements.service).cloned() else {
            return Err(Error::NoInstance);
        };
        let mut error = Error::NoInstance;
        let mut candidates = Vec::new();
        let avoids_silent = self.avoids_silent(view, requirements, now);
        for instance in view.instances.values() {
            if !is_wanted(&instance.zone) || self.is_suspected(instance, now) {
                continue;
            }
            if avoids_silent && self.silent.is_avoided(&instance.id, now) {
                error = Error::Busy;
                continue;
            }
            let Some(version) = self.eligible_version(view, &service, instance, requirements, now)
            else {
                continue;
            };
            let penalty = match self.notices.availability(instance, now) {
                Availability::Gone => continue,
                Availability::Paused(left) => {
                    error = error.or_later(Error::Paused(left));
                    continue;
                }
                Availability::Leaving => LEAVING_PENALTY,
                Availability::Available => 0.0,
            };
            if let Some(wait) = self.limited_for(instance, now) {
                error = error.or_later(Error::Limited(wait));
                continue;
            }
            error = Error::Busy;
            let instance = instance.clone();
            candidates.push((penalty, Choice { instance, version }));
        }
        if requirements.share.is_some() {
            self.sample(&mut candidates);
        }
        let mut best: Option<(f64, Choice)> = None;
        for (penalty, choice) in candidates {
            let Some(score) = self.score(&service, &choice.instance, requirements, now) else {
                continue;
            };
            let score = score + penalty;
            if best.as_ref().is_none_or(|(lowest, _)| score < *lowest) {
                best = Some((score, choice));
            }
        }
        match best {
            Some((_, choice)) => Ok(choice),
            None => Err(self.spread(error)),
        }
    }

    /// Keeps a few random candidates.
    fn sample<T>(&mut self, candidates: &mut Vec<T>) {
        let kept = CANDIDATES.min(candidates.len());
        for i in 0..kept {
            let other = self.rng.random_range(i..candidates.len());
            candidates.swap(i, other);
        }
        candidates.truncate(kept);
    }

    /// Returns this entry's share of the slots of all eligible instances. Suspected instances and
    /// those that leave count with zero slots.
    ///
    /// # Errors
    ///
    /// [`Error`] if no instance may serve the request, however long it waits.
    pub fn slots(
        &mut self,
        view: &View,
        requirements: &Requirements<'_>,
        now: Instant,
    ) -> Result<f64, Error> {
        let service = view
            .services
            .get(requirements.service)
            .ok_or(Error::NoInstance)?;
        let mut error = Some(Error::NoInstance);
        let mut slots = 0.0;
        for instance in view.instances.values() {
            let version = self.eligible_version(view, service, instance, requirements, now);
            if version.is_none() {
                continue;
            }
            let availability = self.notices.availability(instance, now);
            let later = match availability {
                Availability::Gone => continue,
                Availability::Paused(left) => Some(Error::Paused(left)),
                _ => self.limited_for(instance, now).map(Error::Limited),
            };
            error = match later {
                None => None,
                Some(later) => error.map(|error| error.or_later(later)),
            };
            if availability == Availability::Available && !self.is_suspected(instance, now) {
                slots += self.bearable_slots(instance);
            }
        }
        match error {
            Some(error) => Err(self.spread(error)),
            None => Ok(slots / f64::from(self.roster.count())),
        }
    }

    /// Records what the answer to a request that was sent at `sent_at` says of its instance.
    pub fn heed(
        &mut self,
        instance: &Instance,
        notice: Notice,
        sent_at: Instant,
        now: Instant,
    ) -> Vec<notice::Change> {
        self.notices.observe(instance, notice, sent_at, now)
    }

    /// Spreads the time at which callers come back after a pause.
    fn spread(&mut self, error: Error) -> Error {
        match error {
            Error::Paused(left) => Error::Paused(left + self.drawn_delay()),
            Error::Limited(left) => Error::Limited(left + self.drawn_delay()),
            error => error,
        }
    }

    fn drawn_delay(&mut self) -> Duration {
        PAUSE_SPREAD.mul_f64(self.rng.random_range(0.0..1.0))
    }

    /// Records that a request is being sent to the chosen instance.
    pub fn begin(&mut self, view: &View, choice: &Choice, prompt_tokens: u32, now: Instant) {
        let id = &choice.instance.id;
        self.breakers.begin(id, now);
        let service = view.services.get(&choice.instance.service);
        let warmup = service.and_then(|service| service.cold);
        let is_cold = self.is_cold(&choice.instance, now);
        let load = self.loads.entry(id.clone()).or_default();
        load.in_flight += 1;
        load.address = Some(choice.instance.address);
        self.reports.begin(choice.instance.address);
        load.prefill_tokens += u64::from(prompt_tokens);
        match warmup.filter(|_| is_cold) {
            None => load.cold = None,
            Some(warmup) => self.cold_quota(&choice.instance, warmup, now).take(now),
        }
        match self.notices.limit(&choice.instance) {
            None => self.loads.entry(id.clone()).or_default().limited = None,
            Some(limit) => self.limited_quota(&choice.instance, limit, now).take(now),
        }
    }

    /// Records that the answer to a request has begun.
    pub fn first_event(&mut self, id: &name::Instance, prompt_tokens: u32) {
        if let Some(load) = self.loads.get_mut(id) {
            load.prefill_tokens = load.prefill_tokens.saturating_sub(prompt_tokens.into());
        }
    }

    /// Records that a request has ended.
    pub fn end(&mut self, id: &name::Instance) {
        if let Some(load) = self.loads.get_mut(id) {
            load.in_flight = load.in_flight.saturating_sub(1);
            if let Some(address) = load.address {
                self.reports.end(address);
            }
        }
    }

    /// Records that a stream was sent to an engine, which usually begins it soon.
    pub fn expect(&mut self, id: &name::Instance, now: Instant) {
        self.silent.begin(id, now);
    }

    /// Records that a byte came from an instance.
    pub fn hear(&mut self, id: &name::Instance, now: Instant) {
        self.silent.hear(id, now);
    }

    /// Records that a stream that was sent at `sent_at` no longer waits for its first byte.
    pub fn stop_expecting(&mut self, id: &name::Instance, sent_at: Instant, now: Instant) {
        self.silent.end(id, sent_at, now);
    }

    /// Whether silent instances of the service are avoided. If many are silent, they are slow.
    fn avoids_silent(&self, view: &View, requirements: &Requirements<'_>, now: Instant) -> bool {
        if self.silent.is_empty() {
            return false;
        }
        let same = |instance: &&Arc<Instance>| instance.service == *requirements.service;
        let engines = view.instances.values().filter(same);
        let is_avoided = |instance: &&Arc<Instance>| self.silent.is_avoided(&instance.id, now);
        let avoided = engines.clone().filter(is_avoided).count();
        avoided > 0 && silence::Table::is_exception(avoided, engines.count())
    }

    /// Records a successful answer.
    pub fn succeed(&mut self, id: &name::Instance) {
        self.breakers.succeed(id);
    }

    /// Records that the instance refused a request without running it.
    pub fn refuse(&mut self, id: &name::Instance, now: Instant) {
        self.breakers.refuse(id, now);
    }

    /// Records a failure of the instance.
    pub fn fail(&mut self, id: &name::Instance, now: Instant) {
        self.breakers.fail(id, now);
    }

    /// Records that a call ended with no evidence about the instance's health.
    pub fn release(&mut self, id: &name::Instance) {
        self.breakers.release(id);
    }

    fn is_suspected(&self, instance: &Instance, now: Instant) -> bool {
        let standing = self.breakers.state(&instance.id, now);
        matches!(standing, State::Open(_))
    }

    /// Checks whether the instance may serve the request. Returns `None` if not, `Some(None)` if
    /// any version will do, and otherwise the version that the instance must serve.
    fn eligible_version(
        &self,
        view: &View,
        service: &Service,
        instance: &Instance,
        requirements: &Requirements<'_>,
        now: Instant,
    ) -> Option<Option<u64>> {
        let region = self.regions.get(&instance.zone);
        let is_allowed = requirements.regions.iter().all(|regions| {
            regions.is_empty() || region.is_some_and(|region| regions.contains(region))
        });
        let is_eligible = instance.service == *requirements.service
            && instance.phase == Phase::Ready
            && is_allowed
            && !view.zones_out.contains(&instance.zone)
            && !requirements.tried.contains(&instance.id);
        if !is_eligible {
            return None;
        }
        let (Some(engine), Some(model)) = (&service.engine, requirements.model) else {
            return Some(None);
        };
        let state = self.engines.get(&instance.address);
        if state.is_some_and(|state| state.is_moving) {
            return None;
        }
        let held = self.held_version(engine, instance, model)?;
        match (requirements.pinned, self.targets.min_version(model, now)) {
            // A resumed answer keeps its version unless that version is no longer allowed.
            (Some(pinned), min) => {
                let is_expired = min.is_some_and(|min| pinned < min);
                (pinned == held && !is_expired).then_some(Some(held))
            }
            (None, Some(min)) => (held >= min).then_some(Some(held)),
            (None, None) => Some(None),
        }
    }

    /// The version of a model that the instance serves.
    fn held_version(
        &self,
        engine: &routing::Engine,
        instance: &Instance,
        model: &name::Artifact,
    ) -> Option<u64> {
        // The agent learns of a version switch before the engine's next report.
        let state = self.engines.get(&instance.address);
        let served = state.and_then(|state| state.serving.iter().find(|(held, _)| held == model));
        let reported = instance.version_of(model, engine.layers);
        reported.max(served.map(|(_, version)| *version))
    }

    /// When a request that is sent to the instance now must have begun, if the instance serves an
    /// older version than the target. After that the request must not stay there, because a frozen
    /// engine runs it when it resumes. See `docs/LOAD.md`, "Requests that were given up".
    pub fn must_begin_by(
        &self,
        view: &View,
        instance: &Instance,
        model: &name::Artifact,
    ) -> Option<Instant> {
        let margin = self.version_margin?;
        let service = view.services.get(&instance.service)?;
        let held = self.held_version(service.engine.as_ref()?, instance, model)?;
        Some(self.targets.end_of(model, held)? + margin)
    }

    /// Returns the load of the instance plus penalties and jitter, in multiples of its slots, or
    /// `None` if it is at its limit.
    fn score(
        &mut self,
        service: &Service,
        instance: &Instance,
        requirements: &Requirements<'_>,
        now: Instant,
    ) -> Option<f64> {
        let warmup = service.cold.filter(|_| self.is_cold(instance, now));
        let jitter = self.rng.random_range(0.0..0.02);
        let entries = self.roster.count();
        let quota = warmup.map(|warmup| self.cold_quota(instance, warmup, now));
        if quota.is_some_and(|quota| !quota.has(now)) {
            return None;
        }
        let load = self.loads.entry(instance.id.clone()).or_default();
        if load.in_flight >= instance.slots.saturating_add(MAX_WAITING) {
            return None;
        }
        let slots = f64::from(instance.slots.max(1));
        let reported = match requirements.share {
            Some(_) => self.reports.occupancy(instance.address, now),
            None => None,
        };
        let guessed = f64::from(load.in_flight) * f64::from(entries) / slots;
        let running = match (requirements.share, reported) {
            (Some(share), Some(occupancy)) => {
                if occupancy.requests >= occupancy_limit(instance.slots, share.rank) {
                    return None;
                }
                let pace = f64::from(occupancy.pace_percent.max(1)) / PERCENT;
                let moves_early = occupancy.moves_in.is_some_and(|left| left < share.span);
                let penalty = match moves_early {
                    true => MOVE_PENALTY,
                    false => 0.0,
                };
                f64::from(occupancy.requests) * pace / slots + penalty
            }
            (Some(_), None) if guessed >= 1.0 => return None,
            _ => guessed,
        };
        let prefill = service.engine.as_ref().map_or(0.0, |engine| {
            let seconds = load.prefill_tokens as f64 / f64::from(engine.read_per_s.max(1));
            // Prefilling a prompt of typical length counts as one occupied slot.
            let usual = f64::from(engine.usual_prompt.max(1)) / f64::from(engine.read_per_s.max(1));
            seconds / usual / slots
        });
        let distance = match instance.zone == self.zone {
            true => 0.0,
            false => REMOTE_PENALTY,
        };
        let coldness = match warmup {
            Some(_) => COLD_PENALTY,
            None => 0.0,
        };
        Some(running + prefill + distance + coldness + jitter)
    }

    /// Whether the instance is warming up, or its zone has just come back into service.
    pub fn is_cold(&self, instance: &Instance, now: Instant) -> bool {
        let is_zone_cold = self
            .cold_until
            .get(&instance.zone)
            .is_some_and(|until| now < *until);
        instance.cold_ms > 0 || is_zone_cold
    }

    /// The number of other entries in the zone of this one.
    fn others_in_zone(&self, view: &View) -> usize {
        let vms = view.vms.values().map(|vm| &vm.announcement);
        let entries = vms.filter(|who| who.upstream == Upstream::Entry && who.zone == self.zone);
        entries.count().saturating_sub(1)
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

    /// Treats the instances of a zone that comes back into service as cold, for the longest cold
    /// period of any service.
    fn observe_zones(&mut self, view: &View, now: Instant) {
        let longest = view.services.values().filter_map(|service| service.cold);
        let span = longest.map(|cold| cold.span_ms).max().unwrap_or_default();
        let until = now + Duration::from_millis(span.into());
        let back = self
            .zones_out
            .iter()
            .filter(|zone| !view.zones_out.contains(*zone))
            .cloned();
        self.cold_until.retain(|_, until| now < *until);
        self.cold_until.extend(back.map(|zone| (zone, until)));
        self.zones_out = view.zones_out.iter().cloned().collect();
    }
}
