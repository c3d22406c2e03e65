//! The retry budget and the circuit breakers.

use std::time::Duration;

use domain::{clock::Instant, name};
use policy::{
    breaker::{State, Table},
    retry::Budget,
};

fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

#[test]
fn retries_are_limited_to_fraction_of_recent_calls() {
    for (percent, calls, allowed) in [(10, 1_000, 100), (10, 5, 10), (0, 1_000, 0), (50, 100, 50)] {
        let mut budget = Budget::new(percent);
        for i in 0..calls {
            budget.call(at(i));
        }
        let taken = (0..2_000).filter(|_| budget.take(at(calls))).count();
        assert_eq!(taken, allowed, "{percent} % of {calls}");
    }
}

#[test]
fn old_calls_leave_the_window() {
    let mut budget = Budget::new(10);
    for _ in 0..1_000 {
        budget.call(at(0));
    }
    assert_eq!((0..500).filter(|_| budget.take(at(10))).count(), 100);
    assert!(!budget.take(at(9_000)));
    assert_eq!((0..500).filter(|_| budget.take(at(10_500))).count(), 10);
}

#[test]
fn budget_holds_for_any_order_of_calls_and_retries() {
    bolero::check!()
        .with_type::<Vec<(bool, u8)>>()
        .for_each(|steps| {
            let mut budget = Budget::new(20);
            let (mut now, mut calls, mut retries) = (at(0), 0_u64, 0_u64);
            for (is_call, pause) in steps {
                now = now + Duration::from_millis(u64::from(*pause));
                match is_call {
                    true => {
                        budget.call(now);
                        calls += 1;
                    }
                    false => retries += u64::from(budget.take(now)),
                }
            }
            let windows = now.since(at(0)).as_secs() / 9 + 1;
            assert!(retries <= calls / 5 + 10 * windows);
        });
}

#[test]
fn pauses_double_up_to_maximum_and_end_on_success() {
    let vm = name::Vm::new("vm-0");
    let mut table = Table::new();
    let mut now = at(0);
    let mut pauses = Vec::new();
    for _ in 0..10 {
        table.fail(&vm, now);
        // Failures of concurrent calls count once.
        table.fail(&vm, now);
        let State::Open(pause) = table.state(&vm, now) else {
            panic!("the breaker is not open");
        };
        pauses.push(pause.as_millis());
        now = now + pause;
        assert_eq!(table.state(&vm, now), State::HalfOpen);
        table.begin(&vm, now);
        assert!(matches!(table.state(&vm, now), State::Open(_)));
    }
    assert_eq!(&pauses[..4], [100, 200, 400, 800]);
    assert_eq!(pauses[9], 10_000);
    table.succeed(&vm);
    assert_eq!(table.state(&vm, now), State::Closed);
}

#[test]
fn released_probe_allows_another_one() {
    let vm = name::Vm::new("vm-0");
    let mut table = Table::new();
    table.fail(&vm, at(0));
    table.begin(&vm, at(200));
    assert!(matches!(table.state(&vm, at(200)), State::Open(_)));
    table.release(&vm);
    assert_eq!(table.state(&vm, at(200)), State::HalfOpen);
}

#[test]
fn refusal_causes_short_pause_without_failure() {
    let vm = name::Vm::new("vm-0");
    let mut table = Table::new();
    table.refuse(&vm, at(0));
    assert!(matches!(table.state(&vm, at(50)), State::Open(_)));
    assert_eq!(table.state(&vm, at(100)), State::Closed);
}
