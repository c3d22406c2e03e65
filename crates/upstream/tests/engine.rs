//! The contract between the agent and a model engine.
//!
//! With `GYPSUM_ENGINE_ADDR` and `GYPSUM_ENGINE_MODEL` (`name@version`, served there) the cases
//! without faults run against a real peer.

#![allow(clippy::unwrap_used)]

use std::{net::SocketAddr, time::Duration};

use bolero::check;
use domain::{
    artifact::Id,
    call::{Attempt, Outcome, Target},
    digest::Digest,
    order::{Fence, Order, Role},
};
use fakes::engine::{Config, Engine, fault, text};
use serde_json::json;
use tokio::time;
use upstream::{
    Error,
    engine::{Call, Client, Command, Engine as _},
    event::{Event, Reader},
};

const PATIENCE: Duration = Duration::from_millis(400);

struct Peer {
    addr: SocketAddr,
    model: Id,
    fake: Option<Engine>,
}

async fn fake(checks_fencing: bool) -> Peer {
    let config = Config {
        checks_fencing,
        warm_after: 0,
        ..Config::default()
    };
    let fake = Engine::start("127.52.2.1:0".parse().unwrap(), config)
        .await
        .unwrap();
    let model = Id::new("sand", "3");
    fake.serve(model.clone(), Digest::of(b"sand"));
    Peer {
        addr: fake.addr(),
        model,
        fake: Some(fake),
    }
}

async fn peer() -> Peer {
    match std::env::var("GYPSUM_ENGINE_ADDR") {
        Ok(addr) => Peer {
            addr: addr.parse().unwrap(),
            model: Id::parse(&std::env::var("GYPSUM_ENGINE_MODEL").unwrap()).unwrap(),
            fake: None,
        },
        Err(_) => fake(true).await,
    }
}

fn call(attempt: u128, model: &Id, resume_from: u32) -> Call {
    let request = json!({
        "model": "whatever the caller said",
        "messages": [{"role": "user", "content": "tides?"}],
        "max_tokens": 6,
    });
    Call {
        attempt: Attempt::from(attempt),
        target: Target {
            model: model.clone(),
            adapter: None,
        },
        resume_from,
        request: request.as_object().unwrap().clone(),
    }
}

/// The positions and the text of an answer, or its failure.
async fn read(client: &Client, call: Call) -> Result<(Vec<u32>, String), Error> {
    let mut tokens = client.call(call).await?;
    let (mut positions, mut text) = (Vec::new(), String::new());
    while let Some(token) = tokens.next().await? {
        positions.push(token.position);
        text.push_str(&token.content);
    }
    Ok((positions, text))
}

#[tokio::test]
async fn answers_come_whole_and_resume_where_they_stopped() {
    let peer = peer().await;
    let client = Client::new(peer.addr, Duration::from_secs(10));
    let (positions, whole) = read(&client, call(1, &peer.model, 0)).await.unwrap();
    assert_eq!(positions, (1..=positions.len() as u32).collect::<Vec<_>>());
    let (rest, tail) = read(&client, call(2, &peer.model, 2)).await.unwrap();
    assert_eq!(rest, positions[2..]);
    assert!(whole.ends_with(&tail));
    if peer.fake.is_some() {
        assert_eq!(whole, text::answer("sand@3", None, "tides?", 6));
    }
}

#[tokio::test]
async fn the_state_and_the_end_of_the_process_show() {
    let peer = peer().await;
    let client = Client::new(peer.addr, PATIENCE);
    let mut monitor = client.monitor().await.unwrap();
    let state = monitor.state().await.unwrap();
    assert!(
        state
            .serving
            .iter()
            .any(|served| served.artifact == peer.model)
    );
    assert_eq!(monitor.state().await.unwrap().boot, state.boot);
    let Some(fake) = peer.fake else { return };
    let closed = monitor.closed();
    fake.stop().await;
    time::timeout(PATIENCE, closed.cancelled()).await.unwrap();
    let next = Engine::start(peer.addr, Config::default()).await.unwrap();
    let state_of_next = client.monitor().await.unwrap().state().await.unwrap();
    assert_ne!(state_of_next.boot, state.boot);
    assert!(state_of_next.serving.is_empty());
    drop(next);
}

#[tokio::test]
async fn orders_with_old_fencing_numbers() {
    // Whether the engine checks them.
    for checks in [true, false] {
        let peer = fake(checks).await;
        let client = Client::new(peer.addr, PATIENCE);
        let order = |index| Command {
            fence: Fence { term: 1, index },
            order: Order::Role(Role::Decode),
            manifest: None,
            chunks: Vec::new(),
        };
        client.order(order(5)).await.unwrap();
        client.order(order(5)).await.unwrap();
        match client.order(order(4)).await {
            Ok(()) => assert!(!checks),
            Err(Error::Fenced { fence, .. }) => {
                assert!(checks);
                assert_eq!(fence, Fence { term: 1, index: 5 });
            }
            Err(error) => panic!("{error}"),
        }
        let stats = peer.fake.unwrap().stats();
        assert_eq!(stats.stale_orders, u64::from(!checks));
    }
}

