//! A service that writes without end, on many calls at once.

#![allow(clippy::unwrap_used)]

use std::{net::SocketAddr, time::Duration};

use domain::call::Attempt;
use futures::future;
use http::{HeaderMap, Method};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
    time,
};
use upstream::service::{Call, Client, Service as _};

/// How many calls meet such a service at once.
const CALLS: u128 = 16;
/// How much memory they may take, in bytes: half of what a node may spend for control.
const MAX_GROWTH: usize = 64 * 1024 * 1024;
/// No call may take longer, even on a busy machine.
const LIMIT: Duration = Duration::from_secs(60);

fn call(attempt: u128) -> Call {
    Call {
        attempt: Attempt::from(attempt),
        method: Method::GET,
        path: "/berths".into(),
        headers: HeaderMap::new(),
        body: "".into(),
        once_key: None,
    }
}

/// Answers each connection with a beginning and then with the same bytes until it is closed.
async fn endless(beginning: &'static str, fill: &'static [u8]) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut request = [0; 1_024];
                let _ = stream.read(&mut request).await;
                let mut written = stream.write_all(beginning.as_bytes()).await;
                while written.is_ok() {
                    written = stream.write_all(fill).await;
                }
            });
        }
    });
    address
}

/// Forgets the most memory that the process has held so far, and returns what it holds, in bytes.
fn reset_peak() -> usize {
    std::fs::write("/proc/self/clear_refs", "5").unwrap();
    peak()
}

/// The most memory that the process has held since [`reset_peak`], in bytes.
fn peak() -> usize {
    let text = std::fs::read_to_string("/proc/self/status").unwrap();
    let line = text.lines().find(|line| line.starts_with("VmHWM:"));
    let kilobytes = line.unwrap().split_whitespace().nth(1).unwrap();
    kilobytes.parse::<usize>().unwrap() * 1_024
}

/// Guards against a service whose answers, each within its limit, together take all memory.
#[tokio::test]
async fn answers_without_end_cost_bounded_memory() {
    let cases = [
        ("a status line", "HTTP/1.1 200 ", "xxxxxxxx"),
        ("headers", "HTTP/1.1 200 OK\r\n", "a: b\r\n"),
        ("heads of no answer", "", "HTTP/1.1 100 Continue\r\n\r\n"),
        (
            "a body with a length",
            "HTTP/1.1 200 OK\r\ncontent-length: 99999999999\r\n\r\n",
            "xxxxxxxx",
        ),
        (
            "a body in chunks",
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
            "8\r\nxxxxxxxx\r\n",
        ),
        (
            "a chunk extension",
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n8;",
            "xxxxxxxx",
        ),
        (
            "trailers",
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n",
            "a: b\r\n",
        ),
    ];
    for (name, beginning, fill) in cases {
        let fill = fill.repeat(64 * 1024 / fill.len()).leak().as_bytes();
        let address = endless(beginning, fill).await;
        let client = Client::new(address, Duration::from_secs(2));
        let before = reset_peak();
        let calls = future::join_all((1..=CALLS).map(|attempt| client.call(call(attempt))));
        let answers = time::timeout(LIMIT, calls).await.expect(name);
        let growth = peak().saturating_sub(before);
        assert!(answers.iter().all(Result::is_err), "{name}");
        assert!(growth < MAX_GROWTH, "{name}: {growth} bytes");
    }
}
