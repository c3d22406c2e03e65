//! The router's choice of upstreams: locality, eligibility, load, affinity and failures.

#![allow(clippy::unwrap_used)]

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use domain::{
    artifact,
    call::Target,
    clock::Instant,
    edit::Revision,
    name,
    order::Fence,
    record::{Batch, Cursor, Delta, Key, Record},
    vm::{Announcement, Holding, Lifecycle, Status, Upstream, Vm},
};
use policy::{
    affinity::Point,
    router::{Config, Need, Report, Request, Router, is_eligible},
    view::View,
};
use rand::{SeedableRng, rngs::SmallRng};

const NOW: Instant = Instant::from_millis(1_000);

fn config(subset_size: usize) -> Config {
    Config {
        vm: name::Vm::new("entry-1"),
        zone: name::AvailabilityZone::new("z0"),
        region: name::Region::new("r0"),
        subset_size,
    }
}

fn target() -> Target {
    Target {
        model: artifact::Id::new("tide", "2"),
        adapter: None,
    }
}

fn need() -> Need {
    Need::Model(target())
}

/// Returns an engine in one of six zones, of which the first three are in the entry's region.
fn vm(number: usize, zone: usize) -> Vm {
    let addr = "127.0.0.1:1".parse().unwrap();
    Vm {
        announcement: Announcement {
            vm: name::Vm::new(format!("vm-{number}")),
            zone: name::AvailabilityZone::new(format!("z{zone}")),
            region: name::Region::new(format!("r{}", zone / 3)),
            incarnation: 1,
            call_addr: addr,
            chunk_addr: addr,
            upstream: Upstream::Engine {
                checks_fencing: true,
            },
        },
        status: Status {
            lifecycle: Lifecycle::Warm,
            holdings: BTreeMap::from([(target().model, Holding::Serving)]),
            fence: Fence::default(),
            limit: 10,
        },
    }
}

fn apply(view: &View, deltas: Vec<Delta>) -> Arc<View> {
    let mut view = view.clone();
    view.apply(Batch {
        is_snapshot: false,
        deltas,
        revision: Revision(0),
        commit: view.commit,
        cursor: Cursor::default(),
        age_ms: 0,
        held_ms: 0,
    })
    .unwrap();
    Arc::new(view)
}

fn set(record: impl Into<Record>) -> Delta {
    Delta::Set(record.into())
}

fn fleet(size: usize, zones: usize) -> Arc<View> {
    let vms = (0..size).map(|i| set(Box::new(vm(i, i % zones)))).collect();
    apply(&View::default(), vms)
}

struct Fixture {
    router: Router,
    rng: SmallRng,
    view: Arc<View>,
}

impl Fixture {
    fn new(subset_size: usize, view: Arc<View>) -> Self {
        Self {
            router: Router::new(config(subset_size)),
            rng: SmallRng::seed_from_u64(20_261_204),
            view,
        }
    }

    fn choose(&mut self, prefix: Option<Point>, tried: &[name::Vm]) -> Option<Arc<Vm>> {
        let need = need();
        let request = Request {
            need: &need,
            prefix,
            tried,
        };
        let (view, rng) = (&self.view, &mut self.rng);
        self.router.choose(view, &request, NOW, rng).ok()
    }

    fn name(&mut self) -> String {
        let vm = self.choose(None, &[]).unwrap();
        vm.announcement.vm.to_string()
    }
}

#[test]
fn own_zone_is_preferred_until_full() {
    let mut fixture = Fixture::new(32, fleet(6, 6));
    let names: Vec<_> = (0..9).map(|_| fixture.name()).collect();
    assert!(names.iter().all(|name| name == "vm-0"), "{names:?}");
    let next = fixture.name();
    assert!(["vm-1", "vm-2"].contains(&next.as_str()), "{next}");
    let rest: Vec<_> = (0..22).map(|_| fixture.name()).collect();
    assert!(rest.iter().any(|name| name == "vm-3"), "{rest:?}");
}

