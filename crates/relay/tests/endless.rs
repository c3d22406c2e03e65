//! Instances that write without end: in a head, in a body, in one event, in many events. Each
//! costs bounded memory and time, its connection is closed, and other requests go on.

#![allow(clippy::unwrap_used)]

use std::{net::SocketAddr, sync::Mutex, time::Duration};

#[allow(dead_code)]
#[path = "whole/common.rs"]
mod common;

use common::{Relay, Upstream, run};
use fakes::endless::Endless;
use futures::future;
use host::memory;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

const GOOD: &str = "HTTP/1.1 200 OK\r\nid: q\r\nseal: 1\r\ncontent-length: 4\r\n\r\nbody";
/// How many requests meet such an instance at once: as many as it may have.
const REQUESTS: usize = 10;
/// What the process may need for them, in bytes: a part of the smallest machine's memory.
const MAX_GROWTH: usize = 64 * 1024 * 1024;

const CHUNKED: &str = "HTTP/1.1 200 OK\r\nid: q\r\nseal: 1\r\ntransfer-encoding: chunked\r\n\r\n";

/// A table of beginnings, the bytes that follow for ever, and the paths that they are sent on.
const CASES: [(&str, &str, &str, &[&str]); 10] = [
    (
        "a status line",
        "HTTP/1.1 200 ",
        "xxxxxxxx",
        &["/again/", "/once/", "/stream/"],
    ),
    (
        "one header",
        "HTTP/1.1 200 OK\r\nid: q\r\nfill: ",
        "xxxxxxxx",
        &["/again/", "/once/"],
    ),
    (
        "many headers",
        "HTTP/1.1 200 OK\r\nid: q\r\n",
        "a: b\r\n",
        &["/again/", "/stream/"],
    ),
    (
        "heads of no answer",
        "",
        "HTTP/1.1 100 Continue\r\n\r\n",
        &["/again/", "/once/", "/stream/"],
    ),
    (
        "a body that ends with the connection",
        "HTTP/1.1 200 OK\r\nid: q\r\nseal: 1\r\n\r\n",
        "xxxxxxxx",
        &["/again/", "/once/", "/stream/"],
    ),
    (
        "a body in chunks",
        CHUNKED,
        "8\r\nxxxxxxxx\r\n",
        &["/again/", "/once/", "/stream/"],
    ),
    (
        "a chunk extension",
        "HTTP/1.1 200 OK\r\nid: q\r\nseal: 1\r\ntransfer-encoding: chunked\r\n\r\n8;",
        "xxxxxxxx",
        &["/again/", "/once/", "/stream/"],
    ),
    (
        "trailers",
        "HTTP/1.1 200 OK\r\nid: q\r\nseal: 1\r\ntransfer-encoding: chunked\r\n\r\n0\r\n",
        "a: b\r\n",
        &["/again/", "/once/"],
    ),
    (
        "one event of many lines",
        CHUNKED,
        "8\r\ndata: x\n\r\n",
        &["/stream/"],
    ),
    (
        "events without an id",
        CHUNKED,
        "9\r\ndata: x\n\n\r\n",
        &["/stream/"],
    ),
];

/// Sends a request on a connection of its own, and reads its answer to the end without
/// keeping it. Returns the status, and whether the answer looks whole.
async fn send_briefly(address: SocketAddr, path: &str) -> (u16, bool) {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let request = format!("GET {path} HTTP/1.1\r\nhost: h\r\nid: q\r\nconnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).await.unwrap();
    let (mut head, mut tail) = (Vec::new(), Vec::new());
    let mut part = vec![0; 64 * 1024];
    let read = async {
        while let Ok(count @ 1..) = stream.read(&mut part).await {
            if head.len() < 12 {
                head.extend_from_slice(&part[..count.min(12)]);
            }
            tail.extend_from_slice(&part[..count]);
            tail.drain(..tail.len().saturating_sub(5));
        }
    };
    let is_over = tokio::time::timeout(Duration::from_secs(30), read).await;
    is_over.expect("the answer ends");
    let status = String::from_utf8_lossy(&head[9..12]).parse().unwrap();
    (status, tail == b"0\r\n\r\n")
}

/// Held by the test that measures memory, because the others of this file would add to it.
static MEASURED: Mutex<()> = Mutex::new(());

#[test]
fn answers_without_end_cost_bounded_memory_and_time() {
    let _measured = MEASURED.lock();
    run(async {
        for (name, beginning, fill, paths) in CASES {
            for path in paths {
                let endless = Endless::start(beginning, fill).await.unwrap();
                let relay = Relay::start(&[endless.address()]);
                let before = memory::reset_peak().unwrap();
                let requests = (0..REQUESTS).map(|_| send_briefly(relay.address, path));
                let answers = future::join_all(requests).await;
                let growth = memory::peak().unwrap().saturating_sub(before);
                let case = format!("{name} on {path}: {answers:?}");
                eprintln!("GROWTH {growth} {name} {path}");
                assert!(growth < MAX_GROWTH, "{case}: {growth} bytes");
                // A request that was refused as not run was never sent, and any other one was.
                let refused = answers.iter().filter(|(status, _)| *status == 503).count();
                assert_eq!(endless.begun(), REQUESTS - refused, "{case}");
                let looks_whole = |(status, is_whole): &(u16, bool)| *status < 500 && *is_whole;
                assert!(!answers.iter().any(looks_whole), "{case}");
                endless.closed().await;
            }
        }
    });
}

/// A caller of a sound instance gets its answer while another instance writes without end.
#[test]
fn other_requests_go_on_beside_an_answer_without_end() {
    let _measured = MEASURED.lock();
    run(async {
        let endless = Endless::start(CHUNKED, "8\r\nxxxxxxxx\r\n").await.unwrap();
        let sound = Upstream::start(&[GOOD; 40]).await;
        let relay = Relay::start(&[endless.address(), sound.address]);
        let requests = (0..20).map(|_| relay.send("/again/"));
        let answers = future::join_all(requests).await;
        let good = answers
            .iter()
            .filter(|answer| answer.starts_with("HTTP/1.1 200"))
            .count();
        assert_eq!(good, answers.len(), "{answers:?}");
    });
}
