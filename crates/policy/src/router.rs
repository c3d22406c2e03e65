//! The entry's choice of an upstream for each call.
//!
//! The entry only chooses well; what an upstream may bear is enforced by its agent. So stale load
//! figures cost a refusal and a retry, and never an overload. See `docs/ARCHITECTURE.md`, "Choice
//! of upstream".

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

/// A tier of locality is left for the next one once its best member has this load.
const SPILL_LOAD: f64 = 0.9;
/// How far above the mean load the owner of a prompt prefix may lie and still be chosen.
const AFFINITY_SLACK: f64 = 1.25;
/// The least time between two walks through the whole fleet. Changes in between are seen at each
/// choice for the members of the subset, so only newcomers wait for it.
const SUBSET_PERIOD: Duration = Duration::from_millis(200);
/// When another try makes sense if no upstream serves what is wanted.
const NO_MEMBER_RETRY: Duration = Duration::from_secs(1);

/// What a call needs of its upstream.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Need {
    /// An engine that serves exactly these versions.
    Model(Target),
    /// A plain service.
    Service(name::Service),
}

/// A call that looks for an upstream.
#[derive(Clone, Debug)]
pub struct Request<'a> {
    /// What it needs.
    pub need: &'a Need,
    /// The start of its prompt, if it should meet others that share it.
    pub prefix: Option<Point>,
    /// Upstreams that it has tried.
    pub tried: &'a [name::Vm],
}

/// Why no upstream was chosen. Nothing ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Unavailable {
    /// Upstreams that serve what is wanted, suspected and tried ones included.
    pub serving: usize,
    /// When another try makes sense.
    pub retry_after: Duration,
}

/// How an entry places itself and how much of the fleet it uses.
#[derive(Clone, Debug)]
pub struct Config {
    /// The entry's VM; it decides which subset of the fleet is used.
    pub vm: name::Vm,
    /// Its availability zone.
    pub zone: name::AvailabilityZone,
    /// Its region.
    pub region: name::Region,
    /// How many upstreams are used for one need.
    pub subset_size: usize,
}

/// What one entry knows about upstreams.
pub struct Router {
    config: Config,
    view: Arc<View>,
    followed_at: Instant,
    subsets: HashMap<Need, Arc<Subset>>,
    loads: HashMap<name::Vm, Load>,
    breakers: breaker::Table,
}

impl Router {
    /// A router that knows no upstream yet.
    pub fn new(config: Config) -> Self {
        Self {
            config,
            view: Arc::default(),
            followed_at: Instant::ZERO,
            subsets: HashMap::new(),
            loads: HashMap::new(),
            breakers: breaker::Table::new(),
        }
    }

    /// Chooses an upstream and counts the call as running there until [`Router::end`].
    ///
    /// # Errors
    ///
    /// [`Unavailable`] if no upstream may take the call now.
    pub fn choose(
        &mut self,
        view: &Arc<View>,
        request: &Request<'_>,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Result<Arc<Vm>, Unavailable> {
        if now.since(self.followed_at) >= SUBSET_PERIOD {
            self.follow(view, now);
        }
        let seen = Seen { view, request, now };
        let mut subset = self.subset(request.need);
        let mut chosen = self.pick(&subset, &seen, rng);
        if chosen.is_none() && !Arc::ptr_eq(&self.view, view) {
            self.follow(view, now);
            subset = self.subset(request.need);
            chosen = self.pick(&subset, &seen, rng);
        }
        let chosen = chosen.ok_or_else(|| self.unavailable(&subset, now))?;
        let name = &chosen.vm.announcement.vm;
        let vm = view.vms.get(name).unwrap_or(&chosen.vm).clone();
        self.load(&vm).begin();
        self.breakers.begin(&vm.announcement.vm, now);
        Ok(vm)
    }

