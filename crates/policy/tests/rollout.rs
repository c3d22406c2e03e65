//! Waves: each step waits for the VMs that are there, and for no others.
#![allow(clippy::unwrap_used)]

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use domain::{
    artifact,
    clock::Instant,
    digest::Digest,
    manifest::Pin,
    name,
    order::Fence,
    rollout::{FULL_WIDTH, Rollout, Stage, rank},
    vm::{Announcement, Holding, Lifecycle, Status, Upstream, Vm},
};
use policy::rollout::{Controller, FAILURE_GRACE, Input, WAVE_TIMEOUT};

const ZONES: [&str; 3] = ["saldanha", "durban", "gqeberha"];

fn id() -> artifact::Id {
    artifact::Id::new("draft", "2")
}

fn vm(n: usize, holding: Option<Holding>) -> Vm {
    let addr = SocketAddr::from(([127, 0, 0, 1], 1));
    let lifecycle = match holding {
        Some(Holding::Serving) => Lifecycle::Warm,
        _ => Lifecycle::Announced,
    };
    Vm {
        announcement: Announcement {
            vm: format!("vm-{n}").as_str().into(),
            zone: ZONES[n % 3].into(),
            region: "r".into(),
            incarnation: 1,
            call_addr: addr,
            chunk_addr: addr,
            upstream: Upstream::Engine {
                checks_fencing: true,
            },
        },
        status: Status {
            lifecycle,
            holdings: holding.into_iter().map(|holding| (id(), holding)).collect(),
            fence: Fence::default(),
            limit: 1,
        },
    }
}

/// A fleet of twelve engines, four in each zone, and what the controller is asked.
struct World {
    controller: Controller,
    stage: Stage,
    index: u64,
    vms: Vec<Vm>,
    zones_out: BTreeSet<name::AvailabilityZone>,
    drains: BTreeSet<name::Vm>,
}

impl World {
    fn new(stage: Stage, holding: Option<Holding>) -> Self {
        Self {
            controller: Controller::new(),
            stage,
            index: 1,
            vms: std::iter::repeat_n(holding, 12)
                .enumerate()
                .map(|(n, holding)| vm(n, holding))
                .collect(),
            zones_out: BTreeSet::new(),
            drains: BTreeSet::new(),
        }
    }

    /// The next stage at a time after the first question, which is asked at zero.
    fn next(&mut self, after: Duration) -> Option<Stage> {
        self.ask(Duration::ZERO);
        self.ask(after)
    }

    fn ask(&mut self, after: Duration) -> Option<Stage> {
        let rollout = Rollout {
            artifact: id(),
            pin: Pin {
                digest: Digest::of(b"m"),
                total_bytes: 1,
                chunks: 1,
            },
            stage: self.stage.clone(),
            fence: Fence {
                term: 1,
                index: self.index,
            },
        };
        let rollouts = BTreeMap::from([(id(), rollout)]);
        let vms: Vec<&Vm> = self.vms.iter().collect();
        let input = Input {
            rollouts: &rollouts,
            vms: &vms,
            zones_out: &self.zones_out,
            drains: &self.drains,
        };
        let moves = self.controller.decide(Instant::ZERO + after, &input);
        moves.into_iter().next().map(|step| step.to)
    }

    fn in_wave(&self, width: u32) -> Vec<usize> {
        let rank_of = |vm: &Vm| rank(&vm.announcement.vm, &id());
        (0..self.vms.len())
            .filter(|n| rank_of(&self.vms[*n]) < width)
            .collect()
    }
}

#[test]
fn the_first_wave_has_a_vm_in_each_zone_and_waits_until_it_holds_the_version() {
    let mut world = World::new(Stage::Prefetch, Some(Holding::Held));
    let Some(Stage::Wave { width }) = world.next(Duration::ZERO) else {
        panic!("no first wave");
    };
    let wave = world.in_wave(width);
    let zones: BTreeSet<_> = wave.iter().map(|n| n % 3).collect();
    assert_eq!(zones.len(), ZONES.len());
    world.vms[wave[0]] = vm(wave[0], Some(Holding::Fetching { chunks: 0 }));
    assert_eq!(world.next(Duration::ZERO), None);
}

