//! What instances say of themselves, and how they may be used by that.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use domain::{
    clock::Instant,
    instance::{Instance, Phase},
};
use policy::notice::{Availability, Change, MAX_PAUSE, Notice, Table};

const DRAIN: Duration = Duration::from_millis(1_500);
const LEAVING: Notice = Notice {
    is_leaving: true,
    pause: None,
    limit: None,
};

fn instance(id: &str, born_ms: u64) -> Instance {
    Instance {
        id: id.into(),
        born_ms,
        service: "s".into(),
        address: ([10, 0, 0, 1], 80).into(),
        zone: "z".into(),
        slots: 4,
        phase: Phase::Ready,
        cold_ms: 0,
        layers: Vec::new(),
        sequence: 1,
    }
}

fn pause(millis: u64) -> Notice {
    Notice {
        pause: Some(Duration::from_millis(millis)),
        ..Notice::default()
    }
}

fn at(millis: u64) -> Instant {
    Instant::from_millis(60_000 + millis)
}

fn paused(millis: u64) -> Availability {
    Availability::Paused(Duration::from_millis(millis))
}

#[test]
fn availability_by_what_was_said_and_when() {
    use Availability::{Available, Gone, Leaving};
    let both = Notice {
        is_leaving: true,
        ..pause(1_000)
    };
    // The notices with their times, and what holds at which times.
    type Case<'a> = (&'a str, &'a [(u64, Notice)], &'a [(u64, Availability)]);
    let cases: [Case<'_>; 8] = [
        ("nothing", &[(0, Notice::default())], &[(0, Available)]),
        (
            "it leaves",
            &[(0, LEAVING)],
            &[
                (0, Leaving),
                (1_499, Leaving),
                (1_500, Gone),
                (900_000, Gone),
            ],
        ),
        (
            "a later notice does not extend the drain",
            &[(0, LEAVING), (1_400, LEAVING)],
            &[(1_499, Leaving), (1_500, Gone)],
        ),
        (
            "an answer without the notice takes nothing back",
            &[(0, LEAVING), (10, Notice::default())],
            &[(10, Leaving), (1_500, Gone)],
        ),
        (
            "a pause",
            &[(0, pause(3_000))],
            &[(0, paused(3_000)), (2_999, paused(1)), (3_000, Available)],
        ),
        (
            "the longest pause holds",
            &[(0, pause(3_000)), (100, pause(200))],
            &[(1_000, paused(2_000)), (3_000, Available)],
        ),
        (
            "a pause is extended",
            &[(0, pause(500)), (400, pause(500))],
            &[(600, paused(300)), (900, Available)],
        ),
        (
            "it leaves and wants a pause",
            &[(0, both)],
            &[(500, paused(500)), (1_200, Leaving), (1_500, Gone)],
        ),
    ];
    let one = instance("i", 1);
    for (name, notices, expected) in cases {
        let mut table = Table::new(DRAIN);
        for (millis, notice) in notices {
            table.observe(&one, *notice, at(*millis), at(*millis));
        }
        for (millis, availability) in expected {
            let found = table.availability(&one, at(*millis));
            assert_eq!(found, *availability, "{name} at {millis} ms");
            let other = instance("other", 1);
            assert_eq!(table.availability(&other, at(*millis)), Available, "{name}");
        }
    }
}

#[test]
fn a_pause_without_sense_ends() {
    let mut table = Table::new(DRAIN);
    let one = instance("i", 1);
    let forever = Notice {
        pause: Some(Duration::MAX),
        ..Notice::default()
    };
    table.observe(&one, forever, at(0), at(0));
    let end = at(0) + MAX_PAUSE;
    assert_eq!(table.availability(&one, end), Availability::Available);
}

#[test]
fn a_later_start_is_not_bound_by_an_earlier_one() {
    let mut table = Table::new(DRAIN);
    let (earlier, later) = (instance("i", 5), instance("i", 6));
    table.observe(&earlier, LEAVING, at(0), at(0));
    table.observe(&earlier, pause(9_000), at(0), at(0));
    assert_eq!(table.availability(&later, at(1)), Availability::Available);
    table.observe(&later, pause(100), at(10), at(10));
    assert_eq!(table.availability(&later, at(20)), paused(90));
    // The list may be old and still name the earlier start; what answers is the later one.
    assert_eq!(table.availability(&earlier, at(20)), paused(90));
    assert_eq!(table.availability(&later, at(200)), Availability::Available);
}

/// An instance that control lost sight of and lists again still leaves.
#[test]
fn a_record_outlives_a_gap_in_the_list() {
    let mut table = Table::new(DRAIN);
    let one = instance("i", 1);
    table.observe(&one, LEAVING, at(0), at(0));
    table.retain(|_| false, at(30_000));
    assert_eq!(table.availability(&one, at(30_000)), Availability::Gone);
    table.retain(|_| true, at(3_600_000));
    assert_eq!(table.availability(&one, at(3_600_000)), Availability::Gone);
    table.retain(|_| false, at(3_600_000));
    assert_eq!(
        table.availability(&one, at(3_600_000)),
        Availability::Available
    );
}

#[test]
fn only_news_are_told() {
    let mut table = Table::new(DRAIN);
    let one = instance("i", 1);
    let second = Duration::from_millis(1_000);
    assert_eq!(
        table.observe(&one, LEAVING, at(0), at(0)),
        [Change::Leaving]
    );
    assert_eq!(table.observe(&one, LEAVING, at(1), at(1)), []);
    assert_eq!(
        table.observe(&one, pause(1_000), at(2), at(2)),
        [Change::Paused(second)]
    );
    assert_eq!(table.observe(&one, pause(1_000), at(3), at(3)), []);
    assert_eq!(
        table.observe(&one, pause(1_000), at(2_000), at(2_000)),
        [Change::Paused(second)]
    );
}

/// For any notices at any times, an instance gets nothing later than the drain after the first
/// notice that it leaves, and nothing within a pause.
#[test]
fn no_order_of_notices_reopens_an_instance() {
    bolero::check!()
        .with_type::<Vec<(u16, bool, Option<u16>)>>()
        .for_each(|notices| {
            let mut table = Table::new(DRAIN);
            let one = instance("i", 1);
            let (mut now, mut left_at, mut until) = (0, None, 0);
            for (gap, is_leaving, pause) in notices {
                now += u64::from(*gap);
                let notice = Notice {
                    is_leaving: *is_leaving,
                    pause: pause.map(|ms| Duration::from_millis(ms.into())),
                    limit: None,
                };
                table.observe(&one, notice, at(now), at(now));
                if *is_leaving {
                    left_at = left_at.or(Some(now));
                }
                until = until.max(now + u64::from(pause.unwrap_or_default()));
                let found = table.availability(&one, at(now));
                let is_over = left_at.is_some_and(|left| now >= left + 1_500);
                let expected = match (is_over, now < until, left_at) {
                    (true, ..) => Availability::Gone,
                    (_, true, _) => paused(until - now),
                    (.., Some(_)) => Availability::Leaving,
                    _ => Availability::Available,
                };
                assert_eq!(found, expected);
            }
        });
}
