//! The fractions of work that entries admit, by priority, customer and size.

#![allow(clippy::unwrap_used)]

use std::{collections::BTreeMap, time::Duration};

use bolero::check;
use domain::{clock::Instant, load::Priority, name};
use policy::level::{Admitter, Correction, Load, Rates, fractions};
use rand::{RngExt, SeedableRng, rngs::StdRng};

const START: Instant = Instant::from_millis(60_000);
/// How often entries compute their fractions.
const PERIOD: Duration = Duration::from_millis(100);
/// The least fraction that a priority keeps, relative to that of a proportional cut.
const FLOOR: f64 = 0.4;
/// The part of the capacity by which the admitted work may differ from it: more would be corrected
/// as a standing queue.
const MAX_ERROR: f64 = 0.08;
/// Seconds before averages have settled.
const SETTLING_S: u64 = 5;
/// Work of requests of each size, in engine milliseconds. They differ by a factor of ten.
const SIZES: [f64; 6] = [30.0, 47.0, 80.0, 120.0, 190.0, 300.0];

fn priority(route: u8) -> Priority {
    Priority { customer: 1, route }
}

fn rates(offered: &[f64]) -> Rates {
    let rates = offered.iter().enumerate();
    rates
        .map(|(route, work)| (priority(route as u8), *work))
        .collect()
}

/// The requests of one customer at one priority.
#[derive(Clone, Copy, Debug)]
struct Stream {
    route: u8,
    customer: &'static str,
    /// The work that all entries are asked for, in engine milliseconds per second.
    offered: f64,
}

/// What was offered and admitted once averages had settled.
#[derive(Clone, Copy, Debug, Default)]
struct Sum {
    offered: f64,
    admitted: f64,
}

impl Sum {
    fn add(&mut self, work: f64, is_admitted: bool) {
        self.offered += work;
        self.admitted += work * f64::from(u8::from(is_admitted));
    }

    fn fraction(&self) -> f64 {
        self.admitted / self.offered
    }
}

/// The sums by priority, by stream and by size.
#[derive(Debug, Default)]
struct Outcome {
    routes: BTreeMap<u8, Sum>,
    streams: BTreeMap<usize, Sum>,
    sizes: BTreeMap<usize, Sum>,
}

/// Simulates entries that know the demand of all. `weights` is the part of the callers of each
/// entry, relative to the others.
fn simulate(weights: &[f64], streams: &[Stream], capacity: f64, seconds: u64) -> Outcome {
    let mut rng = StdRng::seed_from_u64(7);
    let total: f64 = weights.iter().sum();
    let mut entries: Vec<Admitter> = (0..weights.len())
        .map(|n| Admitter::new(StdRng::seed_from_u64(n as u64)))
        .collect();
    let mean = SIZES.iter().sum::<f64>() / SIZES.len() as f64;
    let mut outcome = Outcome::default();
    for tick in 0..seconds * 10 {
        let now = START + PERIOD * tick as u32;
        let mut offered = Rates::new();
        for (priority, work) in entries.iter().flat_map(|entry| entry.offered(now)) {
            *offered.entry(priority).or_default() += work;
        }
        let level = fractions(capacity, &offered);
        for entry in &mut entries {
            entry.set_fractions(level.clone(), now);
        }
        let mut requests = Vec::new();
        for (n, stream) in streams.iter().enumerate() {
            for (entry, weight) in weights.iter().enumerate() {
                let expected = stream.offered * weight / total / mean * PERIOD.as_secs_f64();
                let count = expected as u32 + u32::from(rng.random_bool(expected.fract()));
                requests.extend((0..count).map(|_| {
                    let at = now + PERIOD.mul_f64(rng.random_range(0.0..1.0));
                    (at, n, entry, rng.random_range(0..SIZES.len()))
                }));
            }
        }
        requests.sort();
        for (at, n, entry, size) in requests {
            let (stream, work) = (streams[n], SIZES[size]);
            let (route, customer) = (priority(stream.route), stream.customer.into());
            let is_admitted = entries[entry].admit(route, Some(&customer), work, at);
            if tick >= SETTLING_S * 10 {
                let sums = [
                    outcome.routes.entry(stream.route).or_default(),
                    outcome.streams.entry(n).or_default(),
                    outcome.sizes.entry(size).or_default(),
                ];
                sums.into_iter().for_each(|sum| sum.add(work, is_admitted));
            }
        }
    }
    outcome
}

