//! Sessions of agents, how they end, and how replicas share them.
#![allow(clippy::unwrap_used)]

use std::{net::SocketAddr, time::Duration};

use domain::{
    clock::Instant,
    name,
    record::{Batch, Cursor, Delta, Key, Record},
    vm::{Announcement, Lifecycle, Status, Upstream, Vm},
};
use policy::membership::{Limits, Table};

const SESSION: Duration = Duration::from_secs(3);
const TICK: Duration = Duration::from_millis(200);

fn at(millis: u64) -> Instant {
    Instant::from_millis(100_000 + millis)
}

fn table() -> Table {
    Table::new(Limits::new(SESSION), at(0))
}

fn peer(n: u8) -> SocketAddr {
    SocketAddr::from(([127, 20, 0, n], 7100))
}

fn announcement(incarnation: u64) -> Announcement {
    Announcement {
        vm: "vm-1".into(),
        zone: "durban".into(),
        region: "kwazulu-natal".into(),
        incarnation,
        call_addr: SocketAddr::from(([127, 0, 0, 1], 1)),
        chunk_addr: SocketAddr::from(([127, 0, 0, 1], 2)),
        upstream: Upstream::Engine {
            checks_fencing: true,
        },
    }
}

fn status(lifecycle: Lifecycle) -> Status {
    Status {
        lifecycle,
        holdings: Default::default(),
        fence: Default::default(),
        limit: 1,
    }
}

fn vm(incarnation: u64, lifecycle: Lifecycle) -> Vm {
    Vm {
        announcement: announcement(incarnation),
        status: status(lifecycle),
    }
}

fn batch(is_snapshot: bool, deltas: Vec<Delta>) -> Batch {
    Batch {
        is_snapshot,
        deltas,
        revision: Default::default(),
        commit: 0,
        cursor: Cursor::default(),
        age_ms: 0,
        held_ms: 0,
    }
}

fn set(vm: Vm) -> Delta {
    Delta::Set(Record::Vm(Box::new(vm)))
}

fn name() -> name::Vm {
    "vm-1".into()
}

/// Ticks from one time to another, in milliseconds, every [`TICK`].
fn run(table: &mut Table, from: u64, to: u64) {
    let step = usize::try_from(TICK.as_millis()).unwrap();
    (from..=to)
        .step_by(step)
        .for_each(|millis| table.tick(at(millis)));
}

fn seen(table: &Table) -> Option<(u64, Lifecycle)> {
    let vm = table.alive(&name())?;
    Some((vm.announcement.incarnation, vm.status.lifecycle))
}

#[test]
fn session_expires_without_heartbeats() {
    let mut table = table();
    table
        .announce(at(0), announcement(1), status(Lifecycle::Warm))
        .unwrap();
    run(&mut table, 0, 2_800);
    assert!(table.heartbeat(at(2_800), &name(), 1));
    run(&mut table, 3_000, 5_600);
    assert_eq!(seen(&table), Some((1, Lifecycle::Warm)));
    run(&mut table, 5_800, 6_000);
    assert_eq!(seen(&table), None);
    assert!(!table.heartbeat(at(6_000), &name(), 1), "the session ended");
}

#[test]
fn paused_replica_restarts_timeouts() {
    let mut table = table();
    table
        .announce(at(0), announcement(1), status(Lifecycle::Warm))
        .unwrap();
    table.merge(at(0), peer(2), batch(true, Vec::new()));
    run(&mut table, 0, 1_000);
    table.tick(at(60_000));
    assert_eq!(seen(&table), Some((1, Lifecycle::Warm)));
    run(&mut table, 60_200, 63_200);
    assert_eq!(seen(&table), None, "the restarted timeout ends too");
}

#[test]
fn older_incarnation_never_replaces_newer_one() {
    let mut table = table();
    table
        .announce(at(0), announcement(5), status(Lifecycle::Cold))
        .unwrap();
    let refused = table.announce(at(1), announcement(4), status(Lifecycle::Warm));
    assert!(refused.unwrap_err().to_string().contains("older than 5"));
    assert!(!table.heartbeat(at(1), &name(), 4));
    table.merge(
        at(2),
        peer(2),
        batch(true, vec![set(vm(4, Lifecycle::Warm))]),
    );
    assert_eq!(seen(&table), Some((5, Lifecycle::Cold)));
    table.merge(
        at(3),
        peer(2),
        batch(false, vec![set(vm(6, Lifecycle::Loading))]),
    );
    assert_eq!(seen(&table), Some((6, Lifecycle::Loading)));
    assert!(
        !table.heartbeat(at(4), &name(), 5),
        "a newer incarnation is known"
    );
}

