//! The gate and its limit: warm-up, alarms, refusals, and random sequences of operations.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use bolero::check;
use domain::clock::Instant;
use policy::{
    fair::{self, Owner},
    gate::{Call, Cause, Config, End, Gate, Ticket},
    warmup::{self, Limit, Sign},
};

const COLD: u32 = 2;
const WARM: u32 = 8;

fn limit_config() -> warmup::Config {
    warmup::Config {
        cold: COLD,
        warm: WARM,
        unconfirmed: COLD,
    }
}

fn config() -> Config {
    Config {
        limit: limit_config(),
        queue: fair::Config {
            per_customer: 4,
            total: 8,
        },
    }
}

fn at(ms: u64) -> Instant {
    Instant::from_millis(ms)
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn call(customer: &str, now: Instant) -> Call {
    Call {
        owner: Owner {
            customer: customer.into(),
            plan: customer.into(),
            share: 1,
        },
        cost: 1,
        bytes: 100,
        deadline: now + ms(10_000),
    }
}

/// A limit that successful answers have raised to its warm value, with a usual delay of 10 ms.
fn warm() -> Limit {
    let mut limit = Limit::new(limit_config());
    for _ in 0..200 {
        assert_eq!(limit.on_first_token(at(0), ms(10), 100), None);
        limit.on_success(at(5_000), true);
    }
    assert_eq!(limit.current(), WARM);
    limit
}

#[test]
fn limit_grows_by_one_per_round_only_under_load() {
    let mut limit = Limit::new(limit_config());
    let mut answers = Vec::new();
    while limit.current() < WARM {
        let before = limit.current();
        let mut n = 0;
        while limit.current() == before {
            limit.on_success(at(0), false);
            limit.on_success(at(0), true);
            n += 1;
        }
        answers.push(n);
    }
    assert_eq!(answers, vec![2, 3, 4, 5, 6, 7]);
}

#[test]
fn each_sign_resets_the_limit() {
    type Act = fn(&mut Limit) -> Option<Sign>;
    let late: Act = |limit| limit.on_first_token(at(0), ms(80), 100);
    let usual: Act = |limit| limit.on_first_token(at(0), ms(30), 100);
    let long: Act = |limit| limit.on_first_token(at(0), ms(80), 300);
    let cases: &[(&str, Act, Option<Sign>, u32)] = &[
        (
            "refusal",
            |limit| Some(limit.on_refusal(at(0))),
            Some(Sign::Refused),
            COLD,
        ),
        (
            "report",
            |limit| limit.on_report(at(0), true),
            Some(Sign::Reported),
            COLD,
        ),
        ("late token", late, Some(Sign::Slow), COLD),
        ("usual token", usual, None, WARM),
        ("long prompt", long, None, WARM),
        (
            "warm report",
            |limit| limit.on_report(at(0), false),
            None,
            WARM,
        ),
    ];
    for (name, act, sign, current) in cases {
        let mut limit = warm();
        assert_eq!(act(&mut limit), *sign, "{name}");
        assert_eq!(limit.current(), *current, "{name}");
    }
}

#[test]
fn limit_stays_cold_during_a_cold_report_and_after_a_reset() {
    let succeed = |limit: &mut Limit, ms| (0..100).for_each(|_| limit.on_success(at(ms), true));
    // The upstream reports itself cold.
    let mut limit = Limit::new(limit_config());
    limit.on_report(at(0), true);
    succeed(&mut limit, 5_000);
    assert_eq!(limit.current(), COLD);
    limit.on_report(at(0), false);
    succeed(&mut limit, 5_000);
    assert_eq!(limit.current(), WARM);
    // Reports received right after a reset may date from before it.
    limit.reset(at(5_000));
    succeed(&mut limit, 5_900);
    assert_eq!(limit.current(), COLD);
    succeed(&mut limit, 6_100);
    assert_eq!(limit.current(), WARM);
}

#[test]
fn late_first_token_is_dismissed_after_usual_ones() {
    let cases = [
        ("false alarm", vec![10, 10, 10, 10], WARM),
        ("not yet clear", vec![10, 10, 10], COLD),
        ("cold", vec![80, 10, 10, 80, 10, 10], COLD),
    ];
    for (name, waits, expected) in cases {
        let mut limit = warm();
        limit.on_first_token(at(0), ms(80), 100);
        for wait in waits {
            limit.on_first_token(at(0), ms(wait), 100);
            limit.on_success(at(5_000), true);
        }
        assert_eq!(limit.current(), expected, "{name}");
    }
    // A permanent change of the delay is learned eventually.
    let mut limit = warm();
    for _ in 0..400 {
        limit.on_first_token(at(0), ms(80), 100);
        limit.on_success(at(5_000), true);
    }
    assert_eq!(limit.current(), WARM);
}

#[test]
fn refusals_back_off_exponentially() {
    let mut limit = Limit::new(limit_config());
    let mut now = at(0);
    let mut pauses = Vec::new();
    for _ in 0..8 {
        limit.on_refusal(now);
        assert!(!limit.has_room(now, 0, 0));
        pauses.push(limit.paused_until().since(now).as_millis());
        now = limit.paused_until();
        assert!(limit.has_room(now, 0, 0));
    }
    assert_eq!(pauses, vec![100, 200, 400, 800, 1_600, 3_200, 5_000, 5_000]);
}

#[test]
fn unconfirmed_calls_are_limited_even_when_warm() {
    let mut gate = Gate::new(config());
    for round in 0..300 {
        let tickets: Vec<_> = ["a", "b"]
            .map(|customer| gate.enqueue(at(round), call(customer, at(round))).unwrap())
            .into();
        while gate.next(at(round)).is_some() {}
        for ticket in tickets {
            gate.confirm(at(round), ticket);
            gate.finish(at(round), ticket, End::Succeeded, 1);
        }
    }
    let now = at(5_000);
    assert!(gate.load().limit > COLD);
    for customer in ["a", "b", "c", "d"] {
        gate.enqueue(now, call(customer, now)).unwrap();
    }
    let sent: Vec<_> = (0..COLD).filter_map(|_| gate.next(now)).collect();
    assert_eq!(sent.len(), COLD as usize);
    assert_eq!(gate.next(now), None);
    gate.confirm(now, sent[0]);
    assert!(gate.next(now).is_some());
    assert_eq!(gate.next(now), None);
}

#[test]
fn refusals_name_their_cause() {
    let mut gate = Gate::new(config());
    let refused = |gate: &mut Gate, customer, now| {
        let refusal = gate.enqueue(now, call(customer, now)).unwrap_err();
        assert!(refusal.retry_after >= ms(100));
        refusal.cause
    };
    let mut tickets: Vec<Ticket> = Vec::new();
    for _ in 0..2 {
        gate.enqueue(at(0), call("a", at(0))).unwrap();
        tickets.extend(gate.next(at(0)));
    }
    for customer in ["a", "a", "a", "a", "b", "b", "b", "b"] {
        gate.enqueue(at(0), call(customer, at(0))).unwrap();
    }
    // A customer over its share, one below its share, and one without any calls.
    assert_eq!(refused(&mut gate, "a", at(0)), Cause::OverShare);
    assert_eq!(refused(&mut gate, "b", at(0)), Cause::Full);
    assert_eq!(refused(&mut gate, "c", at(0)), Cause::Full);
    gate.drain();
    assert_eq!(refused(&mut gate, "b", at(0)), Cause::Draining);
    assert_eq!(tickets.len(), 2);
}

#[test]
fn call_that_would_miss_its_deadline_is_refused() {
    let mut gate = Gate::new(config());
    for _ in 0..2 {
        gate.enqueue(at(0), call("a", at(0))).unwrap();
    }
    let first: Vec<_> = (0..2).filter_map(|_| gate.next(at(0))).collect();
    for ticket in first {
        gate.finish(at(4_000), ticket, End::Succeeded, 1);
    }
    // Calls are now known to take 4 s. Two are running, and two of another customer are waiting.
    for customer in ["a", "a"] {
        gate.enqueue(at(4_000), call(customer, at(4_000))).unwrap();
        assert!(gate.next(at(4_000)).is_some());
    }
    let mut late = call("b", at(4_000));
    for _ in 0..2 {
        gate.enqueue(at(4_000), late.clone()).unwrap();
    }
    late.deadline = at(4_100);
    let refusal = gate.enqueue(at(4_000), late).unwrap_err();
    assert_eq!(refusal.cause, Cause::Deadline);
    // Two calls of 4 s each are ahead, and the customer gets half of a limit that has grown to 3.
    assert_eq!(refusal.retry_after.as_millis(), 5_333);
}

#[test]
fn random_operations_keep_the_limits() {
    check!().with_type::<Vec<(u8, u8)>>().for_each(|steps| {
        let mut gate = Gate::new(config());
        let (mut waiting, mut running, mut unconfirmed) = (Vec::new(), Vec::new(), Vec::new());
        let mut now = at(0);
        for (step, pick) in steps {
            now = now + ms(u64::from(*pick));
            let customer = ["a", "b", "c"][usize::from(*pick) % 3];
            match step % 8 {
                0 | 1 => waiting.extend(gate.enqueue(now, call(customer, now)).ok()),
                2 => {
                    let next = gate.next(now);
                    waiting.retain(|other| Some(*other) != next);
                    running.extend(next);
                    unconfirmed.extend(next);
                }
                3 => {
                    if let Some(ticket) = unconfirmed.pop() {
                        gate.confirm(now, ticket);
                    }
                }
                4 => {
                    if let Some(ticket) = running.pop() {
                        let ends = [End::Succeeded, End::Refused, End::Failed, End::Unsent];
                        gate.finish(now, ticket, ends[usize::from(*pick) % 4], 1);
                        unconfirmed.retain(|other| *other != ticket);
                    }
                }
                5 => {
                    if let Some(ticket) = waiting.pop() {
                        assert!(gate.cancel(ticket));
                        assert!(!gate.cancel(ticket));
                    }
                }
                6 => drop(gate.report(now, pick % 2 == 0)),
                _ if *pick == 0 => {
                    assert_eq!(gate.flush().len(), waiting.len());
                    waiting.clear();
                }
                _ => {}
            }
            let load = gate.load();
            assert_eq!(load.running as usize, running.len());
            assert_eq!(load.queued as usize, waiting.len());
            assert!((COLD..=WARM).contains(&load.limit));
            assert!(unconfirmed.len() <= COLD as usize);
            assert!(running.len() <= WARM as usize);
        }
    });
}

#[test]
fn false_alarms_do_not_prevent_warming_up() {
    let mut limit = Limit::new(limit_config());
    let mut now = at(5_000);
    for _ in 0..40 {
        // One in eleven first tokens is late, as on a busy VM.
        (0..10).for_each(|_| {
            limit.on_first_token(now, ms(10), 100);
            limit.on_success(now, true);
            now = now + ms(10);
        });
        limit.on_first_token(now, ms(500), 100);
    }
    (0..8).for_each(|_| {
        limit.on_first_token(now, ms(10), 100);
    });
    assert!(limit.is_warm(), "the limit is {}", limit.current());
}
