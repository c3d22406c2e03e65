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
const COST_CALLS: u64 = 300;

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
    for (part, process) in parts {
        print(&cost(&stage, &system, part, process)?)?;
    }
    Ok(())
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

fn cost(
    stage: &Stage,
    ring: &Arc<Ring>,
    part: &'static str,
    process: &Process,
) -> Result<Cost, Error> {
    let id = process.id();
    let spent = |tokens| -> Result<f64, Error> {
        let before = cpu_nanos(id)?;
        stage.runtime.block_on(async {
            for i in 0..COST_CALLS {
                ring.call(format!("cost {i}"), tokens, true).await;
            }
        });
        Ok((cpu_nanos(id)? - before) as f64 / 1e3 / COST_CALLS as f64)
    };
    let (one, many) = (spent(1)?, spent(1 + EXTRA_TOKENS)?);
    let idle_kb = resident_kb(id)?;
    let running: Vec<_> = (0..RUNNING_CALLS)
        .map(|i| {
            let ring = ring.clone();
            let call = async move { ring.call(format!("open {i}"), 2_000, true).await };
            stage.runtime.spawn(call)
        })
        .collect();
    thread::sleep(Duration::from_secs(2));
    let busy_kb = resident_kb(id)?;
    running.iter().for_each(|call| call.abort());
    thread::sleep(Duration::from_secs(1));
    Ok(Cost {
        measure: "cost",
        part,
        cpu_us_per_call: one.round(),
        cpu_us_per_token: ((many - one) / f64::from(EXTRA_TOKENS) * 10.0).round() / 10.0,
        bytes_per_running_call: busy_kb.saturating_sub(idle_kb) * 1_024 / RUNNING_CALLS,
        resident_kb: idle_kb,
    })
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
