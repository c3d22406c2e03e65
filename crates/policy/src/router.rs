//! Chooses an upstream for each call of an entry.
//!
//! The concurrency limit of an upstream is enforced by its agent, not here. Stale load figures
//! therefore cost a refusal and a retry, but never cause an overload. See `docs/ARCHITECTURE.md`,
//! "Choice of upstream".

mod load;
mod subset;

use std::{collections::HashMap, sync::Arc, time::Duration};

use domain::{call::Target, clock::Instant, name, vm::Vm};
use rand::{Rng, RngExt};

pub use self::load::{Load, Report};
use self::subset::{Member, Subset};
use crate::{
    affinity::Point,
    breaker::{self, State},
    view::View,
};

/// Members of the next tier of locality are added once the least loaded member has this load.
const SPILL_LOAD: f64 = 0.9;
/// The owner of a prompt prefix is chosen up to this multiple of the mean load.
const AFFINITY_SLACK: f64 = 1.25;
/// The minimum time between two rebuilds of the subsets from the whole fleet. Each choice checks
/// the current state of the subset's members, so only new VMs wait for a rebuild.
const SUBSET_PERIOD: Duration = Duration::from_millis(200);
/// The retry delay that is suggested if no upstream serves what a call needs.
const NO_MEMBER_RETRY: Duration = Duration::from_secs(1);

/// What a call needs from its upstream.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Need {
    /// An engine that serves exactly these versions.
    Model(Target),
    /// A plain service.
    Service(name::Service),
}

/// A call that needs an upstream.
#[derive(Clone, Debug)]
pub struct Request<'a> {
    /// What the call needs.
    pub need: &'a Need,
    /// The hash of the prompt's prefix, if calls with the same prefix should share an upstream.
    pub prefix: Option<Point>,
    /// Upstreams that the call has already tried.
    pub tried: &'a [name::Vm],
}

/// No upstream was available, and nothing was executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Unavailable {
    /// The number of upstreams that serve what is needed, including tried ones and those with an
    /// open breaker.
    pub serving: usize,
    /// How long to wait before a retry.
    pub retry_after: Duration,
}

/// The location of an entry and the size of its subset of the fleet.
#[derive(Clone, Debug)]
pub struct Config {
    /// The entry's VM, which determines the subset of the fleet.
    pub vm: name::Vm,
    /// Its availability zone.
    pub zone: name::AvailabilityZone,
    /// Its region.
    pub region: name::Region,
    /// The maximum number of upstreams for one need.
    pub subset_size: usize,
}

/// The upstreams that one entry uses, with their loads and breakers.
pub struct Router {
    config: Config,
    view: Arc<View>,
    refreshed_at: Instant,
    subsets: HashMap<Need, Arc<Subset>>,
    loads: HashMap<name::Vm, Load>,
    breakers: breaker::Table,
}

impl Router {
    /// Creates a router without upstreams.
    pub fn new(config: Config) -> Self {
        Self {
            config,
            view: Arc::default(),
            refreshed_at: Instant::ZERO,
            subsets: HashMap::new(),
            loads: HashMap::new(),
            breakers: breaker::Table::new(),
        }
    }

    /// Chooses an upstream and counts the call as running on it until [`Router::end`].
    ///
    /// # Errors
    ///
    /// [`Unavailable`] if no upstream can take the call now.
    pub fn choose(
        &mut self,
        view: &Arc<View>,
        request: &Request<'_>,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Result<Arc<Vm>, Unavailable> {
        if now.since(self.refreshed_at) >= SUBSET_PERIOD {
            self.refresh(view, now);
        }
        let context = Context { view, request, now };
        let mut subset = self.subset(request.need);
        let mut chosen = self.pick(&subset, &context, rng);
        if chosen.is_none() && !Arc::ptr_eq(&self.view, view) {
            self.refresh(view, now);
            subset = self.subset(request.need);
            chosen = self.pick(&subset, &context, rng);
        }
        let chosen = chosen.ok_or_else(|| self.unavailable(&subset, now))?;
        let name = &chosen.vm.announcement.vm;
        let vm = view.vms.get(name).unwrap_or(&chosen.vm).clone();
        self.load(&vm).begin();
        self.breakers.begin(&vm.announcement.vm, now);
        Ok(vm)
    }

    /// Whether an available upstream that was not tried has room, by its estimated load.
    pub fn has_room(&mut self, view: &Arc<View>, request: &Request<'_>, now: Instant) -> bool {
        let subset = self.subset(request.need);
        let context = Context { view, request, now };
        let mut available = subset.members().filter(|m| self.is_available(m, &context));
        available.any(|member| self.ratio(member, now) < 1.0)
    }

    /// Records the end of a call on the upstream, whatever its result.
    pub fn end(&mut self, vm: &name::Vm) {
        if let Some(load) = self.loads.get_mut(vm) {
            load.end();
        }
        self.breakers.release(vm);
    }

    /// Records the load that the upstream's agent reported with an answer.
    pub fn report(&mut self, vm: &name::Vm, report: Report, now: Instant) {
        if let Some(load) = self.loads.get_mut(vm) {
            load.report(report, now);
        }
    }

    /// Records a complete answer of the upstream.
    pub fn succeed(&mut self, vm: &name::Vm) {
        self.breakers.succeed(vm);
    }

    /// Records that the upstream refused a call for a reason other than load.
    pub fn refuse(&mut self, vm: &name::Vm, now: Instant) {
        self.breakers.refuse(vm, now);
    }

    /// Records a failure of the upstream.
    pub fn fail(&mut self, vm: &name::Vm, now: Instant) {
        self.breakers.fail(vm, now);
    }

