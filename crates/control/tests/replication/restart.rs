//! Crashes, restarts and freezes.

use std::{fs, thread, time::Duration};

use crate::group::{Group, wait};

#[test]
fn killing_the_leader_loses_nothing() {
    let mut group = Group::new([11, 1], 3, 1_000);
    let mut numbers = Vec::new();
    for number in 0..3 {
        let leader = group.leader();
        group.node(leader).submit(number).unwrap();
        numbers.push(number);
        group.kill(leader);
        group.leader();
        group.start(leader);
    }
    group.wait_for(&numbers);
}

#[test]
fn all_restart_after_500_commands() {
    for (subnet, snapshot_entries) in [(2, 10_000), (3, 100)] {
        let mut group = Group::new([11, subnet], 3, snapshot_entries);
        let leader = group.leader();
        for number in 0..500 {
            group.node(leader).submit(number).unwrap();
        }
        (0..3).for_each(|place| group.kill(place));
        (0..3).for_each(|place| group.start(place));
        let leader = group.leader();
        group.node(leader).submit(500).unwrap();
        let numbers: Vec<u64> = (0..=500).collect();
        group.wait_for(&numbers);
    }
}

#[test]
fn a_frozen_leader_wakes_up_knowing_that_its_state_is_old() {
    let group = Group::new([11, 4], 3, 1_000);
    let leader = group.leader();
    let frozen = Duration::from_secs(2);
    group.node(leader).freeze(frozen);
    // This question is the first thing that the leader sees after it wakes up.
    let age = group.view(leader).age;
    assert!(age.is_none_or(|age| age >= frozen), "claimed {age:?}");
    let next = group.leader();
    group.node(next).submit(1).unwrap();
    group.wait_for(&[1]);
}

#[test]
fn a_damaged_file_is_moved_aside_and_the_replica_is_admitted_anew() {
    let mut group = Group::new([11, 5], 3, 1_000);
    let leader = group.leader();
    group.node(leader).submit(1).unwrap();
    let place = (leader + 1) % 3;
    let old = group.view(place).standing.identity;
    group.kill(place);
    let file = group.folder(place).join("replica.redb");
    let bytes = fs::read(&file).unwrap();
    fs::write(&file, &bytes[..bytes.len() / 2]).unwrap();
    group.start(place);
    group.wait_for_voter(place);
    assert_ne!(group.view(place).standing.identity, old);
    assert!(group.folder(place).join("replica.redb.damaged-1").exists());
    group.wait_for(&[1]);
}

#[test]
fn a_cut_off_leader_has_no_fresh_age() {
    let mut group = Group::new([11, 6], 3, 1_000);
    let leader = group.leader();
    group.kill((leader + 1) % 3);
    group.kill((leader + 2) % 3);
    thread::sleep(Duration::from_secs(1));
    let age = group.view(leader).age;
    assert!(
        age.is_none_or(|age| age > Duration::from_millis(500)),
        "claimed {age:?}"
    );
    let error = group.node(leader).submit(1).unwrap_err();
    assert!(matches!(error, control::log::Error::NoQuorum { .. }));
    group.start((leader + 1) % 3);
    wait("an age", || {
        let view = group.view(leader);
        view.age.filter(|age| *age < Duration::from_millis(500))
    });
}
