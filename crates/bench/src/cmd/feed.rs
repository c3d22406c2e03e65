//! `gypsum-bench feed`: how fast an edit is in force everywhere, and what following costs.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use clap::{Arg, ArgMatches, Command, value_parser};
use domain::edit::{Change, Edit, Outcome, Revision};
use futures::future::join_all;
use serde::Serialize;
use tokio::{runtime::Runtime, time::sleep};

use crate::{
    error::Error,
    feed::{
        crowd::Crowd,
        meter,
        relay::{self, Counter},
    },
    fleet::{Fleet, layout::Layout, plan::OPERATOR_KEY},
    load::tally::percentile,
};

/// How long the quiet phase lasts.
const IDLE: Duration = Duration::from_secs(10);
/// How many edits are made.
const EDITS: u64 = 30;
/// The pause between two edits.
const EDIT_PERIOD: Duration = Duration::from_millis(300);
/// How often a day the configuration changes at the size of two years.
const EDITS_PER_DAY: f64 = 3_500.0;
/// Seconds of a day.
const DAY_S: f64 = 86_400.0;
/// The bound on the time until an edit is in force everywhere.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(2);
/// The bound on the bytes that following costs a node, per second.
const NODE_BYTES_PER_S: f64 = 12_000.0;

/// The arguments.
pub fn command() -> Command {
    let number = |name: &'static str, default: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .value_parser(value_parser!(usize))
            .default_value(default)
            .help(help)
    };
    Command::new("feed")
        .about("Measures edits and the cost of following them, with subscribers in this process")
        .arg(number("voters", "3", "Replicas of control"))
        .arg(number("subscribers", "20", "Entries that follow the feed"))
        .arg(number(
            "agents",
            "0",
            "Agents that follow it and announce a VM each",
        ))
}

/// Runs the measurement and prints one JSON object per line.
///
/// # Errors
///
/// If it could not be run to its end, or a figure is out of bounds.
pub fn run(matches: &ArgMatches) -> Result<(), Error> {
    let number = |name| matches.get_one::<usize>(name).copied().unwrap_or_default();
    let size = Size {
        voters: number("voters"),
        subscribers: number("subscribers"),
        agents: number("agents"),
    };
    let layout = Layout::new(0).with_control(size.voters).with_entries(0);
    let fleet = Fleet::start(&layout)?;
    let runtime = Runtime::new().map_err(Error::step("start the runtime"))?;
    runtime.block_on(measure(&fleet, size))
}

/// How much takes part.
#[derive(Clone, Copy, Serialize)]
struct Size {
    voters: usize,
    subscribers: usize,
    agents: usize,
}

/// What a phase costs, for each node that follows and for each replica.
#[derive(Serialize)]
struct Cost {
    measure: &'static str,
    phase: &'static str,
    #[serde(flatten)]
    size: Size,
    seconds: f64,
    /// Both directions, without TCP and IP headers.
    bytes_per_s_per_node: f64,
    cpu_percent_per_node: f64,
    cpu_percent_per_replica: f64,
    memory_bytes_per_replica: u64,
}

/// How long edits took.
#[derive(Serialize)]
struct Spread {
    measure: &'static str,
    phase: &'static str,
    #[serde(flatten)]
    size: Size,
    edits: u64,
    accepted_p50_ms: f64,
    accepted_p99_ms: f64,
    in_force_p50_ms: f64,
    in_force_p99_ms: f64,
    in_force_max_ms: f64,
    /// The same, counted from the answer to the operator.
    after_answer_max_ms: f64,
}

/// What an edit costs a node beyond the quiet feed.
#[derive(Serialize)]
struct Slope {
    measure: &'static str,
    phase: &'static str,
    #[serde(flatten)]
    size: Size,
    bytes_per_edit_per_node: f64,
    bytes_per_s_per_node_at_daily_edits: f64,
    bytes_per_report_per_node: f64,
}

struct Bench<'a> {
    fleet: &'a Fleet,
    size: Size,
    crowd: Crowd,
    counter: Counter,
    operator: operator::Client,
}

async fn measure(fleet: &Fleet, size: Size) -> Result<(), Error> {
    let counter = Counter::default();
    let mut relays: Vec<SocketAddr> = Vec::new();
    for replica in &fleet.plan().control {
        relays.push(relay::start(replica.addr, counter.clone()).await?);
    }
    let secret = std::fs::read(fleet.folder().join("secret"))
        .map_err(Error::step("read the shared secret"))?;
    let bench = Bench {
        fleet,
        size,
        crowd: Crowd::start(&relays, &secret, size.subscribers, size.agents)?,
        counter,
        operator: operator::Client::new(fleet.plan().operator_addrs(), OPERATOR_KEY),
    };
    bench.crowd.wait_for_vms(size.agents).await?;
    // The first edit finds every subscriber connected.
    bench.edit(1).await?;
    sleep(Duration::from_secs(1)).await;
    let idle = bench.cost("idle", sleep(IDLE)).await;
    print(&idle.0)?;
    let begin = bench.counter.bytes();
    let edits = bench.cost("edits", bench.edits()).await;
    let edit_bytes = bench.counter.bytes() - begin;
    print(&edits.0)?;
    let spread = edits.1?;
    print(&spread)?;
    let reports = bench.reports().await;
    print(&bench.slope(&idle.0, edits.0.seconds, edit_bytes, reports))?;
    check(&idle.0, &spread)
}

