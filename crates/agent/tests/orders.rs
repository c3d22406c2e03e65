//! Orders to engines: which check fencing numbers, and which ignore them.

#![allow(clippy::unwrap_used)]

mod common;

use std::time::Duration;

use agent::memory::Memory;
use common::{Agent, Call, Version, engine_settings, wait};
use domain::{
    call::Outcome,
    order::Fence,
    record::{Delta, Key},
    rollout::{Stage, rank},
    vm::Holding,
};
use fakes::engine::{self, Engine, fault};
use http::StatusCode;
use tokio::time;

/// Longer than the agent takes to look at everything again.
const SETTLE: Duration = Duration::from_millis(700);

async fn engine(checks_fencing: bool) -> Engine {
    let config = engine::Config {
        checks_fencing,
        ..engine::Config::default()
    };
    Engine::start("127.51.5.1:0".parse().unwrap(), config)
        .await
        .unwrap()
}

fn holding(agent: &Agent, version: &Version) -> Option<Holding> {
    let vm = agent.presence.borrow().clone()?;
    vm.status.holdings.get(&version.id).cloned()
}

#[tokio::test]
async fn a_version_is_loaded_in_its_wave_and_reported_step_by_step() {
    let engine = engine(true).await;
    let agent = Agent::start(engine_settings(engine.addr())).await;
    let version = Version::new("sand", "3");
    let own = rank(&"upstream-1".into(), &version.id);
    agent.feed.set(vec![version.rollout(Stage::Prefetch, 1)]);
    wait(|| agent.depot.wanted.lock().contains_key(&version.id)).await;
    wait(|| holding(&agent, &version) == Some(Holding::Fetching { chunks: 0 })).await;
    agent.depot.hold(&version);
    wait(|| holding(&agent, &version) == Some(Holding::Held)).await;
    agent
        .feed
        .set(vec![version.rollout(Stage::Wave { width: own }, 2)]);
    time::sleep(SETTLE).await;
    assert_eq!(engine.stats().orders, 0);
    let wave = Stage::Wave { width: own + 1 };
    agent.feed.set(vec![version.rollout(wave, 3)]);
    agent.wait_served(&version.id).await;
    wait(|| holding(&agent, &version) == Some(Holding::Serving)).await;
    wait(|| agent.depot.in_use.lock().contains(&version.id)).await;
    assert_eq!(engine.stats().orders, 1);
}

#[tokio::test]
async fn an_unlisted_version_is_unloaded_once_its_calls_have_ended() {
    let engine = engine(false).await;
    let agent = Agent::start(engine_settings(engine.addr())).await;
    let version = Version::new("sand", "3");
    agent.serve(&version).await;
    let client = agent.client().await;
    let running = tokio::spawn({
        let call = Call::stream(1, &version.id, "tides?", 150);
        async move { client.send(call).await }
    });
    wait(|| engine.stats().started == 1).await;
    let key = Key::Rollout(version.id.to_string().into());
    agent.feed.apply(&[Delta::Remove(key)]);
    let site = agent.daemon().site().clone();
    wait(|| site.served.load().is_empty()).await;
    assert_eq!(engine.state().serving.len(), 1);
    let answer = running.await.unwrap();
    assert!(answer.text().ends_with("data: [DONE]\n\n"));
    wait(|| engine.state().serving.is_empty()).await;
    wait(|| !site.lifecycle().is_serving()).await;
}

