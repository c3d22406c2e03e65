//! Fair queueing: what each customer gets under overload.

#![allow(clippy::unwrap_used)]

use std::collections::BTreeMap;

use bolero::check;
use domain::name;
use policy::fair::{Config, Full, Owner, Queue};

const CONFIG: Config = Config {
    per_customer: 64,
    total: 100_000,
};

fn owner(customer: &str, plan: &str, share: u32) -> Owner {
    Owner {
        customer: customer.into(),
        plan: plan.into(),
        share,
    }
}

/// Keeps calls of each customer waiting and returns the fraction of the total cost that each
/// customer was served. `owners` holds the customers with the cost of their calls.
fn serve(owners: &[(Owner, u32)], rounds: u32, slots: usize) -> BTreeMap<name::Customer, f64> {
    let mut queue = Queue::new(CONFIG);
    let mut served: BTreeMap<name::Customer, f64> = BTreeMap::new();
    let mut running = Vec::new();
    for _ in 0..rounds {
        for (i, (owner, cost)) in owners.iter().enumerate() {
            while queue.waiting(&owner.customer) < 4 {
                queue.push(owner, i, *cost).unwrap();
            }
        }
        if running.len() == slots {
            let ended: usize = running.remove(0);
            let (owner, cost) = &owners[ended];
            queue.finish(&owner.customer, *cost, *cost);
        }
        let next = queue.pop().unwrap();
        let (owner, cost) = &owners[next];
        *served.entry(owner.customer.clone()).or_default() += f64::from(*cost);
        running.push(next);
    }
    let sum: f64 = served.values().sum();
    served.values_mut().for_each(|part| *part /= sum);
    served
}

#[test]
fn plan_shares_hold_for_any_call_cost() {
    // Customer, plan, share, cost of its calls, expected fraction.
    type Row = (&'static str, &'static str, u32, u32, f64);
    let cases: &[&[Row]] = &[
        &[("a", "x", 1, 1, 0.5), ("b", "y", 1, 1, 0.5)],
        &[("a", "x", 3, 1, 0.75), ("b", "y", 1, 1, 0.25)],
        &[("a", "x", 1, 100, 0.5), ("b", "y", 1, 1, 0.5)],
        &[
            ("a", "x", 2, 7, 0.333),
            ("b", "x", 2, 1, 0.333),
            ("c", "y", 1, 3, 0.333),
        ],
        &[("a", "x", 10_000, 1, 0.999), ("b", "y", 10, 1, 0.001)],
    ];
    for case in cases {
        let owners: Vec<_> = case
            .iter()
            .map(|(customer, plan, share, cost, _)| (owner(customer, plan, *share), *cost))
            .collect();
        let served = serve(&owners, 20_000, 8);
        for (customer, _, _, _, expected) in *case {
            let got = served[&name::Customer::from(*customer)];
            assert!(
                (got - expected).abs() < 0.02,
                "{customer}: {got} of {case:?}"
            );
        }
    }
}

#[test]
fn idle_customer_accumulates_no_credit() {
    let mut queue = Queue::new(CONFIG);
    let (busy, idle) = (owner("busy", "x", 1), owner("idle", "y", 1));
    for _ in 0..1_000 {
        queue.push(&busy, "busy", 1).unwrap();
        assert_eq!(queue.pop(), Some("busy"));
        queue.finish(&busy.customer, 1, 1);
    }
    for _ in 0..10 {
        queue.push(&busy, "busy", 1).unwrap();
        queue.push(&idle, "idle", 1).unwrap();
    }
    let first: Vec<_> = (0..10).filter_map(|_| queue.pop()).collect();
    let from_idle = first.iter().filter(|who| **who == "idle").count();
    assert!((4..=6).contains(&from_idle), "{first:?}");
}

#[test]
fn actual_cost_replaces_the_estimate() {
    let mut queue = Queue::new(CONFIG);
    let (a, b) = (owner("a", "x", 1), owner("b", "y", 1));
    let mut got = BTreeMap::new();
    for _ in 0..2_000 {
        for (who, owner) in [("a", &a), ("b", &b)] {
            while queue.waiting(&owner.customer) < 2 {
                queue.push(owner, who, 10).unwrap();
            }
        }
        let who = queue.pop().unwrap();
        // Calls of `a` cost only half of their estimate.
        let (owner, actual) = if who == "a" { (&a, 5) } else { (&b, 10) };
        queue.finish(&owner.customer, 10, actual);
        *got.entry(who).or_insert(0u32) += actual;
    }
    let ratio = f64::from(got["a"]) / f64::from(got["b"]);
    assert!((ratio - 1.0).abs() < 0.05, "{got:?}");
}

#[test]
fn limits_are_enforced() {
    let config = Config {
        per_customer: 2,
        total: 3,
    };
    let mut queue = Queue::new(config);
    let (a, b) = (owner("a", "x", 1), owner("b", "y", 1));
    assert_eq!(queue.push(&a, 1, 1), Ok(()));
    assert_eq!(queue.push(&a, 2, 1), Ok(()));
    assert_eq!(queue.push(&a, 3, 1), Err(Full::Customer));
    assert_eq!(queue.push(&b, 4, 1), Ok(()));
    assert_eq!(queue.push(&b, 5, 1), Err(Full::Total));
    assert!(queue.remove(&a.customer, &1));
    assert!(!queue.remove(&a.customer, &1));
    assert_eq!(queue.push(&b, 5, 1), Ok(()));
    assert_eq!(queue.clear().len(), 3);
    assert!(queue.is_empty());
}

#[test]
fn random_operations_keep_the_counts() {
    check!().with_type::<Vec<(u8, u8, u8)>>().for_each(|steps| {
        let owners = [owner("a", "x", 1), owner("b", "x", 1), owner("c", "y", 7)];
        let mut queue = Queue::new(Config {
            per_customer: 5,
            total: 12,
        });
        let mut waiting: Vec<(usize, usize)> = Vec::new();
        let mut running: Vec<usize> = Vec::new();
        for (n, (step, who, cost)) in steps.iter().enumerate() {
            let who = usize::from(*who) % owners.len();
            let cost = u32::from(*cost);
            match step % 4 {
                0 if queue.push(&owners[who], (who, n), cost).is_ok() => waiting.push((who, n)),
                1 => {
                    let popped = queue.pop();
                    assert_eq!(popped.is_none(), waiting.is_empty());
                    waiting.retain(|other| Some(*other) != popped);
                    running.extend(popped.map(|item| item.0));
                }
                2 => {
                    if let Some(item) = waiting.pop() {
                        assert!(queue.remove(&owners[item.0].customer, &item));
                    }
                }
                _ => {
                    if let Some(done) = running.pop() {
                        queue.finish(&owners[done].customer, cost, 1);
                    }
                }
            }
            assert_eq!(queue.len(), waiting.len());
        }
    });
}
