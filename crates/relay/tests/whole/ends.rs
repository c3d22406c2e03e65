//! A planned end of a relay: what it still takes, and what callers get.

use std::{net::SocketAddr, time::Duration};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    sync::oneshot,
    time,
};

use crate::common::{Relay, Upstream, control, listen, read_head, run};

const GOOD: &str = "HTTP/1.1 200 OK\r\nid: q\r\nseal: 1\r\ncontent-length: 9\r\n\r\ndata: x\n\n";
/// The route's timeout is 3 s, and callers of the test wait for 5 s.
const LIMIT: Duration = Duration::from_millis(4_000);
/// Late enough that less than half of the timeout is left.
const LATE: Duration = Duration::from_millis(2_700);

/// Sends the rest of a request that has begun.
async fn ask(stream: &mut TcpStream, path: &str) -> String {
    let request = format!("{path} HTTP/1.1\r\nhost: h\r\nid: q\r\n\r\n");
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut answer = Vec::new();
    // A connection that is reset ends the answer too.
    let _ = time::timeout(Duration::from_secs(8), stream.read_to_end(&mut answer)).await;
    String::from_utf8(answer).unwrap()
}

/// An instance that takes requests and never answers.
async fn silent() -> SocketAddr {
    listen(|mut stream| async move {
        read_head(&mut stream).await;
        std::future::pending().await
    })
    .await
}

/// Fails where a request that comes late in the grace is passed on: its connection was cut without
/// an answer at the end.
#[test]
fn a_request_that_comes_too_late_to_be_answered_is_refused_as_not_run() {
    // When the request comes, on which path, and what its caller gets.
    let cases = [
        (Duration::from_millis(50), "/again/", "200", 1),
        (Duration::from_millis(50), "/once/", "200", 1),
        (Duration::from_millis(50), "/stream/", "200", 1),
        (Duration::from_millis(1_500), "/again/", "200", 1),
        (Duration::from_millis(1_500), "/once/", "503", 0),
        (LATE, "/again/", "503", 0),
        (LATE, "/once/", "503", 0),
        (LATE, "/stream/", "503", 0),
    ];
    run(async {
        let tried = cases.map(|(after, path, status, reached)| async move {
            let upstream = Upstream::start(&[GOOD]).await;
            let (leave, left) = oneshot::channel::<()>();
            let relay = Relay::join_until(
                control(&[upstream.address]),
                async { drop(left.await) },
                LIMIT,
            );
            // A connection on which a request has begun stays open.
            let mut stream = TcpStream::connect(relay.address).await.unwrap();
            stream.write_all(b"GET ").await.unwrap();
            time::sleep(Duration::from_millis(20)).await;
            leave.send(()).unwrap();
            time::sleep(after).await;
            let answer = ask(&mut stream, path).await;
            let line = format!("HTTP/1.1 {status}");
            assert!(
                answer.starts_with(&line),
                "{path} after {after:?}: {answer:?}"
            );
            assert!(answer.contains("connection: close"), "{path}: {answer}");
            assert_eq!(
                upstream.heads.borrow().len(),
                reached,
                "{path} after {after:?}"
            );
        });
        futures::future::join_all(tried).await;
    });
}

/// Fails where the process just ends: the connection closed without an answer.
#[test]
fn a_request_that_is_unanswered_at_the_end_gets_an_answer() {
    run(async {
        for path in ["/again/", "/once/", "/stream/"] {
            let (leave, left) = oneshot::channel::<()>();
            let limit = Duration::from_millis(900);
            let relay = Relay::join_until(
                control(&[silent().await]),
                async { drop(left.await) },
                limit,
            );
            let mut stream = TcpStream::connect(relay.address).await.unwrap();
            stream.write_all(b"GET ").await.unwrap();
            let asked = ask(&mut stream, path);
            let left = async {
                time::sleep(Duration::from_millis(50)).await;
                leave.send(()).unwrap();
            };
            let begun = time::Instant::now();
            let (answer, ()) = tokio::join!(asked, left);
            assert!(answer.starts_with("HTTP/1.1 504"), "{path}: {answer:?}");
            assert!(
                begun.elapsed() < Duration::from_secs(3),
                "before the timeout"
            );
        }
    });
}
