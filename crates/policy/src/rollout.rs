//! How rollouts move on: prefetch everywhere, then waves of loads, then ready.
//!
//! The leader asks [`Controller::decide`] at every tick and commits the moves. The state alone
//! decides, so a new leader goes on where the old one stopped. See `docs/DECISIONS.md`, "Waves".

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

/// The smallest first wave, in thousandths of each zone.
pub const FIRST_WIDTH: u32 = 50;
/// How many times wider each wave is than the one before.
pub const WIDTH_FACTOR: u32 = 4;
/// How long a failed load is ignored after a stage begins: the report may be of the last one.
pub const FAILURE_GRACE: Duration = Duration::from_secs(2);
/// How long a wave waits for its last VMs.
pub const WAVE_TIMEOUT: Duration = Duration::from_secs(60);
/// The part of a wave in each zone that is enough after that time, in hundredths.
pub const MIN_SERVING_PERCENT: usize = 90;

/// A decision to move a rollout on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Transition {
    /// The version.
    pub artifact: artifact::Id,
    /// The stage from which it was decided.
    pub from: Stage,
    /// The new stage.
    pub to: Stage,
}

/// What the decisions look at.
#[derive(Clone, Copy, Debug)]
pub struct Input<'a> {
    /// The rollouts.
    pub rollouts: &'a BTreeMap<artifact::Id, Rollout>,
    /// Every VM that is known.
    pub vms: &'a [&'a Vm],
    /// Availability zones that are out of service. Nobody waits for their VMs.
    pub zones_out: &'a BTreeSet<name::AvailabilityZone>,
    /// VMs that an operator drains.
    pub drains: &'a BTreeSet<name::Vm>,
}

/// Since when a stage lasts, on this replica's own clock.
#[derive(Clone, Copy, Debug)]
struct Seen {
    fence: Fence,
    since: Instant,
}

/// Decides when rollouts move on.
#[derive(Debug, Default)]
pub struct Controller {
    seen: BTreeMap<artifact::Id, Seen>,
}

impl Controller {
    /// A controller that has seen nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// The moves that the input asks for now, at most one for each rollout.
    pub fn decide(&mut self, now: Instant, input: &Input<'_>) -> Vec<Transition> {
        self.seen.retain(|id, _| input.rollouts.contains_key(id));
        input
            .rollouts
            .values()
            .filter_map(|rollout| {
                let lasted = self.lasted(now, rollout);
                let to = next(input, rollout, lasted)?;
                Some(Transition {
                    artifact: rollout.artifact.clone(),
                    from: rollout.stage.clone(),
                    to,
                })
            })
            .collect()
    }

    fn lasted(&mut self, now: Instant, rollout: &Rollout) -> Duration {
        let fresh = Seen {
            fence: rollout.fence,
            since: now,
        };
        let seen = self
            .seen
            .entry(rollout.artifact.clone())
            .and_modify(|seen| {
                if seen.fence != rollout.fence {
                    *seen = fresh;
                }
            })
            .or_insert(fresh);
        now.since(seen.since)
    }
}

/// The engines of one zone that take part in a rollout.
struct Zone<'a> {
    vms: Vec<&'a Vm>,
}

fn next(input: &Input<'_>, rollout: &Rollout, lasted: Duration) -> Option<Stage> {
    let zones = zones(input);
    let is_settled = matches!(rollout.stage, Stage::Ready | Stage::Halted { .. });
    if is_settled || zones.is_empty() {
        return None;
    }
    let id = &rollout.artifact;
    if lasted >= FAILURE_GRACE
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
        Stage::Wave { width } if !is_enough(&zones, id, width, lasted) => None,
        Stage::Wave { width: FULL_WIDTH } => Some(Stage::Ready),
        Stage::Wave { width } => Some(Stage::Wave {
            width: width.saturating_mul(WIDTH_FACTOR).min(FULL_WIDTH),
        }),
        Stage::Ready | Stage::Halted { .. } => None,
    }
}

fn zones<'a>(input: &Input<'a>) -> Vec<Zone<'a>> {
    let mut zones: BTreeMap<&name::AvailabilityZone, Vec<&Vm>> = BTreeMap::new();
    let waited_for = input.vms.iter().filter(|vm| {
        let who = &vm.announcement;
        matches!(who.upstream, Upstream::Engine { .. })
            && !input.zones_out.contains(&who.zone)
            && !input.drains.contains(&who.vm)
            && vm.status.lifecycle != domain::vm::Lifecycle::Draining
    });
    for vm in waited_for {
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

/// The smallest width that has at least one VM in each zone.
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

/// Whether the VMs of the wave serve the version: all of them, or enough in each zone after a
/// while, so that one stuck VM doesn't keep a version from the whole fleet.
fn is_enough(zones: &[Zone<'_>], id: &artifact::Id, width: u32, lasted: Duration) -> bool {
    zones.iter().all(|zone| {
        let wave: Vec<_> = zone
            .vms
            .iter()
            .filter(|vm| rank(&vm.announcement.vm, id) < width)
            .collect();
        let serving = wave.iter().filter(|vm| vm.status.serves(id)).count();
        match lasted < WAVE_TIMEOUT {
            true => serving == wave.len(),
            false => serving * 100 >= wave.len() * MIN_SERVING_PERCENT,
        }
    })
}
