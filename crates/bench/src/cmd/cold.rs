//! `gypsum-bench cold`: cold engines join under load.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use clap::{Arg, ArgMatches, Command, value_parser};
use fakes::engine::text;
use serde_json::{Value, json};
use tokio::time;

use crate::{
    error::Error,
    fleet::{Fleet, layout::Layout, lists::Builder},
    load::{
        client::{Caller, Chat},
        http,
        pace::{self, Sample},
        setup,
    },
};

const MODEL: &str = "assistant";
const VERSION: &str = "assistant@1";
const MODEL_BYTES: u64 = 1_000_000;
/// Tokens of each answer.
const TOKENS: u32 = 10;
/// What one token takes on a warm engine, in microseconds.
const TOKEN_MICROS: u32 = 30_000;
/// Calls that a warm engine bears at once.
const BATCH: u32 = 16;
/// Calls that a cold engine bears at once.
const COLD_LIMIT: u32 = 2;
/// Engines that are warm when the measurement begins.
const WARM: usize = 4;
/// Cold engines that join.
const JOINING: usize = 2;
/// How long the warm engines carry the load alone.
const BEFORE: Duration = Duration::from_secs(4);
/// How long the load goes on after the cold ones have joined.
const AFTER: Duration = Duration::from_secs(16);
/// How long the warm engines are brought up.
const WARMING: Duration = Duration::from_secs(20);
/// Parts of the capacity of the warm engines that are asked for.
const RATIOS: [f64; 3] = [0.5, 0.8, 1.2];

/// The arguments.
pub fn command() -> Command {
    Command::new("cold")
        .about("Calls while cold engines join, through the gate and round robin without it")
        .arg(
            Arg::new("ratio")
                .long("ratio")
                .value_parser(value_parser!(f64))
                .help("Only this part of capacity"),
        )
}

/// Runs the measurement and prints one JSON object per line.
///
/// # Errors
///
/// If it could not be run to its end.
pub fn run(matches: &ArgMatches) -> Result<(), Error> {
    let ratios = match matches.get_one::<f64>("ratio") {
        Some(ratio) => vec![*ratio],
        None => RATIOS.to_vec(),
    };
    let runtime = tokio::runtime::Runtime::new().map_err(Error::step("start the runtime"))?;
    let token = TOKEN_MICROS.to_string();
    let layout = Layout::new(WARM + JOINING)
        .with_artifact(VERSION, MODEL_BYTES)
        .with_engine_args(&[
            "--token-us",
            &token,
            "--warm-after",
            "40",
            "--cold-factor",
            "4",
        ]);
    let mut fleet = Fleet::start(&layout)?;
    let lists = Builder::new()
        .with_plan("large", 700)
        .with_model(MODEL, &["1"])
        .with_customer("skippers", "large")
        .build();
    setup::apply(&fleet, &lists, &[VERSION])?;
    for ratio in ratios {
        for mode in [Mode::Gate, Mode::RoundRobin] {
            let line = measure(&mut fleet, &runtime, ratio, mode)?;
            println!("{line}");
        }
    }
    Ok(())
}

/// How calls reach the engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mode {
    /// Through entries and agents.
    Gate,
    /// Straight to the engines in turn.
    RoundRobin,
}

/// The callers of one run.
struct Callers {
    all: Vec<Caller>,
    has_joined: Arc<AtomicBool>,
    mode: Mode,
}

impl Callers {
    fn new(fleet: &Fleet, mode: Mode) -> Self {
        let addrs = match mode {
            Mode::Gate => fleet.caller_addrs(),
            Mode::RoundRobin => fleet.plan().upstreams.iter().map(|m| m.addr).collect(),
        };
        Self {
            all: addrs
                .into_iter()
                .map(|addr| Caller::new(addr, "skippers"))
                .collect(),
            has_joined: Arc::default(),
            mode,
        }
    }

    /// Whose turn it is for a call.
    fn caller(&self, number: u64) -> Caller {
        let joined = self.has_joined.load(Ordering::Relaxed);
        let count = match (self.mode, joined) {
            (Mode::RoundRobin, false) => WARM,
            _ => self.all.len(),
        };
        let index = usize::try_from(number).unwrap_or_default() % count;
        self.all[index].clone()
    }
}

