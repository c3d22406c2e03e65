//! Instances that write an earlier refusal once more on a kept connection, and refusals that don't
//! say that the request did not run.

use crate::common::{Relay, Upstream, run};

const GOOD: &str =
    "HTTP/1.1 200 OK\r\nid: q\r\nseal: 1\r\nkeep: 1\r\ncontent-length: 9\r\n\r\ndata: x\n\n";

/// An answer with an earlier refusal behind it, which the next request on the connection finds.
fn followed_by(refusal: &str) -> String {
    format!("{GOOD}{refusal}")
}

fn refusal(status: u16, id: &str) -> String {
    format!("HTTP/1.1 {status} No\r\n{id}not-run: 1\r\nkeep: 1\r\ncontent-length: 0\r\n\r\n")
}

/// What callers hear when each further request finds an earlier refusal in the place of its
/// answer, by the way in which that refusal names its request. The instance runs every request.
#[test]
fn an_earlier_refusal_on_a_kept_connection_is_no_answer() {
    let ids = [("", "without an id"), ("id: other\r\n", "with another id")];
    run(async {
        for status in [503, 421, 425, 429] {
            for (id, name) in ids {
                for path in ["/again/", "/once/", "/stream/"] {
                    let stale = refusal(status, id);
                    // The second request gets the refusal, and its own answer after it.
                    let late = format!("{stale}{GOOD}");
                    let upstream = Upstream::start(&[GOOD, &late, &late, &late]).await;
                    let relay = Relay::start(&[upstream.address]);
                    let first = relay.send(path).await;
                    assert!(first.starts_with("HTTP/1.1 200"), "{path}: {first}");
                    let second = relay.send(path).await;
                    let promises = ["408", "421", "425", "429", "503"];
                    let told = &second["HTTP/1.1 ".len()..][..3];
                    let case = format!("{path} {status} {name}");
                    assert!(!promises.contains(&told), "{case}: {second}");
                }
            }
        }
    });
}

/// The refusal comes behind the answer that it follows, before the next request is sent.
#[test]
fn bytes_behind_an_answer_end_the_connection() {
    run(async {
        for status in [503, 421, 425] {
            let first = followed_by(&refusal(status, ""));
            let upstream = Upstream::start(&[&first, GOOD, GOOD]).await;
            let relay = Relay::start(&[upstream.address]);
            for round in 0..3 {
                let answer = relay.send("/again/").await;
                assert!(answer.starts_with("HTTP/1.1 200"), "{round}: {answer}");
            }
            let heads = upstream.heads.borrow().len();
            assert_eq!(heads, 3, "each request is sent once");
        }
    });
}

/// An instance that fails with a status that promises that the request did not run, without
/// saying so itself, may have run it.
#[test]
fn a_status_that_promises_too_much_is_not_passed_on() {
    run(async {
        for status in [408, 425, 429, 503] {
            let answer =
                format!("HTTP/1.1 {status} No\r\nid: q\r\nseal: 7\r\ncontent-length: 3\r\n\r\nbad");
            for (path, attempts) in [("/once/", 1), ("/again/", 2), ("/stream/", 2)] {
                let upstream = Upstream::start(&[&answer, &answer]).await;
                let relay = Relay::start(&[upstream.address, upstream.address]);
                let told = relay.send(path).await;
                assert!(told.starts_with("HTTP/1.1 502"), "{path} {status}: {told}");
                assert!(!told.contains("seal"), "{path} {status}: {told}");
                let heads = upstream.heads.borrow().len();
                assert_eq!(heads, attempts, "{path} {status}");
            }
        }
    });
}

/// A stream that is to go on is refused on the connection of an earlier request.
#[test]
fn a_stale_refusal_of_a_resumed_stream_is_no_answer() {
    let head = "HTTP/1.1 200 OK\r\nid: q\r\nseal: 1\r\ntransfer-encoding: chunked\r\n\r\n";
    let broken = format!("{head}f\r\nid: 1\ndata: x\n\ni\r\n");
    run(async {
        for status in [503, 421, 425] {
            let stale = format!("{}{GOOD}", refusal(status, ""));
            let upstream = Upstream::start(&[GOOD, GOOD, &broken, &stale]).await;
            let relay = Relay::start(&[upstream.address, upstream.address]);
            for _ in 0..2 {
                let answer = relay.send("/again/").await;
                assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
            }
            let answer = relay.send("/stream/").await;
            assert!(!answer.starts_with("HTTP/1.1 503"), "{answer}");
            assert!(!answer.ends_with("0\r\n\r\n"), "{answer}");
        }
    });
}