#[test]
fn a_wave_widens_only_when_each_of_its_vms_serves() {
    let mut world = World::new(Stage::Wave { width: 500 }, Some(Holding::Held));
    assert_eq!(world.next(Duration::ZERO), None);
    for n in world.in_wave(500) {
        world.vms[n] = vm(n, Some(Holding::Serving));
    }
    assert_eq!(
        world.next(Duration::ZERO),
        Some(Stage::Wave { width: FULL_WIDTH })
    );
    world.stage = Stage::Wave { width: FULL_WIDTH };
    assert_eq!(world.next(Duration::ZERO), None, "half of them serve");
    world.vms = (0..12).map(|n| vm(n, Some(Holding::Serving))).collect();
    assert_eq!(world.next(Duration::ZERO), Some(Stage::Ready));
}

#[test]
fn dead_drained_and_out_of_service_vms_are_not_waited_for() {
    let full = Stage::Wave { width: FULL_WIDTH };
    let fresh = || {
        let mut world = World::new(full.clone(), Some(Holding::Serving));
        for n in [1, 4, 7, 10] {
            world.vms[n] = vm(n, Some(Holding::Held));
        }
        world
    };
    assert_eq!(fresh().next(Duration::ZERO), None);
    let mut dead = fresh();
    dead.vms.retain(|vm| vm.status.lifecycle == Lifecycle::Warm);
    assert_eq!(dead.next(Duration::ZERO), Some(Stage::Ready));
    let mut out = fresh();
    out.zones_out.insert(ZONES[1].into());
    assert_eq!(out.next(Duration::ZERO), Some(Stage::Ready));
    let mut drained = fresh();
    drained.drains = [1, 4, 7, 10]
        .map(|n| name::Vm::from(format!("vm-{n}").as_str()))
        .into();
    assert_eq!(drained.next(Duration::ZERO), Some(Stage::Ready));
}

#[test]
fn without_any_engine_nothing_moves() {
    for stage in [Stage::Prefetch, Stage::Wave { width: FULL_WIDTH }] {
        let mut world = World::new(stage, None);
        world.vms.clear();
        assert_eq!(world.next(WAVE_TIMEOUT * 2), None);
    }
}

#[test]
fn a_failed_load_halts_the_rollout_once_the_report_is_of_this_stage() {
    let mut world = World::new(Stage::Wave { width: 50 }, Some(Holding::Serving));
    let reason = "out of memory".to_owned();
    world.vms[3] = vm(3, Some(Holding::Failed { reason }));
    assert_eq!(
        world.next(FAILURE_GRACE),
        Some(Stage::Halted {
            reason: "vm-3: out of memory".to_owned(),
            width: 50
        })
    );
    let mut resumed = World::new(Stage::Wave { width: 1 }, Some(Holding::Held));
    resumed.vms[3] = world.vms[3].clone();
    resumed.ask(Duration::ZERO);
    resumed.ask(FAILURE_GRACE);
    resumed.index = 2;
    let old_report = resumed.ask(FAILURE_GRACE + Duration::from_millis(1));
    assert!(!matches!(old_report, Some(Stage::Halted { .. })));
}

#[test]
fn one_stuck_vm_does_not_keep_a_version_from_the_fleet() {
    let mut world = World::new(Stage::Wave { width: FULL_WIDTH }, Some(Holding::Serving));
    world.vms = (0..60).map(|n| vm(n, Some(Holding::Serving))).collect();
    world.vms[0] = vm(0, Some(Holding::Loading));
    assert_eq!(world.next(WAVE_TIMEOUT / 2), None);
    assert_eq!(world.next(WAVE_TIMEOUT), Some(Stage::Ready));
    for n in [3, 6, 9] {
        world.vms[n] = vm(n, Some(Holding::Loading));
    }
    assert_eq!(world.next(WAVE_TIMEOUT), None, "a fifth of a zone is stuck");
}