    fn refresh(&mut self, view: &Arc<View>, now: Instant) {
        self.refreshed_at = now;
        if Arc::ptr_eq(&self.view, view) {
            return;
        }
        self.view = view.clone();
        self.subsets.clear();
        let is_known = |vm: &name::Vm| view.vms.contains_key(vm);
        self.loads
            .retain(|vm, load| is_known(vm) || load.is_running());
        self.breakers.retain(is_known);
    }

    fn subset(&mut self, need: &Need) -> Arc<Subset> {
        if let Some(subset) = self.subsets.get(need) {
            return subset.clone();
        }
        let subset = Arc::new(Subset::new(&self.config, &self.view, need));
        self.subsets.insert(need.clone(), subset.clone());
        subset
    }

    fn pick<'a>(
        &self,
        subset: &'a Subset,
        context: &Context<'_>,
        rng: &mut impl Rng,
    ) -> Option<&'a Member> {
        let mut available: Vec<Candidate<'_>> = Vec::new();
        for tier in subset.tiers() {
            let members = tier.iter().filter(|m| self.is_available(m, context));
            available.extend(members.map(|member| Candidate {
                member,
                ratio: self.ratio(member, context.now),
                is_idle: self.is_idle(member),
            }));
            let best = available.iter().map(|c| c.ratio).fold(f64::MAX, f64::min);
            if best < SPILL_LOAD {
                break;
            }
        }
        let owner = context
            .request
            .prefix
            .and_then(|prefix| owner(&available, prefix));
        let chosen = owner.or_else(|| less_loaded_of_two(&available, rng))?;
        Some(chosen.member)
    }

    fn is_available(&self, member: &Member, context: &Context<'_>) -> bool {
        let Context { view, request, now } = context;
        let name = &member.vm.announcement.vm;
        let is_allowed = match self.breakers.state(name, *now) {
            State::Closed | State::HalfOpen => true,
            State::Open(_) => false,
        };
        is_allowed && !request.tried.contains(name) && is_eligible(view, name, request.need)
    }

    fn ratio(&self, member: &Member, now: Instant) -> f64 {
        let limit = member.vm.status.limit;
        self.loads
            .get(&member.vm.announcement.vm)
            .map_or(0.0, |load| load.ratio(limit, now))
    }

    fn is_idle(&self, member: &Member) -> bool {
        let load = self.loads.get(&member.vm.announcement.vm);
        !load.is_some_and(Load::is_running)
    }

    fn load(&mut self, vm: &Vm) -> &mut Load {
        let name = &vm.announcement.vm;
        self.loads.entry(name.clone()).or_default()
    }

    fn unavailable(&self, subset: &Subset, now: Instant) -> Unavailable {
        let pauses = subset.members().filter_map(|member| {
            match self.breakers.state(&member.vm.announcement.vm, now) {
                State::Open(pause) => Some(pause),
                State::Closed | State::HalfOpen => None,
            }
        });
        Unavailable {
            serving: subset.members().count(),
            retry_after: pauses.min().unwrap_or(NO_MEMBER_RETRY),
        }
    }
}

/// The inputs of a choice.
struct Context<'a> {
    view: &'a View,
    request: &'a Request<'a>,
    now: Instant,
}

/// An available member and its load.
#[derive(Clone, Copy)]
struct Candidate<'a> {
    member: &'a Member,
    ratio: f64,
    is_idle: bool,
}

/// Returns the owner of the prefix among the members that are idle or not loaded much above the
/// mean.
fn owner<'a>(available: &[Candidate<'a>], prefix: Point) -> Option<Candidate<'a>> {
    let sum: f64 = available.iter().map(|candidate| candidate.ratio).sum();
    let count = u32::try_from(available.len()).ok().filter(|n| *n > 0)?;
    let bound = (sum / f64::from(count) * AFFINITY_SLACK).min(SPILL_LOAD);
    let fitting = available.iter().filter(|c| c.ratio <= bound || c.is_idle);
    fitting
        .max_by_key(|candidate| prefix.weight(candidate.member.point))
        .copied()
}

/// Power of two choices: returns the less loaded of two randomly drawn members.
fn less_loaded_of_two<'a>(
    available: &[Candidate<'a>],
    rng: &mut impl Rng,
) -> Option<Candidate<'a>> {
    let first = match available {
        [] => return None,
        [only] => return Some(*only),
        many => rng.random_range(0..many.len()),
    };
    let second = (first + rng.random_range(1..available.len())) % available.len();
    let (first, second) = (available[first], available[second]);
    match second.ratio < first.ratio {
        true => Some(second),
        false => Some(first),
    }
}

/// Whether an upstream can take a call now: its zone is in service, it is not drained, and it
/// serves what is needed. Entries check this again right before they send the call.
pub fn is_eligible(view: &View, vm: &name::Vm, need: &Need) -> bool {
    view.vms
        .get(vm)
        .is_some_and(|vm| view.is_in_service(vm) && serves(vm, need))
}

fn serves(vm: &Vm, need: &Need) -> bool {
    use domain::vm::Upstream;
    match (need, &vm.announcement.upstream) {
        (Need::Model(target), Upstream::Engine { .. }) => {
            let adapter = target.adapter.as_ref();
            vm.status.serves(&target.model) && adapter.is_none_or(|id| vm.status.serves(id))
        }
        (Need::Service(wanted), Upstream::Service { name }) => {
            name == wanted && vm.status.lifecycle.is_serving()
        }
        (Need::Model(_), Upstream::Service { .. })
        | (Need::Service(_), Upstream::Engine { .. })
        | (_, Upstream::Entry | Upstream::Control) => false,
    }
}
