//! Repeatable calls under faults at each step, with and without another upstream.

#![allow(clippy::unwrap_used)]

mod common;

use std::{sync::Arc, time::Duration};

use common::{
    Entry,
    agent::{Act, Agent},
    caller::{self, Got},
    control::Fake,
    entry,
};
use domain::call::Outcome;
use futures::future::join_all;
use http::StatusCode;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    Chat,
    Lookup,
}

/// The first upstream is in the entry's zone and so is always tried first.
struct Stage {
    control: Arc<Fake>,
    first: Agent,
    second: Agent,
    entry: Entry,
}

impl Stage {
    async fn new(kind: Kind) -> Self {
        let control = Fake::new();
        let (first, second) = (Agent::new("first").await, Agent::new("second").await);
        let entry = entry(&control).await;
        let stage = Self {
            control,
            first,
            second,
            entry,
        };
        stage.add(kind, "first", "saldanha", &stage.first);
        stage
    }

    fn add(&self, kind: Kind, vm: &str, zone: &str, agent: &Agent) {
        match kind {
            Kind::Chat => self.control.add_engine(vm, zone, agent.addr),
            Kind::Lookup => self.control.add_service(vm, zone, agent.addr),
        }
    }

    async fn call(&self, kind: Kind) -> Got {
        match kind {
            Kind::Chat => caller::chat(self.entry.addr, false).await,
            Kind::Lookup => caller::lookup(self.entry.addr).await,
        }
    }
}

struct Case {
    act: Act,
    /// What is known of the call if no other upstream is there.
    alone: Outcome,
}

const fn case(act: Act, alone: Outcome) -> Case {
    Case { act, alone }
}

const CASES: &[Case] = &[
    case(Act::Refuse, Outcome::NotRun),
    case(Act::Full, Outcome::NotRun),
    case(Act::CutBeforeRun, Outcome::Unknown),
    case(Act::CutBeforeHead, Outcome::Unknown),
    case(Act::Silent, Outcome::Unknown),
    case(Act::SilentAfterRun, Outcome::Unknown),
    case(Act::CutAfter(0), Outcome::Ran),
    case(Act::CutAfter(2), Outcome::Ran),
    case(Act::SilentAfter(2), Outcome::Ran),
    case(Act::ShortOfLength, Outcome::Ran),
    case(Act::CrossedHead, Outcome::Unknown),
    case(Act::NoEcho, Outcome::Unknown),
];

/// Only answers of engines carry the attempt and the version in their body.
const CHAT_CASES: &[Case] = &[
    case(Act::EndAfter(2), Outcome::Ran),
    case(Act::CrossedBody, Outcome::Ran),
    case(Act::OtherVersion, Outcome::Ran),
];

