//! Calls that may not be repeated: fault × step. No key ever runs twice, and every `not-run` is
//! checked against the service's own count.

#![allow(clippy::unwrap_used)]

mod common;

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

use agent::memory::Memory;
use common::{Agent, Call, Fault, TestLedger, Whole, service_settings, wait};
use domain::{
    call::{Outcome, Step},
    header,
    ledger::Write,
    record::Record,
};
use fakes::service::{self, Faults, Service};
use http::StatusCode;
use tokio::time;

async fn service() -> Service {
    let config = service::Config::default();
    Service::start("127.51.2.1:0".parse().unwrap(), config)
        .await
        .unwrap()
}

async fn agent(service: &Service) -> Agent {
    let agent = Agent::start(service_settings(service.addr())).await;
    agent.wait_alive().await;
    agent
}

async fn second(service: &Service, ledger: Arc<TestLedger>) -> Agent {
    let memory = Memory::open(None, 2).unwrap();
    let mut settings = service_settings(service.addr());
    settings["place"]["vm"] = "upstream-2".into();
    let agent = Agent::start_with(settings, ledger, memory).await;
    agent.wait_alive().await;
    agent
}

fn runs(service: &Service, key: &str) -> u64 {
    service.runs().get(key).copied().unwrap_or_default()
}

/// The outcome that a caller learns; a plain answer counts as a run.
fn outcome(answer: &Whole) -> Outcome {
    match answer.headers.contains_key(header::OUTCOME) {
        true => answer.problem().outcome,
        false => Outcome::Ran,
    }
}

/// What a fault at the service leads to.
struct Case {
    fault: service::Fault,
    status: StatusCode,
    outcome: Outcome,
    runs: u64,
    /// Whether a resend gets the kept answer.
    is_replayed: bool,
}

#[tokio::test]
async fn faults_of_the_service() {
    use service::Fault::{
        Crossed, CutAfterRun, CutBeforeRun, Error, Freeze, Half, Late, NoEcho, Refuse,
    };
    let case = |fault, status, outcome, runs, is_replayed| Case {
        fault,
        status,
        outcome,
        runs,
        is_replayed,
    };
    let unknown = |fault, runs| {
        case(
            fault,
            StatusCode::BAD_GATEWAY,
            Outcome::Unknown,
            runs,
            false,
        )
    };
    let error = StatusCode::INTERNAL_SERVER_ERROR;
    let cases = [
        unknown(CutBeforeRun, 0),
        unknown(CutAfterRun, 1),
        unknown(Half, 1),
        unknown(Crossed, 1),
        case(
            Freeze,
            StatusCode::GATEWAY_TIMEOUT,
            Outcome::Unknown,
            1,
            false,
        ),
        case(
            Late { ms: 2_000 },
            StatusCode::GATEWAY_TIMEOUT,
            Outcome::Unknown,
            1,
            false,
        ),
        case(Late { ms: 100 }, StatusCode::OK, Outcome::Ran, 1, true),
        case(Error { status: 500 }, error, Outcome::Ran, 1, true),
        case(
            Refuse,
            StatusCode::SERVICE_UNAVAILABLE,
            Outcome::Ran,
            0,
            true,
        ),
        case(NoEcho, StatusCode::OK, Outcome::Ran, 1, true),
    ];
    for (i, case) in cases.into_iter().enumerate() {
        let service = service().await;
        let agent = agent(&service).await;
        let client = agent.client().await;
        service.make(Faults {
            next: vec![Some(case.fault.clone())],
            ..Faults::default()
        });
        let label = format!("case {i}: {:?}", case.fault);
        let answer = client.send(Call::hold(1, "key")).await;
        assert_eq!(answer.status, case.status, "{label}");
        assert_eq!(outcome(&answer), case.outcome, "{label}");
        assert_eq!(runs(&service, "key"), case.runs, "{label}");
        let resend = Call::hold(2, "key").with_header(header::DEADLINE_MS, "300");
        let again = client.send(resend).await;
        let is_replayed = again.headers.contains_key(header::REPLAY);
        assert_eq!(is_replayed, case.is_replayed, "{label}");
        assert_eq!(runs(&service, "key"), case.runs, "{label}: resent");
        if !is_replayed {
            assert_eq!(outcome(&again), Outcome::Unknown, "{label}: resent");
        }
    }
}

