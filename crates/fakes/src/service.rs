//! A stand-in for a plain service: look-ups by GET, calls that may not be repeated by the rest.
//!
//! It counts every run by its `Idempotency-Key` and makes no attempt to run a key only once, so
//! that a second run shows. See `docs/CONTRACTS.md`, "Agent → plain service".

use std::{
    collections::{BTreeMap, VecDeque},
    io,
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use bytes::Bytes;
use domain::{digest::Digest, header};
use futures::future::BoxFuture;
use http::{HeaderValue, Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::time;

use crate::server::{self, Body, Cut, Handler, Running};

/// The key under which runs without an `Idempotency-Key` are counted.
pub const NO_KEY: &str = "";

/// What goes wrong with one call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum Fault {
    /// The connection ends before the call runs.
    CutBeforeRun,
    /// The call runs, and the connection ends before the answer's head.
    CutAfterRun,
    /// The call runs, and half of the answer comes.
    Half,
    /// The call runs, and the answer comes late.
    Late {
        /// By how much, in milliseconds.
        ms: u64,
    },
    /// The call runs, and the answer never comes on the open connection.
    Freeze,
    /// The call runs and fails with this status.
    Error {
        /// The HTTP status.
        status: u16,
    },
    /// The call does not run and is refused with 503.
    Refuse,
    /// The call runs, and the answer bears another call's id.
    Crossed,
    /// The call runs, and the answer bears no id.
    NoEcho,
}

/// The body of `POST /faults`. What is left out stays as it is.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// Ends the process.
    pub crash: bool,
    /// Faults of the next calls, one each; `null` lets a call pass.
    pub next: Vec<Option<Fault>>,
}

/// How often each key ran.
pub type Runs = BTreeMap<String, u64>;

/// What the service is like.
#[derive(Clone, Debug)]
pub struct Config {
    /// The name that its answers bear.
    pub name: String,
    /// How long a call takes.
    pub work: Duration,
    /// Whether a crash on request ends the whole process.
    pub exits_on_crash: bool,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            name: "booking".to_owned(),
            work: Duration::from_millis(5),
            exits_on_crash: false,
        }
    }
}

struct Core {
    config: Config,
    inner: Mutex<Inner>,
}

#[derive(Default)]
struct Inner {
    runs: Runs,
    attempts: Runs,
    next: VecDeque<Option<Fault>>,
}

/// A running service. Dropping it cuts every connection, as a crash does.
pub struct Service {
    core: Arc<Core>,
    server: Running,
}

impl Service {
    /// Starts a service; port 0 takes a free one.
    ///
    /// # Errors
    ///
    /// If the address can't be had.
    pub async fn start(addr: SocketAddr, config: Config) -> io::Result<Self> {
        let core = Arc::new(Core {
            config,
            inner: Mutex::default(),
        });
        let server = Running::start(addr, Arc::new(Api(core.clone()))).await?;
        Ok(Self { core, server })
    }

    /// Where it listens.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// How often each key ran.
    pub fn runs(&self) -> Runs {
        self.core.inner.lock().runs.clone()
    }

    /// How often each attempt ran, look-ups too.
    pub fn attempts(&self) -> Runs {
        self.core.inner.lock().attempts.clone()
    }

    /// Makes faults, as `POST /faults` does.
    pub fn make(&self, faults: Faults) {
        self.core.inner.lock().next.extend(faults.next);
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
    match (request.method(), request.uri().path()) {
        (&Method::GET, "/runs") => Ok(server::json(StatusCode::OK, &core.inner.lock().runs)),
        (&Method::GET, "/attempts") => {
            Ok(server::json(StatusCode::OK, &core.inner.lock().attempts))
        }
        (&Method::POST, "/faults") => Ok(match server::read_json::<Faults>(request).await {
            Ok(faults) if faults.crash && core.config.exits_on_crash => std::process::exit(1),
            Ok(faults) => {
                core.inner.lock().next.extend(faults.next);
                server::json(StatusCode::OK, &json!({}))
            }
            Err(refusal) => *refusal,
        }),
        _ => run(core, request).await,
    }
}

async fn run(core: Arc<Core>, request: Request<Incoming>) -> Result<Response<Body>, Cut> {
    let (head, body) = request.into_parts();
    let text = |name| {
        let value = head.headers.get(name)?;
        Some(value.to_str().ok()?.to_owned())
    };
    let attempt = text(header::ATTEMPT);
    let key = text(header::IDEMPOTENCY_KEY);
    let fault = core.inner.lock().next.pop_front().flatten();
    // A call whose body never arrived whole does not run.
    let body = body.collect().await.map_err(|_| Cut)?.to_bytes();
    match fault {
        Some(Fault::CutBeforeRun) => return Err(Cut),
        Some(Fault::Refuse) => {
            return Ok(server::error(StatusCode::SERVICE_UNAVAILABLE, "refused"));
        }
        _ => {}
    }
    let is_look_up = matches!(head.method, Method::GET | Method::HEAD);
    let runs = core.count(is_look_up, key.as_deref(), attempt.as_deref());
    time::sleep(core.config.work).await;
    let mut status = StatusCode::OK;
    match fault {
        Some(Fault::CutAfterRun) => return Err(Cut),
        Some(Fault::Freeze) => std::future::pending().await,
        Some(Fault::Late { ms }) => time::sleep(Duration::from_millis(ms)).await,
        Some(Fault::Error { status: code }) => {
            status = StatusCode::from_u16(code).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        }
        _ => {}
    }
    let value = json!({
        "service": core.config.name,
        "path": head.uri.path(),
        "query": head.uri.query(),
        "body": Digest::of(&body),
        "runs": runs,
    });
    let mut response = server::json(status, &value);
    if fault == Some(Fault::Half) {
        let bytes = serde_json::to_vec(&value).unwrap_or_default();
        let half = Bytes::copy_from_slice(&bytes[..bytes.len() / 2]);
        *response.body_mut() = half_body(half);
        let length = HeaderValue::from(bytes.len());
        response
            .headers_mut()
            .insert(http::header::CONTENT_LENGTH, length);
    }
    let echo = match fault {
        Some(Fault::Crossed) => Some("0000000000000000000000000000f00d".to_owned()),
        Some(Fault::NoEcho) => None,
        _ => attempt,
    };
    if let Some(value) = echo.and_then(|echo| HeaderValue::from_str(&echo).ok()) {
        response.headers_mut().insert(header::ATTEMPT, value);
    }
    Ok(response)
}

/// The first half of a body, then the end of the connection.
fn half_body(half: Bytes) -> Body {
    let parts = [Ok(Frame::data(half)), Err(Cut)];
    StreamBody::new(futures::stream::iter(parts)).boxed()
}

impl Core {
    fn count(&self, is_look_up: bool, key: Option<&str>, attempt: Option<&str>) -> u64 {
        let mut inner = self.inner.lock();
        if let Some(attempt) = attempt {
            *inner.attempts.entry(attempt.to_owned()).or_default() += 1;
        }
        if is_look_up {
            return 0;
        }
        let runs = inner
            .runs
            .entry(key.unwrap_or(NO_KEY).to_owned())
            .or_default();
        *runs += 1;
        *runs
    }
}
