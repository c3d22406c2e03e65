//! `gypsum-bench share`: what each customer gets when one asks for ten times its share.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use clap::{ArgMatches, Command};
use fakes::engine::text;
use serde_json::{Value, json};

use crate::{
    error::Error,
    fleet::{Fleet, layout::Layout, lists::Builder},
    load::{
        client::{Answer, Caller, Chat},
        pace::{self, Sample},
        setup,
    },
};

const MODEL: &str = "assistant";
const VERSION: &str = "assistant@1";
const MODEL_BYTES: u64 = 1_000_000;
const ENGINES: usize = 2;
/// Tokens of each answer.
const TOKENS: u32 = 10;
/// What one token takes on a warm engine, in microseconds.
const TOKEN_MICROS: u32 = 30_000;
/// Calls that an engine bears at once.
const BATCH: u32 = 16;
/// Customers with the share of capacity of their plans, in thousandths, and the part of their own
/// share that they ask for.
const CUSTOMERS: [(&str, u32, f64); 3] = [
    ("greedy", 200, 10.0),
    ("steady", 500, 1.3),
    ("small", 300, 1.3),
];
/// How long the engines are warmed up.
const WARMING: Duration = Duration::from_secs(15);
/// How long the load goes on.
const MEASURED: Duration = Duration::from_secs(20);
/// Only answers to calls sent after this time count, when all queues have filled.
const SETTLED: Duration = Duration::from_secs(4);

/// The arguments.
pub fn command() -> Command {
    Command::new("share").about("Shares of capacity under overload, with the gate and without")
}

/// Runs the measurement and prints one JSON object per line.
///
/// # Errors
///
/// If it could not be run to its end.
pub fn run(_: &ArgMatches) -> Result<(), Error> {
    let runtime = tokio::runtime::Runtime::new().map_err(Error::step("start the runtime"))?;
    let token = TOKEN_MICROS.to_string();
    let layout = Layout::new(ENGINES)
        .with_artifact(VERSION, MODEL_BYTES)
        .with_engine_args(&["--token-us", &token, "--warm-after", "40"]);
    let fleet = Fleet::start(&layout)?;
    let mut lists = Builder::new();
    for (customer, share, _) in CUSTOMERS {
        lists = lists
            .with_plan(customer, share)
            .with_model(MODEL, &["1"])
            .with_customer(customer, customer);
    }
    setup::apply(&fleet, &lists.build(), &[VERSION])?;
    setup::settle();
    for mode in [Mode::Gate, Mode::RoundRobin] {
        let entries: Vec<_> = fleet.caller_addrs();
        let engines: Vec<_> = fleet.plan().upstreams.iter().map(|m| m.addr).collect();
        runtime.block_on(load(&entries, MODEL, WARMING, 0.15));
        let samples = match mode {
            Mode::Gate => runtime.block_on(load(&entries, MODEL, MEASURED, 1.0)),
            Mode::RoundRobin => runtime.block_on(load(&engines, VERSION, MEASURED, 1.0)),
        };
        println!("{}", report(mode, &samples));
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

/// Calls per second that the warm engines bear.
fn capacity() -> f64 {
    f64::from(BATCH) * 1e6 / f64::from(TOKENS * TOKEN_MICROS) * ENGINES as f64
}

fn prompt(customer: &str) -> String {
    format!("tides for {customer}?")
}

/// All customers at once, each at its rate times `scale`.
async fn load(
    addrs: &[std::net::SocketAddr],
    model: &'static str,
    span: Duration,
    scale: f64,
) -> BTreeMap<&'static str, Vec<Sample>> {
    let mut loads = Vec::new();
    for (customer, share, asked) in CUSTOMERS {
        let callers: Arc<Vec<_>> = Arc::new(
            addrs
                .iter()
                .map(|addr| Caller::new(*addr, customer))
                .collect(),
        );
        let rate = capacity() * f64::from(share) / 1_000.0 * asked * scale;
        loads.push(async move {
            let samples = pace::run(rate, span, |number| {
                let index = usize::try_from(number).unwrap_or_default() % callers.len();
                let caller = callers[index].clone();
                let chat = Chat::new(model, prompt(customer), TOKENS);
                async move { caller.chat(&chat).await }
            });
            (customer, samples.await)
        });
    }
    futures::future::join_all(loads).await.into_iter().collect()
}

fn report(mode: Mode, samples: &BTreeMap<&'static str, Vec<Sample>>) -> Value {
    // A call counts where its answer came, so that emptying queues at the end don't.
    let got = |customer: &str| -> f64 {
        let expected = text::answer(VERSION, None, &prompt(customer), TOKENS);
        let is_counted = |sample: &&Sample| match &sample.answer {
            Answer::Whole(content) => {
                let at = sample.sent_at + content.total;
                content.text == expected && at >= SETTLED && at < MEASURED
            }
            _ => false,
        };
        samples[customer].iter().filter(is_counted).count() as f64
    };
    let sum: f64 = CUSTOMERS.iter().map(|(customer, ..)| got(customer)).sum();
    let mut rows = Vec::new();
    let mut worst = 0.0f64;
    for (customer, share, asked) in CUSTOMERS {
        let share = f64::from(share) / 1_000.0;
        let part = got(customer) / sum.max(1.0);
        let error = (part - share).abs() / share;
        worst = worst.max(error);
        let expected = text::answer(VERSION, None, &prompt(customer), TOKENS);
        let all = samples[customer].iter();
        let tally = setup::count(all.map(|sample| (&sample.answer, expected.clone())));
        rows.push(json!({
            "customer": customer, "share": share, "asked_of_share": asked, "got": part,
            "error": error, "calls": tally.calls, "whole": tally.whole, "refused": tally.not_run,
            "failed": tally.uncertain + tally.broken + tally.wrong,
            "p50_ms": tally.percentile(50).as_secs_f64() * 1e3,
            "p95_ms": tally.percentile(95).as_secs_f64() * 1e3,
            "examples": tally.examples,
        }));
    }
    json!({
        "measure": "share",
        "mode": match mode { Mode::Gate => "gate", Mode::RoundRobin => "round-robin" },
        "capacity_calls_per_s": capacity(),
        "served_calls_per_s": sum / (MEASURED - SETTLED).as_secs_f64(),
        "largest_error": worst,
        "customers": rows,
    })
}