#[test]
fn ineligible_upstreams_are_not_chosen() {
    type Change = Box<dyn Fn(&mut Vm)>;
    let cases: Vec<(&str, Change)> = vec![
        (
            "draining",
            Box::new(|vm| vm.status.lifecycle = Lifecycle::Draining),
        ),
        (
            "loading",
            Box::new(|vm| vm.status.lifecycle = Lifecycle::Loading),
        ),
        ("gone", Box::new(|vm| vm.status.lifecycle = Lifecycle::Gone)),
        (
            "another version",
            Box::new(|vm| {
                vm.status.holdings =
                    BTreeMap::from([(artifact::Id::new("tide", "1"), Holding::Serving)]);
            }),
        ),
        (
            "held only",
            Box::new(|vm| {
                vm.status.holdings = BTreeMap::from([(target().model, Holding::Held)]);
            }),
        ),
        (
            "a service",
            Box::new(|vm| {
                vm.announcement.upstream = Upstream::Service {
                    name: name::Service::new("tide"),
                };
            }),
        ),
    ];
    for (name, change) in cases {
        let mut changed = vm(0, 0);
        change(&mut changed);
        let view = apply(&View::default(), vec![set(Box::new(changed))]);
        assert!(
            !is_eligible(&view, &name::Vm::new("vm-0"), &need()),
            "{name}"
        );
        assert_eq!(Fixture::new(32, view).choose(None, &[]), None, "{name}");
    }
    let view = fleet(1, 1);
    let out = [
        Record::ZoneOut(name::AvailabilityZone::new("z0")),
        Record::Drain(name::Vm::new("vm-0")),
    ];
    for record in out {
        let key = record.key();
        let view = apply(&view, vec![set(record)]);
        let mut fixture = Fixture::new(32, view.clone());
        assert_eq!(fixture.choose(None, &[]), None, "{key}");
        assert!(
            !is_eligible(&view, &name::Vm::new("vm-0"), &need()),
            "{key}"
        );
        fixture.view = apply(&view, vec![Delta::Remove(key)]);
        assert!(fixture.choose(None, &[]).is_some());
    }
}

#[test]
fn upstream_without_the_adapter_is_not_eligible() {
    let adapter = artifact::Id::new("notes", "1");
    let need = Need::Model(Target {
        adapter: Some(adapter.clone()),
        ..target()
    });
    let plain = fleet(1, 1);
    assert!(!is_eligible(&plain, &name::Vm::new("vm-0"), &need));
    let mut with = vm(0, 0);
    with.status.holdings.insert(adapter, Holding::Serving);
    let view = apply(&plain, vec![set(Box::new(with))]);
    assert!(is_eligible(&view, &name::Vm::new("vm-0"), &need));
}

#[test]
fn subset_of_large_fleet_is_stable() {
    let view = fleet(600, 6);
    let members = |router: &mut Router, view: &Arc<View>| {
        let mut rng = SmallRng::seed_from_u64(1);
        let mut tried = Vec::new();
        let need = need();
        loop {
            let request = Request {
                need: &need,
                prefix: None,
                tried: &tried,
            };
            match router.choose(view, &request, NOW, &mut rng) {
                Ok(vm) => tried.push(vm.announcement.vm.clone()),
                Err(_) => break,
            }
        }
        tried.sort();
        tried
    };
    let first = members(&mut Router::new(config(32)), &view);
    assert_eq!(first.len(), 32);
    let own: Vec<_> = first
        .iter()
        .filter(|vm| view.vms[vm].announcement.zone.as_str() == "z0")
        .collect();
    assert_eq!(own.len(), 16);
    assert_eq!(
        members(&mut Router::new(config(32)), &view),
        first,
        "the subset is the same after a restart"
    );
    let gone = first[5].clone();
    let smaller = apply(&view, vec![Delta::Remove(Key::Vm(gone))]);
    let second = members(&mut Router::new(config(32)), &smaller);
    let kept = first.iter().filter(|vm| second.contains(vm)).count();
    assert_eq!(
        (second.len(), kept),
        (32, 31),
        "only the removed member is replaced"
    );
    let small = members(&mut Router::new(config(32)), &fleet(20, 6));
    assert_eq!(small.len(), 20, "all members of a small fleet are used");
}

#[test]
fn two_random_choices_balance_the_load() {
    let mut fixture = Fixture::new(32, fleet(8, 1));
    let mut counts = BTreeMap::new();
    for _ in 0..64 {
        *counts.entry(fixture.name()).or_insert(0) += 1;
    }
    let (least, most) = (
        counts.values().min().unwrap(),
        counts.values().max().unwrap(),
    );
    assert!(counts.len() == 8 && most - least <= 4, "{counts:?}");
}

#[test]
fn reported_load_includes_calls_of_other_entries() {
    let mut fixture = Fixture::new(32, fleet(2, 1));
    let busy = name::Vm::new("vm-0");
    while fixture.name() != "vm-0" {}
    fixture
        .router
        .report(&busy, Report::parse("7/0/10").unwrap(), NOW);
    let names: Vec<_> = (0..4).map(|_| fixture.name()).collect();
    assert!(names.iter().all(|name| name == "vm-1"), "{names:?}");
}