#[tokio::test]
async fn files_that_do_not_make_up_the_version_are_never_served() {
    // Which file is damaged after the spool had verified it.
    for damaged in ["manifest", "chunk", "missing"] {
        let engine = engine(false).await;
        let agent = Agent::start(engine_settings(engine.addr())).await;
        let version = Version::new("sand", "3");
        match damaged {
            "manifest" => std::fs::write(&version.files.manifest, b"{}").unwrap(),
            "chunk" => std::fs::write(&version.files.chunks[1], b"other bytes").unwrap(),
            _ => std::fs::remove_file(&version.files.chunks[1]).unwrap(),
        }
        agent.depot.hold(&version);
        agent.feed.set(vec![version.rollout(Stage::Ready, 1)]);
        wait(|| engine.stats().bad_loads >= 2).await;
        wait(|| matches!(holding(&agent, &version), Some(Holding::Failed { .. }))).await;
        let client = agent.client().await;
        let answer = client.send(Call::model(1, &version.id, "a", 2)).await;
        assert_eq!(answer.problem().outcome, Outcome::NotRun, "{damaged}");
        assert_eq!(engine.stats().started, 0, "{damaged}");
    }
}

#[tokio::test]
async fn an_engine_that_serves_another_manifest_is_not_routable() {
    let engine = engine(false).await;
    let version = Version::new("sand", "3");
    let good = Version::new("quote", "1");
    engine.serve(version.id.clone(), domain::digest::Digest::of(b"other"));
    engine.serve(good.id.clone(), good.pin.digest);
    let agent = Agent::start(engine_settings(engine.addr())).await;
    // The state is known, but too old for an order that would mend it.
    let rollouts = [&version, &good].map(|version| version.rollout(Stage::Ready, 1));
    agent.feed.set(rollouts.into());
    agent.feed.set_live(false);
    agent.clock.sleep(6_000);
    agent.wait_served(&good.id).await;
    let client = agent.client().await;
    let answer = client.send(Call::model(1, &version.id, "a", 2)).await;
    assert_eq!(answer.problem().outcome, Outcome::NotRun);
    // With fresh state the foreign version is unloaded, and the pinned one loaded in its place.
    agent.depot.hold(&version);
    agent.depot.hold(&good);
    agent.feed.set_live(true);
    agent.wait_served(&version.id).await;
    let state = engine.state();
    let served = state
        .serving
        .iter()
        .find(|served| served.artifact == version.id);
    assert_eq!(served.unwrap().digest, version.pin.digest);
    assert_eq!(engine.stats().started, 0);
}

#[tokio::test]
async fn old_fencing_numbers_are_never_followed() {
    // Whether the engine checks them; whether the agent remembers them over its restart.
    for (checks_fencing, remembers) in [(true, false), (false, true), (true, true)] {
        let engine = engine(checks_fencing).await;
        let folder = tempfile::tempdir().unwrap();
        let version = Version::new("sand", "3");
        let mut memory = Memory::open(Some(folder.path()), 1).unwrap();
        let newer = Fence { term: 2, index: 50 };
        if remembers {
            memory.remember(newer).unwrap();
        }
        if checks_fencing {
            // A newer order, given by the agent's last start.
            let client = upstream::engine::Client::new(engine.addr(), SETTLE);
            let command = upstream::engine::Command {
                fence: newer,
                order: domain::order::Order::Role(domain::order::Role::Full),
                manifest: None,
                chunks: Vec::new(),
            };
            upstream::engine::Engine::order(&client, command)
                .await
                .unwrap();
        }
        let again = Memory::open(Some(folder.path()), 1).unwrap();
        assert!(again.content().incarnation > memory.content().incarnation);
        let orders = engine.stats().orders;
        let ledger = std::sync::Arc::default();
        let agent = Agent::start_with(engine_settings(engine.addr()), ledger, again).await;
        agent.depot.hold(&version);
        // The state that the agent gets first is older than what was acted on.
        agent.feed.set(vec![version.rollout(Stage::Ready, 1)]);
        time::sleep(SETTLE).await;
        let label = format!("checks: {checks_fencing}, remembers: {remembers}");
        assert_eq!(engine.stats().orders, orders, "{label}");
        assert_eq!(engine.stats().stale_orders, 0, "{label}");
        // With newer state it goes on.
        for _ in 0..50 {
            agent.feed.set(vec![version.rollout(Stage::Ready, 1)]);
        }
        agent.wait_served(&version.id).await;
        assert_eq!(engine.stats().stale_orders, 0, "{label}");
    }
}

