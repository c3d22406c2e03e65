//! An entry on loopback with a feed and a ledger that are handed in, before agents that make faults.

#![allow(dead_code, unreachable_pub, clippy::unwrap_used)]

pub mod agent;
pub mod caller;
pub mod control;

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, atomic::AtomicU64},
    time::Duration,
};

use ::caller::listener::{Limits, Listener};
use domain::{clock::Clock, name};
use entry::{
    api,
    meters::Meters,
    shared::{Config, Parts, Shared},
};
use host::clock::Boot;
use policy::router;
use telemetry::metrics::Metrics;
use tokio::{net::TcpListener, task::JoinHandle};
use tokio_util::sync::CancellationToken;

use self::control::Fake;

pub const SECRET: &str = "between-us";
pub const KEY: &str = "caller-key";
pub const ADDR: &str = "127.40.0.1:0";

/// Gives each test's entry another seed, the same in each run.
static SEED: AtomicU64 = AtomicU64::new(20_261_204);

pub struct Options {
    pub config: Config,
    pub retry_percent: u32,
    pub max_calls: usize,
    pub stall: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            config: Config {
                max_feed_age: Duration::from_secs(5),
                max_call: Duration::from_secs(4),
                progress_timeout: Duration::from_millis(300),
                max_body_bytes: 64 * 1024,
                services: BTreeMap::new(),
            },
            retry_percent: 100,
            max_calls: 1_000,
            stall: Duration::from_millis(300),
        }
    }
}

pub struct Entry {
    pub addr: SocketAddr,
    pub shared: Arc<Shared>,
    pub close: CancellationToken,
    pub cut: CancellationToken,
    pub metrics: Metrics,
    pub serving: JoinHandle<()>,
}

pub async fn entry(control: &Arc<Fake>) -> Entry {
    entry_with(control, Options::default()).await
}

pub async fn entry_with(control: &Arc<Fake>, options: Options) -> Entry {
    let metrics = Metrics::new().unwrap();
    let shared = Shared::new(Parts {
        control: control.clone(),
        clock: Arc::new(Boot) as Arc<dyn Clock>,
        config: options.config,
        router: router::Config {
            vm: name::Vm::new("entry-1"),
            zone: name::AvailabilityZone::new("saldanha"),
            region: name::Region::new("western-cape"),
            subset_size: 32,
        },
        retry_percent: options.retry_percent,
        max_calls: options.max_calls,
        secret: SECRET.into(),
        meters: Meters::new(&metrics.meter("entry")),
        logger: telemetry::log::discard(),
        seed: SEED.fetch_add(1, std::sync::atomic::Ordering::Relaxed),
    })
    .unwrap();
    let limits = Limits {
        head: Duration::from_millis(500),
        stall: options.stall,
        connections: 1_000,
    };
    let socket = TcpListener::bind(ADDR).await.unwrap();
    let listener = Listener::new(socket, api::router(shared.clone()), limits);
    let addr = listener.addr().unwrap();
    let (close, cut) = (CancellationToken::new(), CancellationToken::new());
    let serving = tokio::spawn(listener.run(close.clone(), cut.clone()));
    Entry {
        addr,
        shared,
        close,
        cut,
        metrics,
        serving,
    }
}

/// Waits until `is_met`, with a limit that only a hanging test reaches.
pub async fn until(what: &str, is_met: impl Fn() -> bool) {
    let begin = std::time::Instant::now();
    while !is_met() {
        assert!(begin.elapsed() < Duration::from_secs(20), "never: {what}");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}
