//! `gypsum-bench overhead`: what entry and agent add to a direct call of the engine.
//!
//! Direct calls and calls through the system take turns, one at a time. Then come the processor
//! time of each part per call and per token, and the memory of each part per running call.

use std::{fs, sync::Arc, thread, time::Duration};

use clap::{Arg, ArgMatches, Command, value_parser};
use serde::Serialize;
use serde_json::json;

use crate::{
    error::Error,
    fleet::{layout::Layout, process::Process},
    load::{
        stage::{Ring, Stage},
        tally::Tally,
    },
};

/// Calls that are open at once to tell the memory of one.
const RUNNING_CALLS: u64 = 400;
/// Tokens of calls that tell the cost of a token, less one.
const EXTRA_TOKENS: u32 = 100;
/// Calls whose processor time is taken.
const COST_CALLS: u64 = 80;

#[derive(Serialize)]
struct Latency {
    measure: &'static str,
    kind: &'static str,
    calls: u64,
    whole: u64,
    direct_p50_us: u128,
    system_p50_us: u128,
    added_p50_us: i128,
    direct_p95_us: u128,
    system_p95_us: u128,
    added_p95_us: i128,
}

#[derive(Serialize)]
struct Cost {
    measure: &'static str,
    part: &'static str,
    cpu_us_per_call: f64,
    cpu_us_per_token: f64,
    bytes_per_running_call: u64,
    resident_kb: u64,
}

/// The arguments.
pub fn command() -> Command {
    Command::new("overhead")
        .about("What entry and agent add to a direct call of the engine")
        .arg(
            Arg::new("calls")
                .long("calls")
                .value_parser(value_parser!(u64))
                .default_value("2000")
                .help("Calls of each kind and way"),
        )
}

/// Runs the measurement and prints one JSON object per line.
///
/// # Errors
///
/// If it could not be run to its end.
pub fn run(matches: &ArgMatches) -> Result<(), Error> {
    let calls = matches.get_one::<u64>("calls").copied().unwrap_or_default();
    let stage = Stage::start(layout())?;
    let (system, direct) = (stage.system(), stage.engines());
    for (kind, is_stream) in [("chat", false), ("stream", true)] {
        // Connections open and caches fill before the count begins.
        let _ = compare(&stage, &system, &direct, kind, is_stream, calls / 10);
        print(&compare(&stage, &system, &direct, kind, is_stream, calls))?;
    }
    let parts = [
        ("entry", &stage.fleet.entries[0]),
        ("agent", &stage.fleet.agents[0]),
    ];
    let costs = costs(&stage, &system, &parts)?;
    costs.iter().try_for_each(print)
}

fn print(row: &impl Serialize) -> Result<(), Error> {
    let line = serde_json::to_string(row).map_err(Error::step("write a row"))?;
    println!("{line}");
    Ok(())
}

fn layout() -> Layout {
    let many = (RUNNING_CALLS * 2).to_string();
    let gate = json!({
        "cold_limit": RUNNING_CALLS * 2,
        "warm_limit": RUNNING_CALLS * 2,
        "queue_calls": RUNNING_CALLS * 2,
    });
    Layout::new(1)
        .with_entries(1)
        .with_settings("agent", json!({ "gate": gate }))
        .with_engine_args(&["--warm-after", "0", "--cold-limit", &many, "--batch", &many])
        .with_engine_args(&["--token-us", "1000", "--block-us", "0"])
}

