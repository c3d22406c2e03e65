//! The whole system as processes, with faults under load. Safety holds under every one of them.
#![allow(clippy::unwrap_used)]

use std::{fs, sync::Mutex, thread, time::Duration};

use bench::{
    fleet::{Fleet, layout::Layout, lists::Builder},
    load::{
        client::{Answer, Caller, Chat},
        traffic::{self, Traffic},
        verdict::{Verdict, runs_in_zone, service_runs},
    },
};
use domain::{call::Outcome, lists::Lists};
use tokio::runtime::Runtime;

const MODEL: &str = "assistant";
const ROLLOUT_LIMIT: Duration = Duration::from_secs(90);
const FEED_LIMIT: Duration = Duration::from_secs(15);
/// Longer than the age up to which state may be acted on, and than a session.
const FREEZE: Duration = Duration::from_secs(8);
/// After this time a zone that is out may get no new work.
const ZONE_LIMIT: Duration = Duration::from_secs(5);
const PHASE: Duration = Duration::from_secs(3);

/// One fleet at a time, so that the processes get the machine.
static FLEET: Mutex<()> = Mutex::new(());

fn lists(buyers_plan: &str) -> Lists {
    Builder::new()
        .with_plan("large", 700)
        .with_model(MODEL, &["1"])
        .with_service("booking")
        .with_plan("small", 300)
        .with_model(MODEL, &["1"])
        .with_service("booking")
        .with_plan("none", 1)
        .with_customer("skippers", "large")
        .with_customer("buyers", buyers_plan)
        .build()
}

fn apply(fleet: &Fleet, lists: &Lists, edit_id: &str) {
    let path = fleet.folder().join(format!("{edit_id}.json"));
    fs::write(&path, serde_json::to_string(lists).unwrap()).unwrap();
    let path = path.display().to_string();
    let printed = fleet
        .ctl()
        .run(&["lists", "apply", &path, "--edit-id", edit_id])
        .unwrap();
    printed.json().unwrap();
}

fn start() -> Fleet {
    let layout = Layout::new(6)
        .with_service("booking", 3)
        .with_artifact(format!("{MODEL}@1"), 2_000_000);
    let fleet = Fleet::start(&layout).unwrap();
    apply(&fleet, &lists("small"), "first");
    fleet
        .ctl()
        .wait_for_ready(&format!("{MODEL}@1"), ROLLOUT_LIMIT)
        .unwrap();
    traffic::wait_until_served(&fleet.caller_addrs(), MODEL, FEED_LIMIT).unwrap();
    fleet
}

fn leader(fleet: &Fleet) -> usize {
    let is_leader = |i: &usize| {
        let printed = fleet
            .ctl()
            .with_only(*i)
            .run(&["control", "status"])
            .unwrap();
        printed
            .json()
            .is_ok_and(|status| status["role"] == "leader")
    };
    (0..fleet.control.len()).find(is_leader).unwrap()
}

/// Runs a fault under load and returns what became of the calls.
fn under_load(fleet: &mut Fleet, fault: impl FnOnce(&mut Fleet)) -> Verdict {
    let traffic = Traffic::start(&fleet.caller_addrs(), MODEL).unwrap();
    thread::sleep(PHASE);
    fault(fleet);
    thread::sleep(PHASE);
    let counts = traffic.stop().unwrap();
    let verdict = Verdict::new(counts, &service_runs(fleet).unwrap());
    println!("{verdict}");
    verdict
}

#[test]
fn an_engine_vm_dies_under_load_and_no_call_is_lost() {
    let _one = FLEET
        .lock()
        .unwrap_or_else(|poisoned| poisoned.into_inner());
    let mut fleet = start();
    let verdict = under_load(&mut fleet, |fleet| {
        fleet.agents[0].kill();
        fleet.upstreams[0].kill();
    });
    verdict.check().unwrap();
}

#[test]
fn a_service_agent_dies_and_freezes_and_no_call_runs_twice() {
    let _one = FLEET
        .lock()
        .unwrap_or_else(|poisoned| poisoned.into_inner());
    let mut fleet = start();
    let verdict = under_load(&mut fleet, |fleet| {
        fleet.agents[6].kill();
        thread::sleep(PHASE);
        fleet.agents[6].restart().unwrap();
        fleet.agents[7].freeze();
        thread::sleep(FREEZE);
        fleet.agents[7].thaw();
    });
    verdict.check_safety().unwrap();
}

#[test]
fn the_leader_dies_and_another_one_freezes_under_load() {
    let _one = FLEET
        .lock()
        .unwrap_or_else(|poisoned| poisoned.into_inner());
    let mut fleet = start();
    let verdict = under_load(&mut fleet, |fleet| {
        let first = leader(fleet);
        fleet.control[first].kill();
        fleet.ctl().wait_for_leader(FEED_LIMIT).unwrap();
        fleet.control[first].restart().unwrap();
        thread::sleep(PHASE);
        let second = leader(fleet);
        fleet.control[second].freeze();
        thread::sleep(FREEZE);
        fleet.control[second].thaw();
    });
    verdict.check_safety().unwrap();
}

#[test]
fn a_zone_goes_out_while_the_old_leader_is_frozen() {
    let _one = FLEET
        .lock()
        .unwrap_or_else(|poisoned| poisoned.into_inner());
    let mut fleet = start();
    let mut late = 0;
    let verdict = under_load(&mut fleet, |fleet| {
        let old = leader(fleet);
        fleet.control[old].freeze();
        let printed = fleet.ctl().run(&["zone", "out", "durban"]).unwrap();
        printed.json().unwrap();
        thread::sleep(ZONE_LIMIT);
        let before = runs_in_zone(fleet, "durban").unwrap();
        thread::sleep(PHASE);
        fleet.control[old].thaw();
        thread::sleep(PHASE);
        late = runs_in_zone(fleet, "durban").unwrap() - before;
    });
    assert_eq!(late, 0, "calls ran in the zone after it was out");
    verdict.check_safety().unwrap();
}

#[test]
fn an_entry_that_wakes_does_not_act_on_old_lists() {
    let _one = FLEET
        .lock()
        .unwrap_or_else(|poisoned| poisoned.into_inner());
    let fleet = start();
    let runtime = Runtime::new().unwrap();
    let entry = fleet.caller_addrs()[0];
    fleet.entries[0].freeze();
    apply(&fleet, &lists("none"), "second");
    // The calls wait in the frozen entry's sockets and are the first thing that it sees.
    let calls: Vec<_> = (0..20)
        .map(|_| {
            let caller = Caller::new(entry, "buyers");
            runtime.spawn(async move { caller.chat(&Chat::new(MODEL, "old lists", 2)).await })
        })
        .collect();
    thread::sleep(FREEZE);
    fleet.entries[0].thaw();
    for call in calls {
        let answer = runtime.block_on(call).unwrap();
        assert!(
            matches!(&answer, Answer::Refused(problem) if problem.outcome == Outcome::NotRun),
            "{answer:?}"
        );
    }
}