/// Guards against capacity that goes to less urgent work beyond its floor while more urgent work is
/// cut, and against a floor that isn't kept.
#[test]
fn capacity_goes_to_the_most_urgent_above_the_floors() {
    // Capacity, work offered by priority, expected fractions.
    let cases: &[(f64, &[f64], &[f64])] = &[
        (40.0, &[10.0, 10.0, 10.0], &[1.0, 1.0, 1.0]),
        (30.0, &[10.0, 10.0, 10.0], &[1.0, 1.0, 1.0]),
        (24.0, &[10.0, 10.0, 10.0], &[1.0, 1.0, 0.4]),
        (15.0, &[10.0, 10.0, 10.0], &[1.0, 0.3, 0.2]),
        (10.0, &[20.0], &[0.5]),
        (10.0, &[20.0, 20.0], &[0.4, 0.1]),
        (0.0, &[10.0, 10.0], &[0.0, 0.0]),
        (-1.0, &[10.0], &[0.0]),
        (10.0, &[], &[]),
        (10.0, &[0.0, 20.0], &[1.0, 0.5]),
        // The users' traffic, with a flood of the least urgent, a burst of the most urgent, both.
        (40.0, &[20.4, 21.4, 21.3], &[1.0, 0.664, 0.254]),
        (40.0, &[36.7, 21.4, 8.5], &[0.894, 0.240, 0.240]),
        (40.0, &[36.7, 21.4, 21.3], &[0.856, 0.202, 0.202]),
    ];
    for (capacity, offered, expected) in cases {
        let got: Vec<f64> = fractions(*capacity, &rates(offered))
            .into_values()
            .collect();
        let is_equal = |(got, expected): (&f64, &f64)| (got - expected).abs() < 0.002;
        let is_expected = got.len() == expected.len() && got.iter().zip(*expected).all(is_equal);
        assert!(is_expected, "{capacity} {offered:?}: {got:?}");
    }
}

/// Guards against demand for which more than the capacity is admitted, some of it is left unused, a
/// floor isn't kept or a less urgent priority gets more than its floor before a more urgent one.
#[test]
fn fractions_use_the_capacity_and_keep_floors_for_any_demand() {
    let check = check!().with_type::<(u16, Vec<u16>)>();
    check.for_each(|(capacity, offered)| {
        let capacity = f64::from(*capacity);
        let offered: Vec<f64> = offered
            .iter()
            .take(9)
            .map(|work| f64::from(*work))
            .collect();
        let offered = rates(&offered);
        let total: f64 = offered.values().sum();
        let level = fractions(capacity, &offered);
        let admitted: f64 = level.iter().map(|(p, part)| part * offered[p]).sum();
        assert!((admitted - capacity.min(total)).abs() < 1e-6 * total.max(1.0));
        let floor = FLOOR * (capacity / total).min(1.0);
        let mut is_cut = false;
        for (priority, fraction) in level.iter().filter(|(p, _)| offered[p] > 0.0) {
            assert!((0.0..=1.0).contains(fraction));
            assert!(*fraction >= floor - 1e-9, "{priority}: {fraction}");
            assert!(
                !is_cut || *fraction <= floor + 1e-9,
                "{priority}: {fraction}"
            );
            is_cut |= *fraction < 1.0 - 1e-9;
        }
    });
}

