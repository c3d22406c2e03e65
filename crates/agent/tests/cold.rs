//! A cold engine gets no more than it bears, whether it says so or not.

#![allow(clippy::unwrap_used)]

mod common;

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use common::{Agent, Call, Version, engine_settings, wait};
use fakes::engine::{self, Engine, fault};
use http::StatusCode;
use tokio::time;

const CALLERS: u64 = 24;
const COLD_LIMIT: u32 = 2;

fn config(report_lag: Duration) -> engine::Config {
    engine::Config {
        cold_limit: COLD_LIMIT,
        warm_after: 30,
        cold_factor: 8,
        token: Duration::from_millis(5),
        report_lag,
        ..engine::Config::default()
    }
}

/// Callers that send one call after the other.
struct Load {
    is_over: Arc<AtomicBool>,
    good: Arc<AtomicU64>,
    tasks: Vec<tokio::task::JoinHandle<()>>,
}

impl Load {
    async fn start(agent: &Agent, version: &Version) -> Self {
        let is_over = Arc::new(AtomicBool::new(false));
        let good = Arc::new(AtomicU64::new(0));
        let mut tasks = Vec::new();
        for caller in 0..CALLERS {
            let client = agent.client().await;
            let (is_over, good, id) = (is_over.clone(), good.clone(), version.id.clone());
            tasks.push(tokio::spawn(async move {
                let mut attempt = u128::from(caller) << 32;
                while !is_over.load(Ordering::Relaxed) {
                    attempt += 1;
                    let call = Call::model(attempt, &id, "tides?", 8);
                    let answer = client.send(call).await;
                    if answer.status == StatusCode::OK {
                        good.fetch_add(1, Ordering::Relaxed);
                    } else {
                        time::sleep(Duration::from_millis(20)).await;
                    }
                }
            }));
        }
        Self {
            is_over,
            good,
            tasks,
        }
    }

    fn good(&self) -> u64 {
        self.good.load(Ordering::Relaxed)
    }

    async fn stop(self) {
        self.is_over.store(true, Ordering::Relaxed);
        for task in self.tasks {
            task.await.unwrap();
        }
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_fresh_engine_is_warmed_up_without_an_overload() {
    let engine = Engine::start(
        "127.51.4.1:0".parse().unwrap(),
        config(Duration::from_millis(200)),
    )
    .await
    .unwrap();
    let agent = Agent::start(engine_settings(engine.addr())).await;
    let version = Version::new("sand", "3");
    agent.serve(&version).await;
    let load = Load::start(&agent, &version).await;
    let gate = agent.daemon().site().gate.clone();
    wait(|| gate.is_warm()).await;
    load.stop().await;
    assert_eq!(engine.stats().overloads, 0);
    assert!(engine.stats().peak > u64::from(COLD_LIMIT));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_engine_that_restarts_under_load_is_not_overloaded() {
    let addr = "127.51.4.2:7100".parse().unwrap();
    let mut engine = Engine::start(addr, config(Duration::from_millis(200)))
        .await
        .unwrap();
    let agent = Agent::start(engine_settings(addr)).await;
    let version = Version::new("sand", "3");
    agent.serve(&version).await;
    let load = Load::start(&agent, &version).await;
    let gate = agent.daemon().site().gate.clone();
    for _ in 0..2 {
        wait(|| gate.is_warm()).await;
        engine.stop().await;
        engine = Engine::start(addr, config(Duration::from_millis(200)))
            .await
            .unwrap();
        let before = load.good();
        wait(|| load.good() > before + 20).await;
        assert_eq!(engine.stats().overloads, 0);
    }
    load.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_engine_that_turns_cold_without_warning_is_not_overloaded() {
    // Its reports never say so in time.
    let engine = Engine::start(
        "127.51.4.3:0".parse().unwrap(),
        config(Duration::from_secs(2)),
    )
    .await
    .unwrap();
    let agent = Agent::start(engine_settings(engine.addr())).await;
    let version = Version::new("sand", "3");
    agent.serve(&version).await;
    let load = Load::start(&agent, &version).await;
    let gate = agent.daemon().site().gate.clone();
    for _ in 0..2 {
        wait(|| gate.is_warm()).await;
        engine.make(&fault::Request {
            cold: true,
            ..fault::Request::default()
        });
        wait(|| gate.load().limit == COLD_LIMIT).await;
        let before = load.good();
        wait(|| load.good() > before + 10).await;
        assert_eq!(engine.stats().overloads, 0);
    }
    load.stop().await;
}
