//! Replicas as processes that lose their disks, their files or their lives in the midst of edits.
#![allow(clippy::unwrap_used)]

use std::{
    fs,
    io::{Read, Write},
    net::TcpStream,
    path::PathBuf,
    thread,
    time::{Duration, Instant},
};

use bench::fleet::{Fleet, ctl::Printed, layout::Layout};
use serde_json::{Value, json};

/// How long a condition is waited for.
const LIMIT: Duration = Duration::from_secs(60);

/// Three replicas and nothing else.
fn control() -> Fleet {
    Fleet::start(&Layout::new(0).with_entries(0)).unwrap()
}

fn apply(fleet: &Fleet, replica: usize, base: u64, id: &str) -> Printed {
    let path = fleet.folder().join(format!("lists-{base}.json"));
    let plan = json!({ "name": "gold", "share": base + 1 });
    let lists = json!({ "customers": [], "plans": [plan] });
    fs::write(&path, lists.to_string()).unwrap();
    let (path, base) = (path.to_str().unwrap(), base.to_string());
    let args = ["lists", "apply", path, "--base", &base, "--edit-id", id];
    fleet.ctl().with_only(replica).run(&args).unwrap()
}

fn wait_for_revision(fleet: &Fleet, replica: usize, revision: u64) {
    let is_done = |lists: &Value| lists["revision"] == revision;
    let ctl = fleet.ctl().with_only(replica);
    ctl.wait_until(&["lists", "show"], LIMIT, is_done).unwrap();
}

fn status(fleet: &Fleet, replica: usize) -> Option<Value> {
    let ctl = fleet.ctl().with_only(replica);
    let status = ctl.run(&["control", "status", "--timeout", "1"]).unwrap();
    status.json().ok()
}

/// The place of the leader in the list of replicas.
fn leader(fleet: &Fleet) -> usize {
    let started = Instant::now();
    while started.elapsed() < LIMIT {
        let is_leader = |replica: &usize| {
            status(fleet, *replica).is_some_and(|status| status["role"] == "leader")
        };
        if let Some(leader) = (0..fleet.control.len()).find(is_leader) {
            return leader;
        }
    }
    panic!("no leader for {LIMIT:?}");
}

fn data(fleet: &Fleet, replica: usize) -> PathBuf {
    fleet.plan().control[replica].data()
}

/// Whether the voters of the group, as the leader sees it, include this identity.
fn is_voter(fleet: &Fleet, leader: usize, identity: &Value) -> bool {
    let ctl = fleet.ctl().with_only(leader);
    let printed = ctl.run(&["control", "members", "--timeout", "1"]).unwrap();
    let members = printed.json().unwrap_or_default();
    let mut members = members.as_array().into_iter().flatten();
    members.any(|member| member["identity"] == *identity && member["is_voter"] == true)
}

/// The number of members of the group that a replica reports in its metrics. Outgoing voters count
/// until a change of the voters is committed.
fn member_count(fleet: &Fleet, replica: usize) -> Option<usize> {
    let mut stream = TcpStream::connect(fleet.plan().control[replica].status_addr()).ok()?;
    stream.set_read_timeout(Some(LIMIT)).ok()?;
    let request = "GET /metrics HTTP/1.1\r\nhost: control\r\nconnection: close\r\n\r\n";
    stream.write_all(request.as_bytes()).ok()?;
    let mut metrics = String::new();
    stream.read_to_string(&mut metrics).ok()?;
    let mut lines = metrics.lines();
    let line = lines.find(|line| line.starts_with("gypsum_log_members"))?;
    line.rsplit(' ').next()?.parse().ok()
}

