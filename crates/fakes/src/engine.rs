//! A stand-in for a model engine.
//!
//! It batches calls by priority, streams tokens that follow from the prompt and the version, caches
//! prompt prefixes, carries out orders after it has checked the files, bears little while it is
//! cold, and makes faults on request. See `docs/CONTRACTS.md`, "Agent → engine".

pub mod batch;
mod call;
mod core;
pub mod fault;
pub mod prefix;
pub mod stats;
pub mod store;
pub mod text;
pub mod warmth;

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use futures::future::BoxFuture;
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use serde_json::json;
use tokio::time::{self, Instant};

use self::core::Core;
pub use self::core::State;
use crate::server::{self, Body, Cut, Handler, Running};

/// What the engine is like.
#[derive(Clone, Debug)]
pub struct Config {
    /// Whether it refuses orders with an old fencing number.
    pub checks_fencing: bool,
    /// How many calls run at once; the rest wait by priority.
    pub batch: usize,
    /// How many calls it bears while it is cold.
    pub cold_limit: u32,
    /// How many good calls make it warm; 0 starts it warm.
    pub warm_after: u32,
    /// How many times slower a cold engine is.
    pub cold_factor: u32,
    /// How long an overload keeps it down.
    pub recovery: Duration,
    /// How long one token takes.
    pub token: Duration,
    /// How long one uncached block of the prompt takes before the first token.
    pub block: Duration,
    /// How many blocks of prompts the cache keeps.
    pub cache_blocks: usize,
    /// How long a load order takes.
    pub load: Duration,
    /// How old the figures of `GET /state` may be.
    pub report_lag: Duration,
    /// Whether a crash on request ends the whole process.
    pub exits_on_crash: bool,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            checks_fencing: false,
            batch: 16,
            cold_limit: 2,
            warm_after: 8,
            cold_factor: 5,
            recovery: Duration::from_secs(2),
            token: Duration::from_millis(2),
            block: Duration::from_micros(200),
            cache_blocks: 4_096,
            load: Duration::from_millis(50),
            report_lag: Duration::from_millis(200),
            exits_on_crash: false,
        }
    }
}

/// A running engine. Dropping it cuts every connection, as a crash does.
pub struct Engine {
    core: Arc<Core>,
    server: Running,
}

impl Engine {
    /// Starts an engine; port 0 takes a free one.
    ///
    /// # Errors
    ///
    /// If the address can't be had.
    pub async fn start(addr: SocketAddr, config: Config) -> io::Result<Self> {
        let core = Core::new(config);
        let server = Running::start(addr, Arc::new(Api(core.clone()))).await?;
        Ok(Self { core, server })
    }

    /// Where it listens.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Its state, with the lag of its reports.
    pub fn state(&self) -> State {
        self.core.state()
    }

    /// Its counts.
    pub fn stats(&self) -> stats::Stats {
        self.core.lock().stats.clone()
    }

    /// How often each attempt was started.
    pub fn runs(&self) -> stats::Runs {
        self.core.lock().runs.clone()
    }

    /// Serves a version without files and orders.
    pub fn serve(&self, artifact: domain::artifact::Id, digest: domain::digest::Digest) {
        self.core.lock().store.serving.insert(artifact, digest);
    }

    /// Makes faults, as `POST /faults` does.
    pub fn make(&self, request: &fault::Request) {
        self.core.make(request);
    }

    /// Cuts every connection and frees the address.
    pub async fn stop(self) {
        self.server.stop().await;
    }

    /// Serves until the process ends.
    pub async fn wait(self) {
        self.server.wait().await;
    }
}

impl Core {
    fn make(&self, request: &fault::Request) {
        if request.crash && self.config.exits_on_crash {
            std::process::exit(1);
        }
        if let Some(ms) = request.freeze_ms {
            let until = Instant::now() + Duration::from_millis(ms);
            self.frozen_until.send_replace(Some(until));
        }
        let mut inner = self.lock();
        if request.cold {
            inner.warmth.chill();
        }
        inner.plan.add(request);
    }

    fn cancel(&self, attempt: &str) -> StatusCode {
        match self.lock().cancels.get(attempt) {
            Some(cancel) => {
                cancel.send_replace(true);
                StatusCode::NO_CONTENT
            }
            None => StatusCode::NOT_FOUND,
        }
    }

    async fn order(&self, request: store::Request) -> Response<Body> {
        let is_stale = {
            let mut inner = self.lock();
            let is_stale = request.fence < inner.store.fence;
            if is_stale && self.config.checks_fencing {
                inner.stats.fenced += 1;
                return server::json(StatusCode::CONFLICT, &inner.store.fence);
            }
            inner.store.fence = inner.store.fence.max(request.fence);
            is_stale
        };
        let result = self.carry_out(request).await;
        let mut inner = self.lock();
        match result {
            Ok(()) => {
                inner.stats.orders += 1;
                inner.stats.stale_orders += u64::from(is_stale);
                server::json(StatusCode::OK, &json!({}))
            }
            Err(detail) => {
                inner.stats.bad_loads += 1;
                server::error(StatusCode::UNPROCESSABLE_ENTITY, &detail)
            }
        }
    }

    async fn carry_out(&self, request: store::Request) -> Result<(), String> {
        use domain::order::Order;
        match request.order.clone() {
            Order::Load(artifact) => {
                time::sleep(self.config.load).await;
                if self.lock().plan.fails_loads {
                    return Err("load fails on request".to_owned());
                }
                let wanted = artifact.clone();
                let checked =
                    tokio::task::spawn_blocking(move || store::check(&wanted, &request)).await;
                let digest = checked
                    .map_err(|error| error.to_string())?
                    .map_err(|error| error.to_string())?;
                self.lock().store.serving.insert(artifact, digest);
            }
            Order::Unload(artifact) => {
                self.lock().store.serving.remove(&artifact);
            }
            Order::Role(role) => self.lock().store.role = role,
        }
        Ok(())
    }
}

struct Api(Arc<Core>);

impl Handler for Api {
    fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> BoxFuture<'static, Result<Response<Body>, Cut>> {
        Box::pin(route(self.0.clone(), request))
    }
}

async fn route(core: Arc<Core>, request: Request<Incoming>) -> Result<Response<Body>, Cut> {
    let path = request.uri().path().to_owned();
    if path != "/faults" {
        core.thaw().await;
    }
    let method = request.method().clone();
    match (&method, path.as_str()) {
        (&Method::POST, "/v1/chat/completions") => call::run(core, request).await,
        (&Method::DELETE, path) => Ok(match path.strip_prefix("/v1/requests/") {
            Some(attempt) => server::json(core.cancel(attempt), &json!({})),
            None => server::error(StatusCode::NOT_FOUND, "no such path"),
        }),
        (&Method::GET, "/state") => Ok(server::json(StatusCode::OK, &core.state())),
        (&Method::GET, "/stats") => Ok(server::json(StatusCode::OK, &core.lock().stats)),
        (&Method::GET, "/runs") => Ok(server::json(StatusCode::OK, &core.lock().runs)),
        (&Method::POST, "/orders") => Ok(match server::read_json(request).await {
            Ok(order) => core.order(order).await,
            Err(refusal) => *refusal,
        }),
        (&Method::POST, "/faults") => Ok(match server::read_json(request).await {
            Ok(faults) => {
                core.make(&faults);
                server::json(StatusCode::OK, &json!({}))
            }
            Err(refusal) => *refusal,
        }),
        _ => Ok(server::error(StatusCode::NOT_FOUND, "no such path")),
    }
}