#[test]
fn vm_that_left_is_not_restored() {
    let mut table = table();
    table.merge(
        at(0),
        peer(2),
        batch(true, vec![set(vm(1, Lifecycle::Warm))]),
    );
    table.leave(at(1), &name(), 1);
    assert_eq!(seen(&table), None);
    let late = table.announce(at(2), announcement(1), status(Lifecycle::Warm));
    assert!(late.unwrap_err().to_string().contains("has left"));
    assert_eq!(seen(&table), None);
    assert_eq!(
        table.own(&name()).map(|vm| vm.status.lifecycle),
        Some(Lifecycle::Gone),
        "the other replicas must learn that the VM left"
    );
    table
        .announce(at(3), announcement(2), status(Lifecycle::Announced))
        .unwrap();
    assert_eq!(seen(&table), Some((2, Lifecycle::Announced)));
}

#[test]
fn newest_report_wins_when_vm_moves_between_replicas() {
    let mut table = table();
    table.merge(
        at(0),
        peer(2),
        batch(true, vec![set(vm(1, Lifecycle::Cold))]),
    );
    table.merge(
        at(1),
        peer(3),
        batch(true, vec![set(vm(1, Lifecycle::Warm))]),
    );
    assert_eq!(seen(&table), Some((1, Lifecycle::Warm)));
    // An unchanged snapshot doesn't count as a newer report.
    table.merge(
        at(2),
        peer(2),
        batch(true, vec![set(vm(1, Lifecycle::Cold))]),
    );
    assert_eq!(seen(&table), Some((1, Lifecycle::Warm)));
    table.merge(
        at(3),
        peer(2),
        batch(false, vec![Delta::Remove(Key::Vm(name()))]),
    );
    assert_eq!(seen(&table), Some((1, Lifecycle::Warm)));
}

#[test]
fn sessions_of_lost_replica_expire_after_two_session_lengths() {
    let mut table = table();
    table.merge(
        at(0),
        peer(2),
        batch(true, vec![set(vm(1, Lifecycle::Warm))]),
    );
    run(&mut table, 0, 6_000);
    assert!(seen(&table).is_some());
    run(&mut table, 6_200, 6_400);
    assert_eq!(seen(&table), None);
    assert!(
        table.take_dirty().contains(&name()),
        "the change must be sent to the feed"
    );
}

#[test]
fn new_replica_is_ready_after_hearing_all_others_or_start_grace() {
    struct Case {
        name: &'static str,
        heard: &'static [u8],
        replicas: &'static [u8],
        after_ms: u64,
        is_ready: bool,
    }
    let cases = [
        Case {
            name: "no replica heard",
            heard: &[],
            replicas: &[2, 3],
            after_ms: 100,
            is_ready: false,
        },
        Case {
            name: "one of two replicas heard",
            heard: &[2],
            replicas: &[2, 3],
            after_ms: 100,
            is_ready: false,
        },
        Case {
            name: "all replicas heard",
            heard: &[2, 3],
            replicas: &[2, 3],
            after_ms: 100,
            is_ready: true,
        },
        Case {
            name: "one replica lost, grace over",
            heard: &[2],
            replicas: &[2, 3],
            after_ms: 3_000,
            is_ready: true,
        },
        Case {
            name: "single replica, within the grace",
            heard: &[],
            replicas: &[],
            after_ms: 100,
            is_ready: false,
        },
        Case {
            name: "single replica, grace over",
            heard: &[],
            replicas: &[],
            after_ms: 3_000,
            is_ready: true,
        },
    ];
    for case in cases {
        let mut table = table();
        for n in case.heard {
            table.merge(at(0), peer(*n), batch(true, Vec::new()));
        }
        let replicas: Vec<_> = case.replicas.iter().map(|n| peer(*n)).collect();
        let is_ready = table.is_ready(at(case.after_ms), &replicas);
        assert_eq!(is_ready, case.is_ready, "{}", case.name);
    }
}
