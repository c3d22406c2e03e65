//! Which parts of prompts come into quarantine, by what several entries see.

#![allow(clippy::unwrap_used)]

mod common;

use std::time::Duration;

use domain::{
    clock::Instant,
    command::Command,
    instance::{Instance, Phase},
    name,
    quarantine::{Crash, Key, Process, Reply, Suspect, Write},
    record::{Delta, Record},
};
use policy::{
    crash::{SURVIVAL, Tracker, Verdict},
    quarantine::{MAX_SUSPECTS, MOMENT_MS, Table, wait},
    state::State,
    view::View,
};

const START_MS: u64 = 1_000_000;

fn key(part: &str) -> Key {
    Key {
        service: "s".into(),
        part: part.into(),
    }
}

fn process(n: u64) -> Process {
    Process {
        instance: format!("i-{n}").as_str().into(),
        born_ms: 1,
    }
}

fn crash(n: u64, parts: &[&str]) -> Crash {
    Crash {
        process: process(n),
        service: "s".into(),
        age_ms: 0,
        parts: parts.iter().map(|part| name::Part::from(*part)).collect(),
    }
}

/// Reports of crashes: when, which instance, and the suspected parts.
fn reported(reports: &[(u64, u64, &[&str])]) -> Table {
    let mut table = Table::default();
    for (at_ms, n, parts) in reports {
        let write = Write::Crashes(vec![crash(*n, parts)]);
        table.apply(write, START_MS + at_ms);
    }
    table
}

fn suspects(table: &Table) -> Vec<Suspect> {
    let suspects = table.records().filter_map(|record| match record {
        Record::Suspect(suspect) => Some(suspect),
        _ => None,
    });
    suspects.collect()
}

fn quarantined(table: &Table) -> Vec<String> {
    let suspects = suspects(table).into_iter();
    let mut names: Vec<_> = suspects
        .filter(|suspect| suspect.is_quarantined)
        .map(|suspect| suspect.key.part.to_string())
        .collect();
    names.sort();
    names
}

