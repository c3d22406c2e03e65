//! Placement on engines that requests of different priorities share, by the load that is reported.

#![allow(clippy::unwrap_used)]

mod common;
#[allow(dead_code)]
#[path = "common/fleet.rs"]
mod fleet;

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use common::view;
use domain::{
    clock::Instant,
    load::{self, Content, Demand, Engine, Report},
    name,
    record::Record,
};
use fleet::{LATER, fleet, instance, placer};
use policy::{
    load::MAX_AGE,
    placement::{Error, Placer, Requirements, Share},
    view::View,
};

/// The slots of an engine.
const SLOTS: u32 = 16;
/// A response that lasts so long.
const SPAN: Duration = Duration::from_millis(1_500);
/// Requests of one test.
const REQUESTS: usize = 400;

fn address(n: u16) -> SocketAddr {
    instance(n, "a", 1).address
}

/// A report of the engine with the given number.
fn report(n: u16, sequence: u64, engine: Engine) -> Report {
    Report {
        sender: format!("agent-{n}").as_str().into(),
        zone: "a".into(),
        incarnation: 1,
        sequence,
        content: Content::Engine(engine),
    }
}

fn engine(n: u16, requests: u32) -> Engine {
    Engine {
        address: address(n),
        active: requests.min(SLOTS),
        queued: requests.saturating_sub(SLOTS),
        pace_percent: 100,
        memory_percent: 10,
        moves_in_ms: None,
    }
}

/// The demand that the callers of another zone cause there.
fn zone_demand(zone: &str, offered_ms: u32) -> Report {
    Report {
        sender: format!("entry-{zone}").as_str().into(),
        zone: zone.into(),
        incarnation: 1,
        sequence: 1,
        content: Content::Zone(vec![Demand {
            service: "llm".into(),
            priority: load::Priority::default(),
            offered_ms,
            admitted_ms: offered_ms,
            waiting: 0,
        }]),
    }
}

fn choose(placer: &mut Placer, view: &View, rank: u32, now: Instant) -> Result<SocketAddr, Error> {
    let (service, model): (name::Service, name::Artifact) = ("llm".into(), "m".into());
    let requirements = Requirements {
        service: &service,
        model: Some(&model),
        pinned: None,
        regions: [&[], &[]],
        tried: &[],
        share: Some(Share {
            rank,
            span: SPAN,
            zone: None,
        }),
    };
    let chosen = placer.choose(view, &requirements, now);
    chosen.map(|choice| choice.instance.address)
}

fn observed(records: Vec<Record>) -> (Placer, View) {
    let view = view(records);
    let mut placer = placer();
    fleet::observe(&mut placer, &view, LATER);
    (placer, view)
}

/// Guards against a flood of less urgent requests that fills an engine's queue, so that an urgent
/// request has to wait behind it, and against queues that only delay responses.
#[test]
fn less_urgent_requests_leave_a_place_for_urgent_ones() {
    let (mut placer, view) = observed(fleet(vec![instance(1, "a", 1)]));
    let cases = [
        (SLOTS, [true, true, true]),
        (SLOTS + 1, [true, true, false]),
        (SLOTS + 2, [true, false, false]),
        (SLOTS + 3, [false, false, false]),
    ];
    for (i, (requests, expected)) in cases.into_iter().enumerate() {
        let sequence = i as u64 + 1;
        placer.observe_load(report(1, sequence, engine(1, requests)), LATER);
        for (rank, is_taken) in (0..).zip(expected) {
            let chosen = choose(&mut placer, &view, rank, LATER);
            assert_eq!(chosen.is_ok(), is_taken, "{requests} requests, rank {rank}");
        }
    }
}

/// Guards against sending to an engine that looks idle to this entry because only others use it.
#[test]
fn the_load_that_others_cause_counts() {
    let (mut placer, view) = observed(fleet(vec![instance(1, "a", 1), instance(2, "a", 1)]));
    placer.observe_load(report(1, 1, engine(1, 12)), LATER);
    placer.observe_load(report(2, 1, engine(2, 4)), LATER);
    for _ in 0..REQUESTS {
        assert_eq!(choose(&mut placer, &view, 0, LATER), Ok(address(2)));
    }
}

/// Guards against a slow engine that gets as much work as a healthy one.
#[test]
fn a_slow_engine_is_chosen_less() {
    let (mut placer, view) = observed(fleet(vec![instance(1, "a", 1), instance(2, "a", 1)]));
    let slow = Engine {
        pace_percent: 250,
        ..engine(1, 6)
    };
    placer.observe_load(report(1, 1, slow), LATER);
    placer.observe_load(report(2, 1, engine(2, 10)), LATER);
    assert_eq!(choose(&mut placer, &view, 0, LATER), Ok(address(2)));
}

