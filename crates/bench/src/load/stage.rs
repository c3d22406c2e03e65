//! A fleet whose engines serve one model, and the same engines without the system before them.

use std::{
    fs,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use arc_swap::ArcSwap;
use bytes::Bytes;
use domain::lists::Lists;
use fakes::engine::{stats::Stats, text};
use http::{Method, Request};
use http_body_util::{BodyExt, Full};
use hyper_util::{client::legacy::Client, rt::TokioExecutor};
use tokio::runtime::Runtime;

use crate::{
    error::Error,
    fleet::{Fleet, layout::Layout, lists::Builder},
    load::{
        client::{Caller, Chat},
        tally::Tally,
    },
};

/// The model that is served.
pub const MODEL: &str = "assistant";
/// The version that is served.
pub const VERSION: &str = "assistant@1";
/// The customer that calls.
pub const CUSTOMER: &str = "skippers";
/// The size of the version, in bytes.
const MODEL_BYTES: u64 = 1_000_000;
/// How long the rollout may take.
const ROLLOUT_LIMIT: Duration = Duration::from_secs(60);

/// A running fleet with its callers.
pub struct Stage {
    /// The fleet.
    pub fleet: Fleet,
    /// Where the calls are made.
    pub runtime: Runtime,
}

impl Stage {
    /// Starts a fleet and waits until every engine serves the model.
    ///
    /// # Errors
    ///
    /// If it could not be started or the rollout did not end.
    pub fn start(layout: Layout) -> Result<Self, Error> {
        let layout = layout.with_artifact(VERSION, MODEL_BYTES);
        let runtime = Runtime::new().map_err(Error::step("start a runtime"))?;
        let fleet = Fleet::start(&layout)?;
        let path = fleet.folder().join("lists.json");
        let text = serde_json::to_string(&lists()).map_err(Error::step("write lists"))?;
        fs::write(&path, text).map_err(Error::step("write lists"))?;
        let path = path.display().to_string();
        let ctl = fleet.ctl();
        ctl.run(&["lists", "apply", &path, "--edit-id", "first"])?
            .json()?;
        ctl.wait_for_ready(VERSION, ROLLOUT_LIMIT)?;
        Ok(Self { fleet, runtime })
    }

    /// A caller at each entry, in turn.
    pub fn system(&self) -> Arc<Ring> {
        Ring::new(self.fleet.caller_addrs(), MODEL)
    }

    /// A caller at each engine, in turn: the baseline.
    pub fn engines(&self) -> Arc<Ring> {
        Ring::new(self.engine_addrs(|_| true), VERSION)
    }

    /// The addresses of engines in the zones for which `is_wanted` holds.
    pub fn engine_addrs(&self, is_wanted: impl Fn(&str) -> bool) -> Vec<SocketAddr> {
        let members = self.fleet.plan().upstreams.iter();
        let engines = members.filter(|member| !member.is_service() && is_wanted(&member.zone));
        engines.map(|member| member.addr).collect()
    }

    /// The sums of what the engines at the addresses counted.
    ///
    /// # Errors
    ///
    /// If an engine does not answer.
    pub async fn stats(addrs: &[SocketAddr]) -> Result<Stats, Error> {
        let mut sum = Stats::default();
        for addr in addrs {
            let body = ask(*addr, Method::GET, "/stats", "").await?;
            let stats: Stats =
                serde_json::from_slice(&body).map_err(Error::step("read an engine's counts"))?;
            sum.started += stats.started;
            sum.overloads += stats.overloads;
            sum.prefix_blocks += stats.prefix_blocks;
            sum.prefix_hits += stats.prefix_hits;
        }
        Ok(sum)
    }

    /// Turns the engines at the addresses cold, as a restart does.
    ///
    /// # Errors
    ///
    /// If an engine does not answer.
    pub async fn chill(addrs: &[SocketAddr]) -> Result<(), Error> {
        for addr in addrs {
            ask(*addr, Method::POST, "/faults", r#"{"cold":true}"#).await?;
        }
        Ok(())
    }
}

fn lists() -> Lists {
    Builder::new()
        .with_plan("large", 1_000)
        .with_model(MODEL, &["1"])
        .with_customer(CUSTOMER, "large")
        .build()
}

async fn ask(
    addr: SocketAddr,
    method: Method,
    path: &str,
    body: &'static str,
) -> Result<Bytes, Error> {
    let step = || format!("ask http://{addr}{path}");
    let request = Request::builder()
        .method(method)
        .uri(format!("http://{addr}{path}"))
        .header("content-type", "application/json")
        .body(Full::new(Bytes::from_static(body.as_bytes())))
        .map_err(Error::step(step()))?;
    let client = Client::builder(TokioExecutor::new()).build_http::<Full<Bytes>>();
    let response = client.request(request).await.map_err(Error::step(step()))?;
    let body = response.into_body().collect().await;
    Ok(body.map_err(Error::step(step()))?.to_bytes())
}

/// Callers that take turns.
pub struct Ring {
    callers: ArcSwap<Vec<Caller>>,
    next: AtomicUsize,
    model: &'static str,
}

impl Ring {
    fn new(addrs: impl IntoIterator<Item = SocketAddr>, model: &'static str) -> Arc<Self> {
        let ring = Self {
            callers: ArcSwap::default(),
            next: AtomicUsize::new(0),
            model,
        };
        ring.set(addrs);
        Arc::new(ring)
    }

    /// From now on only these addresses take turns.
    pub fn set(&self, addrs: impl IntoIterator<Item = SocketAddr>) {
        let callers = addrs.into_iter().map(|addr| Caller::new(addr, CUSTOMER));
        self.callers.store(Arc::new(callers.collect()));
    }

    /// Makes one call and judges its answer.
    pub async fn call(&self, prompt: String, tokens: u32, is_stream: bool) -> Tally {
        let chat = match (Chat::new(self.model, prompt.as_str(), tokens), is_stream) {
            (chat, true) => chat.with_stream(),
            (chat, false) => chat,
        };
        let turn = self.next.fetch_add(1, Ordering::Relaxed);
        let caller = {
            let callers = self.callers.load();
            callers[turn % callers.len()].clone()
        };
        let answer = caller.chat(&chat).await;
        let mut tally = Tally::default();
        tally.add(&answer, |answer, model| {
            model == Some(VERSION) && answer == text::answer(VERSION, None, &prompt, tokens)
        });
        tally
    }
}