/// Guards against parts that don't add up over entries of unequal traffic: too much would queue at
/// the engines, too little would leave them idle.
#[test]
fn the_parts_of_all_entries_add_up_to_the_capacity() {
    let offered = [20_000.0, 21_000.0, 9_000.0];
    let streams: Vec<Stream> = (0..3)
        .flat_map(|route| {
            ["a", "b", "c", "d"].map(|customer| Stream {
                route,
                customer,
                offered: offered[usize::from(route)] / 4.0,
            })
        })
        .collect();
    for entries in [1, 12, 25, 100] {
        let weights: Vec<f64> = (0..entries)
            .map(|n| if n % 3 == 0 { 10.0 } else { 1.0 })
            .collect();
        for capacity in [40_000.0, 25_000.0] {
            let outcome = simulate(&weights, &streams, capacity, 25);
            let level = fractions(capacity, &rates(&offered));
            for (route, sum) in &outcome.routes {
                let expected = level[&priority(*route)];
                let got = sum.fraction();
                let error = (got - expected) * offered[usize::from(*route)] / capacity;
                let what = format!("{entries} entries, {capacity}, {route}: {got}, {expected}");
                assert!(error.abs() < 0.03, "{what}");
            }
            let admitted: f64 = outcome.routes.values().map(|sum| sum.admitted).sum();
            let part = admitted / (20.0 * capacity);
            assert!(
                (part - 1.0).abs() < MAX_ERROR,
                "{entries} entries, {capacity}: {part}"
            );
        }
    }
}

/// Guards against starved priorities and sizes: each gets at least half of its share, also where
/// each entry sees few requests of it.
#[test]
fn no_priority_and_no_size_starves_at_any_load() {
    for load in [1.0, 1.3, 1.7, 3.0] {
        let streams = [0, 1, 2].map(|route| Stream {
            route,
            customer: "a",
            offered: 10_000.0 * load,
        });
        let outcome = simulate(&[1.0; 12], &streams, 30_000.0, 25);
        let floor = FLOOR / load;
        for (route, sum) in &outcome.routes {
            let got = sum.fraction();
            assert!(got > floor * 0.9, "{load} {route}: {got}, {floor}");
        }
        let only = [Stream {
            route: 0,
            customer: "a",
            offered: 30_000.0 * load,
        }];
        let outcome = simulate(&[1.0; 12], &only, 30_000.0, 25);
        for (size, sum) in &outcome.sizes {
            let got = sum.fraction() * load;
            assert!((0.85..1.15).contains(&got), "{load} size {size}: {got}");
        }
    }
}

/// Guards against a customer with a third of the traffic that takes what the others ask for, and
/// against one that is cut to less than half of its priority's fraction.
#[test]
fn a_large_customer_is_cut_first_but_not_starved() {
    const OTHERS: [&str; 10] = ["b", "c", "d", "e", "f", "g", "h", "i", "j", "k"];
    for load in [1.0, 1.3, 1.7, 3.0] {
        let offered = 30_000.0 * load;
        let large = Stream {
            route: 0,
            customer: "a",
            offered: offered / 3.0,
        };
        let others = OTHERS.map(|customer| Stream {
            customer,
            offered: offered / 15.0,
            ..large
        });
        let streams: Vec<Stream> = [large].into_iter().chain(others).collect();
        let outcome = simulate(&[1.0; 4], &streams, 30_000.0, 35);
        let all = outcome.routes[&0].fraction();
        let of: Vec<f64> = outcome.streams.values().map(Sum::fraction).collect();
        assert!((all * load - 1.0).abs() < 0.05, "{load}: {all}");
        assert!(of.iter().all(|got| *got > 0.45 * all), "{load}: {of:?}");
        if load > 1.0 {
            assert!(of[1..].iter().all(|got| *got > of[0]), "{load}: {of:?}");
        }
    }
}

