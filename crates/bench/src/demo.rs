//! The demo: a rollout under load, then a zone out and back, with every answer checked.

use std::{
    fs, thread,
    time::{Duration, Instant},
};

use domain::lists::Lists;

use crate::{
    error::Error,
    fleet::{Fleet, ctl::Ctl, layout::Layout, lists::Builder},
    load::{
        traffic::{self, Traffic},
        verdict::{Verdict, runs_in_zone, service_runs},
    },
};

/// The model of the demo.
const MODEL: &str = "assistant";
/// The size of each version, in bytes.
const MODEL_BYTES: u64 = 8_000_000;
/// How long a rollout may take.
const ROLLOUT_LIMIT: Duration = Duration::from_secs(90);
/// How long an edit may take to be in force everywhere.
const FEED_LIMIT: Duration = Duration::from_secs(15);
/// After this time a zone that is out may get no new work.
const ZONE_LIMIT: Duration = Duration::from_secs(5);

/// How the demo runs.
#[derive(Clone, Debug)]
pub struct Config {
    /// How many model engines run.
    pub engines: usize,
    /// How long each phase lasts under load.
    pub pause: Duration,
    /// Whether the temporary folder stays.
    pub keeps_folder: bool,
}

/// Runs the demo.
///
/// # Errors
///
/// If a step failed or a promise was broken.
pub fn run(config: &Config) -> Result<(), Error> {
    let layout = Layout::new(config.engines)
        .with_service("booking", 3)
        .with_artifact(format!("{MODEL}@1"), MODEL_BYTES)
        .with_artifact(format!("{MODEL}@2"), MODEL_BYTES);
    say("starting 3 control replicas, 2 entries, agents, engines, services and the origin");
    let mut fleet = Fleet::start(&layout)?;
    if config.keeps_folder {
        let folder = fleet.keep_folder();
        say(&format!(
            "settings, data and logs are in {}",
            folder.display()
        ));
    }
    let ctl = fleet.ctl();

    apply(&fleet, &lists(&["1"]), "first")?;
    say("lists applied; waiting for version 1");
    ctl.wait_for_ready(&format!("{MODEL}@1"), ROLLOUT_LIMIT)?;

    traffic::wait_until_served(&fleet.caller_addrs(), MODEL, FEED_LIMIT)?;
    let traffic = Traffic::start(&fleet.caller_addrs(), MODEL)?;
    thread::sleep(config.pause);

    apply(&fleet, &lists(&["2", "1"]), "second")?;
    say("version 2 applied under load");
    let seconds = follow_rollout(&ctl, &format!("{MODEL}@2"))?;
    say(&format!("version 2 serves the fleet after {seconds:.1} s"));
    thread::sleep(config.pause);

    let zone = layout.zones[0].name.clone();
    set_zone(&ctl, "out", &zone)?;
    say(&format!("zone {zone} is out"));
    thread::sleep(ZONE_LIMIT);
    let before = runs_in_zone(&fleet, &zone)?;
    thread::sleep(config.pause);
    let after = runs_in_zone(&fleet, &zone)?;
    set_zone(&ctl, "in", &zone)?;
    say(&format!("zone {zone} is back"));
    thread::sleep(config.pause);

    let counts = traffic.stop()?;
    let verdict = Verdict::new(counts, &service_runs(&fleet)?)
        .with_calls_in_closed_zones(after.saturating_sub(before));
    println!("{verdict}");
    verdict.check()
}

fn say(text: &str) {
    println!("demo: {text}");
}

fn lists(versions: &[&str]) -> Lists {
    Builder::new()
        .with_plan("large", 700)
        .with_model(MODEL, versions)
        .with_service("booking")
        .with_plan("small", 300)
        .with_model(MODEL, versions)
        .with_service("booking")
        .with_customer("skippers", "large")
        .with_customer("buyers", "small")
        .build()
}

fn apply(fleet: &Fleet, lists: &Lists, edit_id: &str) -> Result<(), Error> {
    let path = fleet.folder().join(format!("lists-{edit_id}.json"));
    let text = serde_json::to_string_pretty(lists).map_err(Error::step("write lists"))?;
    fs::write(&path, text).map_err(Error::step("write lists"))?;
    let path = path.display().to_string();
    fleet
        .ctl()
        .run(&["lists", "apply", &path, "--edit-id", edit_id])?
        .json()
        .map(|_| ())
}

fn set_zone(ctl: &Ctl, state: &str, zone: &str) -> Result<(), Error> {
    ctl.run(&["zone", state, zone])?.json().map(|_| ())
}

/// Prints each change of a rollout until it is ready, and returns the seconds that took.
fn follow_rollout(ctl: &Ctl, id: &str) -> Result<f64, Error> {
    let begin = Instant::now();
    let mut last = String::new();
    while begin.elapsed() < ROLLOUT_LIMIT {
        let rollout = ctl.run(&["rollout", "show", id])?.json()?;
        let stage = rollout["stage"].to_string();
        if stage != last {
            say(&format!(
                "{:6.2} s  rollout {id}: {stage}",
                begin.elapsed().as_secs_f64()
            ));
        }
        if rollout["stage"] == "ready" {
            return Ok(begin.elapsed().as_secs_f64());
        }
        last = stage;
        thread::sleep(Duration::from_millis(50));
    }
    Err(Error::Broken {
        detail: format!("{id} is not ready after {ROLLOUT_LIMIT:?}: {last}"),
    })
}
