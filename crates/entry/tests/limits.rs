//! Limits towards callers and upstreams: slow and vanished callers, retry storms, load, shutdown.

#![allow(clippy::unwrap_used)]

mod common;

use std::{sync::Arc, time::Duration};

use common::{
    Options,
    agent::{Act, Agent},
    caller,
    control::Fake,
    entry, entry_with, until,
};
use domain::call::Outcome;
use futures::future::join_all;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

const WHILE: Duration = Duration::from_millis(400);

fn raw_chat(is_stream: bool) -> String {
    let body = caller::chat_body(is_stream);
    let length = body.len();
    let key = common::KEY;
    format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: entry\r\nauthorization: Bearer {key}\r\n\
         content-length: {length}\r\n\r\n{body}"
    )
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_vanished_caller_cancels_the_upstream_call() {
    let acts = [
        (true, Act::SilentAfter(2)),
        (true, Act::SilentAfterRun),
        (false, Act::SilentAfterRun),
    ];
    for (is_stream, act) in acts {
        let control = Fake::new();
        let engine = Agent::new("engine-1").await;
        control.add_engine("engine-1", "saldanha", engine.addr);
        let mut options = Options::default();
        // Only the caller's going away may end the call.
        options.config.progress_timeout = Duration::from_secs(60);
        options.config.max_call = Duration::from_secs(60);
        let entry = entry_with(&control, options).await;
        engine.play([act]);
        let mut socket = TcpStream::connect(entry.addr).await.unwrap();
        socket
            .write_all(raw_chat(is_stream).as_bytes())
            .await
            .unwrap();
        until("the engine runs it", || !engine.runs().is_empty()).await;
        if act == Act::SilentAfter(2) {
            let mut some = [0; 16];
            socket.read_exact(&mut some).await.unwrap();
        }
        assert_eq!(
            (engine.cancelled(), entry.shared.calls.running().len()),
            (0, 1)
        );
        drop(socket);
        until("the engine's call is cancelled", || engine.cancelled() == 1).await;
        until("the entry forgets it", || {
            entry.shared.calls.running().is_empty()
        })
        .await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_caller_that_takes_nothing_is_cut() {
    let control = Fake::new();
    let service = Agent::new("service-1").await;
    control.add_service("service-1", "saldanha", service.addr);
    service.always(Act::Large(6 * 1024 * 1024));
    let entry = entry(&control).await;
    let mut socket = TcpStream::connect(entry.addr).await.unwrap();
    let key = common::KEY;
    let request = format!(
        "GET /v1/services/booking/x HTTP/1.1\r\nhost: e\r\nauthorization: Bearer {key}\r\n\r\n"
    );
    socket.write_all(request.as_bytes()).await.unwrap();
    until("the service runs it", || service.runs().len() == 1).await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    let mut taken = Vec::new();
    // What lay in the buffers still comes; the rest was given up.
    let _ = socket.read_to_end(&mut taken).await;
    assert!(taken.len() < 6 * 1024 * 1024, "{}", taken.len());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_that_never_comes_whole_is_given_up() {
    let control = Fake::new();
    let entry = entry(&control).await;
    let whole = raw_chat(false);
    let bytes = whole.as_bytes();
    let cases: [&[u8]; 5] = [
        b"",
        b"PRI * HTTP/2",
        &bytes[..10],
        &bytes[..40],
        &bytes[..bytes.len() - 9],
    ];
    for sent in cases {
        let sent = String::from_utf8_lossy(sent);
        let mut socket = TcpStream::connect(entry.addr).await.unwrap();
        socket.write_all(sent.as_bytes()).await.unwrap();
        let mut answer = Vec::new();
        let read = socket.read_to_end(&mut answer);
        let ended = tokio::time::timeout(Duration::from_secs(10), read).await;
        assert!(ended.is_ok(), "{sent:?}: the connection was kept");
        let answer = String::from_utf8_lossy(&answer);
        assert!(!answer.contains("200 OK"), "{answer}");
    }
    assert!(entry.shared.calls.running().is_empty());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn more_calls_than_the_limit_are_refused() {
    let control = Fake::new();
    let engine = Agent::new("engine-1").await;
    control.add_engine("engine-1", "saldanha", engine.addr);
    engine.always(Act::Slow(WHILE));
    let options = Options {
        max_calls: 3,
        ..Options::default()
    };
    let entry = entry_with(&control, options).await;
    let got = join_all((0..10).map(|_| caller::chat(entry.addr, false))).await;
    let (whole, refused): (Vec<_>, Vec<_>) = got.iter().partition(|got| got.status.is_success());
    assert_eq!(whole.len(), 3);
    assert!(refused.iter().all(|got| got.outcome() == Outcome::NotRun));
    assert!(
        refused
            .iter()
            .all(|got| got.headers.contains_key("retry-after"))
    );
    assert_eq!(engine.runs().len(), 3);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_retry_storm_stays_within_the_budget() {
    let control = Fake::new();
    let agents = [
        Agent::new("a").await,
        Agent::new("b").await,
        Agent::new("c").await,
    ];
    for agent in &agents {
        // It neither fills nor fails the upstream, so that nothing but the budget holds retries.
        agent.always(Act::OverShare);
        control.add_service(agent.vm, "saldanha", agent.addr);
    }
    let options = Options {
        retry_percent: 10,
        ..Options::default()
    };
    let entry = entry_with(&control, options).await;
    let mut calls = 0;
    for _ in 0..20 {
        let got = join_all((0..20).map(|_| caller::lookup(entry.addr))).await;
        assert!(got.iter().all(|got| got.status.as_u16() == 429), "{got:?}");
        calls += got.len();
    }
    let attempts: usize = agents.iter().map(Agent::calls).sum();
    assert!(attempts > calls, "no retry was made");
    let allowed = calls + calls / 10 + 10;
    assert!(attempts <= allowed, "{attempts} attempts for {calls} calls");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn refusals_for_want_of_room_are_retried_only_where_room_is_known() {
    let control = Fake::new();
    let (full, free) = (Agent::new("full").await, Agent::new("free").await);
    for agent in [&full, &free] {
        agent.always(Act::Full);
        agent.set_load("8/4/8");
    }
    control.add_engine("full", "saldanha", full.addr);
    control.add_engine("free", "durban", free.addr);
    let entry = entry(&control).await;
    for _ in 0..3 {
        let got = caller::chat(entry.addr, false).await;
        assert_eq!(got.outcome(), Outcome::NotRun, "{got:?}");
        assert_eq!(got.headers["retry-after"], "2", "{got:?}");
    }
    // The first call learns that both are full; the others are told at once, after one question.
    assert!(
        full.calls() + free.calls() <= 4,
        "{} {}",
        full.calls(),
        free.calls()
    );
}

/// A returned zone gets new work again after at most this long.
const ZONE_RETURN_LIMIT: Duration = Duration::from_secs(3);

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_zone_that_is_out_gets_no_new_call() {
    let control = Fake::new();
    let agents = [
        Agent::new("a").await,
        Agent::new("b").await,
        Agent::new("c").await,
    ];
    for (agent, zone) in agents.iter().zip(["saldanha", "durban", "gqeberha"]) {
        agent.always(Act::Slow(Duration::from_millis(20)));
        control.add_engine(agent.vm, zone, agent.addr);
    }
    let entry = entry(&control).await;
    for round in 0..2 {
        let load = join_all((0..40).map(|_| caller::chat(entry.addr, round == 0)));
        let zone_out = async {
            tokio::time::sleep(Duration::from_millis(15)).await;
            control.zone_out("saldanha");
        };
        let (got, ()) = tokio::join!(load, zone_out);
        assert!(
            got.iter()
                .all(|got| got.status.is_success() && got.is_whole)
        );
        let before = agents[0].calls();
        let got = join_all((0..20).map(|_| caller::chat(entry.addr, false))).await;
        assert!(got.iter().all(|got| got.status.is_success()));
        assert_eq!(agents[0].calls(), before);
        control.zone_in("saldanha");
        // The subset of upstreams is drawn anew only a few times a second.
        let is_back = async {
            while agents[0].calls() == before {
                let got = join_all((0..20).map(|_| caller::chat(entry.addr, false))).await;
                assert!(got.iter().all(|got| got.status.is_success()));
            }
        };
        tokio::time::timeout(ZONE_RETURN_LIMIT, is_back)
            .await
            .unwrap();
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn lists_edited_under_load_never_serve_what_the_plan_lacks() {
    let control = Fake::new();
    let agents = [Agent::new("a").await, Agent::new("b").await];
    for agent in &agents {
        control.add_engine(agent.vm, "saldanha", agent.addr);
    }
    let entry = entry(&control).await;
    let addr = entry.addr;
    let control: Arc<Fake> = control.clone();
    for round in 0..30 {
        let version = ["1", "2"][round % 2];
        control.set_versions(&[version]);
        // A call that begins after the edit is in force sees only what it allows.
        let got = join_all((0..6).map(|i| caller::chat(addr, i % 2 == 0))).await;
        for got in got {
            assert!(got.status.is_success(), "{got:?}");
            assert!(got.body.contains(&format!("tide@{version}")), "{got:?}");
        }
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_shutdown_lets_running_calls_end_and_takes_no_new_ones() {
    let control = Fake::new();
    let engine = Agent::new("engine-1").await;
    control.add_engine("engine-1", "saldanha", engine.addr);
    engine.always(Act::Slow(WHILE));
    let mut options = Options::default();
    options.config.progress_timeout = Duration::from_secs(60);
    let entry = entry_with(&control, options).await;
    let calls = join_all((0..8).map(|i| caller::chat(entry.addr, i % 2 == 0)));
    let close = async {
        until("all run", || engine.runs().len() == 8).await;
        entry.close.cancel();
        tokio::time::sleep(Duration::from_millis(50)).await;
        assert!(TcpStream::connect(entry.addr).await.is_err());
    };
    let (got, ()) = tokio::join!(calls, close);
    assert!(
        got.iter()
            .all(|got| got.status.is_success() && got.is_whole),
        "{got:?}"
    );
    tokio::time::timeout(Duration::from_secs(10), entry.serving)
        .await
        .unwrap()
        .unwrap();
    assert!(entry.shared.calls.running().is_empty());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_cut_ends_what_still_runs() {
    let control = Fake::new();
    let engine = Agent::new("engine-1").await;
    control.add_engine("engine-1", "saldanha", engine.addr);
    engine.always(Act::SilentAfter(2));
    let mut options = Options::default();
    options.config.progress_timeout = Duration::from_secs(60);
    let entry = entry_with(&control, options).await;
    let call = caller::chat(entry.addr, true);
    let cut = async {
        until("it runs", || engine.runs().len() == 1).await;
        tokio::time::sleep(Duration::from_millis(100)).await;
        entry.close.cancel();
        entry.cut.cancel();
    };
    let (got, ()) = tokio::join!(call, cut);
    assert!(!got.is_whole, "{got:?}");
    until("the engine's call is cancelled", || engine.cancelled() == 1).await;
}