#[tokio::test]
async fn old_state_gives_no_orders() {
    let engine = engine(false).await;
    let agent = Agent::start(engine_settings(engine.addr())).await;
    let version = Version::new("sand", "3");
    agent.feed.set(vec![version.rollout(Stage::Ready, 1)]);
    agent.feed.set_live(false);
    agent.clock.sleep(6_000);
    agent.depot.hold(&version);
    time::sleep(SETTLE).await;
    assert_eq!(engine.stats().orders, 0);
    agent.feed.set_live(true);
    agent.wait_served(&version.id).await;
}

#[tokio::test]
async fn a_restarted_agent_takes_over_what_the_engine_serves() {
    let engine = engine(true).await;
    let mut agent = Agent::start(engine_settings(engine.addr())).await;
    let version = Version::new("sand", "3");
    agent.serve(&version).await;
    drop(agent.daemon.take());
    let next = Agent::start(engine_settings(engine.addr())).await;
    next.feed.set(vec![version.rollout(Stage::Ready, 1)]);
    next.wait_served(&version.id).await;
    assert_eq!(engine.stats().orders, 1);
}

#[tokio::test]
async fn a_failing_load_is_reported_and_tried_again() {
    let engine = engine(false).await;
    engine.make(&fault::Request {
        fail_loads: Some(true),
        ..fault::Request::default()
    });
    let agent = Agent::start(engine_settings(engine.addr())).await;
    let version = Version::new("sand", "3");
    agent.depot.hold(&version);
    agent.feed.set(vec![version.rollout(Stage::Ready, 1)]);
    wait(|| matches!(holding(&agent, &version), Some(Holding::Failed { .. }))).await;
    engine.make(&fault::Request {
        fail_loads: Some(false),
        ..fault::Request::default()
    });
    agent.wait_served(&version.id).await;
    let client = agent.client().await;
    let answer = client.send(Call::model(1, &version.id, "a", 2)).await;
    assert_eq!(answer.status, StatusCode::OK);
}

#[tokio::test]
async fn an_engine_that_restarts_during_a_load_is_loaded_again() {
    let config = engine::Config {
        load: Duration::from_millis(600),
        ..engine::Config::default()
    };
    let addr = "127.51.5.2:7100".parse().unwrap();
    let engine = Engine::start(addr, config.clone()).await.unwrap();
    let agent = Agent::start(engine_settings(addr)).await;
    let version = Version::new("sand", "3");
    agent.depot.hold(&version);
    agent.feed.set(vec![version.rollout(Stage::Ready, 1)]);
    wait(|| holding(&agent, &version) == Some(Holding::Loading)).await;
    engine.stop().await;
    let next = Engine::start(addr, config).await.unwrap();
    agent.wait_served(&version.id).await;
    assert_eq!(next.stats().orders, 1);
    assert_eq!(next.stats().unserved, 0);
}

#[tokio::test]
async fn a_frozen_engine_is_reported_as_lost() {
    let engine = engine(false).await;
    let agent = Agent::start(engine_settings(engine.addr())).await;
    let version = Version::new("sand", "3");
    agent.serve(&version).await;
    engine.make(&fault::Request {
        freeze_ms: Some(4_000),
        ..fault::Request::default()
    });
    let site = agent.daemon().site().clone();
    wait(|| !site.lifecycle().is_serving()).await;
    let client = agent.client().await;
    let answer = client.send(Call::model(1, &version.id, "a", 2)).await;
    assert_eq!(answer.problem().outcome, Outcome::NotRun);
    agent.wait_served(&version.id).await;
    // It is the same process: nothing had to be loaded again.
    assert_eq!(engine.stats().orders, 1);
}