#[tokio::test]
async fn a_load_without_its_files_is_refused() {
    let peer = fake(true).await;
    let client = Client::new(peer.addr, PATIENCE);
    let command = Command {
        fence: Fence::default(),
        order: Order::Load(Id::new("sand", "4")),
        manifest: Some("/nowhere".into()),
        chunks: Vec::new(),
    };
    let error = client.order(command).await.unwrap_err();
    assert!(
        matches!(error, Error::Refused { status: 422, .. }),
        "{error}"
    );
}

#[tokio::test]
async fn faults() {
    use fault::Fault::{
        CrossedBody, CrossedHead, Cut, CutBeforeHead, Error as Status, Freeze, FreezeBeforeHead,
        Late, NoTerminator,
    };
    let cases = [
        (CutBeforeHead, Some(Outcome::Unknown)),
        (CrossedHead, Some(Outcome::Unknown)),
        (CrossedBody { after: 0 }, Some(Outcome::Unknown)),
        (CrossedBody { after: 3 }, Some(Outcome::Unknown)),
        (Cut { after: 0 }, Some(Outcome::Unknown)),
        (Cut { after: 3 }, Some(Outcome::Unknown)),
        (NoTerminator { after: 3 }, Some(Outcome::Unknown)),
        (NoTerminator { after: 5 }, Some(Outcome::Unknown)),
        (Freeze { after: 3 }, Some(Outcome::Unknown)),
        (FreezeBeforeHead, Some(Outcome::Unknown)),
        (Late { ms: 1_000 }, Some(Outcome::Unknown)),
        (Late { ms: 50 }, None),
        (Status { status: 500 }, Some(Outcome::Ran)),
        (Status { status: 503 }, Some(Outcome::NotRun)),
    ];
    for (fault, expected) in cases {
        let peer = fake(true).await;
        let fake = peer.fake.unwrap();
        let client = Client::new(peer.addr, PATIENCE);
        read(&client, call(1, &peer.model, 0)).await.unwrap();
        fake.make(&fault::Request {
            next: vec![Some(fault.clone())],
            ..fault::Request::default()
        });
        let answer = read(&client, call(2, &peer.model, 0)).await;
        let outcome = answer.as_ref().err().map(Error::outcome);
        assert_eq!(outcome, expected, "{fault:?}: {answer:?}");
        let text = text::answer("sand@3", None, "tides?", 6);
        let next = read(&client, call(3, &peer.model, 0)).await.unwrap();
        assert_eq!(next.1, text, "after {fault:?}");
    }
}

#[tokio::test]
async fn an_answer_that_nobody_reads_is_cancelled() {
    let peer = fake(true).await;
    let client = Client::new(peer.addr, PATIENCE);
    let mut long = call(1, &peer.model, 0);
    long.request.insert("max_tokens".into(), 5_000.into());
    let mut tokens = client.call(long).await.unwrap();
    tokens.next().await.unwrap();
    drop(tokens);
    let fake = peer.fake.unwrap();
    let begin = time::Instant::now();
    while fake.stats().cancelled + fake.stats().vanished == 0 {
        assert!(begin.elapsed() < Duration::from_secs(20));
        time::sleep(Duration::from_millis(5)).await;
    }
}

#[test]
fn events_are_cut_the_same_wherever_the_pieces_end() {
    check!()
        .with_type::<(Vec<Vec<u8>>, u8)>()
        .for_each(|(texts, size)| {
            // Texts without line ends, as JSON is written.
            let clean = |text: &Vec<u8>| -> Vec<u8> {
                let kept = text.iter().filter(|byte| !byte.is_ascii_whitespace());
                kept.copied().collect()
            };
            let texts: Vec<_> = texts.iter().map(clean).collect();
            let mut stream: Vec<u8> = Vec::new();
            for text in &texts {
                stream.extend_from_slice(b": comment\n\ndata: ");
                stream.extend_from_slice(text);
                stream.extend_from_slice(b"\n\n");
            }
            stream.extend_from_slice(b"data: [DONE]\n\n");
            let mut reader = Reader::new();
            let mut events = Vec::new();
            for piece in stream.chunks(usize::from(*size).max(1)) {
                reader.push(piece);
                while let Some(event) = reader.next_event().unwrap() {
                    events.push(event);
                }
            }
            let mut expected: Vec<_> = texts
                .into_iter()
                .map(|text| match text == b"[DONE]" {
                    true => Event::Done,
                    false => Event::Data(text.into()),
                })
                .collect();
            expected.push(Event::Done);
            assert_eq!(events, expected);
            assert!(!reader.has_rest());
        });
}
