//! A service that writes without end, on many calls at once.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use domain::call::Attempt;
use fakes::endless::Endless;
use futures::future;
use host::memory;
use http::{HeaderMap, Method};
use tokio::time;
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
        let endless = Endless::start(beginning, fill).await.unwrap();
        let client = Client::new(endless.address(), Duration::from_secs(2));
        let before = memory::reset_peak().unwrap();
        let calls = future::join_all((1..=CALLS).map(|attempt| client.call(call(attempt))));
        let answers = time::timeout(LIMIT, calls).await.expect(name);
        let growth = memory::peak().unwrap().saturating_sub(before);
        assert!(answers.iter().all(Result::is_err), "{name}");
        assert!(growth < MAX_GROWTH, "{name}: {growth} bytes");
    }
}