#[tokio::test]
async fn writes_of_the_ledger_that_get_lost() {
    // Which write, what happens to it, the first answer, and how often the call runs in all.
    let cases = [
        ("start", Fault::Lost, Outcome::NotRun, 1),
        ("start", Fault::Unanswered, Outcome::NotRun, 1),
        ("finish", Fault::Lost, Outcome::Ran, 1),
        ("finish", Fault::Unanswered, Outcome::Ran, 1),
    ];
    for (kind, fault, expected, runs_in_all) in cases {
        let service = service().await;
        let agent = agent(&service).await;
        let client = agent.client().await;
        let left = AtomicUsize::new(1);
        agent.ledger.on_write(move |write| {
            let is_meant = match write {
                Write::Start { .. } => kind == "start",
                Write::Finish { .. } => kind == "finish",
                _ => false,
            };
            let is_left = is_meant && left.swap(0, Ordering::SeqCst) == 1;
            is_left.then_some(fault)
        });
        let label = format!("{kind} {fault:?}");
        let answer = client.send(Call::hold(1, "key")).await;
        assert_eq!(outcome(&answer), expected, "{label}");
        if expected == Outcome::NotRun {
            assert_eq!(runs(&service, "key"), 0, "{label}");
            let ledger = agent.ledger.clone();
            wait(|| ledger.count(|w| matches!(w, Write::Release { .. })) > 0).await;
        }
        client.send(Call::hold(2, "key")).await;
        assert_eq!(runs(&service, "key"), runs_in_all, "{label}");
    }
}

#[tokio::test]
async fn an_answer_is_not_passed_on_before_it_is_kept() {
    let service = service().await;
    let agent = agent(&service).await;
    agent
        .ledger
        .on_write(|write| matches!(write, Write::Finish { .. }).then_some(Fault::Lost));
    let client = agent.client().await;
    let call = Call::hold(1, "key").with_header(header::DEADLINE_MS, "400");
    let answer = client.send(call).await;
    assert_eq!(answer.status, StatusCode::BAD_GATEWAY);
    assert_eq!(answer.problem().outcome, Outcome::Ran);
    assert_eq!(answer.problem().step, Step::Ledger);
    // Once the ledger can be reached again, a resend finds the answer.
    agent.ledger.on_write(|_| None);
    let ledger = agent.ledger.clone();
    wait(|| ledger.count(|w| matches!(w, Write::Finish { .. })) > 0).await;
    let again = client.send(Call::hold(2, "key")).await;
    assert_eq!(again.headers[header::REPLAY], "true");
    assert_eq!(runs(&service, "key"), 1);
}

/// What changes between the grant and the call.
#[derive(Clone, Copy, Debug)]
enum Meanwhile {
    Slept,
    ZoneOut,
    Drained,
    DeadlinePassed,
}

#[tokio::test]
async fn what_changes_after_the_grant_gives_it_back() {
    for change in [
        Meanwhile::Slept,
        Meanwhile::ZoneOut,
        Meanwhile::Drained,
        Meanwhile::DeadlinePassed,
    ] {
        let service = service().await;
        let agent = agent(&service).await;
        let (clock, feed) = (agent.clock.clone(), agent.feed.clone());
        let left = AtomicUsize::new(1);
        agent.ledger.on_write(move |write| {
            if matches!(write, Write::Start { .. }) && left.swap(0, Ordering::SeqCst) == 1 {
                match change {
                    Meanwhile::Slept => {
                        feed.set_live(false);
                        clock.sleep(60_000);
                    }
                    Meanwhile::ZoneOut => feed.set(vec![Record::ZoneOut("saldanha".into())]),
                    Meanwhile::Drained => feed.set(vec![Record::Drain("upstream-1".into())]),
                    Meanwhile::DeadlinePassed => clock.sleep(11_000),
                }
            }
            None
        });
        let client = agent.client().await;
        let answer = client.send(Call::hold(1, "key")).await;
        assert_eq!(outcome(&answer), Outcome::NotRun, "{change:?}");
        assert_eq!(runs(&service, "key"), 0, "{change:?}");
        let ledger = agent.ledger.clone();
        wait(|| ledger.count(|w| matches!(w, Write::Release { .. })) == 1).await;
        // Another agent may run it now, and only it does.
        let other = second(&service, agent.ledger.clone()).await;
        let moved = other.client().await.send(Call::hold(2, "key")).await;
        assert_eq!(moved.status, StatusCode::OK, "{change:?}");
        assert_eq!(runs(&service, "key"), 1, "{change:?}");
    }
}

#[tokio::test]
async fn a_service_that_dies_after_the_grant() {
    let service = service().await;
    let addr = service.addr();
    let agent = agent(&service).await;
    let (stop, stopped) = std::sync::mpsc::channel::<()>();
    let slot = Arc::new(parking_lot::Mutex::new(Some(service)));
    let taken = slot.clone();
    agent.ledger.on_write(move |write| {
        if matches!(write, Write::Start { .. }) {
            // Dropping it cuts its connections at once.
            drop(taken.lock().take());
            let _ = stop.send(());
        }
        None
    });
    let client = agent.client().await;
    let answer = client.send(Call::hold(1, "key")).await;
    stopped.recv_timeout(common::LIMIT).unwrap();
    assert_ne!(outcome(&answer), Outcome::Ran);
    let config = service::Config::default();
    let begin = time::Instant::now();
    let next = loop {
        match Service::start(addr, config.clone()).await {
            Ok(next) => break next,
            Err(error) => assert!(begin.elapsed() < common::LIMIT, "{error}"),
        }
    };
    agent.ledger.on_write(|_| None);
    agent.wait_alive().await;
    let was_released = agent.ledger.count(|w| matches!(w, Write::Release { .. })) > 0;
    assert_eq!(was_released, outcome(&answer) == Outcome::NotRun);
    let call = Call::hold(2, "key").with_header(header::DEADLINE_MS, "500");
    client.send(call).await;
    assert_eq!(runs(&next, "key"), u64::from(was_released));
}

