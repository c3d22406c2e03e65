//! Calls that may not be repeated: at most one run for each key, and every `not-run` is true.

#![allow(clippy::unwrap_used)]

mod common;

use std::{sync::Arc, time::Duration};

use common::{
    Entry,
    agent::{Act, Agent},
    caller,
    control::Fake,
    entry,
};
use domain::call::Outcome;
use futures::future::join_all;
use http::StatusCode;

struct Stage {
    control: Arc<Fake>,
    first: Agent,
    second: Agent,
    entry: Entry,
}

async fn stage() -> Stage {
    let control = Fake::new();
    let first = Agent::new("first").await.with_ledger(&control);
    let second = Agent::new("second").await.with_ledger(&control);
    control.add_service("first", "saldanha", first.addr);
    control.add_service("second", "durban", second.addr);
    let entry = entry(&control).await;
    Stage {
        control,
        first,
        second,
        entry,
    }
}

impl Stage {
    fn runs(&self) -> usize {
        self.first.runs().len() + self.second.runs().len()
    }
}

/// What the caller gets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Expected {
    /// The whole answer of the run.
    Whole,
    /// The answer that the ledger kept.
    Replay,
    /// A failure.
    Failed(Outcome),
}

/// A fault of the first upstream; what follows with the ledger, and without it.
const CASES: &[(Act, Expected, Expected)] = {
    use Expected::{Failed, Replay, Whole};
    use Outcome::{Ran, Unknown};
    &[
        (Act::Whole, Whole, Whole),
        (Act::Refuse, Whole, Whole),
        (Act::Full, Whole, Whole),
        (Act::CutBeforeRun, Whole, Failed(Unknown)),
        (Act::CutBeforeHead, Replay, Failed(Unknown)),
        (Act::Silent, Whole, Failed(Unknown)),
        (Act::SilentAfterRun, Failed(Unknown), Failed(Unknown)),
        (Act::CutAfter(0), Replay, Failed(Ran)),
        (Act::CutAfter(2), Replay, Failed(Ran)),
        (Act::SilentAfter(2), Replay, Failed(Ran)),
        (Act::ShortOfLength, Replay, Failed(Ran)),
        (Act::CrossedHead, Replay, Failed(Unknown)),
        (Act::NoEcho, Replay, Failed(Unknown)),
    ]
};

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn no_fault_makes_a_call_run_twice() {
    join_all([true, false].into_iter().flat_map(|is_ledger_up| {
        CASES.iter().map(move |&(act, with, without)| async move {
            let stage = stage().await;
            stage.control.set_ledger_up(is_ledger_up);
            stage.first.play([act]);
            let got = caller::book(stage.entry.addr, "hold-1", "{}").await;
            let name = format!("{act:?}, ledger {is_ledger_up}: {got:?}");
            let expected = match is_ledger_up {
                true => with,
                false => without,
            };
            assert!(stage.runs() <= 1, "{name}");
            let is_replay = got.headers.contains_key("x-gypsum-replay");
            match expected {
                Expected::Whole => {
                    assert_eq!(
                        (got.status, is_replay),
                        (StatusCode::CREATED, false),
                        "{name}"
                    );
                    assert_eq!(stage.runs(), 1, "{name}");
                }
                Expected::Replay => {
                    assert_eq!(
                        (got.status, is_replay),
                        (StatusCode::CREATED, true),
                        "{name}"
                    );
                    assert_eq!(stage.runs(), 1, "{name}");
                }
                Expected::Failed(outcome) => assert_eq!(got.outcome(), outcome, "{name}"),
            }
        })
    }))
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn nothing_but_proof_makes_not_run() {
    let cases = CASES
        .iter()
        .flat_map(|case| [(case.0, true), (case.0, false)]);
    join_all(cases.map(|(act, is_ledger_up)| async move {
        let stage = stage().await;
        stage.control.set_ledger_up(is_ledger_up);
        stage.first.play([act]);
        stage.second.always(act);
        let got = caller::book(stage.entry.addr, "hold-1", "{}").await;
        let is_not_run = !got.status.is_success() && got.outcome() == Outcome::NotRun;
        tokio::time::sleep(Duration::from_millis(100)).await;
        assert!(!is_not_run || stage.runs() == 0, "{act:?}: {got:?}");
        assert!(stage.runs() <= 1, "{act:?}");
    }))
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn one_key_through_two_entries_at_once_runs_once() {
    let stage = stage().await;
    let other = entry(&stage.control).await;
    stage.first.always(Act::Slow(Duration::from_millis(100)));
    let calls = (0..8).map(|i| {
        let addr = [stage.entry.addr, other.addr][i % 2];
        caller::book(addr, "hold-1", "{}")
    });
    let got = join_all(calls).await;
    assert_eq!(stage.runs(), 1);
    let bodies: Vec<_> = got.iter().map(|got| &got.body).collect();
    assert!(
        got.iter().all(|got| got.status == StatusCode::CREATED),
        "{got:?}"
    );
    assert!(bodies.iter().all(|body| *body == bodies[0]), "{bodies:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_key_with_another_body_is_refused() {
    let stage = stage().await;
    assert_eq!(
        caller::book(stage.entry.addr, "hold-1", "{}").await.status,
        StatusCode::CREATED
    );
    let got = caller::book(stage.entry.addr, "hold-1", r#"{"berth":2}"#).await;
    assert_eq!(got.status, StatusCode::UNPROCESSABLE_ENTITY, "{got:?}");
    assert_eq!(got.outcome(), Outcome::NotRun);
    assert_eq!(stage.runs(), 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn each_call_has_a_connection_of_its_own() {
    let stage = stage().await;
    for key in ["hold-1", "hold-2", "hold-3"] {
        stage.first.mute_connections();
        let got = caller::book(stage.entry.addr, key, "{}").await;
        assert_eq!(got.status, StatusCode::CREATED, "{got:?}");
    }
    assert_eq!(stage.first.connections(), 3);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn calls_without_a_key_get_one_each() {
    let stage = stage().await;
    let path = "/v1/services/booking/holds";
    for _ in 0..2 {
        let request = caller::request(http::Method::POST, path, "{}");
        let got = caller::send(stage.entry.addr, request).await;
        assert_eq!(got.status, StatusCode::CREATED);
    }
    let runs = stage.first.runs();
    assert_eq!(runs.len(), 2);
    assert_ne!(runs[0].once_key, runs[1].once_key);
}
