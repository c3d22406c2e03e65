//! An agent at rest does nothing.

#![allow(clippy::unwrap_used)]

mod common;

use std::time::Duration;

use common::{Agent, Version, engine_settings, service_settings};
use fakes::{
    engine::{self, Engine},
    service::{self, Service},
};
use tokio::time;

const REST: Duration = Duration::from_millis(600);

/// Processor time of this process so far.
fn cpu() -> Duration {
    let tasks = std::fs::read_dir("/proc/self/task").unwrap();
    let nanos = tasks
        .filter_map(|task| std::fs::read_to_string(task.unwrap().path().join("schedstat")).ok())
        .filter_map(|line| line.split_whitespace().next()?.parse::<u64>().ok())
        .sum();
    Duration::from_nanos(nanos)
}

async fn rest(agent: &Agent) {
    time::sleep(REST).await;
    let site = agent.daemon().site();
    let mut lifecycles = site.lifecycles();
    let mut limits = site.gate.changes();
    lifecycles.mark_unchanged();
    limits.mark_unchanged();
    let before = cpu();
    time::sleep(REST).await;
    assert!(!lifecycles.has_changed().unwrap(), "woken without a change");
    assert!(!limits.has_changed().unwrap(), "woken without a change");
    // A task that never rests takes a whole core; this is far from both.
    let spent = cpu() - before;
    assert!(spent < REST / 4, "{spent:?} of {REST:?}");
}

#[tokio::test]
async fn an_agent_at_rest_wakes_nobody_up() {
    let config = engine::Config::default();
    let engine = Engine::start("127.51.7.1:0".parse().unwrap(), config).await;
    let engine = engine.unwrap();
    let agent = Agent::start(engine_settings(engine.addr())).await;
    let version = Version::new("sand", "3");
    agent.serve(&version).await;
    rest(&agent).await;
    drop(agent);
    let config = service::Config::default();
    let service = Service::start("127.51.7.2:0".parse().unwrap(), config).await;
    let service = service.unwrap();
    let agent = Agent::start(service_settings(service.addr())).await;
    agent.wait_alive().await;
    rest(&agent).await;
}
