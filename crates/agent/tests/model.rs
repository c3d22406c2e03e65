//! Calls of models: fault × step. No answer is ever wrong, mixed or cut short with a clean end, and
//! every `not-run` is checked against the engine's own count.

#![allow(clippy::unwrap_used)]

mod common;

use common::{Agent, Call, Version, Whole, engine_settings, wait};
use domain::{
    call::{Attempt, Outcome},
    header,
    record::{Delta, Key, Record},
    rollout::Stage,
};
use fakes::engine::{self, Engine, fault, text};
use http::StatusCode;
use http_body_util::BodyExt;
use tokio::time;

const TOKENS: u32 = 6;

async fn engine() -> Engine {
    let config = engine::Config {
        warm_after: 0,
        ..engine::Config::default()
    };
    Engine::start("127.51.3.1:0".parse().unwrap(), config)
        .await
        .unwrap()
}

async fn serving(engine: &Engine) -> (Agent, Version) {
    let agent = Agent::start(engine_settings(engine.addr())).await;
    let version = Version::new("sand", "3");
    agent.serve(&version).await;
    (agent, version)
}

fn make(engine: &Engine, fault: fault::Fault) {
    engine.make(&fault::Request {
        next: vec![Some(fault)],
        ..fault::Request::default()
    });
}

fn ran(engine: &Engine, attempt: u128) -> bool {
    let attempt = Attempt::from(attempt).to_string();
    engine.runs().contains_key(&attempt)
}

/// What a stream brought, if it ended cleanly, else nothing.
fn clean(stream: &Whole) -> Option<String> {
    let text = stream.body.as_ref().ok()?;
    let text = String::from_utf8(text.to_vec()).unwrap();
    text.ends_with("data: [DONE]\n\n").then_some(text)
}

#[tokio::test]
async fn faults_of_the_engine() {
    use fault::Fault::{
        CrossedBody, CrossedHead, Cut, CutBeforeHead, Error, Freeze, FreezeBeforeHead, Late,
        NoTerminator,
    };
    // The fault, and the status and outcome when it shows before the first token.
    let early = |fault, status, outcome| (fault, Some((status, outcome)));
    let late = |fault| (fault, None);
    let bad = StatusCode::BAD_GATEWAY;
    let slow = StatusCode::GATEWAY_TIMEOUT;
    let refused = StatusCode::SERVICE_UNAVAILABLE;
    let cases = [
        early(CutBeforeHead, bad, Outcome::Unknown),
        early(CrossedHead, bad, Outcome::Unknown),
        early(CrossedBody { after: 0 }, bad, Outcome::Unknown),
        early(Cut { after: 0 }, bad, Outcome::Unknown),
        early(NoTerminator { after: 0 }, bad, Outcome::Unknown),
        early(Late { ms: 1_500 }, slow, Outcome::Unknown),
        early(FreezeBeforeHead, slow, Outcome::Unknown),
        early(Freeze { after: 0 }, slow, Outcome::Unknown),
        early(Error { status: 500 }, bad, Outcome::Ran),
        early(Error { status: 503 }, refused, Outcome::NotRun),
        early(Error { status: 404 }, refused, Outcome::NotRun),
        late(CrossedBody { after: 2 }),
        late(Cut { after: 2 }),
        late(NoTerminator { after: 2 }),
        late(Freeze { after: 2 }),
        late(NoTerminator { after: TOKENS - 1 }),
    ];
    for (fault, expected) in cases {
        let engine = engine().await;
        let (agent, version) = serving(&engine).await;
        let client = agent.client().await;
        // Another call before, whose id and text a crossed answer bears.
        client.send(Call::model(90, &version.id, "other", 2)).await;
        for is_stream in [false, true] {
            let label = format!("{fault:?}, stream: {is_stream}");
            make(&engine, fault.clone());
            let attempt = 100 + u128::from(is_stream);
            let call = match is_stream {
                true => Call::stream(attempt, &version.id, "tides?", TOKENS),
                false => Call::model(attempt, &version.id, "tides?", TOKENS),
            };
            let answer = client.send(call).await;
            match expected {
                Some((status, outcome)) => {
                    assert_eq!(answer.status, status, "{label}");
                    assert_eq!(answer.problem().outcome, outcome, "{label}");
                    if outcome == Outcome::NotRun {
                        assert!(!ran(&engine, attempt), "{label}");
                    }
                }
                None if is_stream => assert_eq!(clean(&answer), None, "{label}"),
                None => assert_eq!(answer.problem().outcome, Outcome::Unknown, "{label}"),
            }
            if is_stream {
                let seen = answer
                    .body
                    .as_ref()
                    .map_or(String::new(), |_| answer.text());
                let foreign = text::token("sand@3", None, "other", 3);
                assert!(!seen.contains(foreign.trim()), "{label}");
            }
        }
        // The agent is fit for the next call at once, or after the pause of a refusal.
        let next = client.send(Call::model(200, &version.id, "next", 2)).await;
        let expected = text::answer("sand@3", None, "next", 2);
        assert_eq!(
            next.json()["choices"][0]["message"]["content"],
            expected,
            "after {fault:?}"
        );
    }
}

