//! What callers get for each way in which an instance can fail.

use crate::common::{Relay, Upstream, run};

const GOOD: &str = "HTTP/1.1 200 OK\r\nid: q\r\nseal: 1\r\ncontent-length: 4\r\n\r\nbody";
const FOREIGN: &str = "HTTP/1.1 200 OK\r\nid: other\r\nseal: 1\r\ncontent-length: 4\r\n\r\nbody";
const UNSEALED: &str = "HTTP/1.1 200 OK\r\nid: q\r\ncontent-length: 4\r\n\r\nbody";
const SHORT: &str = "HTTP/1.1 200 OK\r\nid: q\r\nseal: 1\r\ncontent-length: 9\r\n\r\nbody";
const NOT_RUN: &str = "HTTP/1.1 503 No\r\nid: q\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n";
const UNNAMED_REFUSAL: &str = "HTTP/1.1 503 No\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n";
const FOREIGN_REFUSAL: &str =
    "HTTP/1.1 503 No\r\nid: other\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n";
const FAILED: &str = "HTTP/1.1 500 Bad\r\nid: q\r\nseal: 7\r\ncontent-length: 3\r\n\r\nbad";
/// A server that is no instance answers so.
const STRANGE: &str = "HTTP/1.1 404 Not Found\r\ncontent-length: 13\r\n\r\nno such page\n";
const STRANGE_FAILURE: &str = "HTTP/1.1 500 Bad\r\ncontent-length: 3\r\n\r\nbad";
const STRANGE_REDIRECTION: &str = "HTTP/1.1 302 Found\r\nlocation: /x\r\ncontent-length: 0\r\n\r\n";
const GARBAGE: &str = "what?\r\n\r\n";
const NOTHING: &str = "";

/// The first line of the answer and how many requests reached instances, when the first one that is
/// asked answers so and the other one well.
#[test]
fn one_instance_fails_and_the_other_does_not() {
    let cases = [
        ("/again/", GOOD, "200", 1),
        ("/again/", NOT_RUN, "200", 2),
        ("/again/", UNNAMED_REFUSAL, "200", 2),
        ("/again/", FOREIGN_REFUSAL, "200", 2),
        ("/again/", NOTHING, "200", 2),
        ("/again/", FOREIGN, "200", 2),
        ("/again/", UNSEALED, "200", 2),
        ("/again/", SHORT, "200", 2),
        ("/again/", GARBAGE, "200", 2),
        ("/again/", STRANGE, "200", 2),
        ("/again/", STRANGE_FAILURE, "200", 2),
        ("/again/", STRANGE_REDIRECTION, "200", 2),
        ("/again/", FAILED, "200", 2),
        ("/once/", GOOD, "200", 1),
        ("/once/", NOT_RUN, "200", 2),
        ("/once/", UNNAMED_REFUSAL, "502", 1),
        ("/once/", FOREIGN_REFUSAL, "502", 1),
        ("/once/", NOTHING, "502", 1),
        ("/once/", FOREIGN, "502", 1),
        ("/once/", UNSEALED, "502", 1),
        ("/once/", SHORT, "502", 1),
        ("/once/", GARBAGE, "502", 1),
        ("/once/", STRANGE, "502", 1),
        ("/once/", STRANGE_FAILURE, "502", 1),
        ("/once/", STRANGE_REDIRECTION, "502", 1),
        ("/once/", FAILED, "500", 1),
        ("/elsewhere/", GOOD, "404", 0),
    ];
    run(async {
        for (path, first, status, reached) in cases {
            // Whichever is asked first answers by the first line of the same script.
            let upstream = Upstream::start(&[first, GOOD]).await;
            let relay = Relay::start(&[upstream.address, upstream.address]);
            let answer = relay.send(path).await;
            let line = format!("HTTP/1.1 {status}");
            assert!(answer.starts_with(&line), "{path} {first:?}: {answer}");
            let heads = upstream.heads.borrow().len();
            assert_eq!(heads, reached, "{path} {first:?}");
            let has_body = answer.ends_with("\r\n\r\nbody");
            assert_eq!(has_body, status == "200", "{path} {first:?}: {answer}");
            assert_eq!(
                answer.contains("seal: 7"),
                status == "500",
                "{path}: {answer}"
            );
        }
    });
}

/// Fails where a caller without an id gets the answer of a server that is no instance, or does not
/// get an instance's own word, which can name no id.
#[test]
fn a_request_without_an_id_gets_only_an_instances_answers() {
    let cases = [
        (STRANGE, "502"),
        (STRANGE_FAILURE, "502"),
        (
            "HTTP/1.1 200 OK\r\nseal: 1\r\ncontent-length: 0\r\n\r\n",
            "200",
        ),
        (
            "HTTP/1.1 500 Bad\r\nseal: 1\r\ncontent-length: 0\r\n\r\n",
            "500",
        ),
        (
            "HTTP/1.1 400 Bad\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n",
            "400",
        ),
        (UNNAMED_REFUSAL, "503"),
    ];
    run(async {
        for (answer, status) in cases {
            let upstream = Upstream::start(&[answer]).await;
            let relay = Relay::start(&[upstream.address]);
            let request = "GET /once/ HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n";
            let got = relay.send_raw(request).await;
            let line = format!("HTTP/1.1 {status}");
            assert!(got.starts_with(&line), "{answer:?}: {got}");
        }
    });
}

