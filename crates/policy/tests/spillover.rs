//! Spillover between zones.

#![allow(clippy::unwrap_used)]

use std::collections::BTreeMap;

use domain::name;
use policy::spillover::{Spillover, Zone};

/// Updates after which the moving average has settled.
const UPDATES: usize = 60;
/// Engine milliseconds that one engine can do in a second.
const ENGINE: f64 = 1_000.0;

fn zone(demand: f64, engines: f64) -> Zone {
    Zone {
        demand: demand * ENGINE,
        capacity: engines * ENGINE,
        is_short: demand > engines * 0.9,
    }
}

fn others(zones: &[(&str, Zone)]) -> BTreeMap<name::AvailabilityZone, Zone> {
    let zones = zones.iter();
    zones.map(|(name, zone)| ((*name).into(), *zone)).collect()
}

fn settled(home: Zone, zones: &[(&str, Zone)]) -> Spillover {
    let mut spillover = Spillover::new();
    let zones = others(zones);
    (0..UPDATES).for_each(|_| spillover.update(home, &zones));
    spillover
}

/// Guards against traffic between zones that brings callers nothing.
#[test]
fn work_stays_at_home_unless_leaving_helps() {
    let cases = [
        ("home has free capacity", zone(8.0, 12.0), zone(2.0, 12.0)),
        (
            "all zones are equally overloaded",
            zone(18.0, 12.0),
            zone(18.0, 12.0),
        ),
        (
            "the other zone is more loaded",
            zone(14.0, 12.0),
            zone(16.0, 12.0),
        ),
        (
            "the difference is small",
            zone(12.5, 12.0),
            zone(12.0, 12.0),
        ),
        (
            "the other zone has no engines",
            zone(18.0, 12.0),
            zone(0.0, 0.0),
        ),
        ("no demand", zone(0.0, 0.0), zone(2.0, 12.0)),
        (
            "engines at home are not full",
            Zone {
                is_short: false,
                ..zone(14.0, 12.0)
            },
            zone(2.0, 12.0),
        ),
        (
            "the other zone is short itself",
            zone(18.0, 12.0),
            Zone {
                is_short: true,
                ..zone(8.0, 12.0)
            },
        ),
    ];
    for (name, home, other) in cases {
        assert_eq!(settled(home, &[("b", other)]).share(), 0.0, "{name}");
    }
}

/// Guards against a zone that refuses its callers while another one has free engines, and against
/// sending so much that the other zone becomes the more loaded one.
#[test]
fn a_shortage_at_home_is_shared_without_overloading_the_other_zone() {
    let cases = [
        ("uneven callers", zone(16.0, 11.0), zone(10.0, 12.0)),
        (
            "half of the engines are gone",
            zone(12.0, 6.0),
            zone(9.0, 12.0),
        ),
        ("nearly full elsewhere", zone(24.0, 12.0), zone(10.7, 12.0)),
        ("no engine is left", zone(12.0, 0.0), zone(3.0, 12.0)),
    ];
    for (name, home, other) in cases {
        let share = settled(home, &[("b", other)]).share();
        assert!(share > 0.0, "{name}");
        let moved = share * home.demand;
        let at_home = (home.demand - moved) / home.capacity.max(1.0);
        let at_other = (other.demand + moved) / other.capacity;
        assert!(
            at_other <= at_home.max(1.26),
            "{name}: {at_home} {at_other}"
        );
    }
}

/// Guards against work that goes on to a zone that was taken out of service, or that no longer
/// reports its demand.
#[test]
fn a_zone_that_is_no_longer_listed_gets_nothing() {
    let mut spillover = settled(zone(20.0, 12.0), &[("b", zone(4.0, 12.0))]);
    assert!(spillover.share() > 0.0);
    spillover.update(zone(20.0, 12.0), &BTreeMap::new());
    assert_eq!(spillover.share(), 0.0);
    assert_eq!(spillover.choose(100.0), None);
}

/// Guards against a spillover that switches on and off with small fluctuations.
#[test]
fn small_fluctuations_neither_start_nor_stop_it() {
    let other = Zone {
        is_short: false,
        ..zone(10.0, 10.0)
    };
    let wave = |spillover: &mut Spillover, low: f64, high: f64| {
        let mut running = 0;
        for i in 0..UPDATES {
            let demand = if i % 2 == 0 { low } else { high };
            spillover.update(zone(demand, 10.0), &others(&[("b", other)]));
            running += usize::from(spillover.share() > 0.0);
        }
        running
    };
    assert_eq!(wave(&mut Spillover::new(), 10.2, 10.8), 0, "never starts");
    let mut spillover = settled(zone(11.5, 10.0), &[("b", other)]);
    assert_eq!(wave(&mut spillover, 10.6, 11.2), UPDATES, "never stops");
}

/// Guards against rounding that sends more or less than the share, whatever the sizes of requests.
#[test]
fn the_requests_that_leave_add_up_to_the_share() {
    let mut spillover = settled(
        zone(20.0, 10.0),
        &[("b", zone(8.0, 10.0)), ("c", zone(6.0, 10.0))],
    );
    let shares = spillover.shares().clone();
    let (mut total, mut sent) = (0.0, BTreeMap::<name::AvailabilityZone, f64>::new());
    for i in 0..5_000_u32 {
        let work = 30.0 + f64::from(i * 7919 % 300);
        total += work;
        if let Some(zone) = spillover.choose(work) {
            *sent.entry(zone).or_default() += work;
        }
    }
    for (zone, share) in shares {
        let part = sent.get(&zone).copied().unwrap_or_default() / total;
        assert!((part - share).abs() < 0.01, "{zone}: {part} {share}");
    }
}
