//! Instances that say in their answers that they leave, or that they want a pause.

use std::time::Duration;

use crate::common::{DRAIN, Relay, Upstream, run};

const GOOD: &str = "HTTP/1.1 200 OK\r\nid: q\r\nseal: 1\r\ncontent-length: 9\r\n\r\ndata: x\n\n";
const LEAVING: &str =
    "HTTP/1.1 200 OK\r\nid: q\r\nseal: 1\r\nleaving: 1\r\ncontent-length: 9\r\n\r\ndata: x\n\n";
const LEAVING_REFUSAL: &str =
    "HTTP/1.1 503 No\r\nid: q\r\nnot-run: 1\r\nleaving: 1\r\ncontent-length: 0\r\n\r\n";
const PAUSE: &str =
    "HTTP/1.1 503 No\r\nid: q\r\nnot-run: 1\r\npause: 60000\r\ncontent-length: 0\r\n\r\n";
const SHORT_PAUSE: &str =
    "HTTP/1.1 503 No\r\nid: q\r\nnot-run: 1\r\npause: 200\r\ncontent-length: 0\r\n\r\n";

const PATHS: [&str; 3] = ["/again/", "/once/", "/stream/"];

/// How many requests reach each of two instances, of which one answers so first.
async fn reached(path: &str, first: &str, count: usize) -> (usize, usize) {
    let script: Vec<&str> = [first].into_iter().chain([GOOD; 40]).collect();
    let told = Upstream::start(&script).await;
    let sound = Upstream::start(&[GOOD; 40]).await;
    let relay = Relay::start(&[told.address, sound.address]);
    // Both are equal, so that the first one is met within a few requests.
    for _ in 0..40 {
        relay.send(path).await;
        if !told.heads.borrow().is_empty() {
            break;
        }
    }
    let before = told.heads.borrow().len();
    for _ in 0..count {
        let answer = relay.send(path).await;
        assert!(answer.starts_with("HTTP/1.1 200"), "{path}: {answer}");
    }
    (before, told.heads.borrow().len() - before)
}

/// Fails without the notices: about half of the requests reached the instance.
#[test]
fn an_instance_that_leaves_or_pauses_gets_nothing_while_another_one_serves() {
    run(async {
        for path in PATHS {
            for first in [LEAVING, LEAVING_REFUSAL, PAUSE] {
                let (before, after) = reached(path, first, 20).await;
                assert_eq!((before, after), (1, 0), "{path} {first:?}");
            }
        }
    });
}

/// The only instance of a service leaves: it serves while it may, and then requests are refused at
/// once with a time to come back, and truly.
#[test]
fn the_last_instance_serves_until_its_drain_is_over() {
    run(async {
        let upstream = Upstream::start(&[LEAVING; 10]).await;
        let relay = Relay::start(&[upstream.address]);
        for _ in 0..2 {
            let answer = relay.send("/once/").await;
            assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
        }
        tokio::time::sleep(DRAIN).await;
        let answer = relay.send("/once/").await;
        assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
        assert!(answer.contains("retry-after"), "{answer}");
        assert_eq!(upstream.heads.borrow().len(), 2);
    });
}

/// Every instance wants a pause: callers hear at once when the first one is free again, and are
/// served then.
#[test]
fn callers_hear_when_the_first_pause_ends() {
    run(async {
        for path in PATHS {
            let upstream = Upstream::start(&[PAUSE, GOOD]).await;
            let relay = Relay::start(&[upstream.address]);
            relay.send(path).await;
            let answer = relay.send(path).await;
            assert!(answer.starts_with("HTTP/1.1 503"), "{path}: {answer}");
            let after = answer
                .lines()
                .find_map(|line| line.strip_prefix("retry-after: "));
            let after: f64 = after.unwrap().parse().unwrap();
            assert!((50.0..=61.0).contains(&after), "{path}: {after}");
            assert_eq!(upstream.heads.borrow().len(), 1, "{path}");

            let upstream = Upstream::start(&[SHORT_PAUSE, GOOD]).await;
            let relay = Relay::start(&[upstream.address]);
            relay.send(path).await;
            tokio::time::sleep(Duration::from_millis(250)).await;
            let answer = relay.send(path).await;
            assert!(answer.starts_with("HTTP/1.1 200"), "{path}: {answer}");
        }
    });
}

/// A stream breaks off, and the only other instance has said that it leaves or wants a pause.
#[test]
fn a_stream_does_not_go_on_at_an_instance_that_wants_nothing() {
    let head = "HTTP/1.1 200 OK\r\nid: q\r\nseal: 1\r\ntransfer-encoding: chunked\r\n\r\n";
    let broken = format!("{head}f\r\nid: 1\ndata: x\n\ni\r\n");
    run(async {
        let paused = Upstream::start(&[PAUSE, GOOD, GOOD]).await;
        let breaking = Upstream::start(&[&broken, &broken, &broken, &broken]).await;
        let relay = Relay::start(&[paused.address, breaking.address]);
        for _ in 0..4 {
            relay.send("/stream/").await;
        }
        assert_eq!(paused.heads.borrow().len(), 1);
    });
}
