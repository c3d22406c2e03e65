//! How long old versions may be used by an entry whose feed is late, stands still and moves between
//! replicas, in simulated time.

use std::time::Duration;

use domain::clock::Instant;
use policy::{age::Bound, naming, view::View};
use rand::{RngExt, SeedableRng, rngs::StdRng};

/// A day, in milliseconds.
const DAY: u64 = 60_000;

/// The versions of one day: each is acknowledged at some time, in milliseconds.
struct Control {
    named_at: Vec<u64>,
}

impl Control {
    /// The newest version that a replica has whose state is of the given time.
    fn version(&self, at: u64) -> u64 {
        1 + self
            .named_at
            .iter()
            .filter(|named_at| **named_at <= at)
            .count() as u64
    }
}

fn at(millis: u64) -> Instant {
    Instant::from_millis(1_000_000 + millis)
}

/// One entry follows the feed through a day, and each version that it hears of was set after the
/// time that its table says.
fn play(seed: u64) -> usize {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut named_at: Vec<u64> = (0..6).map(|_| rng.random_range(0..DAY)).collect();
    named_at.sort_unstable();
    let control = Control { named_at };
    let (mut view, mut bound, mut targets) =
        (View::default(), Bound::UNKNOWN, naming::Table::new());
    let (mut now, mut shown) = (0, 0);
    while now < DAY {
        let asked_at = now;
        // The reply is held for a while, and any side may stand still.
        now += match rng.random_bool(0.05) {
            true => rng.random_range(0..6_000),
            false => rng.random_range(10..500),
        };
        let replied_at = rng.random_range(asked_at..=now);
        let received_at = rng.random_range(asked_at..=replied_at);
        let confirmed_at = replied_at.saturating_sub(rng.random_range(0..1_500));
        // A replica may have more than what is confirmed.
        let state_at = rng.random_range(confirmed_at..=replied_at);
        if state_at < shown {
            // An older state is refused.
            continue;
        }
        shown = state_at;
        let mut next = view.clone();
        let version = control.version(state_at);
        if version > 1 {
            next.targets.insert("m".into(), version);
        }
        targets.observe(&next, bound);
        let age = Duration::from_millis(replied_at - confirmed_at);
        let held = replied_at - received_at;
        bound = Bound::new(at(asked_at + held), age).tightest(bound);
        view = next;
    }
    let heard = targets.of(&"m".into());
    for target in heard {
        let named_at = control.named_at[target.version as usize - 2];
        let is_sound = target.set_after.is_none_or(|after| after <= at(named_at));
        assert!(
            is_sound,
            "seed {seed}: {target:?} was named at {named_at} ms"
        );
    }
    heard.len()
}

/// Guards against an old version that is counted from a time after the new one was acknowledged.
#[test]
fn target_was_set_after_the_time_that_counts() {
    let heard: usize = (0..2_000).map(play).sum();
    assert!(heard > 8_000, "{heard} targets were heard of");
}
