//! The contract between the agent and a plain service.
//!
//! With `GYPSUM_SERVICE_ADDR` the cases without faults run against a real peer.

#![allow(clippy::unwrap_used)]

use std::{net::SocketAddr, sync::Arc, time::Duration};

use domain::{
    call::{Attempt, Outcome},
    digest::Digest,
};
use fakes::service::{Config, Fault, Faults, Service};
use http::{HeaderMap, Method, StatusCode};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
    time,
};
use upstream::service::{Call, Client, Service as _};

const PATIENCE: Duration = Duration::from_millis(400);

fn call(attempt: u128, method: Method) -> Call {
    let is_once = method == Method::POST;
    Call {
        attempt: Attempt::from(attempt),
        method,
        path: "/holds?berth=7".into(),
        headers: HeaderMap::new(),
        body: "barge".into(),
        once_key: is_once.then(|| Arc::from("key")),
    }
}

async fn fake() -> Service {
    Service::start("127.52.1.1:0".parse().unwrap(), Config::default())
        .await
        .unwrap()
}

async fn peer() -> (SocketAddr, Option<Service>) {
    match std::env::var("GYPSUM_SERVICE_ADDR") {
        Ok(addr) => (addr.parse().unwrap(), None),
        Err(_) => {
            let fake = fake().await;
            (fake.addr(), Some(fake))
        }
    }
}

async fn send(client: &Client, call: Call) -> Result<upstream::service::Answer, upstream::Error> {
    match call.once_key {
        Some(_) => client.open().await?.send(call).await,
        None => client.call(call).await,
    }
}

#[tokio::test]
async fn look_ups_and_other_calls_are_answered_whole() {
    let (addr, fake) = peer().await;
    let client = Client::new(addr, PATIENCE);
    for (attempt, method) in [(1, Method::GET), (2, Method::POST), (3, Method::GET)] {
        let answer = send(&client, call(attempt, method)).await.unwrap();
        assert!(answer.status.is_success());
        if fake.is_some() {
            let value: serde_json::Value = serde_json::from_slice(&answer.body).unwrap();
            assert_eq!(value["path"], "/holds");
            assert_eq!(value["query"], "berth=7");
            assert_eq!(value["body"], Digest::of(b"barge").to_string());
        }
    }
}

#[tokio::test]
async fn the_end_of_the_process_shows_on_an_idle_connection() {
    let fake = fake().await;
    let monitor = Client::new(fake.addr(), PATIENCE).monitor().await.unwrap();
    let closed = monitor.closed();
    assert!(!closed.is_cancelled());
    fake.stop().await;
    time::timeout(PATIENCE, closed.cancelled()).await.unwrap();
}

#[tokio::test]
async fn faults() {
    let status = |status| Some(StatusCode::from_u16(status).unwrap());
    // The status of a plain answer, or the outcome of a failure.
    let cases = [
        (Fault::CutBeforeRun, None),
        (Fault::CutAfterRun, None),
        (Fault::Half, None),
        (Fault::Freeze, None),
        (Fault::Late { ms: 1_000 }, None),
        (Fault::Crossed, None),
        (Fault::Late { ms: 50 }, status(200)),
        (Fault::Error { status: 500 }, status(500)),
        (Fault::Refuse, status(503)),
        (Fault::NoEcho, status(200)),
    ];
    for (fault, expected) in cases {
        for method in [Method::GET, Method::POST] {
            let fake = fake().await;
            let client = Client::new(fake.addr(), PATIENCE);
            let label = format!("{fault:?} {method}");
            fake.make(Faults {
                next: vec![Some(fault.clone())],
                ..Faults::default()
            });
            match (send(&client, call(1, method)).await, expected) {
                (Ok(answer), Some(status)) => assert_eq!(answer.status, status, "{label}"),
                (Err(error), None) => assert_eq!(error.outcome(), Outcome::Unknown, "{label}"),
                (other, _) => panic!("{label}: {other:?}"),
            }
            // The next call is not touched by the fault of the last one.
            let next = send(&client, call(2, Method::GET)).await.unwrap();
            assert_eq!(next.status, StatusCode::OK, "{label}");
        }
    }
}

/// A peer that answers each connection's first request with fixed bytes, then closes it.
async fn raw(answer: &'static [u8]) -> SocketAddr {
    let listener = TcpListener::bind("127.52.1.2:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            let mut buffer = [0; 4_096];
            let _ = stream.read(&mut buffer).await;
            let _ = stream.write_all(answer).await;
        }
    });
    addr
}

#[tokio::test]
async fn bodies_are_whole_only_with_their_end_marker() {
    type Row = (&'static str, &'static [u8], Option<&'static [u8]>);
    let cases: &[Row] = &[
        (
            "length",
            b"HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nabc",
            Some(b"abc"),
        ),
        (
            "short of its length",
            b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nabc",
            None,
        ),
        (
            "chunked",
            b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
            Some(b"abc"),
        ),
        (
            "without its last chunk",
            b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n",
            None,
        ),
        (
            "ended by the connection",
            b"HTTP/1.1 200 OK\r\n\r\nabc",
            None,
        ),
        ("no content", b"HTTP/1.1 204 No Content\r\n\r\n", Some(b"")),
        ("half a head", b"HTTP/1.1 200 OK\r\ncontent-le", None),
        ("nothing", b"", None),
    ];
    for (name, answer, expected) in cases {
        let client = Client::new(raw(answer).await, PATIENCE);
        for method in [Method::GET, Method::POST] {
            let body = send(&client, call(1, method.clone()))
                .await
                .map(|answer| answer.body);
            match (body, expected) {
                (Ok(body), Some(expected)) => assert_eq!(body, *expected, "{name} {method}"),
                (Err(error), None) => assert_eq!(error.outcome(), Outcome::Unknown, "{name}"),
                (other, _) => panic!("{name} {method}: {other:?}"),
            }
        }
    }
}

#[tokio::test]
async fn nobody_there_means_not_run() {
    let fake = fake().await;
    let client = Client::new(fake.addr(), PATIENCE);
    client.call(call(1, Method::GET)).await.unwrap();
    let line = client.open().await.unwrap();
    fake.stop().await;
    // On a pooled connection, on a fresh one, and on one that was opened before.
    for method in [Method::GET, Method::POST] {
        let error = send(&client, call(2, method)).await.unwrap_err();
        assert_eq!(error.outcome(), Outcome::NotRun, "{error}");
    }
    let error = line.send(call(3, Method::POST)).await.unwrap_err();
    assert_eq!(error.outcome(), Outcome::NotRun, "{error}");
}
