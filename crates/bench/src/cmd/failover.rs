//! `gypsum-bench failover`: the replicated log alone, without the rest of control.

use std::{
    thread,
    time::{Duration, Instant},
};

use clap::{Arg, ArgMatches, Command, value_parser};
use rustix::time::{ClockId, clock_gettime};
use serde::Serialize;

use crate::{
    error::Error,
    replicas::{Group, group::Shape},
};

/// The longest time from the loss of a leader to the next accepted command.
const MAX_GAP: Duration = Duration::from_secs(3);
/// Longer than any election; the group must not wait for the frozen leader.
const FREEZE: Duration = Duration::from_secs(5);
const IDLE: Duration = Duration::from_secs(5);
const COMMANDS: u64 = 1_000;
const NEVER: u64 = 1_000_000;

/// The arguments.
pub fn command() -> Command {
    let number = |name: &'static str, default: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .default_value(default)
            .value_parser(value_parser!(u8))
            .help(help)
    };
    Command::new("failover")
        .about("Measures the replicated log: loss of the leader, restart, cost of commands")
        .arg(number("voters", "3", "Replicas, all of which vote"))
        .arg(number("rounds", "20", "How often the leader is lost"))
}

/// One line of the result.
#[derive(Serialize)]
#[serde(tag = "measure", rename_all = "kebab-case")]
enum Line {
    /// Loss of a leader to the next accepted command, submitted through a follower.
    Gap {
        loss: &'static str,
        voters: u8,
        rounds: usize,
        p50_ms: f64,
        p99_ms: f64,
        max_ms: f64,
    },
    /// Start of all replicas to a leader, and to everything applied everywhere.
    Restart {
        voters: u8,
        entries: u64,
        snapshot_entries: u64,
        leader_ms: f64,
        applied_ms: f64,
        file_bytes: u64,
    },
    /// Cost of commands, for each replica on average.
    Cost {
        voters: u8,
        at_once: u64,
        commands: u64,
        per_second: f64,
        p50_ms: f64,
        p99_ms: f64,
        cpu_us_per_command: f64,
        bytes_per_command: f64,
    },
    /// Cost of an idle second, for each replica on average.
    Idle {
        voters: u8,
        cpu_ms_per_second: f64,
        bytes_per_second: f64,
    },
}

/// Runs the measurement and prints one JSON object per line.
///
/// # Errors
///
/// If it could not be run to its end, or the leader's loss takes too long.
pub fn run(matches: &ArgMatches) -> Result<(), Error> {
    let number = |name| matches.get_one::<u8>(name).copied().unwrap_or(3);
    let (voters, rounds) = (number("voters"), number("rounds"));
    let killed = gap(voters, rounds, "killed", |group, leader| group.kill(leader))?;
    let frozen = gap(voters, rounds.min(5), "frozen", |group, leader| {
        group.freeze(leader, FREEZE);
    })?;
    for snapshot_entries in [NEVER, 500] {
        restart(voters, snapshot_entries)?;
    }
    for at_once in [1, 64] {
        cost(voters, at_once)?;
    }
    let longest = killed.max(frozen);
    match longest <= MAX_GAP {
        true => Ok(()),
        false => Err(Error::Broken {
            detail: format!("no command accepted for {longest:?} after the loss of the leader"),
        }),
    }
}

fn gap(
    voters: u8,
    rounds: u8,
    loss: &'static str,
    lose: impl Fn(&mut Group, usize),
) -> Result<Duration, Error> {
    let mut group = Group::new(shape(voters, NEVER, false))?;
    let mut gaps = Vec::new();
    for _ in 0..rounds {
        let leader = group.leader()?;
        group.settle()?;
        let started = Instant::now();
        lose(&mut group, leader);
        group.submit((leader + 1) % usize::from(voters), 1, 1)?;
        gaps.push(started.elapsed());
        group.start_all();
        group.settle()?;
    }
    gaps.sort_unstable();
    print(&Line::Gap {
        loss,
        voters,
        rounds: gaps.len(),
        p50_ms: percentile(&gaps, 50),
        p99_ms: percentile(&gaps, 99),
        max_ms: percentile(&gaps, 100),
    });
    Ok(gaps.last().copied().unwrap_or_default())
}

fn restart(voters: u8, snapshot_entries: u64) -> Result<(), Error> {
    let mut group = Group::new(shape(voters, snapshot_entries, false))?;
    let leader = group.leader()?;
    group.submit(leader, COMMANDS, 1)?;
    group.settle()?;
    group.kill_all();
    let file_bytes = group.file_bytes(leader)?;
    let started = Instant::now();
    group.start_all();
    group.leader()?;
    let leader = started.elapsed();
    group.settle()?;
    print(&Line::Restart {
        voters,
        entries: COMMANDS,
        snapshot_entries,
        leader_ms: as_millis(leader),
        applied_ms: as_millis(started.elapsed()),
        file_bytes,
    });
    Ok(())
}

fn cost(voters: u8, at_once: u64) -> Result<(), Error> {
    let mut group = Group::new(shape(voters, NEVER, true))?;
    let leader = group.leader()?;
    group.settle()?;
    let (bytes, cpu) = (group.bytes(), cpu_time());
    thread::sleep(IDLE);
    let (idle_bytes, idle_cpu) = (group.bytes() - bytes, cpu_time() - cpu);
    let seconds = IDLE.as_secs_f64();
    if at_once == 1 {
        print(&Line::Idle {
            voters,
            cpu_ms_per_second: as_millis(idle_cpu) / seconds / f64::from(voters),
            bytes_per_second: idle_bytes as f64 / seconds / f64::from(voters),
        });
    }
    let (bytes, cpu, started) = (group.bytes(), cpu_time(), Instant::now());
    let mut latencies = group.submit(leader, COMMANDS, at_once)?;
    let span = started.elapsed();
    group.settle()?;
    let share = COMMANDS as f64 * f64::from(voters);
    latencies.sort_unstable();
    print(&Line::Cost {
        voters,
        at_once,
        commands: COMMANDS,
        per_second: COMMANDS as f64 / span.as_secs_f64(),
        p50_ms: percentile(&latencies, 50),
        p99_ms: percentile(&latencies, 99),
        cpu_us_per_command: as_millis(cpu_time() - cpu) * 1_000.0 / share,
        bytes_per_command: (group.bytes() - bytes) as f64 / share,
    });
    Ok(())
}

fn shape(voters: u8, snapshot_entries: u64, is_counted: bool) -> Shape {
    Shape {
        voters,
        snapshot_entries,
        is_counted,
    }
}

fn print(line: &Line) {
    if let Ok(line) = serde_json::to_string(line) {
        println!("{line}");
    }
}

/// The given percentile of sorted values, in milliseconds.
fn percentile(sorted: &[Duration], percent: usize) -> f64 {
    let rank = (sorted.len() * percent).div_ceil(100).max(1) - 1;
    sorted.get(rank).copied().map_or(0.0, as_millis)
}

fn as_millis(span: Duration) -> f64 {
    span.as_secs_f64() * 1_000.0
}

/// Processor time of this process, all replicas and the relay together.
fn cpu_time() -> Duration {
    let time = clock_gettime(ClockId::ProcessCPUTime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanos = u32::try_from(time.tv_nsec).unwrap_or_default();
    Duration::new(seconds, nanos)
}
