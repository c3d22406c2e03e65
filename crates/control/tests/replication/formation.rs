//! Forming a group, and not forming a second one.

use std::{thread, time::Duration};

use control::log::Role;

use crate::group::{Group, wait};

#[test]
fn groups_of_each_size_form_and_accept() {
    for (subnet, size) in [(1, 1), (2, 3), (3, 5)] {
        let group = Group::new([10, subnet], size, 1_000);
        let leader = group.leader();
        let other = (leader + 1) % usize::from(size);
        group.node(leader).submit(1).unwrap();
        group.node(other).submit(2).unwrap();
        group.wait_for(&[1, 2]);
    }
}

#[test]
fn a_process_without_a_disk_among_the_seeds_does_not_keep_a_group_from_forming() {
    let group = Group::with_bystander([10, 9], 2);
    let leader = group.leader();
    group.node(leader).submit(1).unwrap();
    group.wait_for(&[1]);
    assert_eq!(group.view(leader).standing.members.voters.len(), 2);
}

#[test]
fn followers_know_the_age() {
    let group = Group::new([10, 4], 3, 1_000);
    group.leader();
    for place in 0..3 {
        wait("an age", || group.view(place).age);
    }
}

#[test]
fn a_lost_disk_is_replaced_and_then_a_second_one() {
    let mut group = Group::new([10, 5], 3, 1_000);
    let first = group.leader();
    group.node(first).submit(1).unwrap();
    for place in [first, (first + 1) % 3] {
        group.lose_disk(place);
        group.leader();
        group.start(place);
        group.wait_for_voter(place);
        let leader = group.leader();
        group.node(leader).submit(10 + place as u64).unwrap();
    }
    let second = (first + 1) % 3;
    group.wait_for(&[1, 10 + first as u64, 10 + second as u64]);
}

#[test]
fn a_second_replica_lost_right_after_a_repair_loses_nothing() {
    let mut group = Group::new([10, 6], 3, 1_000);
    let first = group.leader();
    group.node(first).submit(1).unwrap();
    group.lose_disk(first);
    group.leader();
    group.start(first);
    group.wait_for_voter(first);
    // The replica that knows the most goes at once.
    let leader = group.leader();
    group.kill(leader);
    let next = group.leader();
    group.node(next).submit(2).unwrap();
    group.wait_for(&[1, 2]);
}

#[test]
fn two_lost_disks_of_three_do_not_form_a_second_group() {
    let mut group = Group::new([10, 7], 3, 1_000);
    let leader = group.leader();
    group.node(leader).submit(1).unwrap();
    for place in [(leader + 1) % 3, (leader + 2) % 3] {
        group.lose_disk(place);
    }
    // The third one stays down: nobody may take its silence for consent.
    group.kill(leader);
    group.start((leader + 1) % 3);
    group.start((leader + 2) % 3);
    thread::sleep(Duration::from_secs(2));
    let is_forming = |group: &Group, place| group.view(place).standing.role == Role::Forming;
    assert!(is_forming(&group, (leader + 1) % 3));
    assert!(is_forming(&group, (leader + 2) % 3));
    group.start(leader);
    thread::sleep(Duration::from_secs(2));
    for place in 0..3 {
        let view = group.view(place);
        assert_ne!(view.standing.role, Role::Leader, "at {place}");
        assert_eq!(view.age, None, "at {place}");
    }
    assert_eq!(group.view(leader).standing.members.voters.len(), 3);
}

#[test]
fn an_operator_swaps_a_voter_for_a_replica_elsewhere() {
    let mut group = Group::new([10, 8], 3, 1_000);
    let leader = group.leader();
    group.node(leader).submit(1).unwrap();
    let place = (leader + 1) % 3;
    let old = group.view(place).standing.identity;
    group.kill(place);
    let added = group.add();
    group
        .node(leader)
        .replace(old, group.address(added))
        .unwrap();
    group.wait_for_voter(added);
    assert!(!group.view(leader).standing.members.is_voter(old));
    group.wait_for(&[1]);
}
