//! What all entries together send to a cold instance, whatever each of them knows of the others.

#![allow(clippy::unwrap_used)]

mod common;

use std::{collections::HashMap, time::Duration};

use domain::{
    clock::Instant,
    instance::{Instance, Phase},
    name,
    record::Record,
    routing::{Service, Warmup},
    vm::{Announcement, Lifecycle, Status, Upstream, Vm},
};
use policy::{
    cold::Limit,
    naming,
    placement::{Grace, Placer, Requirements},
    view::View,
};
use rand::{RngExt, SeedableRng, rngs::StdRng};

/// The time between two looks at the list, and the granularity of its age, in milliseconds.
const LIST_MS: u64 = 250;
/// The time between two requests of each entry, in milliseconds.
const STEP_MS: u64 = 50;
/// How long a case lasts, in milliseconds.
const LENGTH_MS: u64 = 8_000;
/// When the second event of a case comes, in milliseconds.
const EVENT_MS: u64 = 4_000;
/// How old an entry's list may be, in milliseconds.
const MAX_AGE_MS: u64 = 1_500;
const ZONES: usize = 5;

fn zone_of(n: usize) -> name::AvailabilityZone {
    format!("z-{}", n % ZONES).as_str().into()
}

fn entry(n: usize) -> Record {
    let announcement = Announcement {
        vm: format!("entry.{n}").as_str().into(),
        zone: zone_of(n),
        region: "r".into(),
        incarnation: 1,
        call_addr: ([10, 1, 0, 1], 80).into(),
        chunk_addr: ([10, 1, 0, 1], 81).into(),
        upstream: Upstream::Entry,
    };
    let status = Status {
        lifecycle: Lifecycle::Announced,
        holdings: Default::default(),
        fence: Default::default(),
        limit: 0,
    };
    Record::Vm(Box::new(Vm {
        announcement,
        status,
    }))
}

fn instance(n: usize) -> Instance {
    Instance {
        id: format!("i-{n}").as_str().into(),
        born_ms: 1,
        service: (if n == 0 { "cold" } else { "other" }).into(),
        address: ([10, 0, 0, 1], 80).into(),
        zone: zone_of(n),
        slots: 1_000,
        phase: Phase::Ready,
        cold_ms: 3_000,
        layers: Vec::new(),
        sequence: 1,
    }
}

fn view(warmup: Warmup, instances: usize, entries: impl Iterator<Item = usize>) -> View {
    let service = Record::Service(Box::new(Service {
        name: "cold".into(),
        max_connections: 300,
        cold: Some(warmup),
        engine: None,
        origin: None,
    }));
    let instances = (0..instances).map(|n| Record::Instance(Box::new(instance(n))));
    let records = [service].into_iter().chain(instances);
    common::view(records.chain(entries.map(entry)))
}

/// What happens to the entries in a case.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Event {
    /// All start at about the same time and learn of each other one by one.
    Start,
    /// Replicas of control restart and hear of the entries again one by one.
    ListLost,
    /// A third of the entries restart.
    SomeRestart,
    /// Half as many entries are added.
    Added,
}

/// When an entry is started and is on the list, by the time of the case in milliseconds.
struct Life {
    started_ms: u64,
    listed_ms: u64,
    /// How old its own list is.
    age_ms: u64,
    placer: Placer,
}

fn placer(n: usize, seed: u64) -> Placer {
    let regions = (0..ZONES).map(|n| (zone_of(n), "r".into()));
    let grace = Grace {
        seen: Duration::ZERO,
        unseen: Duration::ZERO,
    };
    let rng = StdRng::seed_from_u64(seed + n as u64);
    let regions = HashMap::from_iter(regions);
    Placer::new(zone_of(n), regions, grace, rng, Instant::ZERO)
        .with_vm(format!("entry.{n}").as_str().into())
}

/// When each request of the case reached the cold instance, in milliseconds.
fn arrivals(count: usize, event: Event, warmup: Warmup, seed: u64) -> Vec<u64> {
    let mut rng = StdRng::seed_from_u64(seed);
    let all = count + count / 2;
    let mut lives: Vec<Life> = (0..all)
        .map(|n| {
            let at = match event {
                Event::Added if n >= count => EVENT_MS,
                _ => 0,
            };
            let exists = n < count || event == Event::Added;
            let started_ms = match exists {
                true => at + rng.random_range(0..300),
                false => u64::MAX,
            };
            Life {
                started_ms,
                listed_ms: started_ms.saturating_add(rng.random_range(0..MAX_AGE_MS)),
                age_ms: rng.random_range(0..MAX_AGE_MS),
                placer: placer(n, seed),
            }
        })
        .collect();
    let mut arrivals = Vec::new();
    let mut views: HashMap<u64, View> = HashMap::new();
    for step in 0..LENGTH_MS / STEP_MS {
        let now_ms = step * STEP_MS;
        let now = Instant::from_millis(now_ms);
        if now_ms == EVENT_MS {
            for (n, life) in lives.iter_mut().enumerate().take(count) {
                match event {
                    Event::ListLost => life.listed_ms = now_ms + rng.random_range(0..MAX_AGE_MS),
                    Event::SomeRestart if n % 3 == 0 => {
                        life.started_ms = now_ms + rng.random_range(0..300);
                        life.listed_ms = now_ms + rng.random_range(0..MAX_AGE_MS);
                        life.placer = placer(n, seed);
                    }
                    _ => {}
                }
            }
            views.clear();
        }
        let listed: Vec<_> = lives.iter().map(|life| life.listed_ms).collect();
        for life in &mut lives {
            if life.started_ms > now_ms {
                continue;
            }
            let list_ms = now_ms.saturating_sub(life.age_ms) / LIST_MS * LIST_MS;
            let view = views.entry(list_ms).or_insert_with(|| {
                let names = (0..all).filter(|n| listed[*n] <= list_ms);
                view(warmup, all.max(2), names)
            });
            if now_ms.is_multiple_of(LIST_MS) {
                life.placer.observe(view, &naming::Table::new(), now);
            }
            let requirements = Requirements {
                service: &"cold".into(),
                model: None,
                pinned: None,
                regions: [&[], &[]],
                tried: &[],
                share: None,
            };
            if let Ok(choice) = life.placer.choose(view, &requirements, now) {
                life.placer.begin(view, &choice, 0, now);
                life.placer.end(&choice.instance.id);
                arrivals.push(now_ms);
            }
        }
    }
    arrivals
}

