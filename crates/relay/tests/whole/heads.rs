//! Heads of requests that a caller may not send.

use crate::common::{Relay, Upstream, run};

const GOOD: &str = "HTTP/1.1 200 OK\r\nid: q\r\nseal: 1\r\ncontent-length: 4\r\n\r\nbody";
/// The longest head that the state allows, in bytes.
const LIMIT: usize = 16 * 1024;

/// A head of so many bytes, filled up by one header.
fn head(bytes: usize) -> String {
    let rest = "GET /again/ HTTP/1.1\r\nhost: h\r\nid: q\r\nconnection: close\r\nfill: \r\n\r\n";
    let fill = "x".repeat(bytes - rest.len());
    rest.replace("fill: ", &format!("fill: {fill}"))
}

/// A head with so many headers beside the usual ones.
fn headers(count: usize) -> String {
    let more: String = (0..count).map(|n| format!("h-{n}: 1\r\n")).collect();
    format!("GET /again/ HTTP/1.1\r\nhost: h\r\nid: q\r\nconnection: close\r\n{more}\r\n")
}

#[test]
fn a_head_is_forwarded_whole_or_refused_by_its_own_status() {
    let cases = [
        ("as long as it may be", head(LIMIT), "200"),
        ("a little too long", head(LIMIT + 1_024), "431"),
        ("far too long", head(LIMIT * 8), "431"),
        ("many headers", headers(240), "200"),
        ("too many headers", headers(1_000), "431"),
        ("no version", "GET /again/\r\n\r\n".to_owned(), "400"),
        (
            "a line that is no header",
            "GET /again/ HTTP/1.1\r\nhost: h\r\nwhat?\r\n\r\n".to_owned(),
            "400",
        ),
        (
            "two lengths",
            "POST /again/ HTTP/1.1\r\nhost: h\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\nab"
                .to_owned(),
            "400",
        ),
        (
            "a body longer than it may be",
            "POST /again/ HTTP/1.1\r\nhost: h\r\nid: q\r\ncontent-length: 99999999\r\n\r\n"
                .to_owned(),
            "413",
        ),
    ];
    run(async {
        for (name, head, status) in cases {
            let upstream = Upstream::start(&[GOOD]).await;
            let relay = Relay::start(&[upstream.address]);
            let answer = relay.send_raw(&head).await;
            let line = format!("HTTP/1.1 {status}");
            assert!(answer.starts_with(&line), "{name}: {answer:?}");
            let reached = upstream.heads.borrow().len();
            assert_eq!(reached, usize::from(status == "200"), "{name}");
        }
    });
}

/// One caller's bad head costs the next one nothing.
#[test]
fn a_refused_head_ends_only_its_own_connection() {
    run(async {
        let upstream = Upstream::start(&[GOOD]).await;
        let relay = Relay::start(&[upstream.address]);
        let refused = relay.send_raw(&head(LIMIT * 2)).await;
        assert!(refused.starts_with("HTTP/1.1 431"), "{refused:?}");
        let answer = relay.send("/again/").await;
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer:?}");
    });
}