#[tokio::test]
async fn an_engine_that_dies_is_reported_at_once_and_serves_nothing_until_loaded_again() {
    let engine = engine().await;
    let addr = engine.addr();
    let (agent, version) = serving(&engine).await;
    let client = agent.client().await;
    let running = client
        .head(Call::stream(1, &version.id, "tides?", 500))
        .await
        .unwrap();
    engine.stop().await;
    let cut = time::timeout(common::LIMIT, running.into_body().collect()).await;
    assert!(cut.unwrap().is_err());
    let site = agent.daemon().site().clone();
    wait(|| !site.lifecycle().is_serving()).await;
    let refused = client.send(Call::model(2, &version.id, "tides?", 2)).await;
    assert_eq!(refused.problem().outcome, Outcome::NotRun);
    assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);

    // The new process has nothing in memory; the agent loads before it serves.
    let config = engine::Config::default();
    let next = Engine::start(addr, config).await.unwrap();
    agent.wait_served(&version.id).await;
    assert_eq!(next.stats().orders, 1);
    assert_eq!(next.stats().unserved, 0);
    let answer = client.send(Call::model(3, &version.id, "tides?", 2)).await;
    assert_eq!(answer.status, StatusCode::OK);
}

#[tokio::test]
async fn a_caller_that_vanishes_cancels_the_call_at_the_engine() {
    // Whether the caller goes while the engine reads the prompt or while it streams.
    for is_streaming in [false, true] {
        let engine = engine().await;
        let (agent, version) = serving(&engine).await;
        if !is_streaming {
            make(&engine, fault::Fault::Late { ms: 10_000 });
        }
        let client = agent.client().await;
        let call = client.spawn(Call::stream(1, &version.id, "tides?", 5_000));
        match is_streaming {
            true => {
                let mut body = call.await.unwrap().unwrap().into_body();
                body.frame().await.unwrap().unwrap();
                drop(body);
            }
            false => {
                wait(|| ran(&engine, 1)).await;
                call.abort();
                assert!(call.await.unwrap_err().is_cancelled());
            }
        }
        let gate = agent.daemon().site().gate.clone();
        wait(|| gate.load().running == 0).await;
        wait(|| engine.stats().cancelled + engine.stats().vanished == 1).await;
        assert!(engine.stats().tokens < 1_000);
    }
}

#[tokio::test]
async fn a_caller_that_vanishes_from_the_queue_never_reaches_the_engine() {
    let engine = engine().await;
    let (agent, version) = serving(&engine).await;
    let client = agent.client().await;
    let mut running = Vec::new();
    for attempt in 0..2 {
        let call = Call::stream(attempt, &version.id, "long", 1_500);
        running.push(client.head(call).await.unwrap());
    }
    let gate = agent.daemon().site().gate.clone();
    assert_eq!(gate.load().limit, 2);
    let queued = client.spawn(Call::model(9, &version.id, "queued", 2));
    wait(|| gate.load().queued == 1).await;
    queued.abort();
    assert!(queued.await.unwrap_err().is_cancelled());
    wait(|| gate.load().queued == 0).await;
    // It left by itself, not because its turn came.
    assert_eq!(gate.load().running, 2);
    drop(running);
    wait(|| gate.load().running == 0).await;
    assert!(!ran(&engine, 9));
}

#[tokio::test]
async fn what_changes_while_a_call_waits_is_seen_at_dispatch() {
    let zone = || Record::ZoneOut("saldanha".into());
    let drain = || Record::Drain("upstream-1".into());
    for change in ["zone", "drain", "unlisted", "shutdown"] {
        let engine = engine().await;
        let (agent, version) = serving(&engine).await;
        let client = agent.client().await;
        let mut running = Vec::new();
        for attempt in 0..2 {
            let call = Call::stream(attempt, &version.id, "long", 200);
            running.push(client.head(call).await.unwrap());
        }
        let waiting = {
            let client = client.clone();
            let call = Call::model(9, &version.id, "queued", 2);
            tokio::spawn(async move { client.send(call).await })
        };
        let gate = agent.daemon().site().gate.clone();
        wait(|| gate.load().queued == 1).await;
        match change {
            "zone" => agent.feed.set(vec![zone()]),
            "drain" => agent.feed.set(vec![drain()]),
            "shutdown" => gate.drain(),
            _ => {
                let key = Key::Rollout("sand@3".into());
                agent.feed.apply(&[Delta::Remove(key)]);
            }
        }
        let answer = waiting.await.unwrap();
        assert_eq!(answer.problem().outcome, Outcome::NotRun, "{change}");
        assert!(!ran(&engine, 9), "{change}");
        // What runs is not touched.
        for response in running {
            let body = response.into_body().collect().await.unwrap().to_bytes();
            assert!(body.ends_with(b"data: [DONE]\n\n"), "{change}");
        }
    }
}

