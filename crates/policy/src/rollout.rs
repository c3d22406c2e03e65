//! Rollout stages: prefetch everywhere, load in growing waves, then ready.
//!
//! The leader calls [`Controller::decide`] at every tick and commits the transitions. Decisions
//! follow from replicated state, so a new leader continues where the old one stopped. See
//! `docs/DECISIONS.md`, "Waves".

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use domain::{
    artifact,
    clock::Instant,
    name,
    order::Fence,
    rollout::{FULL_WIDTH, Rollout, Stage, rank},
    vm::{Holding, Upstream, Vm},
};

/// The width of the smallest first wave, in thousandths of each zone.
pub const FIRST_WIDTH: u32 = 50;
/// The factor by which each wave is wider than the previous one.
pub const WIDTH_FACTOR: u32 = 4;
/// How long failed loads are ignored after a stage begins. A report in this time may belong to the
/// previous stage.
pub const FAILURE_GRACE: Duration = Duration::from_secs(2);
/// How long a wave waits for all of its VMs; after that, [`MIN_SERVING_PERCENT`] is enough.
pub const WAVE_TIMEOUT: Duration = Duration::from_secs(60);
/// The percentage of a wave's VMs in each zone that must serve after [`WAVE_TIMEOUT`].
pub const MIN_SERVING_PERCENT: usize = 90;

/// A change of a rollout's stage.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Transition {
    /// The version.
    pub artifact: artifact::Id,
    /// The stage that the decision is based on.
    pub from: Stage,
    /// The new stage.
    pub to: Stage,
}

/// The state that decisions are based on.
#[derive(Clone, Copy, Debug)]
pub struct Input<'a> {
    /// The rollouts.
    pub rollouts: &'a BTreeMap<artifact::Id, Rollout>,
    /// All known VMs.
    pub vms: &'a [&'a Vm],
    /// Availability zones that are out of service. Rollouts don't wait for their VMs.
    pub zones_out: &'a BTreeSet<name::AvailabilityZone>,
    /// VMs drained by an operator. Rollouts don't wait for them.
    pub drains: &'a BTreeSet<name::Vm>,
}

/// When this replica first saw a rollout in its stage, by its own clock.
#[derive(Clone, Copy, Debug)]
struct Observation {
    fence: Fence,
    since: Instant,
}

/// Decides when rollouts change their stage.
#[derive(Debug, Default)]
pub struct Controller {
    observed: BTreeMap<artifact::Id, Observation>,
}

impl Controller {
    /// Creates a controller that has observed no rollout.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the transitions that are due, at most one per rollout.
    pub fn decide(&mut self, now: Instant, input: &Input<'_>) -> Vec<Transition> {
        self.observed
            .retain(|id, _| input.rollouts.contains_key(id));
        input
            .rollouts
            .values()
            .filter_map(|rollout| {
                let elapsed = self.elapsed(now, rollout);
                let to = next(input, rollout, elapsed)?;
                Some(Transition {
                    artifact: rollout.artifact.clone(),
                    from: rollout.stage.clone(),
                    to,
                })
            })
            .collect()
    }

    fn elapsed(&mut self, now: Instant, rollout: &Rollout) -> Duration {
        let fresh = Observation {
            fence: rollout.fence,
            since: now,
        };
        let observed = self
            .observed
            .entry(rollout.artifact.clone())
            .and_modify(|observed| {
                if observed.fence != rollout.fence {
                    *observed = fresh;
                }
            })
            .or_insert(fresh);
        now.since(observed.since)
    }
}

/// The engines of one availability zone that take part in a rollout.
struct Zone<'a> {
    vms: Vec<&'a Vm>,
}

fn next(input: &Input<'_>, rollout: &Rollout, elapsed: Duration) -> Option<Stage> {
    let zones = zones(input);
    let is_done = matches!(rollout.stage, Stage::Ready | Stage::Halted { .. });
    if is_done || zones.is_empty() {
        return None;
    }
    let id = &rollout.artifact;
    if elapsed >= FAILURE_GRACE
        && let Some(reason) = failure(&zones, id)
    {
        let width = rollout.stage.width();
        return Some(Stage::Halted { reason, width });
    }
    match rollout.stage {
        Stage::Prefetch => {
            let width = first_width(&zones, id);
            let is_held = |vm: &&Vm| rank(&vm.announcement.vm, id) >= width || holds(vm, id);
            let is_complete = zones.iter().flat_map(|zone| &zone.vms).all(is_held);
            is_complete.then_some(Stage::Wave { width })
        }
        Stage::Wave { width } if !is_serving(&zones, id, width, elapsed) => None,
        Stage::Wave { width: FULL_WIDTH } => Some(Stage::Ready),
        Stage::Wave { width } => Some(Stage::Wave {
            width: width.saturating_mul(WIDTH_FACTOR).min(FULL_WIDTH),
        }),
        Stage::Ready | Stage::Halted { .. } => None,
    }
}

fn zones<'a>(input: &Input<'a>) -> Vec<Zone<'a>> {
    let mut zones: BTreeMap<&name::AvailabilityZone, Vec<&Vm>> = BTreeMap::new();
    let participants = input.vms.iter().filter(|vm| {
        let announcement = &vm.announcement;
        matches!(announcement.upstream, Upstream::Engine { .. })
            && !input.zones_out.contains(&announcement.zone)
            && !input.drains.contains(&announcement.vm)
            && vm.status.lifecycle != domain::vm::Lifecycle::Draining
    });
    for vm in participants {
        zones.entry(&vm.announcement.zone).or_default().push(vm);
    }
    zones.into_values().map(|vms| Zone { vms }).collect()
}

fn failure(zones: &[Zone<'_>], id: &artifact::Id) -> Option<String> {
    zones
        .iter()
        .flat_map(|zone| &zone.vms)
        .find_map(|vm| match vm.status.holdings.get(id) {
            Some(Holding::Failed { reason }) => Some(format!("{}: {reason}", vm.announcement.vm)),
            _ => None,
        })
}

/// Returns the smallest width, at least [`FIRST_WIDTH`], that has a VM in each zone.
fn first_width(zones: &[Zone<'_>], id: &artifact::Id) -> u32 {
    zones
        .iter()
        .filter_map(|zone| {
            let ranks = zone.vms.iter().map(|vm| rank(&vm.announcement.vm, id));
            ranks.min()
        })
        .map(|lowest| lowest + 1)
        .fold(FIRST_WIDTH, u32::max)
}

fn holds(vm: &Vm, id: &artifact::Id) -> bool {
    matches!(
        vm.status.holdings.get(id),
        Some(Holding::Held | Holding::Loading | Holding::Serving)
    )
}

/// Whether the VMs of the wave serve the version. All of them must serve it at first. After
/// [`WAVE_TIMEOUT`] a percentage in each zone is enough, so that a stuck VM doesn't block the
/// rollout.
fn is_serving(zones: &[Zone<'_>], id: &artifact::Id, width: u32, elapsed: Duration) -> bool {
    zones.iter().all(|zone| {
        let wave: Vec<_> = zone
            .vms
            .iter()
            .filter(|vm| rank(&vm.announcement.vm, id) < width)
            .collect();
        let serving = wave.iter().filter(|vm| vm.status.serves(id)).count();
        match elapsed < WAVE_TIMEOUT {
            true => serving == wave.len(),
            false => serving * 100 >= wave.len() * MIN_SERVING_PERCENT,
        }
    })
}
