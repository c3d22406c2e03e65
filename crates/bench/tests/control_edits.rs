//! Edits against three replicas as processes: races, resends, killed and frozen leaders.
#![allow(clippy::unwrap_used)]

use std::{fs, path::PathBuf, thread, time::Duration};

use bench::fleet::{Fleet, ctl::Printed, layout::Layout};
use serde_json::{Value, json};

/// How long a condition is waited for.
const LIMIT: Duration = Duration::from_secs(60);

/// Three replicas and nothing else.
fn control() -> Fleet {
    Fleet::start(&Layout::new(0).with_entries(0)).unwrap()
}

/// A file with lists that differ by a share.
fn lists(fleet: &Fleet, share: u32) -> PathBuf {
    let path = fleet.folder().join(format!("lists-{share}.json"));
    let plan = json!({ "name": "gold", "share": share });
    let lists = json!({ "customers": [], "plans": [plan] });
    fs::write(&path, lists.to_string()).unwrap();
    path
}

fn apply(fleet: &Fleet, replica: usize, share: u32, base: u64, id: &str) -> Printed {
    let path = lists(fleet, share);
    let (path, base) = (path.to_str().unwrap(), base.to_string());
    let args = ["lists", "apply", path, "--base", &base, "--edit-id", id];
    fleet.ctl().with_only(replica).run(&args).unwrap()
}

fn revision(printed: &Printed) -> u64 {
    printed.json().unwrap()["answer"]["accepted"]["revision"]
        .as_u64()
        .unwrap()
}

fn wait_for_revision(fleet: &Fleet, replica: usize, revision: u64) -> Value {
    let is_done = |lists: &Value| lists["revision"] == revision;
    let ctl = fleet.ctl().with_only(replica);
    ctl.wait_until(&["lists", "show"], LIMIT, is_done).unwrap()
}

/// The place of the leader in the list of replicas.
fn leader(fleet: &Fleet) -> usize {
    fleet.ctl().wait_for_leader(LIMIT).unwrap();
    (0..fleet.control.len())
        .find(|replica| {
            let ctl = fleet.ctl().with_only(*replica);
            let status = ctl.run(&["control", "status", "--timeout", "1"]).unwrap();
            status.json().is_ok_and(|status| status["role"] == "leader")
        })
        .unwrap()
}

#[test]
fn of_two_operators_with_one_revision_exactly_one_is_accepted() {
    let fleet = control();
    for round in 0..5 {
        let ids = [format!("x{round}"), format!("y{round}")];
        let printed: Vec<Printed> = thread::scope(|scope| {
            let racers: Vec<_> = ids
                .iter()
                .enumerate()
                .map(|(i, id)| {
                    let share = u32::try_from(i).unwrap() + 1;
                    let fleet = &fleet;
                    scope.spawn(move || apply(fleet, i, share, round, id))
                })
                .collect();
            racers.into_iter().map(|r| r.join().unwrap()).collect()
        });
        let mut codes: Vec<i32> = printed.iter().map(|p| p.code).collect();
        codes.sort_unstable();
        assert_eq!(codes, [0, 3], "round {round}: {printed:?}");
        let winner = printed.iter().position(|p| p.code == 0).unwrap();
        let loser = &printed[1 - winner];
        assert!(loser.err.contains(&ids[winner]), "{}", loser.err);
        for replica in 0..3 {
            let shown = wait_for_revision(&fleet, replica, round + 1);
            assert_eq!(shown["lists"]["plans"][0]["share"], winner + 1);
        }
    }
}

#[test]
fn a_resend_through_any_replica_gets_the_first_answer() {
    let mut fleet = control();
    let first = apply(&fleet, 0, 1, 0, "first");
    let lost = apply(&fleet, 1, 2, 0, "lost");
    assert_eq!((first.code, lost.code), (0, 3));
    let killed = leader(&fleet);
    fleet.control[killed].kill();
    for replica in (0..3).filter(|replica| *replica != killed) {
        let again = apply(&fleet, replica, 1, 0, "first");
        assert_eq!((again.code, &again.out), (0, &first.out));
        let again = apply(&fleet, replica, 2, 0, "lost");
        assert_eq!((again.code, &again.out), (3, &lost.out));
        let other = apply(&fleet, replica, 3, 1, "first");
        assert_eq!(other.code, 4, "the id stands for another edit");
    }
    fleet.control.iter_mut().for_each(|replica| {
        replica.restart().unwrap();
    });
    fleet.ctl().wait_for_leader(LIMIT).unwrap();
    for replica in 0..3 {
        wait_for_revision(&fleet, replica, 1);
        assert_eq!(apply(&fleet, replica, 1, 0, "first").out, first.out);
    }
}

#[test]
fn accepted_edits_outlive_a_killed_leader_each_time() {
    let mut fleet = control();
    for round in 0..3 {
        let killed = leader(&fleet);
        let printed = apply(&fleet, killed, 10, round, &format!("edit-{round}"));
        assert_eq!(revision(&printed), round + 1);
        fleet.control[killed].kill();
        for replica in (0..3).filter(|replica| *replica != killed) {
            wait_for_revision(&fleet, replica, round + 1);
        }
        fleet.control[killed].restart().unwrap();
        wait_for_revision(&fleet, killed, round + 1);
    }
}

#[test]
fn a_leader_that_was_frozen_neither_shows_nor_accepts_old_state() {
    let fleet = control();
    assert_eq!(apply(&fleet, 0, 1, 0, "before").code, 0);
    let frozen = leader(&fleet);
    fleet.control[frozen].freeze();
    let other = (frozen + 1) % 3;
    let during = apply(&fleet, other, 2, 1, "during");
    assert_eq!(revision(&during), 2);
    fleet.control[frozen].thaw();
    let shown = fleet.ctl().with_only(frozen).run(&["lists", "show"]);
    assert_eq!(shown.unwrap().json().unwrap()["revision"], 2);
    let late = apply(&fleet, frozen, 3, 1, "late");
    assert_eq!(late.code, 3, "{late:?}");
}