#[test]
fn expired_report_is_replaced_by_limit_of_feed() {
    // Guards against the use of a report from before a restart: the upstream restarted cold while
    // no calls were sent to it.
    let mut fixture = Fixture::new(32, fleet(2, 1));
    while fixture.name() != "vm-0" {}
    let restarted = name::Vm::new("vm-0");
    fixture
        .router
        .report(&restarted, Report::parse("0/0/100").unwrap(), NOW);
    for _ in 0..12 {
        fixture.choose(None, &[]);
    }
    (0..12).for_each(|_| fixture.router.end(&restarted));
    let mut cold = vm(0, 0);
    cold.status.limit = 1;
    let view = apply(&fixture.view, vec![set(Box::new(cold))]);
    let need = need();
    let request = Request {
        need: &need,
        prefix: None,
        tried: &[],
    };
    let later = NOW + Duration::from_secs(3);
    let names = (0..4).map(|_| {
        let chosen = fixture
            .router
            .choose(&view, &request, later, &mut fixture.rng);
        chosen.unwrap().announcement.vm.to_string()
    });
    let cold_calls = names.filter(|name| name == "vm-0").count();
    assert!(cold_calls <= 1, "{cold_calls}");
}

#[test]
fn drained_upstream_is_not_chosen_after_view_change() {
    let mut fixture = Fixture::new(8, fleet(60, 6));
    let first = fixture.name();
    let out = Record::Drain(name::Vm::new(first.as_str()));
    fixture.view = apply(&fixture.view, vec![set(out)]);
    assert!((0..40).all(|_| fixture.name() != first));
}

#[test]
fn prompt_prefix_stays_on_owner_unless_overloaded() {
    let mut fixture = Fixture::new(32, fleet(8, 1));
    let mut owners = BTreeMap::new();
    for i in 0..200 {
        let prefix = Point::of(format!("document {}", i % 20).as_bytes());
        let vm = fixture.choose(Some(prefix), &[]).unwrap();
        let name = vm.announcement.vm.clone();
        fixture.router.end(&name);
        let owner = owners.entry(i % 20).or_insert_with(|| name.clone());
        assert_eq!(*owner, name);
    }
    let distinct: std::collections::BTreeSet<_> = owners.values().collect();
    assert!(distinct.len() >= 5, "{owners:?}");
    // Calls with one common prefix must not overload its owner.
    let hot = Point::of(b"hot");
    let mut counts = BTreeMap::new();
    for _ in 0..40 {
        let vm = fixture.choose(Some(hot), &[]).unwrap();
        *counts.entry(vm.announcement.vm.clone()).or_insert(0) += 1;
    }
    assert!(counts.values().all(|count| *count <= 9), "{counts:?}");
}

#[test]
fn failed_upstream_is_avoided_then_probed_once() {
    let mut fixture = Fixture::new(32, fleet(2, 1));
    let bad = name::Vm::new("vm-0");
    fixture.router.fail(&bad, NOW);
    assert!((0..20).all(|_| fixture.name() == "vm-1"));
    let later = NOW + Duration::from_millis(101);
    let need = need();
    let tried = [name::Vm::new("vm-1")];
    let request = Request {
        need: &need,
        prefix: None,
        tried: &tried,
    };
    let Fixture { router, rng, view } = &mut fixture;
    assert!(router.choose(view, &request, later, rng).is_ok());
    let second = router.choose(view, &request, later, rng);
    assert!(second.is_err(), "one probe at a time");
    router.succeed(&bad);
    assert!(router.choose(view, &request, later, rng).is_ok());
}

#[test]
fn upstream_is_never_tried_twice_for_one_call() {
    bolero::check!()
        .with_type::<(u64, u8, u8)>()
        .for_each(|&(seed, size, failed)| {
            let size = usize::from(size % 12) + 1;
            let mut fixture = Fixture::new(8, fleet(size, 6));
            fixture.rng = SmallRng::seed_from_u64(seed);
            for i in 0..usize::from(failed % 4) {
                fixture.router.fail(&name::Vm::new(format!("vm-{i}")), NOW);
            }
            let mut tried: Vec<name::Vm> = Vec::new();
            while let Some(vm) = fixture.choose(Some(Point::of(&seed.to_le_bytes())), &tried) {
                assert!(!tried.contains(&vm.announcement.vm));
                tried.push(vm.announcement.vm.clone());
            }
            assert!(tried.len() <= 8);
        });
}
