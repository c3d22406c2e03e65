//! `gypsum-bench ledger`: calls that may not be repeated, beside look-ups.

use std::{
    net::SocketAddr,
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use clap::{ArgMatches, Command};
use http::Method;
use serde_json::json;
use tokio::time::Instant;

use crate::{
    error::Error,
    fleet::{Fleet, layout::Layout, lists::Builder},
    load::{
        client::{Answer, Caller},
        http as plain, setup,
        tally::Tally,
    },
};

/// Instances of the service.
const SERVICES: usize = 3;
/// How long each line is measured.
const MEASURED: Duration = Duration::from_secs(6);
/// How long the services are warmed up.
const WARMING: Duration = Duration::from_secs(3);
/// Callers at once.
const CALLERS: [u64; 4] = [1, 8, 32, 96];

static KEYS: AtomicU64 = AtomicU64::new(0);

/// The arguments.
pub fn command() -> Command {
    Command::new("ledger").about("Calls a second through the ledger, and how long they take")
}

/// Runs the measurement and prints one JSON object per line.
///
/// # Errors
///
/// If it could not be run to its end, or a key ran twice.
pub fn run(_: &ArgMatches) -> Result<(), Error> {
    let runtime = tokio::runtime::Runtime::new().map_err(Error::step("start the runtime"))?;
    let gate = json!({ "gate": { "cold_limit": 8, "warm_limit": 64, "queue_calls": 64 } });
    let layout = Layout::new(0)
        .with_service("booking", SERVICES)
        .with_settings("agent", gate);
    let fleet = Fleet::start(&layout)?;
    let lists = Builder::new()
        .with_plan("large", 700)
        .with_service("booking")
        .with_customer("skippers", "large")
        .build();
    setup::apply(&fleet, &lists, &[])?;
    setup::settle();
    let entries = fleet.caller_addrs();
    for method in [Method::GET, Method::POST] {
        runtime.block_on(load(&entries, 32, WARMING, &method));
        for callers in CALLERS {
            let begin = Instant::now();
            let tally = runtime.block_on(load(&entries, callers, MEASURED, &method));
            let seconds = begin.elapsed().as_secs_f64();
            let millis = |hundredths| tally.percentile(hundredths).as_secs_f64() * 1e3;
            let line = json!({
                "measure": "ledger",
                "kind": if method == Method::POST { "once" } else { "look-up" },
                "callers": callers,
                "calls_per_s": tally.whole as f64 / seconds,
                "p50_ms": millis(50), "p95_ms": millis(95), "p99_ms": millis(99),
                "calls": tally.calls, "whole": tally.whole, "refused": tally.not_run,
                "failed": tally.uncertain + tally.broken + tally.wrong,
                "examples": tally.examples,
            });
            println!("{line}");
        }
    }
    runtime.block_on(check_runs(&fleet))
}

async fn load(entries: &[SocketAddr], callers: u64, span: Duration, method: &Method) -> Tally {
    let begin = Instant::now();
    let mut tasks = Vec::new();
    for n in 0..callers {
        let index = usize::try_from(n).unwrap_or_default() % entries.len();
        let caller = Caller::new(entries[index], "skippers");
        let method = method.clone();
        tasks.push(tokio::spawn(async move {
            let mut tally = Tally::default();
            while begin.elapsed() < span {
                let answer = call(&caller, &method).await;
                let is_refused = matches!(answer, Answer::Refused(_));
                tally.add(&answer, |text, _| text.contains("\"path\":\"/holds\""));
                if is_refused {
                    tokio::time::sleep(Duration::from_millis(50)).await;
                }
            }
            tally
        }));
    }
    let mut sum = Tally::default();
    for task in tasks {
        if let Ok(tally) = task.await {
            sum.merge(tally);
        }
    }
    sum
}

async fn call(caller: &Caller, method: &Method) -> Answer {
    let key =
        (*method == Method::POST).then(|| format!("hold-{}", KEYS.fetch_add(1, Ordering::Relaxed)));
    caller
        .service(method.clone(), "booking/holds", key.as_deref(), "berth 7")
        .await
}

/// No key ran twice, whichever instance ran it.
async fn check_runs(fleet: &Fleet) -> Result<(), Error> {
    let mut runs: std::collections::BTreeMap<String, u64> = Default::default();
    for member in &fleet.plan().upstreams {
        let value = plain::get(member.addr, "/runs").await?;
        for (key, count) in value.as_object().into_iter().flatten() {
            *runs.entry(key.clone()).or_default() += count.as_u64().unwrap_or_default();
        }
    }
    let doubled = runs.values().filter(|count| **count > 1).count();
    println!(
        "{}",
        json!({ "measure": "ledger", "keys_run": runs.len(), "keys_run_twice": doubled })
    );
    match doubled {
        0 => Ok(()),
        _ => Err(Error::Broken {
            detail: format!("{doubled} keys ran more than once"),
        }),
    }
}
