//! `gypsum-bench agent`: what one agent costs by call, by waiting call and at rest.

use std::{fs, net::SocketAddr, time::Duration};

use bytes::Bytes;
use clap::{ArgMatches, Command};
use domain::{call::Attempt, header};
use http::{Method, Request};
use http_body_util::{BodyExt, Full};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde_json::{Value, json};
use tokio::{task::JoinSet, time};

use crate::{
    error::Error,
    fleet::{Fleet, layout::Layout, lists::Builder},
    load::setup,
};

const MODEL: &str = "assistant";
const VERSION: &str = "assistant@1";
const MODEL_BYTES: u64 = 1_000_000;
/// How long the agent is watched at rest.
const REST: Duration = Duration::from_secs(10);
/// Calls of each kind whose processor time is measured.
const CALLS: u64 = 4_000;
/// Callers at once meanwhile.
const CALLERS: u64 = 8;
/// Calls that run or wait while memory is read.
const HELD: u64 = 1_000;
/// The size of their bodies, in bytes.
const HELD_BODY_BYTES: usize = 1_024;

/// The arguments.
pub fn command() -> Command {
    Command::new("agent").about("Processor time and memory of one agent")
}

/// Runs the measurement and prints one JSON object per line.
///
/// # Errors
///
/// If it could not be run to its end.
pub fn run(_: &ArgMatches) -> Result<(), Error> {
    let runtime = tokio::runtime::Runtime::new().map_err(Error::step("start the runtime"))?;
    let gate = json!({
        "gate": { "cold_limit": 64, "warm_limit": 64, "queue_calls": 1_024, "progress_timeout_ms": 60_000 }
    });
    let layout = Layout::new(1)
        .with_service("booking", 1)
        .with_artifact(VERSION, MODEL_BYTES)
        .with_settings("agent", gate)
        .with_engine_args(&[
            "--warm-after",
            "0",
            "--token-us",
            "0",
            "--batch",
            "64",
            // A prompt that is not cached is read for longer than memory is watched.
            "--block-us",
            "4000000",
        ]);
    let fleet = Fleet::start(&layout)?;
    let lists = Builder::new()
        .with_plan("large", 700)
        .with_model(MODEL, &["1"])
        .with_service("booking")
        .with_customer("skippers", "large")
        .build();
    setup::apply(&fleet, &lists, &[VERSION])?;
    setup::settle();
    runtime.block_on(measure(&fleet))
}

async fn measure(fleet: &Fleet) -> Result<(), Error> {
    let secret = fs::read_to_string(fleet.folder().join("secret"));
    let secret = secret.map_err(Error::step("read the secret"))?;
    let agents = &fleet.plan().agents;
    let (engine, service) = (
        Probe::new(agents[0].addr, &secret),
        Probe::new(agents[1].addr, &secret),
    );
    let (engine_id, service_id) = (fleet.agents[0].id(), fleet.agents[1].id());
    for (kind, id) in [("engine", engine_id), ("service", service_id)] {
        let before = cpu(id);
        time::sleep(REST).await;
        let spent = (cpu(id) - before).as_secs_f64() / REST.as_secs_f64();
        print(json!({ "kind": kind, "idle_core_percent": spent * 100.0, "rss_bytes": rss(id) }));
    }
    for tokens in [1, 16, 128] {
        let micros = engine.cost_of(engine_id, Kind::Model { tokens }).await;
        print(json!({ "kind": "model", "tokens": tokens, "cpu_us_per_call": micros }));
    }
    let micros = service.cost_of(service_id, Kind::LookUp).await;
    print(json!({ "kind": "look-up", "cpu_us_per_call": micros }));
    let micros = service.cost_of(service_id, Kind::Once).await;
    print(json!({ "kind": "once", "cpu_us_per_call": micros }));
    engine.hold_many(engine_id).await;
    Ok(())
}

fn print(mut line: Value) {
    line["measure"] = "agent".into();
    println!("{line}");
}

/// Calls an agent as an entry does.
#[derive(Clone)]
struct Probe {
    client: Client<HttpConnector, Full<Bytes>>,
    addr: SocketAddr,
    secret: String,
}

type Call = Request<Full<Bytes>>;

/// What is asked.
#[derive(Clone, Copy, Debug)]
enum Kind {
    /// A stream of so many tokens.
    Model {
        /// How many.
        tokens: u32,
    },
    /// A call of a service that may be repeated.
    LookUp,
    /// One that may not.
    Once,
}