#[test]
fn a_part_is_in_quarantine_once_crashes_of_three_moments_speak_against_it() {
    type Case<'a> = (&'a str, &'a [(u64, u64, &'a [&'a str])], &'a [&'a str]);
    let cases: [Case<'_>; 13] = [
        (
            "a request without a prompt, three instances over a second",
            &[
                (0, 1, &["content.r"]),
                (10, 2, &["content.r"]),
                (1_000, 3, &["content.r"]),
            ],
            &["content.r"],
        ),
        (
            "a request without a prompt, many instances in two moments within a second",
            &[
                (0, 1, &["content.r"]),
                (10, 2, &["content.r"]),
                (20, 3, &["content.r"]),
                (30, 4, &["content.r"]),
                (990, 5, &["content.r"]),
            ],
            &[],
        ),
        (
            "a request without a prompt, two instances",
            &[
                (0, 1, &["content.r"]),
                (300, 2, &["content.r"]),
                (1_600, 2, &["content.r"]),
            ],
            &[],
        ),
        (
            "a request without a prompt, many instances in one moment",
            &[
                (0, 1, &["content.r"]),
                (10, 2, &["content.r"]),
                (20, 3, &["content.r"]),
            ],
            &[],
        ),
        ("two crashes", &[(0, 1, &["p"]), (300, 2, &["p"])], &[]),
        (
            "three crashes",
            &[(0, 1, &["p"]), (300, 2, &["p"]), (600, 3, &["p"])],
            &["p"],
        ),
        (
            "three reports of one crash",
            &[(0, 1, &["p"]), (300, 1, &["p"]), (600, 1, &["p"])],
            &[],
        ),
        (
            "many crashes of one moment",
            &[
                (0, 1, &["p"]),
                (10, 2, &["p"]),
                (20, 3, &["p"]),
                (30, 4, &["p"]),
                (40, 5, &["p"]),
                (50, 6, &["p"]),
            ],
            &[],
        ),
        (
            "many crashes of two moments",
            &[
                (0, 1, &["p"]),
                (10, 2, &["p"]),
                (20, 3, &["p"]),
                (30, 4, &["p"]),
                (300, 5, &["p"]),
            ],
            &["p"],
        ),
        (
            "other requests beside it",
            &[
                (0, 1, &["p", "a"]),
                (300, 2, &["b", "p"]),
                (600, 3, &["p", "a", "c"]),
            ],
            &["p"],
        ),
        (
            "a victim that was beside it in all but one",
            &[
                (0, 1, &["p", "a"]),
                (300, 2, &["p", "a"]),
                (600, 3, &["p"]),
                (900, 4, &["p", "a"]),
                (1_200, 5, &["p", "a"]),
            ],
            &["p"],
        ),
        (
            "crashes long ago",
            &[(0, 1, &["p"]), (300, 2, &["p"]), (31_000, 3, &["p"])],
            &[],
        ),
        (
            "a clock that steps back",
            &[(9_000, 1, &["p"]), (0, 2, &["p"]), (300, 3, &["p"])],
            &["p"],
        ),
    ];
    for (name, reports, expected) in cases {
        assert_eq!(quarantined(&reported(reports)), expected, "{name}");
    }
}

#[test]
fn a_crash_that_is_explained_speaks_against_nothing_else() {
    let mut table = reported(&[(0, 1, &["p"]), (300, 2, &["p"]), (600, 3, &["p"])]);
    for n in 4..40 {
        // One more request with the part was on its way; others were beside it.
        let own = Write::Crashes(vec![crash(n, &["p"])]);
        let other = Write::Crashes(vec![crash(n, &["a"])]);
        let writes = match n % 2 {
            0 => [own, other],
            _ => [other, own],
        };
        for write in writes {
            table.apply(write, START_MS + 600 + n * MOMENT_MS);
        }
    }
    assert_eq!(quarantined(&table), ["p"]);
    assert_eq!(suspects(&table).len(), 1, "{table:?}");
}

#[test]
fn an_answer_anywhere_outweighs_all_crashes() {
    let mut table = reported(&[(0, 1, &["p"]), (300, 2, &["p"]), (600, 3, &["p"])]);
    let (reply, deltas) = table.apply(Write::Acquit(vec![key("p")]), START_MS + 700);
    assert_eq!(reply, Reply::Recorded);
    let removed = Delta::Remove(domain::record::Key::Suspect(key("p")));
    assert_eq!(deltas, [removed]);
    assert!(suspects(&table).is_empty());
}

#[test]
fn a_flood_of_parts_drives_out_neither_the_guilty_nor_a_strong_suspect() {
    let mut table = reported(&[
        (0, 1, &["p"]),
        (300, 2, &["p"]),
        (600, 3, &["p"]),
        (700, 4, &["q"]),
        (1_000, 5, &["q"]),
    ]);
    for n in 0..3_000 {
        let part = format!("x-{n}");
        let write = Write::Crashes(vec![crash(100 + n, &[&part])]);
        table.apply(write, START_MS + 1_100 + n);
    }
    let suspects = suspects(&table);
    assert_eq!(suspects.len(), MAX_SUSPECTS);
    let crashes = |part: &str| {
        let suspect = suspects.iter().find(|suspect| suspect.key == key(part));
        suspect.map(|suspect| (suspect.crashes, suspect.is_quarantined))
    };
    assert_eq!(crashes("p"), Some((3, true)));
    assert_eq!(crashes("q"), Some((2, false)));
}

#[test]
fn one_entry_gets_each_probe() {
    let mut table = reported(&[(0, 1, &["p"]), (300, 2, &["p"]), (600, 3, &["p"])]);
    let probe = |probes| Write::Probe {
        key: key("p"),
        probes,
    };
    for (write, reply) in [
        (probe(1), Reply::Denied),
        (probe(0), Reply::Granted),
        (probe(0), Reply::Denied),
        (probe(1), Reply::Granted),
        (Write::Acquit(vec![key("p")]), Reply::Recorded),
        (probe(2), Reply::Denied),
    ] {
        let text = format!("{write:?}");
        assert_eq!(table.apply(write, START_MS).0, reply, "{text}");
    }
}

/// The target: three requests with a part that crashes instances, after it is known.
#[test]
fn probes_come_ever_more_rarely() {
    let within = |span: Duration| {
        let waits = (0..).map(wait).scan(Duration::ZERO, |sum, wait| {
            *sum += wait;
            Some(*sum)
        });
        waits.take_while(|sum| *sum <= span).count()
    };
    assert!(within(Duration::from_secs(60)) <= 3);
    assert!(within(Duration::from_secs(24 * 3_600)) <= 32);
    assert!(within(Duration::from_secs(24 * 3_600)) >= 24);
}

/// A replica that starts anew, or gets a snapshot, goes on where the others are.
#[test]
fn the_quarantine_outlives_a_restart_of_every_process() {
    let mut state = State::new();
    for n in 1..=3 {
        let write = Write::Crashes(vec![crash(n, &["p"])]);
        let at_ms = START_MS + n * 300;
        state.apply(1, n, Command::Quarantine { write, at_ms });
    }
    let bytes = rmp_serde::to_vec_named(&state).unwrap();
    let mut restored: State = rmp_serde::from_slice(&bytes).unwrap();
    assert_eq!(restored, state);
    let records = restored.records();
    let is_listed = records
        .iter()
        .any(|record| matches!(record, Record::Suspect(suspect) if suspect.is_quarantined));
    assert!(is_listed, "{records:?}");
    let probe = Write::Probe {
        key: key("p"),
        probes: 0,
    };
    let command = Command::Quarantine {
        write: probe,
        at_ms: START_MS + 2_000,
    };
    let applied = restored.apply(2, 4, command);
    assert_eq!(
        applied.reply,
        domain::command::Reply::Quarantine(Reply::Granted)
    );
}

fn instance(n: u64) -> Instance {
    Instance {
        id: format!("i-{n}").as_str().into(),
        born_ms: 1,
        service: "s".into(),
        address: ([10, 0, 0, 1], 80).into(),
        zone: "z".into(),
        slots: 1,
        phase: Phase::Ready,
        cold_ms: 0,
        layers: Vec::new(),
        sequence: 1,
    }
}

fn view(suspects: impl IntoIterator<Item = Suspect>) -> View {
    common::view(suspects.into_iter().map(Record::Suspect))
}

fn parts(names: &[&str]) -> Vec<name::Part> {
    names.iter().map(|name| name::Part::from(*name)).collect()
}

#[test]
fn parts_that_were_answered_lately_are_not_suspected() {
    let service = name::Service::from("s");
    // When the shared part was answered before the crash, and what is suspected then.
    for (ago_ms, expected) in [
        (100, vec!["own"]),
        (1_400, vec!["own"]),
        (5_000, vec!["own", "shared"]),
    ] {
        let now = Instant::from_millis(60_000);
        let mut tracker = Tracker::new();
        let at = now - Duration::from_millis(ago_ms);
        tracker.acquit(&service, &parts(&["shared"]), at);
        tracker.sweep(now);
        tracker.lose(&instance(1), &parts(&["own", "shared"]), now);
        let crash = tracker.settle(&process(1), true, now).unwrap();
        assert_eq!(crash.parts, parts(&expected), "{ago_ms} ms");
        assert!(tracker.is_suspected(&service, &parts(&["own"]), now));
    }
}

#[test]
fn a_connection_that_broke_at_a_living_instance_is_no_crash() {
    let now = Instant::from_millis(60_000);
    let mut tracker = Tracker::new();
    tracker.lose(&instance(1), &parts(&["p"]), now);
    assert_eq!(tracker.doubtful(), [process(1)]);
    assert_eq!(tracker.settle(&process(1), false, now), None);
    assert!(tracker.doubtful().is_empty());
    assert!(!tracker.is_suspected(&"s".into(), &parts(&["p"]), now));
}

#[test]
fn a_part_in_quarantine_is_refused_until_a_probe_is_due() {
    let service = name::Service::from("s");
    let suspect = |probes, is_quarantined| Suspect {
        key: key("p"),
        crashes: 3,
        is_quarantined,
        probes,
    };
    let begin = Instant::from_millis(60_000);
    let mut tracker = Tracker::new();
    let judge = |tracker: &Tracker, names: &[&str], after: Duration| {
        tracker.judge(&service, &parts(names), begin + after)
    };
    let second = Duration::from_secs(1);
    tracker.observe(&view([suspect(0, false)]), begin);
    assert_eq!(judge(&tracker, &["p"], second), Verdict::Free);
    tracker.observe(&view([suspect(0, true)]), begin);
    assert_eq!(judge(&tracker, &["a"], second), Verdict::Free);
    let left = wait(0) - second;
    assert_eq!(judge(&tracker, &["a", "p"], second), Verdict::Refused(left));
    let due = Verdict::Due {
        key: key("p"),
        probes: 0,
    };
    assert_eq!(judge(&tracker, &["a", "p"], wait(0)), due);
    // One request asks; the others are refused meanwhile.
    tracker.ask(&key("p"), true);
    assert!(matches!(
        judge(&tracker, &["a", "p"], wait(0)),
        Verdict::Refused(_)
    ));
    tracker.observe(&view([suspect(1, true)]), begin + wait(0));
    let later = wait(0) + wait(1);
    assert!(matches!(
        judge(&tracker, &["p"], later - second),
        Verdict::Refused(_)
    ));
    assert!(matches!(
        judge(&tracker, &["p"], later),
        Verdict::Due { .. }
    ));
    tracker.observe(&view([]), begin + later);
    assert_eq!(judge(&tracker, &["p"], later), Verdict::Free);
}

#[test]
fn an_entry_acquits_what_others_suspect_and_it_has_seen_answered() {
    let service = name::Service::from("s");
    let now = Instant::from_millis(60_000);
    let mut tracker = Tracker::new();
    let suspect = |part: &str| Suspect {
        key: key(part),
        crashes: 1,
        is_quarantined: false,
        probes: 0,
    };
    tracker.acquit(&service, &parts(&["p"]), now);
    tracker.observe(&view([suspect("p"), suspect("q")]), now + SURVIVAL);
    assert_eq!(tracker.take_acquittals(now + SURVIVAL), [key("p")]);
    assert!(tracker.take_acquittals(now + SURVIVAL).is_empty(), "once");
}