fn busiest_second(arrivals: &[u64]) -> usize {
    let window = |at: &u64| {
        arrivals
            .iter()
            .filter(|other| (*at..*at + 1_000).contains(*other))
            .count()
    };
    arrivals.iter().map(window).max().unwrap_or_default()
}

/// Fails where each entry takes an equal part of the rate and a burst of one: 3 entries that start
/// together, each of which knows only itself, began 30 requests within a second; 26 are allowed.
#[test]
fn entries_never_overload_a_cold_instance_together() {
    let events = [
        Event::Start,
        Event::ListLost,
        Event::SomeRestart,
        Event::Added,
    ];
    for per_s in [14, 36] {
        let warmup = Warmup {
            span_ms: 3_000,
            millicalls_per_s: per_s * 1_000,
        };
        let allowed = Limit::default().per_second(warmup) as usize;
        for count in [1, 2, 3, 5, 7, 12, 25, 60, 150, 500] {
            // Large fleets take long to play: for them the hardest event at the lower rate.
            let played = match count {
                0..100 => &events[..],
                _ if per_s == 14 => &events[..1],
                _ => &[],
            };
            for (seed, event) in played.iter().copied().enumerate() {
                let arrivals = arrivals(count, event, warmup, seed as u64);
                let most = busiest_second(&arrivals);
                let case = format!("{count} entries, {event:?}, {per_s} a second");
                assert!(most <= allowed, "{case}: {most} within a second");
                // Once the lists agree, more than half of the rate is used.
                let late = arrivals.iter().filter(|at| **at >= LENGTH_MS - 1_000);
                assert!(late.count() * 2 > per_s as usize, "{case}");
            }
        }
    }
}

/// A cold instance in a zone without entries, and entries in zones without instances, are served
/// too.
#[test]
fn places_are_given_across_zones() {
    let limit = Limit::default();
    let warmup = Warmup {
        span_ms: 3_000,
        millicalls_per_s: 14_000,
    };
    let places = limit.places(warmup);
    let listed = |n: usize| {
        (
            name::Vm::from(format!("entry.{n}").as_str()),
            zone_of(n % 2),
        )
    };
    let all: Vec<_> = (0..20).map(listed).collect();
    let now = Instant::from_millis(60_000);
    for zone in ["z-0", "z-1", "z-4"] {
        let holders = all.iter().filter(|(vm, own)| {
            let mut roster = policy::roster::Roster::new(vm.clone(), own.clone());
            let list = all.iter().map(|(vm, zone)| (vm, zone));
            roster.observe(list, 90, Instant::ZERO);
            roster.has_place(&"i-1".into(), &zone.into(), places, now)
        });
        let zones: Vec<_> = holders.map(|(_, zone)| zone.to_string()).collect();
        assert_eq!(zones.len(), places as usize, "{zone}: {zones:?}");
        let own = zones.iter().filter(|own| *own == zone).count();
        assert!(zone == "z-4" || own >= 3, "{zone}: {zones:?}");
    }
}

/// Fails where only the number of entries is compared: of two entries of which one is replaced, the
/// other one kept its old places.
#[test]
fn a_replaced_entry_changes_the_places() {
    let vms: Vec<_> = (0..3)
        .map(|n| name::Vm::from(format!("entry.{n}").as_str()))
        .collect();
    let zone = zone_of(0);
    let mut roster = policy::roster::Roster::new(vms[0].clone(), zone.clone());
    let at = |seconds: u64| Instant::from_millis(seconds * 1_000);
    roster.observe(
        [&vms[0], &vms[1]].map(|vm| (vm, &zone)).into_iter(),
        9,
        at(0),
    );
    roster.observe([(&vms[0], &zone)].into_iter(), 9, at(20));
    let before = roster.epoch(at(40));
    // One entry is no longer counted, and another one is new.
    roster.observe(
        [&vms[0], &vms[2]].map(|vm| (vm, &zone)).into_iter(),
        9,
        at(40),
    );
    assert_eq!(roster.count(), 2);
    assert_ne!(roster.epoch(at(40)), before);
}
