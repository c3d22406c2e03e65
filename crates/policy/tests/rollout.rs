//! Rollout stages: a wave waits for the live VMs in service and for no others.
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

/// A controller and its input: a rollout and twelve engines, four in each zone.
struct Fixture {
    controller: Controller,
    stage: Stage,
    index: u64,
    vms: Vec<Vm>,
    zones_out: BTreeSet<name::AvailabilityZone>,
    drains: BTreeSet<name::Vm>,
}

impl Fixture {
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

    /// Decides at time zero, then returns the decision at the given time.
    fn next(&mut self, after: Duration) -> Option<Stage> {
        self.decide(Duration::ZERO);
        self.decide(after)
    }

    fn decide(&mut self, after: Duration) -> Option<Stage> {
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
        let transitions = self.controller.decide(Instant::ZERO + after, &input);
        transitions
            .into_iter()
            .next()
            .map(|transition| transition.to)
    }

    fn in_wave(&self, width: u32) -> Vec<usize> {
        let rank_of = |vm: &Vm| rank(&vm.announcement.vm, &id());
        (0..self.vms.len())
            .filter(|n| rank_of(&self.vms[*n]) < width)
            .collect()
    }
}

#[test]
fn first_wave_covers_each_zone_and_waits_for_prefetch() {
    let mut fixture = Fixture::new(Stage::Prefetch, Some(Holding::Held));
    let Some(Stage::Wave { width }) = fixture.next(Duration::ZERO) else {
        panic!("no first wave");
    };
    let wave = fixture.in_wave(width);
    let zones: BTreeSet<_> = wave.iter().map(|n| n % 3).collect();
    assert_eq!(zones.len(), ZONES.len());
    fixture.vms[wave[0]] = vm(wave[0], Some(Holding::Fetching { chunks: 0 }));
    assert_eq!(fixture.next(Duration::ZERO), None);
}

#[test]
fn wave_widens_once_all_its_vms_serve() {
    let mut fixture = Fixture::new(Stage::Wave { width: 500 }, Some(Holding::Held));
    assert_eq!(fixture.next(Duration::ZERO), None);
    for n in fixture.in_wave(500) {
        fixture.vms[n] = vm(n, Some(Holding::Serving));
    }
    assert_eq!(
        fixture.next(Duration::ZERO),
        Some(Stage::Wave { width: FULL_WIDTH })
    );
    fixture.stage = Stage::Wave { width: FULL_WIDTH };
    assert_eq!(
        fixture.next(Duration::ZERO),
        None,
        "only half of the VMs serve"
    );
    fixture.vms = (0..12).map(|n| vm(n, Some(Holding::Serving))).collect();
    assert_eq!(fixture.next(Duration::ZERO), Some(Stage::Ready));
}

#[test]
fn wave_ignores_dead_drained_and_out_of_service_vms() {
    let full = Stage::Wave { width: FULL_WIDTH };
    let fresh = || {
        let mut fixture = Fixture::new(full.clone(), Some(Holding::Serving));
        for n in [1, 4, 7, 10] {
            fixture.vms[n] = vm(n, Some(Holding::Held));
        }
        fixture
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
fn rollout_without_engines_keeps_its_stage() {
    for stage in [Stage::Prefetch, Stage::Wave { width: FULL_WIDTH }] {
        let mut fixture = Fixture::new(stage, None);
        fixture.vms.clear();
        assert_eq!(fixture.next(WAVE_TIMEOUT * 2), None);
    }
}

#[test]
fn failed_load_halts_rollout_after_failure_grace() {
    let mut fixture = Fixture::new(Stage::Wave { width: 50 }, Some(Holding::Serving));
    let reason = "out of memory".to_owned();
    fixture.vms[3] = vm(3, Some(Holding::Failed { reason }));
    assert_eq!(
        fixture.next(FAILURE_GRACE),
        Some(Stage::Halted {
            reason: "vm-3: out of memory".to_owned(),
            width: 50
        })
    );
    let mut resumed = Fixture::new(Stage::Wave { width: 1 }, Some(Holding::Held));
    resumed.vms[3] = fixture.vms[3].clone();
    resumed.decide(Duration::ZERO);
    resumed.decide(FAILURE_GRACE);
    resumed.index = 2;
    let old_report = resumed.decide(FAILURE_GRACE + Duration::from_millis(1));
    assert!(!matches!(old_report, Some(Stage::Halted { .. })));
}

#[test]
fn wave_timeout_tolerates_one_stuck_vm() {
    let mut fixture = Fixture::new(Stage::Wave { width: FULL_WIDTH }, Some(Holding::Serving));
    fixture.vms = (0..60).map(|n| vm(n, Some(Holding::Serving))).collect();
    fixture.vms[0] = vm(0, Some(Holding::Loading));
    assert_eq!(fixture.next(WAVE_TIMEOUT / 2), None);
    assert_eq!(fixture.next(WAVE_TIMEOUT), Some(Stage::Ready));
    for n in [3, 6, 9] {
        fixture.vms[n] = vm(n, Some(Holding::Loading));
    }
    assert_eq!(
        fixture.next(WAVE_TIMEOUT),
        None,
        "a fifth of the VMs in a zone is stuck"
    );
}