fn check(idle: &Cost, spread: &Spread) -> Result<(), Error> {
    let limit_ms = IN_FORCE_LIMIT.as_secs_f64() * 1e3;
    let detail = match (idle.bytes_per_s_per_node, spread.in_force_max_ms) {
        (bytes, _) if bytes > NODE_BYTES_PER_S => format!("{bytes} bytes/s a node when idle"),
        (_, millis) if millis > limit_ms => format!("an edit in force after {millis} ms"),
        _ => return Ok(()),
    };
    Err(Error::Broken { detail })
}

impl Bench<'_> {
    /// Makes the nth edit: a zone goes out on odd ones and returns on even ones.
    async fn edit(&self, nth: u64) -> Result<Times, Error> {
        let watches = self.crowd.watch(Revision(nth));
        let edit = Edit {
            id: format!("edit-{nth}").into(),
            base: None,
            change: Change::Zone {
                zone: "zone-0".into(),
                in_service: nth.is_multiple_of(2),
            },
            allow_outage: true,
            author: None,
        };
        let sent = Instant::now();
        let answer = self
            .operator
            .edit(&edit)
            .await
            .map_err(Error::step("make an edit"))?;
        let answered = Instant::now();
        if answer
            != (Outcome::Accepted {
                revision: Revision(nth),
            })
        {
            let detail = format!("edit {nth} got {answer:?}");
            return Err(Error::Broken { detail });
        }
        let seen: Vec<Instant> = join_all(watches)
            .await
            .into_iter()
            .collect::<Result<_, _>>()
            .map_err(Error::step("watch a subscriber"))?;
        Ok(Times {
            accepted: answered - sent,
            in_force: seen.iter().map(|at| *at - sent).collect(),
            after_answer: seen
                .iter()
                .map(|at| at.saturating_duration_since(answered))
                .collect(),
        })
    }

    async fn edits(&self) -> Result<Spread, Error> {
        let mut accepted = Vec::new();
        let mut in_force = Vec::new();
        let mut after_answer = Vec::new();
        for nth in 2..2 + EDITS {
            let times = self.edit(nth).await?;
            accepted.push(times.accepted);
            in_force.extend(times.in_force);
            after_answer.extend(times.after_answer);
            sleep(EDIT_PERIOD).await;
        }
        Ok(Spread {
            measure: "feed",
            phase: "edits",
            size: self.size,
            edits: EDITS,
            accepted_p50_ms: millis(&accepted, 50),
            accepted_p99_ms: millis(&accepted, 99),
            in_force_p50_ms: millis(&in_force, 50),
            in_force_p99_ms: millis(&in_force, 99),
            in_force_max_ms: millis(&in_force, 100),
            after_answer_max_ms: millis(&after_answer, 100),
        })
    }

    /// Bytes while every agent reports once that it serves another version.
    async fn reports(&self) -> (f64, u64) {
        let (begin, bytes) = (Instant::now(), self.counter.bytes());
        self.crowd.report(2);
        sleep(Duration::from_secs(2)).await;
        let spent = self.counter.bytes() - bytes;
        (begin.elapsed().as_secs_f64(), spent)
    }

    fn slope(&self, idle: &Cost, seconds: f64, edit_bytes: u64, reports: (f64, u64)) -> Slope {
        let nodes = self.crowd.len().max(1) as f64;
        let quiet = |seconds: f64| idle.bytes_per_s_per_node * seconds;
        let per_edit = (edit_bytes as f64 / nodes - quiet(seconds)) / EDITS as f64;
        let agents = self.size.agents.max(1) as f64;
        Slope {
            measure: "feed",
            phase: "slope",
            size: self.size,
            bytes_per_edit_per_node: per_edit,
            bytes_per_s_per_node_at_daily_edits: idle.bytes_per_s_per_node
                + per_edit * EDITS_PER_DAY / DAY_S,
            bytes_per_report_per_node: (reports.1 as f64 / nodes - quiet(reports.0)) / agents,
        }
    }

    async fn cost<T>(&self, phase: &'static str, work: impl Future<Output = T>) -> (Cost, T) {
        let ids: Vec<u32> = self
            .fleet
            .control
            .iter()
            .map(|replica| replica.id())
            .collect();
        let replica_time = || {
            ids.iter()
                .map(|id| meter::process_time(*id))
                .sum::<Duration>()
        };
        let (begin, bytes) = (Instant::now(), self.counter.bytes());
        let (near, far) = (meter::uplink_time(), replica_time());
        let result = work.await;
        let seconds = begin.elapsed().as_secs_f64();
        let nodes = self.crowd.len().max(1) as f64;
        let replicas = ids.len().max(1) as f64;
        let memory: u64 = ids.iter().map(|id| meter::process_memory(*id)).sum();
        let percent = |spent: Duration, count: f64| spent.as_secs_f64() * 100.0 / seconds / count;
        let cost = Cost {
            measure: "feed",
            phase,
            size: self.size,
            seconds,
            bytes_per_s_per_node: (self.counter.bytes() - bytes) as f64 / seconds / nodes,
            cpu_percent_per_node: percent(meter::uplink_time().saturating_sub(near), nodes),
            cpu_percent_per_replica: percent(replica_time().saturating_sub(far), replicas),
            memory_bytes_per_replica: memory / ids.len().max(1) as u64,
        };
        (cost, result)
    }
}

/// How long one edit took.
struct Times {
    accepted: Duration,
    in_force: Vec<Duration>,
    after_answer: Vec<Duration>,
}

fn millis(samples: &[Duration], hundredths: usize) -> f64 {
    percentile(samples, hundredths).as_secs_f64() * 1e3
}

fn print(line: &impl Serialize) -> Result<(), Error> {
    let text = serde_json::to_string(line).map_err(Error::step("write a line"))?;
    println!("{text}");
    Ok(())
}