#[tokio::test]
async fn a_caller_that_vanishes_leaves_the_answer_for_its_resend() {
    let service = service().await;
    let agent = agent(&service).await;
    service.make(Faults {
        next: vec![Some(service::Fault::Late { ms: 300 })],
        ..Faults::default()
    });
    let client = agent.client().await;
    let call = client.spawn(Call::hold(1, "key"));
    wait(|| runs(&service, "key") == 1).await;
    call.abort();
    assert!(call.await.unwrap_err().is_cancelled());
    let again = client.send(Call::hold(2, "key")).await;
    assert_eq!(again.headers[header::REPLAY], "true");
    assert_eq!(runs(&service, "key"), 1);
}

#[tokio::test]
async fn the_same_key_through_two_agents_at_once() {
    let service = service().await;
    let first = agent(&service).await;
    let other = second(&service, first.ledger.clone()).await;
    let (a, b) = (first.client().await, other.client().await);
    for round in 0..20u128 {
        let key = format!("key-{round}");
        let (x, y) = tokio::join!(
            a.send(Call::hold(2 * round, &key)),
            b.send(Call::hold(2 * round + 1, &key)),
        );
        assert_eq!((x.status, y.status), (StatusCode::OK, StatusCode::OK));
        assert_eq!(x.json(), y.json());
        assert_eq!(runs(&service, &key), 1);
    }
}

#[tokio::test]
async fn an_agent_that_crashes_and_its_next_incarnation() {
    // Whether the crash comes before the call is sent or while it runs.
    for (late_ms, expected_runs) in [(0, 0), (400, 1)] {
        let service = service().await;
        let mut agent = agent(&service).await;
        if late_ms > 0 {
            let fault = service::Fault::Late { ms: late_ms };
            service.make(Faults {
                next: vec![Some(fault)],
                ..Faults::default()
            });
        } else {
            // The grant is written, and the process ends before it learns of it.
            agent.ledger.on_write(|write| {
                Some(match write {
                    Write::Start { .. } => Fault::Unanswered,
                    _ => Fault::Lost,
                })
            });
        }
        let client = agent.client().await;
        let call = client.spawn(Call::hold(1, "key"));
        let ledger = agent.ledger.clone();
        wait(|| ledger.count(|w| matches!(w, Write::Start { .. })) == 1).await;
        wait(|| runs(&service, "key") == expected_runs).await;
        // A ledger that nobody can reach stands for the crash of the process.
        ledger.on_write(|_| Some(Fault::Lost));
        call.abort();
        drop(agent.daemon.take());
        let fresh = Arc::new(TestLedger::default());
        *fresh.entries.lock() = ledger.entries.lock().clone();
        let next = Agent::start_with(
            service_settings(service.addr()),
            fresh,
            Memory::open(None, 3).unwrap(),
        )
        .await;
        next.wait_alive().await;
        let call = Call::hold(2, "key").with_header(header::DEADLINE_MS, "600");
        let answer = next.client().await.send(call).await;
        assert_eq!(outcome(&answer), Outcome::Unknown);
        assert_eq!(runs(&service, "key"), expected_runs);
    }
}

#[tokio::test]
async fn no_fresh_state_no_start() {
    let service = service().await;
    let agent = agent(&service).await;
    agent.feed.set_live(false);
    agent.clock.sleep(6_000);
    let client = agent.client().await;
    let answer = client.send(Call::hold(1, "key")).await;
    assert_eq!(outcome(&answer), Outcome::NotRun);
    assert_eq!(agent.ledger.writes.lock().len(), 0);
    // Look-ups go on: entries that send them have fresh state of their own.
    assert_eq!(client.send(Call::look_up(2)).await.status, StatusCode::OK);
}

#[tokio::test]
async fn an_answer_too_long_to_keep_is_not_run_again() {
    let service = service().await;
    let agent = agent(&service).await;
    let client = agent.client().await;
    client.send(Call::hold(1, "key")).await;
    for entry in agent.ledger.entries.lock().values_mut() {
        if let common::State::Finished(_, answer) = &mut entry.state {
            answer.body = None;
        }
    }
    let again = client.send(Call::hold(2, "key")).await;
    assert_eq!(again.status, StatusCode::BAD_GATEWAY);
    assert_eq!(again.problem().outcome, Outcome::Ran);
    assert_eq!(runs(&service, "key"), 1);
}