/// Guards against entries with the same reports that all choose the same engine.
#[test]
fn nearly_equal_engines_share_the_requests() {
    let engines = (1..=4).map(|n| instance(n, "a", 1)).collect();
    let (mut placer, view) = observed(fleet(engines));
    for n in 1..=4 {
        placer.observe_load(report(n, 1, engine(n, 8)), LATER);
    }
    let mut counts = BTreeMap::<SocketAddr, usize>::new();
    for _ in 0..REQUESTS {
        let chosen = choose(&mut placer, &view, 0, LATER).unwrap();
        *counts.entry(chosen).or_default() += 1;
    }
    assert_eq!(counts.len(), 4);
    assert!(
        counts.values().all(|count| *count > REQUESTS / 8),
        "{counts:?}"
    );
}

/// Guards against an outdated report that keeps an engine out of use after its agent is gone.
#[test]
fn an_engine_without_a_recent_report_is_used_by_own_requests() {
    let (mut placer, view) = observed(fleet(vec![instance(1, "a", 1)]));
    placer.observe_load(report(1, 1, engine(1, SLOTS * 2)), LATER);
    assert_eq!(choose(&mut placer, &view, 0, LATER), Err(Error::Busy));
    let later = LATER + MAX_AGE;
    assert_eq!(choose(&mut placer, &view, 0, later), Ok(address(1)));
}

/// Guards against long responses on an engine that is about to switch its version, which has to
/// wait for the longest of them.
#[test]
fn an_engine_that_switches_soon_gets_what_ends_before() {
    let (mut placer, view) = observed(fleet(vec![instance(1, "a", 1), instance(2, "a", 1)]));
    let cases = [(300, address(2)), (5_000, address(1))];
    for (i, (moves_in_ms, expected)) in cases.into_iter().enumerate() {
        let sequence = i as u64 + 1;
        let moving = Engine {
            moves_in_ms: Some(moves_in_ms),
            ..engine(1, 4)
        };
        placer.observe_load(report(1, sequence, moving), LATER);
        placer.observe_load(report(2, sequence, engine(2, 8)), LATER);
        let chosen = choose(&mut placer, &view, 0, LATER);
        assert_eq!(chosen, Ok(expected), "{moves_in_ms} ms");
    }
}

/// Guards against traffic between zones while the own zone has free slots, and against refusals
/// while another zone has them.
#[test]
fn requests_leave_their_zone_only_where_it_helps() {
    let engines = vec![instance(1, "a", 1), instance(2, "b", 1)];
    let cases = [
        ("free slots at home", 12, Some(0), Ok(address(1))),
        (
            "busy at home, free elsewhere",
            SLOTS * 2,
            Some(300),
            Ok(address(2)),
        ),
        ("busy everywhere", SLOTS * 2, Some(1_500), Err(Error::Busy)),
        ("nothing known elsewhere", SLOTS * 2, None, Err(Error::Busy)),
    ];
    for (name, requests, elsewhere, expected) in cases {
        let (mut placer, view) = observed(fleet(engines.clone()));
        placer.observe_load(report(1, 1, engine(1, requests)), LATER);
        if let Some(offered_ms) = elsewhere {
            placer.observe_load(zone_demand("b", offered_ms), LATER);
        }
        placer.plan_spillover(&view, &"llm".into(), 500.0, LATER);
        assert_eq!(choose(&mut placer, &view, 0, LATER), expected, "{name}");
    }
}

/// Guards against requests that are lost because their zone was taken out of service.
#[test]
fn requests_leave_a_zone_without_engines() {
    let mut records = fleet(vec![instance(1, "a", 1), instance(2, "b", 1)]);
    records.push(Record::ZoneOut("a".into()));
    let (mut placer, view) = observed(records);
    assert_eq!(choose(&mut placer, &view, 0, LATER), Ok(address(2)));
}

/// Guards against uneven demand that one zone has to bear alone, and against too much traffic
/// between zones.
#[test]
fn uneven_demand_is_spilled_in_part() {
    let (mut placer, view) = observed(fleet(vec![
        instance(1, "a", 1),
        instance(2, "a", 1),
        instance(3, "b", 1),
        instance(4, "b", 1),
    ]));
    let service = "llm".into();
    placer.observe_load(zone_demand("b", 1_000), LATER);
    for _ in 0..50 {
        placer.plan_spillover(&view, &service, 2_400.0, LATER);
    }
    let share = placer.spilled_share(&service);
    assert!((0.05..0.3).contains(&share), "{share}");
    let left = (0..REQUESTS).filter(|_| placer.spill(&service, 100.0) == Some("b".into()));
    let part = left.count() as f64 / REQUESTS as f64;
    assert!((part - share).abs() < 0.02, "{part} {share}");
}