impl Probe {
    fn new(addr: SocketAddr, secret: &str) -> Self {
        Self {
            client: Client::builder(TokioExecutor::new())
                .http2_only(true)
                .build(HttpConnector::new()),
            addr,
            secret: secret.to_owned(),
        }
    }

    /// Processor time of the agent per call, in microseconds.
    async fn cost_of(&self, id: u32, kind: Kind) -> f64 {
        let run = |calls: u64| async move {
            let mut callers = JoinSet::new();
            for caller in 0..CALLERS {
                let probe = self.clone();
                callers.spawn(async move {
                    for n in 0..calls / CALLERS {
                        probe.send(probe.call(kind, caller << 32 | n)).await;
                    }
                });
            }
            callers.join_all().await;
        };
        run(CALLS / 10).await;
        let before = cpu(id);
        run(CALLS).await;
        (cpu(id) - before).as_secs_f64() * 1e6 / CALLS as f64
    }

    /// Memory per call that runs or waits.
    async fn hold_many(&self, id: u32) {
        let before = rss(id);
        let mut calls = JoinSet::new();
        for n in 0..HELD {
            let probe = self.clone();
            calls.spawn(async move { probe.send(probe.long(n)).await });
        }
        time::sleep(Duration::from_secs(3)).await;
        let after = rss(id);
        let per_call = (after.saturating_sub(before)) as f64 / HELD as f64;
        let still = calls.len();
        print(
            json!({ "kind": "held", "calls": still, "body_bytes": HELD_BODY_BYTES, "bytes_per_call": per_call }),
        );
        calls.abort_all();
    }

    /// Sends a call and says whether it was answered whole.
    async fn send(&self, call: Option<Call>) -> bool {
        let Some(call) = call else { return false };
        let Ok(response) = self.client.request(call).await else {
            return false;
        };
        let is_good = response.status().is_success();
        response.into_body().collect().await.is_ok() && is_good
    }

    fn call(&self, kind: Kind, n: u64) -> Option<Call> {
        match kind {
            Kind::Model { tokens } => self.chat(n, tokens, "tides?"),
            Kind::LookUp => self.look_up(n),
            Kind::Once => self.hold(n),
        }
    }

    fn long(&self, n: u64) -> Option<Call> {
        // Each prompt begins in another way, so that none is cached.
        self.chat(
            n,
            1,
            &format!("{n:016}{}", "x".repeat(HELD_BODY_BYTES - 16)),
        )
    }

    fn chat(&self, n: u64, tokens: u32, prompt: &str) -> Option<Call> {
        let body = json!({
            "messages": [{ "role": "user", "content": prompt }],
            "max_tokens": tokens, "stream": true,
        });
        let request = self.request(n, Method::POST, "/v1/chat/completions");
        let request = request.header(header::MODEL, VERSION);
        request.body(Full::new(body.to_string().into())).ok()
    }

    fn look_up(&self, n: u64) -> Option<Call> {
        let request = self.request(n, Method::GET, "/v1/services/booking/tides");
        request.body(Full::default()).ok()
    }

    fn hold(&self, n: u64) -> Option<Call> {
        let request = self.request(n, Method::POST, "/v1/services/booking/holds");
        let request = request.header(header::ONCE_KEY, format!("hold-{n}"));
        request.body(Full::new("berth 7".into())).ok()
    }

    fn request(&self, n: u64, method: Method, path: &str) -> http::request::Builder {
        Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.addr))
            .header("authorization", format!("Bearer {}", self.secret))
            .header(
                header::ATTEMPT,
                Attempt::from(u128::from(n) + 1).to_string(),
            )
            .header(header::CUSTOMER, "skippers")
            .header(header::DEADLINE_MS, "60000")
    }
}

/// Processor time of all threads of a process.
fn cpu(id: u32) -> Duration {
    let tasks = fs::read_dir(format!("/proc/{id}/task"));
    let nanos = tasks
        .into_iter()
        .flatten()
        .flatten()
        .filter_map(|task| fs::read_to_string(task.path().join("schedstat")).ok())
        .filter_map(|line| line.split_whitespace().next()?.parse::<u64>().ok())
        .sum();
    Duration::from_nanos(nanos)
}

/// Resident memory of a process, in bytes.
fn rss(id: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
    kilobytes.unwrap_or_default() * 1_024
}