fn measure(
    fleet: &mut Fleet,
    runtime: &tokio::runtime::Runtime,
    ratio: f64,
    mode: Mode,
) -> Result<Value, Error> {
    let capacity = f64::from(BATCH) * 1e6 / f64::from(TOKENS * TOKEN_MICROS) * WARM as f64;
    for engine in &mut fleet.upstreams[WARM..] {
        engine.kill();
    }
    let callers = Arc::new(Callers::new(fleet, mode));
    // Always through the gate, since a round robin would throw cold engines over.
    let warming = Arc::new(Callers::new(fleet, Mode::Gate));
    runtime.block_on(load(&warming, capacity * 0.8, WARMING, "warming"));
    let joining: Vec<_> = fleet.plan().upstreams[WARM..]
        .iter()
        .map(|member| member.addr)
        .collect();
    let samples = runtime.block_on(async {
        let calls = load(&callers, capacity * ratio, BEFORE + AFTER, "measured");
        let join = async {
            time::sleep(BEFORE).await;
            let begin = time::Instant::now();
            for engine in &mut fleet.upstreams[WARM..] {
                engine.restart()?;
            }
            for addr in &joining {
                setup::wait_until_loaded(*addr).await?;
            }
            callers.has_joined.store(true, Ordering::Relaxed);
            Ok::<_, Error>(begin.elapsed())
        };
        let (samples, joined) = tokio::join!(calls, join);
        joined.map(|loading| (samples, loading))
    });
    let (samples, loading) = samples?;
    let joined_at = BEFORE + loading;
    let engines = runtime.block_on(stats(&joining));
    Ok(report(ratio, mode, capacity, &samples, joined_at, &engines))
}

async fn load(callers: &Arc<Callers>, rate: f64, span: Duration, purpose: &str) -> Vec<Sample> {
    let numbers = AtomicU64::new(0);
    pace::run(rate, span, |_| {
        let number = numbers.fetch_add(1, Ordering::Relaxed);
        let caller = callers.caller(number);
        let model = match callers.mode {
            Mode::Gate => MODEL,
            Mode::RoundRobin => VERSION,
        };
        let chat = Chat::new(model, prompt(purpose), TOKENS);
        async move { caller.chat(&chat).await }
    })
    .await
}

fn prompt(purpose: &str) -> String {
    format!("tides at saldanha, {purpose}?")
}

async fn stats(engines: &[SocketAddr]) -> Vec<Value> {
    let mut all = Vec::new();
    for engine in engines {
        all.push(http::get(*engine, "/stats").await.unwrap_or_default());
    }
    all
}

fn report(
    ratio: f64,
    mode: Mode,
    capacity: f64,
    samples: &[Sample],
    joined_at: Duration,
    engines: &[Value],
) -> Value {
    let expected = text::answer(VERSION, None, &prompt("measured"), TOKENS);
    let part = |is_in: &dyn Fn(Duration) -> bool| {
        let chosen = samples.iter().filter(|sample| is_in(sample.sent_at));
        let tally = setup::count(chosen.map(|sample| (&sample.answer, expected.clone())));
        let millis = |hundredths| tally.percentile(hundredths).as_secs_f64() * 1e3;
        json!({
            "calls": tally.calls, "whole": tally.whole, "refused": tally.not_run,
            "failed": tally.uncertain + tally.broken + tally.wrong,
            "p50_ms": millis(50), "p95_ms": millis(95), "p99_ms": millis(99),
            "examples": tally.examples,
        })
    };
    let sum = |name: &str| -> u64 { engines.iter().filter_map(|e| e[name].as_u64()).sum() };
    json!({
        "measure": "cold",
        "mode": match mode { Mode::Gate => "gate", Mode::RoundRobin => "round-robin" },
        "ratio": ratio,
        "capacity_calls_per_s": capacity,
        "engines_warm": WARM, "engines_joining": JOINING, "cold_limit": COLD_LIMIT,
        "loaded_after_s": (joined_at - BEFORE).as_secs_f64(),
        "before": part(&|at| at < BEFORE),
        "after": part(&|at| at >= joined_at),
        "overloads": sum("overloads"), "refused_while_down": sum("refused"),
        "completed_by_joined": sum("completed"),
    })
}