/// Waits until a replica votes in the group again and the leader has committed that the identity
/// it replaces votes no more. A second loss before that leaves no majority of the old voters.
fn wait_for_voter(fleet: &Fleet, replica: usize) {
    let started = Instant::now();
    loop {
        let status = status(fleet, replica).filter(|status| status["role"] == "follower");
        let leader = leader(fleet);
        let is_settled = status.is_some_and(|status| {
            is_voter(fleet, leader, &status["identity"])
                && member_count(fleet, leader) == Some(fleet.control.len())
        });
        if is_settled {
            return;
        }
        assert!(started.elapsed() < LIMIT, "replica {replica} does not vote");
        thread::sleep(Duration::from_millis(50));
    }
}

#[test]
fn an_edit_whose_leader_is_killed_at_any_step_is_taken_whole_and_once() {
    let mut fleet = control();
    for (round, delay_ms) in [0, 5, 10, 20, 40, 80].into_iter().enumerate() {
        let base = u64::try_from(round).unwrap();
        let killed = leader(&fleet);
        let id = format!("edit-{round}");
        let other = (killed + 1) % 3;
        // The edit goes through a follower, so the kill meets it on its way to the leader, in
        // the log, or on its way back.
        let mut control = std::mem::take(&mut fleet.control);
        let first = thread::scope(|scope| {
            let victim = &mut control[killed];
            scope.spawn(move || {
                thread::sleep(Duration::from_millis(delay_ms));
                victim.kill();
            });
            apply(&fleet, other, base, &id)
        });
        fleet.control = control;
        let again = apply(&fleet, (killed + 2) % 3, base, &id);
        assert_eq!((first.code, &first.out), (0, &again.out), "{first:?}");
        fleet.control[killed].restart().unwrap();
        for replica in 0..3 {
            wait_for_revision(&fleet, replica, base + 1);
        }
    }
}

#[test]
fn a_removed_data_folder_is_repaired_and_a_second_loss_at_once_loses_nothing() {
    let mut fleet = control();
    assert_eq!(apply(&fleet, 0, 0, "first").code, 0);
    let lost = leader(&fleet);
    fleet.control[lost].kill();
    fs::remove_dir_all(data(&fleet, lost)).unwrap();
    fleet.control[lost].restart().unwrap();
    wait_for_voter(&fleet, lost);
    let second = leader(&fleet);
    assert_ne!(second, lost);
    fleet.control[second].kill();
    fs::remove_dir_all(data(&fleet, second)).unwrap();
    assert_eq!(apply(&fleet, lost, 1, "second").code, 0);
    fleet.control[second].restart().unwrap();
    for replica in 0..3 {
        wait_for_revision(&fleet, replica, 2);
    }
}

#[test]
fn two_lost_disks_form_no_new_group() {
    let mut fleet = control();
    assert_eq!(apply(&fleet, 0, 0, "first").code, 0);
    for replica in [0, 1] {
        fleet.control[replica].kill();
        fs::remove_dir_all(data(&fleet, replica)).unwrap();
    }
    for replica in [0, 1] {
        fleet.control[replica].restart().unwrap();
    }
    thread::sleep(Duration::from_secs(3));
    for replica in 0..3 {
        let status = status(&fleet, replica);
        let role = status.map(|status| status["role"].clone());
        assert_ne!(role, Some(json!("leader")), "replica {replica}");
    }
    let refused = apply(&fleet, 0, 0, "second");
    assert_ne!(refused.code, 0, "{refused:?}");
}

#[test]
fn a_damaged_file_is_named_and_its_replica_admitted_anew() {
    let mut fleet = control();
    assert_eq!(apply(&fleet, 0, 0, "first").code, 0);
    let place = (leader(&fleet) + 1) % 3;
    fleet.control[place].kill();
    let file = data(&fleet, place).join("replica.redb");
    let bytes = fs::read(&file).unwrap();
    fs::write(&file, &bytes[..bytes.len() / 2]).unwrap();
    fleet.control[place].restart().unwrap();
    wait_for_voter(&fleet, place);
    wait_for_revision(&fleet, place, 1);
    assert!(data(&fleet, place).join("replica.redb.damaged-1").exists());
    let log = fleet.control[place].log();
    assert!(log.contains("the file is damaged") && log.contains("replica.redb"));
}