fn cases() -> impl Iterator<Item = (Kind, &'static Case)> {
    let of = |kind| move |case| (kind, case);
    let chat = CASES.iter().chain(CHAT_CASES).map(of(Kind::Chat));
    chat.chain(CASES.iter().map(of(Kind::Lookup)))
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn another_upstream_gives_the_whole_answer() {
    join_all(cases().map(|(kind, case)| async move {
        let stage = Stage::new(kind).await;
        stage.first.play([case.act]);
        stage.add(kind, "second", "durban", &stage.second);
        let got = stage.call(kind).await;
        let name = format!("{kind:?} {:?}: {got:?}", case.act);
        assert!(got.status.is_success() && got.is_whole, "{name}");
        assert_eq!(stage.second.runs().len(), 1, "{name}");
        let ran = stage.second.runs().remove(0);
        assert!(got.body.contains(&ran.attempt), "{name}");
    }))
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_failure_says_truly_what_is_known() {
    join_all(cases().map(|(kind, case)| async move {
        let stage = Stage::new(kind).await;
        stage.first.play([case.act]);
        let got = stage.call(kind).await;
        let name = format!("{kind:?} {:?}: {got:?}", case.act);
        assert!(got.status.is_server_error(), "{name}");
        assert_eq!(got.outcome(), case.alone, "{name}");
        let runs = stage.first.runs().len();
        match case.alone {
            Outcome::NotRun => assert_eq!(runs, 0, "{name}"),
            Outcome::Ran => assert_eq!(runs, 1, "{name}"),
            Outcome::Unknown => {}
        }
    }))
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_outcome_covers_all_attempts() {
    let stage = Stage::new(Kind::Chat).await;
    stage.add(Kind::Chat, "second", "durban", &stage.second);
    stage.first.play([Act::CutAfter(2)]);
    stage.second.play([Act::Refuse]);
    let got = stage.call(Kind::Chat).await;
    assert_eq!(got.outcome(), Outcome::Ran, "{got:?}");
    assert_eq!(stage.first.runs().len(), 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_agent_that_cannot_be_reached_ran_nothing() {
    let stage = Stage::new(Kind::Chat).await;
    let gone = Agent::new("gone").await;
    let addr = gone.addr;
    drop(gone);
    tokio::task::yield_now().await;
    stage.control.add_engine("first", "saldanha", addr);
    let got = stage.call(Kind::Chat).await;
    assert_eq!(got.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(got.outcome(), Outcome::NotRun);
    assert_eq!(got.problem().step, domain::call::Step::Connect);
    // A suspected upstream is not asked again at once, and the caller is told when.
    let got = stage.call(Kind::Chat).await;
    assert_eq!(got.problem().step, domain::call::Step::Choose);
    assert!(got.headers.contains_key("retry-after"));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_agent_that_never_accepts_leaves_it_unknown() {
    let stage = Stage::new(Kind::Chat).await;
    let frozen = std::net::TcpListener::bind("127.40.0.3:0").unwrap();
    let addr = frozen.local_addr().unwrap();
    stage.control.add_engine("first", "saldanha", addr);
    let got = stage.call(Kind::Chat).await;
    assert_eq!(got.outcome(), Outcome::Unknown, "{got:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_late_answer_after_a_retry_reaches_nobody() {
    let stage = Stage::new(Kind::Chat).await;
    stage.add(Kind::Chat, "second", "durban", &stage.second);
    stage.first.play([Act::Slow(Duration::from_millis(2_500))]);
    let got = stage.call(Kind::Chat).await;
    let winner = stage.second.runs().remove(0).attempt;
    assert!(got.body.contains(&winner), "{got:?}");
    tokio::time::sleep(Duration::from_millis(700)).await;
    let next = stage.call(Kind::Chat).await;
    assert!(next.is_whole && !next.body.contains(&winner), "{next:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn silent_connections_are_dialled_again() {
    for kind in [Kind::Chat, Kind::Lookup] {
        let stage = Stage::new(kind).await;
        assert!(stage.call(kind).await.is_whole);
        assert_eq!(stage.first.connections(), 1);
        stage.first.mute_connections();
        // An idle connection is found silent by its pings alone, before any call needs it.
        tokio::time::sleep(Duration::from_millis(2_600)).await;
        let got = stage.call(kind).await;
        assert!(got.status.is_success() && got.is_whole, "{kind:?} {got:?}");
        assert_eq!(stage.first.connections(), 2, "{kind:?}");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_call_on_a_connection_that_falls_silent_goes_elsewhere() {
    let stage = Stage::new(Kind::Chat).await;
    assert!(stage.call(Kind::Chat).await.is_whole);
    stage.add(Kind::Chat, "second", "durban", &stage.second);
    stage.first.mute_connections();
    let got = stage.call(Kind::Chat).await;
    assert!(got.status.is_success() && got.is_whole, "{got:?}");
    assert_eq!(stage.second.runs().len(), 1);
}

/// The state changes after the upstream was chosen and before the call is sent to it, as it may
/// while the connection opens or the process is frozen.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_state_at_the_moment_of_sending_decides() {
    type Change = fn(&Fake);
    let cases: [(&str, Change, bool); 4] = [
        ("zone out", |control| control.zone_out("saldanha"), true),
        ("drained", |control| control.drain("first"), true),
        (
            "feed too old",
            |control| control.set_age(Some(Duration::from_secs(6))),
            false,
        ),
        (
            "plan without it",
            |control| control.set_versions(&["1"]),
            false,
        ),
    ];
    for (name, change, goes_elsewhere) in cases {
        let stage = Stage::new(Kind::Chat).await;
        stage.add(Kind::Chat, "second", "durban", &stage.second);
        // The reads are: on arrival, on choosing, on sending.
        stage.control.after_reads(2, change);
        let got = stage.call(Kind::Chat).await;
        assert_eq!(stage.first.calls(), 0, "{name}: {got:?}");
        assert_eq!(got.status.is_success(), goes_elsewhere, "{name}: {got:?}");
        if !goes_elsewhere {
            assert_eq!(got.outcome(), Outcome::NotRun, "{name}");
            assert_eq!(stage.second.calls(), 0, "{name}");
        }
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_upstream_that_refuses_in_spite_of_room_is_left_alone_for_a_while() {
    let stage = Stage::new(Kind::Chat).await;
    stage.add(Kind::Chat, "second", "durban", &stage.second);
    // A draining gate refuses at its queue, and reports that little runs.
    stage.first.always(Act::Full);
    const CALLS: usize = 40;
    for _ in 0..CALLS {
        assert!(stage.call(Kind::Chat).await.status.is_success());
    }
    assert!(stage.first.calls() < CALLS / 2, "{}", stage.first.calls());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_feed_too_old_refuses_as_not_run() {
    for age in [None, Some(Duration::from_millis(5_100))] {
        let stage = Stage::new(Kind::Chat).await;
        stage.control.set_age(age);
        for got in [stage.call(Kind::Chat).await, stage.call(Kind::Lookup).await] {
            assert_eq!(got.status, StatusCode::SERVICE_UNAVAILABLE, "{got:?}");
            assert_eq!(got.outcome(), Outcome::NotRun);
        }
        assert_eq!(stage.first.calls(), 0);
        stage.control.set_age(Some(Duration::from_millis(4_000)));
        assert!(stage.call(Kind::Chat).await.status.is_success());
    }
}
