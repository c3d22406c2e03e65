//! Live calls beside the transfer, and how much longer they take while it runs.
//!
//! Loopback has no rate, so a VM's link is a queue in front of each call: what the agent sends and
//! receives fills it, the link's rate drains it, and a call waits for what stands before it.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use axum::{Router, routing::get};
use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper_util::{client::legacy::Client, rt::TokioExecutor};
use parking_lot::Mutex;
use tokio::{net::TcpListener, task::JoinHandle, time};

use crate::error::Error;

/// How long the stand-in upstream takes for a call.
const SERVICE_TIME: Duration = Duration::from_millis(50);
/// The length of an answer.
const ANSWER_BYTES: usize = 2_048;
/// The pause between two calls to the same VM.
const PAUSE: Duration = Duration::from_millis(20);
/// How often the queue of a link is brought up to date.
const SAMPLE: Duration = Duration::from_millis(2);
/// How long a call may take.
const CALL_LIMIT: Duration = Duration::from_secs(5);

/// What the calls saw.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Calls {
    pub(super) count: u64,
    pub(super) failed: u64,
    pub(super) p95_ratio: f64,
}

/// One direction of a VM's link as calls meet it.
#[derive(Debug)]
pub(super) struct Link {
    bytes_per_s: u64,
    free_at: Mutex<Instant>,
    seen: AtomicU64,
}

impl Link {
    fn new(bytes_per_s: u64) -> Self {
        Self {
            bytes_per_s,
            free_at: Mutex::new(Instant::now()),
            seen: AtomicU64::new(0),
        }
    }

    /// The weights' counter stands at `total`; what is new joins the queue.
    fn advance(&self, total: u64) {
        let before = self.seen.swap(total, Ordering::Relaxed);
        let span = self.span(total.saturating_sub(before));
        let mut free_at = self.free_at.lock();
        *free_at = (*free_at).max(Instant::now()) + span;
    }

    fn span(&self, bytes: u64) -> Duration {
        Duration::from_secs_f64(bytes as f64 / self.bytes_per_s.max(1) as f64)
    }

    async fn pass(&self, bytes: usize) {
        let at = {
            let mut free_at = self.free_at.lock();
            let start = (*free_at).max(Instant::now());
            *free_at = start + self.span(bytes as u64);
            *free_at
        };
        time::sleep_until(at.into()).await;
    }
}

/// The counters of a VM's weights: bytes received and bytes sent.
pub(super) type Counters = Arc<dyn Fn() -> (u64, u64) + Send + Sync>;

/// The calls of one VM.
struct Caller {
    addr: SocketAddr,
    down: Link,
    up: Link,
    counters: Counters,
    is_rolling_out: Arc<AtomicBool>,
    is_ending: Arc<AtomicBool>,
}

/// Calls to a few VMs, which run until [`Load::end`].
pub(super) struct Load {
    is_rolling_out: Arc<AtomicBool>,
    is_ending: Arc<AtomicBool>,
    tasks: Vec<JoinHandle<Samples>>,
    helpers: Vec<JoinHandle<()>>,
}

#[derive(Default)]
struct Samples {
    quiet: Vec<Duration>,
    busy: Vec<Duration>,
    failed: u64,
}

impl Load {
    /// Starts calls to one VM for each of the counters.
    pub(super) async fn start(
        addr: SocketAddr,
        bytes_per_s: u64,
        counters: Vec<Counters>,
    ) -> Result<Self, Error> {
        let listener = TcpListener::bind(addr)
            .await
            .map_err(Error::step("listen for live calls"))?;
        let addr = listener
            .local_addr()
            .map_err(Error::step("listen for live calls"))?;
        let router = Router::new().route(
            "/",
            get(|| async {
                time::sleep(SERVICE_TIME).await;
                vec![b'x'; ANSWER_BYTES]
            }),
        );
        let mut helpers = vec![tokio::spawn(async move {
            // It ends only with the task.
            let _ = axum::serve(listener, router).await;
        })];
        let is_rolling_out = Arc::new(AtomicBool::new(false));
        let is_ending = Arc::new(AtomicBool::new(false));
        let mut tasks = Vec::new();
        for counters in counters {
            let caller = Arc::new(Caller {
                addr,
                down: Link::new(bytes_per_s),
                up: Link::new(bytes_per_s),
                counters,
                is_rolling_out: is_rolling_out.clone(),
                is_ending: is_ending.clone(),
            });
            helpers.push(tokio::spawn(caller.clone().sample()));
            tasks.push(tokio::spawn(caller.run()));
        }
        Ok(Self {
            is_rolling_out,
            is_ending,
            tasks,
            helpers,
        })
    }

    /// From now on calls count as beside the transfer.
    pub(super) fn begin_rollout(&self) {
        self.is_rolling_out.store(true, Ordering::Relaxed);
    }

    /// Ends the calls.
    pub(super) async fn end(self) -> Calls {
        self.is_ending.store(true, Ordering::Relaxed);
        let mut all = Samples::default();
        for task in self.tasks {
            if let Ok(samples) = task.await {
                all.quiet.extend(samples.quiet);
                all.busy.extend(samples.busy);
                all.failed += samples.failed;
            }
        }
        self.helpers.iter().for_each(JoinHandle::abort);
        Calls {
            count: (all.quiet.len() + all.busy.len()) as u64 + all.failed,
            failed: all.failed,
            p95_ratio: p95(&mut all.busy) / p95(&mut all.quiet).max(f64::MIN_POSITIVE),
        }
    }
}

impl Caller {
    async fn sample(self: Arc<Self>) {
        let mut tick = time::interval(SAMPLE);
        loop {
            tick.tick().await;
            let (received, sent) = (self.counters)();
            self.down.advance(received);
            self.up.advance(sent);
        }
    }

    async fn run(self: Arc<Self>) -> Samples {
        let client = Client::builder(TokioExecutor::new()).build_http::<Empty<Bytes>>();
        let mut samples = Samples::default();
        while !self.is_ending.load(Ordering::Relaxed) {
            let is_busy = self.is_rolling_out.load(Ordering::Relaxed);
            let started = Instant::now();
            match time::timeout(CALL_LIMIT, self.call(&client)).await {
                Ok(Some(ANSWER_BYTES)) if is_busy => samples.busy.push(started.elapsed()),
                Ok(Some(ANSWER_BYTES)) => samples.quiet.push(started.elapsed()),
                _ => samples.failed += 1,
            }
            time::sleep(PAUSE).await;
        }
        samples
    }

    async fn call(
        &self,
        client: &Client<hyper_util::client::legacy::connect::HttpConnector, Empty<Bytes>>,
    ) -> Option<usize> {
        let uri = format!("http://{}/", self.addr).parse().ok()?;
        self.down.pass(ANSWER_BYTES).await;
        let answer = client.get(uri).await.ok()?;
        let body = answer.into_body().collect().await.ok()?.to_bytes();
        self.up.pass(body.len()).await;
        Some(body.len())
    }
}

fn p95(samples: &mut [Duration]) -> f64 {
    samples.sort_unstable();
    let place = (samples.len() * 95).div_ceil(100).saturating_sub(1);
    samples.get(place).map_or(0.0, Duration::as_secs_f64)
}