/// Fails where connections of requests that may not run twice are kept: nobody used them, and
/// instances reset new connections beyond their limit, so that a third of such requests were lost.
#[test]
fn only_connections_that_are_used_again_are_kept() {
    const KEPT: &str =
        "HTTP/1.1 200 OK\r\nid: q\r\nseal: 1\r\nkeep: 1\r\ncontent-length: 4\r\n\r\nbody";
    run(async {
        for (path, kept) in [("/once/", 0), ("/again/", 1)] {
            let upstream = Upstream::start(&[KEPT]).await;
            let relay = Relay::start(&[upstream.address]);
            let answer = relay.send(path).await;
            assert!(answer.starts_with("HTTP/1.1 200"), "{path}: {answer}");
            assert_eq!(relay.site.pool.idle(), kept, "{path}");
        }
    });
}

#[test]
fn nothing_is_sent_on_state_that_is_too_old() {
    run(async {
        let upstream = Upstream::start(&[GOOD]).await;
        let relay = Relay::start(&[upstream.address]);
        relay.forget();
        let answer = relay.send("/again/").await;
        assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
        assert!(answer.contains("retry-after"), "{answer}");
        assert!(upstream.heads.borrow().is_empty());
    });
}

/// Fails where only the last attempt counts: the caller heard 503, though the first instance may
/// have run the request.
#[test]
fn a_refusal_after_a_lost_attempt_promises_nothing() {
    run(async {
        for (first, status) in [(NOTHING, "502"), (FAILED, "500"), (NOT_RUN, "503")] {
            let upstream = Upstream::start(&[first, NOT_RUN]).await;
            let relay = Relay::start(&[upstream.address, upstream.address]);
            let answer = relay.send("/again/").await;
            let line = format!("HTTP/1.1 {status}");
            assert!(answer.starts_with(&line), "{first:?}: {answer}");
            assert_eq!(upstream.heads.borrow().len(), 2, "{first:?}");
        }
    });
}

#[test]
fn a_request_that_nobody_takes_did_not_run() {
    run(async {
        let upstream = Upstream::start(&[NOT_RUN, NOT_RUN, NOT_RUN]).await;
        let relay = Relay::start(&[upstream.address, upstream.address]);
        let answer = relay.send("/once/").await;
        assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
        assert!(answer.contains("retry-after"), "{answer}");
        assert_eq!(
            upstream.heads.borrow().len(),
            2,
            "as many as the route allows"
        );
    });
}

fn events(numbers: std::ops::RangeInclusive<u64>, rest: &str) -> String {
    let events: String = numbers.map(|n| format!("id: {n}\ndata: x\n\n")).collect();
    let body = format!("{events}{rest}");
    format!("{:x}\r\n{body}\r\n", body.len())
}

/// Events 1 to 4 in a stream; the first instance breaks off in the middle of the third.
#[test]
fn a_stream_goes_on_where_it_broke_off() {
    let head = "HTTP/1.1 200 OK\r\nid: q\r\nseal: 1\r\ntransfer-encoding: chunked\r\n\r\n";
    let first = format!("{head}{}", events(1..=2, "id: 3\nda"));
    let overlapping = format!("{head}{}0\r\n\r\n", events(2..=4, ""));
    let gap = format!("{head}{}0\r\n\r\n", events(4..=4, ""));
    run(async {
        let upstream = Upstream::start(&[&first, &overlapping]).await;
        let relay = Relay::start(&[upstream.address, upstream.address]);
        let answer = relay.send("/stream/").await;
        let ids: Vec<_> = answer
            .lines()
            .filter_map(|line| line.strip_prefix("id: "))
            .collect();
        assert_eq!(ids, ["q", "1", "2", "3", "4"], "{answer}");
        assert!(answer.ends_with("0\r\n\r\n"), "{answer}");
        let resumed = upstream.heads.borrow()[1].clone();
        assert!(resumed.contains("last: 2"), "{resumed}");

        let upstream = Upstream::start(&[&first, &gap]).await;
        let relay = Relay::start(&[upstream.address, upstream.address]);
        let answer = relay.send("/stream/").await;
        assert!(!answer.contains("id: 4"), "{answer}");
        assert!(
            !answer.ends_with("0\r\n\r\n"),
            "a broken stream does not look whole: {answer}"
        );
    });
}

/// The route allows two instances; both break off.
#[test]
fn a_stream_goes_on_at_no_more_instances_than_its_route_allows() {
    let head = "HTTP/1.1 200 OK\r\nid: q\r\nseal: 1\r\ntransfer-encoding: chunked\r\n\r\n";
    let first = format!("{head}{}", events(1..=2, "id: 3\nda"));
    let second = format!("{head}{}", events(3..=3, "id: 4\nda"));
    let third = format!("{head}{}0\r\n\r\n", events(4..=4, ""));
    run(async {
        let upstream = Upstream::start(&[&first, &second, &third]).await;
        let relay = Relay::start(&[upstream.address; 3]);
        let answer = relay.send("/stream/").await;
        assert_eq!(upstream.heads.borrow().len(), 2, "{answer}");
        assert!(answer.contains("id: 3"), "{answer}");
        assert!(!answer.ends_with("0\r\n\r\n"), "{answer}");
    });
}