fn compare(
    stage: &Stage,
    system: &Arc<Ring>,
    direct: &Arc<Ring>,
    kind: &'static str,
    is_stream: bool,
    calls: u64,
) -> Latency {
    let (by_system, by_direct) = stage.runtime.block_on(async {
        let mut tallies = (Tally::default(), Tally::default());
        for i in 0..calls {
            let prompt = format!("quote {i}");
            tallies
                .0
                .merge(system.call(prompt.clone(), 1, is_stream).await);
            tallies.1.merge(direct.call(prompt, 1, is_stream).await);
        }
        tallies
    });
    let micros = |tally: &Tally, hundredths| tally.percentile(hundredths).as_micros();
    let added = |hundredths| {
        let (system, direct) = (
            micros(&by_system, hundredths),
            micros(&by_direct, hundredths),
        );
        system as i128 - direct as i128
    };
    Latency {
        measure: "overhead",
        kind,
        calls: by_system.calls + by_direct.calls,
        whole: by_system.whole + by_direct.whole,
        direct_p50_us: micros(&by_direct, 50),
        system_p50_us: micros(&by_system, 50),
        added_p50_us: added(50),
        direct_p95_us: micros(&by_direct, 95),
        system_p95_us: micros(&by_system, 95),
        added_p95_us: added(95),
    }
}

/// The costs of each part, taken from the same calls.
fn costs(
    stage: &Stage,
    ring: &Arc<Ring>,
    parts: &[(&'static str, &Process)],
) -> Result<Vec<Cost>, Error> {
    let one = spent(stage, ring, parts, 1)?;
    let many = spent(stage, ring, parts, 1 + EXTRA_TOKENS)?;
    let idle = resident(parts)?;
    let running: Vec<_> = (0..RUNNING_CALLS)
        .map(|i| {
            let ring = ring.clone();
            let call = async move { ring.call(format!("open {i}"), 4_000, true).await };
            stage.runtime.spawn(call)
        })
        .collect();
    thread::sleep(Duration::from_secs(2));
    let busy = resident(parts)?;
    running.iter().for_each(|call| call.abort());
    let costs = parts.iter().enumerate().map(|(i, (part, _))| Cost {
        measure: "cost",
        part,
        cpu_us_per_call: one[i].round(),
        cpu_us_per_token: ((many[i] - one[i]) / f64::from(EXTRA_TOKENS) * 10.0).round() / 10.0,
        bytes_per_running_call: busy[i].saturating_sub(idle[i]) * 1_024 / RUNNING_CALLS,
        resident_kb: idle[i],
    });
    Ok(costs.collect())
}

/// The processor time of each part for one call, in microseconds.
fn spent(
    stage: &Stage,
    ring: &Arc<Ring>,
    parts: &[(&'static str, &Process)],
    tokens: u32,
) -> Result<Vec<f64>, Error> {
    let read = || -> Result<Vec<u64>, Error> {
        parts
            .iter()
            .map(|(_, process)| cpu_nanos(process.id()))
            .collect()
    };
    let before = read()?;
    stage.runtime.block_on(async {
        for i in 0..COST_CALLS {
            ring.call(format!("cost {i}"), tokens, true).await;
        }
    });
    let nanos = read()?
        .into_iter()
        .zip(before)
        .map(|(after, before)| after - before);
    Ok(nanos
        .map(|nanos| nanos as f64 / 1e3 / COST_CALLS as f64)
        .collect())
}

fn resident(parts: &[(&'static str, &Process)]) -> Result<Vec<u64>, Error> {
    parts
        .iter()
        .map(|(_, process)| resident_kb(process.id()))
        .collect()
}

/// The processor time of all threads of a process, in nanoseconds.
fn cpu_nanos(id: u32) -> Result<u64, Error> {
    let folder = format!("/proc/{id}/task");
    let threads = fs::read_dir(&folder).map_err(Error::step(format!("read {folder}")))?;
    let spent = threads.flatten().filter_map(|thread| {
        let text = fs::read_to_string(thread.path().join("schedstat")).ok()?;
        text.split_whitespace().next()?.parse::<u64>().ok()
    });
    Ok(spent.sum())
}

/// The resident memory of a process, in kilobytes.
fn resident_kb(id: u32) -> Result<u64, Error> {
    let path = format!("/proc/{id}/status");
    let status = fs::read_to_string(&path).map_err(Error::step(format!("read {path}")))?;
    let resident = status.lines().find_map(|line| {
        let rest = line.strip_prefix("VmRSS:")?;
        rest.split_whitespace().next()?.parse().ok()
    });
    Ok(resident.unwrap_or_default())
}
