//! Engines from which nothing comes.

#![allow(clippy::unwrap_used)]

use std::collections::{BTreeMap, VecDeque};

use domain::{clock::Instant, name};
use policy::silence::Table;
use rand::{RngExt, SeedableRng, rngs::StdRng};

fn at(ms: u64) -> Instant {
    Instant::from_millis(60_000 + ms)
}

/// What happens at an engine.
#[derive(Clone, Copy, Debug)]
enum Event {
    /// An attempt is sent.
    Send,
    /// A byte comes on another attempt.
    Hear,
    /// The attempt that was sent at this time is given up.
    Drop(u64),
}

/// A name, what happens at which time, and whether the engine is avoided at the time that follows.
type Case<'a> = (&'a str, &'a [(u64, Event)], u64, bool);

/// Guards against requests that pile up at a frozen engine, and against healthy engines that are
/// avoided because one request waits long.
#[test]
fn an_engine_is_avoided_after_a_silence_on_all_attempts() {
    use Event::{Drop, Hear, Send};
    let cases: [Case<'_>; 11] = [
        ("nothing was sent", &[], 5_000, false),
        ("one attempt waits", &[(0, Send)], 5_000, false),
        ("two wait shortly", &[(0, Send), (10, Send)], 600, false),
        ("two wait for long", &[(0, Send), (10, Send)], 601, true),
        ("the oldest counts", &[(0, Send), (550, Send)], 700, true),
        (
            "others are answered",
            &[(0, Send), (0, Send), (500, Hear)],
            1_000,
            false,
        ),
        (
            "others were answered before a silence",
            &[(0, Send), (0, Send), (500, Hear)],
            1_101,
            true,
        ),
        (
            "it answers after a silence",
            &[(0, Send), (0, Send), (900, Hear)],
            1_000,
            false,
        ),
        (
            "one is given up and the other still waits",
            &[(0, Send), (1, Send), (900, Drop(0))],
            1_000,
            true,
        ),
        (
            "a probe may be sent when none waits",
            &[(0, Send), (1, Send), (900, Drop(0)), (901, Drop(1))],
            1_000,
            false,
        ),
        (
            "one probe waits",
            &[
                (0, Send),
                (1, Send),
                (900, Drop(0)),
                (901, Drop(1)),
                (950, Send),
            ],
            1_000,
            true,
        ),
    ];
    let id = name::Instance::from("i");
    for (name, events, now, is_avoided) in cases {
        let mut table = Table::new();
        for (ms, event) in events {
            match event {
                Send => table.begin(&id, at(*ms)),
                Hear => table.hear(&id, at(*ms)),
                Drop(sent) => table.end(&id, at(*sent), at(*ms)),
            }
        }
        assert_eq!(table.is_avoided(&id, at(now)), is_avoided, "{name}");
    }
}

/// An answered probe ends the silence for good.
#[test]
fn an_answered_probe_ends_the_silence() {
    let id = name::Instance::from("i");
    let mut table = Table::new();
    table.begin(&id, at(0));
    table.begin(&id, at(1));
    table.end(&id, at(0), at(1_200));
    table.end(&id, at(1), at(1_201));
    table.begin(&id, at(1_300));
    assert!(table.is_avoided(&id, at(1_350)));
    table.hear(&id, at(1_400));
    table.end(&id, at(1_300), at(1_400));
    assert!(table.is_empty());
}

/// A part of the engines that is larger than any freeze hits is slow, not frozen.
#[test]
fn many_silent_engines_are_not_avoided() {
    let cases = [
        (0, 1, true),
        (1, 1, false),
        (1, 2, false),
        (1, 3, true),
        (4, 14, true),
        (5, 14, false),
    ];
    for (avoided, engines, is_exception) in cases {
        let case = format!("{avoided} of {engines}");
        assert_eq!(
            Table::is_exception(avoided, engines),
            is_exception,
            "{case}"
        );
    }
}

/// A full engine as `docs/LOAD.md` describes it: 12 slots, answers of about a second with an event
/// every 55 ms, and a queue. Returns how many of the requests met a table that avoids it.
fn share_avoided(entries: usize, per_s: f64, backlog: usize, seed: u64) -> f64 {
    const SLOTS: usize = 12;
    const PASS_MS: u64 = 55;
    let id = name::Instance::from("i");
    let mut rng = StdRng::seed_from_u64(seed);
    let mut tables = vec![Table::new(); entries];
    let mut queue: VecDeque<(usize, Instant)> = VecDeque::new();
    let mut running: BTreeMap<u64, (usize, u64)> = BTreeMap::new();
    let (mut sent, mut avoided, mut number) = (0_u32, 0_u32, 0);
    for ms in 0..120_000 {
        let now = at(ms);
        if rng.random_range(0.0..1_000.0) < per_s && running.len() + queue.len() < SLOTS + backlog {
            let entry = rng.random_range(0..entries);
            sent += 1;
            avoided += u32::from(tables[entry].is_avoided(&id, now));
            tables[entry].begin(&id, now);
            queue.push_back((entry, now));
        }
        if ms % PASS_MS != 0 {
            continue;
        }
        for (entry, _) in running.values() {
            tables[*entry].hear(&id, now);
        }
        running.retain(|_, (_, end)| *end > ms);
        while running.len() < SLOTS
            && let Some((entry, sent_at)) = queue.pop_front()
        {
            tables[entry].hear(&id, now);
            tables[entry].end(&id, sent_at, now);
            number += 1;
            running.insert(number, (entry, ms + rng.random_range(300..1_700)));
        }
    }
    f64::from(avoided) / f64::from(sent.max(1))
}

/// Guards against healthy engines that lose requests under overload because they are slow. Entries
/// keep an engine's queue short; a standing queue of half of its slots is already beyond the targets.
#[test]
fn a_full_engine_is_not_avoided() {
    for entries in [4, 12, 19] {
        for backlog in [2, 6] {
            let share = share_avoided(entries, 25.0, backlog, 1);
            eprintln!("{entries} entries, {backlog} in the queue: {share:.4} avoided");
            assert!(
                share < 0.01,
                "{entries} entries, {backlog} in the queue: {share}"
            );
        }
    }
}
