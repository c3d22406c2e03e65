//! Membership: sessions, their ends, and what replicas tell each other.
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

fn told(is_snapshot: bool, deltas: Vec<Delta>) -> Batch {
    Batch {
        is_snapshot,
        deltas,
        revision: Default::default(),
        commit: 0,
        cursor: Cursor::default(),
        age_ms: 0,
    }
}

fn set(vm: Vm) -> Delta {
    Delta::Set(Record::Vm(Box::new(vm)))
}

fn name() -> name::Vm {
    "vm-1".into()
}

/// Ticks as the shell does, from one time to another.
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
fn a_silent_vm_expires_and_a_heard_one_stays() {
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
fn a_replica_that_stood_still_expires_nobody_at_once() {
    let mut table = table();
    table
        .announce(at(0), announcement(1), status(Lifecycle::Warm))
        .unwrap();
    table.merge(at(0), peer(2), told(true, Vec::new()));
    run(&mut table, 0, 1_000);
    table.tick(at(60_000));
    assert_eq!(seen(&table), Some((1, Lifecycle::Warm)));
    run(&mut table, 60_200, 63_200);
    assert_eq!(seen(&table), None, "the grace ends too");
}

#[test]
fn an_older_start_never_replaces_a_newer_one() {
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
        told(true, vec![set(vm(4, Lifecycle::Warm))]),
    );
    assert_eq!(seen(&table), Some((5, Lifecycle::Cold)));
    table.merge(
        at(3),
        peer(2),
        told(false, vec![set(vm(6, Lifecycle::Loading))]),
    );
    assert_eq!(seen(&table), Some((6, Lifecycle::Loading)));
    assert!(
        !table.heartbeat(at(4), &name(), 5),
        "a newer start is known"
    );
}

#[test]
fn a_vm_that_left_is_not_brought_back() {
    let mut table = table();
    table.merge(
        at(0),
        peer(2),
        told(true, vec![set(vm(1, Lifecycle::Warm))]),
    );
    table.leave(at(1), &name(), 1);
    assert_eq!(seen(&table), None);
    let late = table.announce(at(2), announcement(1), status(Lifecycle::Warm));
    assert!(late.unwrap_err().to_string().contains("has left"));
    assert_eq!(seen(&table), None);
    assert_eq!(
        table.own(&name()).map(|vm| vm.status.lifecycle),
        Some(Lifecycle::Gone),
        "the other replicas have to hear of it"
    );
    table
        .announce(at(3), announcement(2), status(Lifecycle::Announced))
        .unwrap();
    assert_eq!(seen(&table), Some((2, Lifecycle::Announced)));
}

#[test]
fn a_vm_that_moves_between_replicas_stays_with_its_newest_report() {
    let mut table = table();
    table.merge(
        at(0),
        peer(2),
        told(true, vec![set(vm(1, Lifecycle::Cold))]),
    );
    table.merge(
        at(1),
        peer(3),
        told(true, vec![set(vm(1, Lifecycle::Warm))]),
    );
    assert_eq!(seen(&table), Some((1, Lifecycle::Warm)));
    // The same snapshot again is no news.
    table.merge(
        at(2),
        peer(2),
        told(true, vec![set(vm(1, Lifecycle::Cold))]),
    );
    assert_eq!(seen(&table), Some((1, Lifecycle::Warm)));
    table.merge(
        at(3),
        peer(2),
        told(false, vec![Delta::Remove(Key::Vm(name()))]),
    );
    assert_eq!(seen(&table), Some((1, Lifecycle::Warm)));
}

#[test]
fn what_a_lost_replica_told_is_forgotten_after_its_agents_had_time_to_move() {
    let mut table = table();
    table.merge(
        at(0),
        peer(2),
        told(true, vec![set(vm(1, Lifecycle::Warm))]),
    );
    run(&mut table, 0, 6_000);
    assert!(seen(&table).is_some());
    run(&mut table, 6_200, 6_400);
    assert_eq!(seen(&table), None);
    assert!(
        table.take_dirty().contains(&name()),
        "the feed has to hear of it"
    );
}

#[test]
fn a_fresh_replica_is_ready_once_it_heard_all_others_or_has_waited() {
    struct Case {
        name: &'static str,
        heard: &'static [u8],
        replicas: &'static [u8],
        after_ms: u64,
        is_ready: bool,
    }
    let cases = [
        Case {
            name: "it heard nobody",
            heard: &[],
            replicas: &[2, 3],
            after_ms: 100,
            is_ready: false,
        },
        Case {
            name: "it heard one of two",
            heard: &[2],
            replicas: &[2, 3],
            after_ms: 100,
            is_ready: false,
        },
        Case {
            name: "it heard all",
            heard: &[2, 3],
            replicas: &[2, 3],
            after_ms: 100,
            is_ready: true,
        },
        Case {
            name: "one is lost, and it has waited",
            heard: &[2],
            replicas: &[2, 3],
            after_ms: 3_000,
            is_ready: true,
        },
        Case {
            name: "it is alone and its agents may still come",
            heard: &[],
            replicas: &[],
            after_ms: 100,
            is_ready: false,
        },
        Case {
            name: "it is alone and has waited",
            heard: &[],
            replicas: &[],
            after_ms: 3_000,
            is_ready: true,
        },
    ];
    for case in cases {
        let mut table = table();
        for n in case.heard {
            table.merge(at(0), peer(*n), told(true, Vec::new()));
        }
        let replicas: Vec<_> = case.replicas.iter().map(|n| peer(*n)).collect();
        let is_ready = table.is_ready(at(case.after_ms), &replicas);
        assert_eq!(is_ready, case.is_ready, "{}", case.name);
    }
}