    /// Whether some upstream that was not tried has room by what is known of its load.
    pub fn has_room(&mut self, view: &Arc<View>, request: &Request<'_>, now: Instant) -> bool {
        let subset = self.subset(request.need);
        let seen = Seen { view, request, now };
        let mut available = subset.members().filter(|m| self.is_available(m, &seen));
        available.any(|member| self.ratio(member, now) < 1.0)
    }

    /// A call on the upstream has ended, however it ended.
    pub fn end(&mut self, vm: &name::Vm) {
        if let Some(load) = self.loads.get_mut(vm) {
            load.end();
        }
        self.breakers.release(vm);
    }

    /// The upstream's agent reported its load with an answer.
    pub fn report(&mut self, vm: &name::Vm, report: Report, now: Instant) {
        if let Some(load) = self.loads.get_mut(vm) {
            load.report(report, now);
        }
    }

    /// The upstream gave a whole answer.
    pub fn succeed(&mut self, vm: &name::Vm) {
        self.breakers.succeed(vm);
    }

    /// The upstream refused a call for a cause other than load.
    pub fn refuse(&mut self, vm: &name::Vm, now: Instant) {
        self.breakers.refuse(vm, now);
    }

    /// The upstream failed.
    pub fn fail(&mut self, vm: &name::Vm, now: Instant) {
        self.breakers.fail(vm, now);
    }

    fn follow(&mut self, view: &Arc<View>, now: Instant) {
        self.followed_at = now;
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
        seen: &Seen<'_>,
        rng: &mut impl Rng,
    ) -> Option<&'a Member> {
        let mut available: Vec<Candidate<'_>> = Vec::new();
        for tier in subset.tiers() {
            let members = tier.iter().filter(|m| self.is_available(m, seen));
            available.extend(members.map(|member| Candidate {
                member,
                ratio: self.ratio(member, seen.now),
                is_idle: self.is_idle(member),
            }));
            let best = available.iter().map(|c| c.ratio).fold(f64::MAX, f64::min);
            if best < SPILL_LOAD {
                break;
            }
        }
        let owner = seen
            .request
            .prefix
            .and_then(|prefix| owner(&available, prefix));
        let chosen = owner.or_else(|| lighter_of_two(&available, rng))?;
        Some(chosen.member)
    }

    fn is_available(&self, member: &Member, seen: &Seen<'_>) -> bool {
        let Seen { view, request, now } = seen;
        let name = &member.vm.announcement.vm;
        let is_trusted = match self.breakers.state(name, *now) {
            State::Closed | State::HalfOpen => true,
            State::Open(_) => false,
        };
        is_trusted && !request.tried.contains(name) && is_eligible(view, name, request.need)
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

/// What a choice is made from.
struct Seen<'a> {
    view: &'a View,
    request: &'a Request<'a>,
    now: Instant,
}

/// A member that may take the call.
#[derive(Clone, Copy)]
struct Candidate<'a> {
    member: &'a Member,
    ratio: f64,
    is_idle: bool,
}

/// The member to which the prefix belongs, passing over those that bear more than the others.
fn owner<'a>(available: &[Candidate<'a>], prefix: Point) -> Option<Candidate<'a>> {
    let sum: f64 = available.iter().map(|candidate| candidate.ratio).sum();
    let count = u32::try_from(available.len()).ok().filter(|n| *n > 0)?;
    let bound = (sum / f64::from(count) * AFFINITY_SLACK).min(SPILL_LOAD);
    let fitting = available.iter().filter(|c| c.ratio <= bound || c.is_idle);
    fitting
        .max_by_key(|candidate| prefix.weight(candidate.member.point))
        .copied()
}

/// Power of two choices: the less loaded of two members drawn at random.
fn lighter_of_two<'a>(available: &[Candidate<'a>], rng: &mut impl Rng) -> Option<Candidate<'a>> {
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

/// Whether an upstream may take a call now: its zone is in service, it is not drained, and it
/// serves what is needed. Entries ask this again at the moment of sending.
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
