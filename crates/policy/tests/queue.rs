//! The order, bounds and deadlines of the requests that wait at an entry.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use bolero::{TypeGenerator, check};
use domain::{clock::Instant, load::Priority};
use policy::{
    admission::Timeliness::{self, Late, OnTime},
    queue::{Bounds, Full, Place, Queue},
};

const START: Instant = Instant::from_millis(60_000);
const WIDE: Bounds = Bounds {
    each: 100,
    total: 100,
};

fn priority(route: u8) -> Priority {
    Priority { customer: 1, route }
}

fn at(millis: u64) -> Instant {
    START + Duration::from_millis(millis)
}

/// Guards against requests of one priority that overtake each other, and against late requests that
/// are served before those that can be in time.
#[test]
fn requests_are_served_by_priority_then_in_time_then_arrival() {
    let urgent_customer = Priority {
        customer: 0,
        route: 2,
    };
    // Arrivals, and the numbers of the arrivals in the order in which they are served.
    type Case = (&'static [(Priority, Timeliness)], &'static [usize]);
    const P0: Priority = Priority {
        customer: 1,
        route: 0,
    };
    const P1: Priority = Priority {
        customer: 1,
        route: 1,
    };
    let cases: &[Case] = &[
        (&[(P0, OnTime), (P0, OnTime), (P0, OnTime)], &[0, 1, 2]),
        (&[(P1, OnTime), (P0, OnTime)], &[1, 0]),
        (&[(P0, Late), (P0, OnTime), (P0, Late)], &[1, 0, 2]),
        (&[(P1, OnTime), (P0, Late), (P1, Late)], &[1, 0, 2]),
    ];
    for (arrivals, expected) in cases {
        let mut queue = Queue::new();
        let join = |(priority, timeliness): &(Priority, Timeliness)| {
            let joined = queue.join(*priority, *timeliness, at(100), WIDE);
            joined.unwrap().place
        };
        let places: Vec<Place> = arrivals.iter().map(join).collect();
        let served: Vec<_> = queue.places().collect();
        let expected: Vec<_> = expected.iter().map(|n| places[*n]).collect();
        assert_eq!(served, expected, "{arrivals:?}");
    }
    let mut queue = Queue::new();
    queue.join(P0, OnTime, at(100), WIDE).unwrap();
    let joined = queue.join(urgent_customer, Late, at(100), WIDE).unwrap();
    assert_eq!(queue.places().next(), Some(joined.place), "customer first");
}

/// Guards against a flood of less urgent requests that keeps an urgent one from waiting, and
/// against an urgent one that is displaced by a less urgent one.
#[test]
fn a_full_queue_displaces_only_what_comes_later() {
    let bounds = Bounds { each: 2, total: 3 };
    // Waiting requests, the new one, and which it displaces or that it is refused.
    type Request = (u8, Timeliness);
    type Case = (
        &'static [Request],
        Request,
        Result<Option<usize>, Full>,
        &'static str,
    );
    let cases: &[Case] = &[
        (&[], (0, OnTime), Ok(None), "empty"),
        (&[(0, OnTime)], (0, Late), Ok(None), "below the bounds"),
        (
            &[(0, OnTime), (0, OnTime)],
            (0, OnTime),
            Err(Full),
            "its priority is full",
        ),
        (
            &[(0, Late), (0, Late)],
            (0, OnTime),
            Ok(Some(1)),
            "the newest late one",
        ),
        (
            &[(0, Late), (0, OnTime)],
            (0, OnTime),
            Ok(Some(0)),
            "the late one",
        ),
        (
            &[(0, Late), (0, Late)],
            (0, Late),
            Err(Full),
            "late ones keep their order",
        ),
        (
            &[(1, OnTime), (2, OnTime), (2, OnTime)],
            (0, OnTime),
            Ok(Some(2)),
            "the newest of the last",
        ),
        (
            &[(1, OnTime), (2, OnTime), (2, Late)],
            (1, OnTime),
            Ok(Some(2)),
            "the last priority",
        ),
        (
            &[(0, OnTime), (1, OnTime), (1, OnTime)],
            (2, OnTime),
            Err(Full),
            "it would be the last",
        ),
        (
            &[(0, OnTime), (1, OnTime), (2, Late)],
            (2, OnTime),
            Ok(Some(2)),
            "late of its priority",
        ),
        (
            &[(0, OnTime), (0, OnTime), (2, OnTime)],
            (0, Late),
            Err(Full),
            "no more of its priority",
        ),
    ];
    for (waiting, (route, timeliness), expected, what) in cases {
        let mut queue = Queue::new();
        let join = |(route, timeliness): &Request| {
            let joined = queue.join(priority(*route), *timeliness, at(100), WIDE);
            joined.unwrap().place
        };
        let places: Vec<Place> = waiting.iter().map(join).collect();
        let joined = queue.join(priority(*route), *timeliness, at(100), bounds);
        let displaced = joined.map(|joined| joined.displaced);
        assert_eq!(displaced, expected.map(|n| n.map(|n| places[n])), "{what}");
    }
}

/// Guards against requests that wait past their deadline or after their callers left.
#[test]
fn expired_and_removed_requests_no_longer_wait() {
    let mut queue = Queue::new();
    let mut join = |millis| {
        let joined = queue.join(priority(0), OnTime, at(millis), WIDE);
        joined.unwrap().place
    };
    let [first, second, third] = [180, 90, 180].map(&mut join);
    assert_eq!(queue.expire(at(89)), []);
    assert_eq!(queue.expire(at(90)), [second], "whatever its place");
    assert!(!queue.remove(second), "it has expired");
    assert!(queue.remove(first), "its caller left");
    assert_eq!(queue.places().collect::<Vec<_>>(), [third]);
    assert_eq!(queue.waiting(priority(0)), 1);
    assert_eq!(queue.expire(at(1_000)), [third]);
    assert!(queue.is_empty());
}

#[derive(Clone, Debug, TypeGenerator)]
enum Step {
    Join {
        route: u8,
        is_late: bool,
        millis: u8,
    },
    Leave(u8),
    Expire(u8),
}

/// Guards against bounds that are exceeded, and against a request that is lost: each one that
/// joined is in the queue until it is removed, expires or is displaced, once.
#[test]
fn bounds_hold_and_nothing_is_lost() {
    let bounds = Bounds { each: 3, total: 5 };
    check!().with_type::<Vec<Step>>().for_each(|steps| {
        let mut queue = Queue::new();
        let mut known: Vec<Place> = Vec::new();
        for step in steps {
            match step {
                Step::Join {
                    route,
                    is_late,
                    millis,
                } => {
                    let timeliness = if *is_late { Late } else { OnTime };
                    let deadline = at((*millis).into());
                    let joined = queue.join(priority(route % 4), timeliness, deadline, bounds);
                    if let Ok(joined) = joined {
                        known.retain(|place| Some(*place) != joined.displaced);
                        assert!(joined.displaced.is_none_or(|place| place > joined.place));
                        known.push(joined.place);
                    }
                }
                Step::Leave(n) if !known.is_empty() => {
                    let place = known.remove(usize::from(*n) % known.len());
                    assert!(queue.remove(place));
                }
                Step::Leave(_) => {}
                Step::Expire(millis) => {
                    let expired = queue.expire(at((*millis).into()));
                    known.retain(|place| !expired.contains(place));
                }
            }
            known.sort();
            assert_eq!(queue.places().collect::<Vec<_>>(), known);
            assert!(queue.len() <= bounds.total);
            assert!((0..4).all(|route| queue.waiting(priority(route)) <= bounds.each));
        }
    });
}