/// Guards against customers that ask rarely and are therefore always or never admitted: each
/// request is the first one that its entry knows of.
#[test]
fn rare_customers_are_admitted_as_often_as_others() {
    for fraction in [0.2, 0.5, 0.8] {
        let mut admitter = Admitter::new(StdRng::seed_from_u64(3));
        let level = BTreeMap::from([(priority(0), fraction)]);
        let mut admitted = 0;
        for n in 0..1_000 {
            let now = START + PERIOD * n;
            let customer = name::Customer::from(format!("c-{n}").as_str());
            admitted += u32::from(admitter.admit(priority(0), Some(&customer), 100.0, now));
            admitter.set_fractions(level.clone(), now);
        }
        let got = f64::from(admitted) / 1_000.0;
        assert!((got - fraction).abs() < 0.08, "{fraction}: {got}");
    }
}

/// Guards against an entry that has restarted and admits all of a priority until it has seen some of
/// its requests.
#[test]
fn a_fraction_holds_for_the_first_request_of_a_priority() {
    let mut admitter = Admitter::new(StdRng::seed_from_u64(3));
    admitter.set_fractions(BTreeMap::from([(priority(0), 0.0)]), START);
    assert!(!admitter.admit(priority(0), None, 100.0, START));
    assert!(admitter.admit(priority(1), None, 100.0, START));
}

/// Guards against requests for which the fraction doesn't hold and that aren't seen as demand.
#[test]
fn counted_requests_are_offered_and_admitted() {
    let mut admitter = Admitter::new(StdRng::seed_from_u64(3));
    assert!(!admitter.is_shedding());
    (0..100).for_each(|n| admitter.count(priority(0), 100.0, START + PERIOD * n));
    let now = START + PERIOD * 100;
    assert_eq!(admitter.offered(now), admitter.admitted(now));
    let rate = admitter.offered(now)[&priority(0)];
    assert!((rate - 1_000.0).abs() < 100.0, "{rate}");
    admitter.set_fractions(BTreeMap::from([(priority(0), 0.5)]), now);
    assert!(admitter.is_shedding());
    assert_eq!(admitter.fraction(priority(0)), 0.5);
    assert_eq!(admitter.fraction(priority(1)), 1.0, "not known");
    admitter.set_fractions(BTreeMap::new(), now);
    assert!(!admitter.is_shedding());
}

/// Guards against a capacity that stays too large with a standing queue, too small with free slots,
/// or wrong after the shortage.
#[test]
fn the_correction_follows_the_load_and_returns() {
    let load = |occupancy, waiting| Load { occupancy, waiting };
    // Load, whether work is shed, what becomes of the factor.
    let cases = [
        (load(1.2, 0.0), true, -1, "a standing queue at the engines"),
        (
            load(1.2, 0.0),
            false,
            -1,
            "the same before anything is shed",
        ),
        (load(0.8, 0.1), true, -1, "a standing queue at the entries"),
        (load(0.8, 0.0), true, 1, "free slots"),
        (load(0.8, 0.0), false, 0, "free slots without shortage"),
        (load(0.8, 0.01), true, 0, "short waits"),
        (load(1.0, 0.0), true, 1, "full engines without a queue"),
        (load(1.08, 0.0), true, 0, "a short queue at the engines"),
    ];
    let later = |n| START + Duration::from_millis(250) * n;
    for (load, is_shedding, expected, what) in cases {
        let mut correction = Correction::new(START);
        correction.observe(load, is_shedding, START + Duration::from_millis(249));
        assert_eq!(correction.factor(), 1.0, "too early");
        correction.observe(load, is_shedding, later(1));
        let change = correction.factor() - 1.0;
        let is_expected = match expected {
            0 => change == 0.0,
            sign => change * f64::from(sign) > 0.0,
        };
        assert!(is_expected, "{what}: {change}");
        (2..200).for_each(|n| correction.observe(load, is_shedding, later(n)));
        assert!((0.5..=1.5).contains(&correction.factor()), "{what}");
        (200..400).for_each(|n| correction.observe(Load::default(), false, later(n)));
        assert!((correction.factor() - 1.0).abs() < 0.01, "{what}: returns");
    }
}