#[tokio::test]
async fn an_availability_zone_out_and_in_twice() {
    let engine = engine().await;
    let (agent, version) = serving(&engine).await;
    let client = agent.client().await;
    for round in 0..2 {
        agent.feed.set(vec![Record::ZoneOut("saldanha".into())]);
        let out = client
            .send(Call::model(2 * round, &version.id, "a", 2))
            .await;
        assert_eq!(out.problem().outcome, Outcome::NotRun);
        let back = Delta::Remove(Key::ZoneOut("saldanha".into()));
        agent.feed.apply(&[back]);
        let back = Call::model(2 * round + 1, &version.id, "a", 2);
        assert_eq!(client.send(back).await.status, StatusCode::OK);
    }
    assert_eq!(engine.stats().started, 2);
}

#[tokio::test]
async fn only_the_pinned_version_answers() {
    let engine = engine().await;
    let (agent, old) = serving(&engine).await;
    let new = Version::new("sand", "4");
    let adapter = Version::new("quote", "1");
    let client = agent.client().await;
    let with_adapter =
        |attempt| Call::model(attempt, &old.id, "a", 2).with_header(header::ADAPTER, "quote@1");
    for call in [Call::model(1, &new.id, "a", 2), with_adapter(2)] {
        let answer = client.send(call).await;
        assert_eq!(answer.problem().outcome, Outcome::NotRun);
    }
    for version in [&new, &adapter] {
        agent.depot.hold(version);
        agent.feed.set(vec![version.rollout(Stage::Ready, 2)]);
        agent.wait_served(&version.id).await;
    }
    let content = |answer: Whole| answer.json()["choices"][0]["message"]["content"].clone();
    let answer = content(client.send(Call::model(3, &new.id, "a", 2)).await);
    assert_eq!(answer, text::answer("sand@4", None, "a", 2));
    let answer = content(client.send(with_adapter(4)).await);
    assert_eq!(answer, text::answer("sand@3", Some("quote@1"), "a", 2));
}

#[tokio::test]
async fn a_shutdown_lets_calls_end_and_refuses_new_ones() {
    let engine = engine().await;
    let (mut agent, version) = serving(&engine).await;
    let client = agent.client().await;
    let running = client
        .head(Call::stream(1, &version.id, "tides?", 200))
        .await
        .unwrap();
    let site = agent.daemon().site().clone();
    let daemon = agent.daemon.take().unwrap();
    let never = tokio_util::sync::CancellationToken::new();
    let ended = tokio::spawn(async move { daemon.shut_down(&never).await });
    wait(|| !site.lifecycle().is_serving()).await;
    let refused = client.send(Call::model(2, &version.id, "a", 2)).await;
    assert_eq!(refused.problem().outcome, Outcome::NotRun);
    let body = running.into_body().collect().await.unwrap().to_bytes();
    assert!(body.ends_with(b"data: [DONE]\n\n"));
    assert_eq!(ended.await.unwrap(), 0);
    let last = agent.presence.borrow().clone().unwrap();
    assert_eq!(last.status.lifecycle, domain::vm::Lifecycle::Gone);
    assert!(!ran(&engine, 2));
}

#[tokio::test]
async fn a_second_signal_cuts_running_calls_and_counts_them() {
    let engine = engine().await;
    let (mut agent, version) = serving(&engine).await;
    let client = agent.client().await;
    let running = client
        .head(Call::stream(1, &version.id, "tides?", 5_000))
        .await
        .unwrap();
    let daemon = agent.daemon.take().unwrap();
    let cut = tokio_util::sync::CancellationToken::new();
    cut.cancel();
    assert_eq!(daemon.shut_down(&cut).await, 1);
    let body = time::timeout(common::LIMIT, running.into_body().collect());
    assert!(
        body.await.unwrap().is_err(),
        "a cut stream must not end cleanly"
    );
}
