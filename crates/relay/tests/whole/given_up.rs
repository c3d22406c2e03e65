//! Requests that were given up: their connections end with a reset, so that an instance that reads
//! later doesn't take them for requests that somebody waits for.

use std::{cell::Cell, io, net::SocketAddr, rc::Rc, time::Duration};

use futures::future;
use socket2::SockRef;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    sync::{mpsc, oneshot},
    time,
};

use crate::common::{Relay, control_of, listen, run};

const GOOD: &str = "HTTP/1.1 200 OK\r\nid: q\r\nseal: 1\r\ncontent-length: 4\r\n\r\nbody";
const CLOSING: &str =
    "HTTP/1.1 200 OK\r\nid: q\r\nseal: 1\r\nconnection: close\r\ncontent-length: 4\r\n\r\nbody";
const NOT_RUN: &str = "HTTP/1.1 503 No\r\nid: q\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n";
const FOREIGN: &str = "HTTP/1.1 200 OK\r\nid: other\r\nseal: 1\r\ncontent-length: 9\r\n\r\nbody";
const SHORT: &str = "HTTP/1.1 200 OK\r\nid: q\r\nseal: 1\r\ncontent-length: 9\r\n\r\nbody";
const BEGUN: &str = "HTTP/1.1 200 OK\r\nid: q\r\nseal: 1\r\ntransfer-encoding: chunked\r\n\r\n\
                     F\r\nid: 1\ndata: x\n\n\r\n";
const RESUMED: &str = "HTTP/1.1 200 OK\r\nid: q\r\nseal: 1\r\ntransfer-encoding: chunked\r\n\r\n\
                       F\r\nid: 2\ndata: x\n\n\r\n0\r\n\r\n";
const SILENCE: &str = "";

/// The receive buffer of an instance that reads nothing, in bytes.
const RECEIVE_BYTES: usize = 16 * 1024;
/// A body that fits neither into that buffer nor into the relay's send buffer, in bytes.
const LONG_BODY: usize = 3 * 1024 * 1024;
/// How long the end of a connection is waited for: longer than a request may take.
const LIMIT: Duration = Duration::from_secs(10);

/// When the caller leaves.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Leave {
    /// When the request has reached the instance.
    Sent,
    /// When a first event has come.
    Begun,
    /// When the connection ends.
    Never,
}

/// How an instance sees its connection end.
#[derive(Debug, PartialEq)]
enum End {
    Reset,
    InOrder,
    /// No error shows, so a frozen instance runs the request when it resumes.
    Unnoticed,
}

struct Case {
    name: &'static str,
    path: &'static str,
    body: usize,
    /// What the instance that is asked first writes.
    first: &'static str,
    /// What the other one writes, if there is one.
    next: Option<&'static str>,
    leave: Leave,
    end: End,
}

/// Waits for a request without reading it, writes `answer`, and waits for the end of the
/// connection. Data stays unread until the connection ends, as at a machine that is frozen.
async fn stand_still(mut stream: TcpStream, answer: &str, seen: oneshot::Sender<()>) -> End {
    SockRef::from(&stream)
        .set_recv_buffer_size(RECEIVE_BYTES)
        .unwrap();
    stream.readable().await.unwrap();
    let _ = seen.send(());
    stream.write_all(answer.as_bytes()).await.unwrap();
    let ended = async {
        if answer == CLOSING || answer == NOT_RUN {
            return read_to_end(&mut stream).await;
        }
        loop {
            if let Some(error) = stream.take_error().unwrap() {
                assert_eq!(error.kind(), io::ErrorKind::ConnectionReset);
                return End::Reset;
            }
            time::sleep(Duration::from_millis(10)).await;
        }
    };
    time::timeout(LIMIT, ended).await.unwrap_or(End::Unnoticed)
}

/// Reads the request, and sees how the connection ends after it.
async fn read_to_end(stream: &mut TcpStream) -> End {
    match stream.read_to_end(&mut Vec::new()).await {
        Ok(_) => End::InOrder,
        Err(error) => {
            assert_eq!(error.kind(), io::ErrorKind::ConnectionReset);
            End::Reset
        }
    }
}

/// The instance for a case, which hands over the end of its first connection.
async fn instance(case: &Case) -> (SocketAddr, oneshot::Receiver<()>, mpsc::Receiver<End>) {
    let (seen, is_seen) = oneshot::channel();
    let (ends, end) = mpsc::channel(1);
    let seen = Rc::new(Cell::new(Some(seen)));
    let (first, next) = (case.first, case.next.unwrap_or_default());
    let address = listen(move |mut stream| {
        let (seen, ends) = (seen.take(), ends.clone());
        async move {
            match seen {
                Some(seen) => {
                    let end = stand_still(stream, first, seen).await;
                    let _ = ends.send(end).await;
                }
                None => {
                    stream.readable().await.unwrap();
                    stream.write_all(next.as_bytes()).await.unwrap();
                    future::pending().await
                }
            }
        }
    })
    .await;
    (address, is_seen, end)
}

/// How the instance that is asked first sees its connection end.
async fn play(case: &Case) -> Option<End> {
    let (address, is_seen, mut end) = instance(case).await;
    let relay = match case.next {
        Some(_) => Relay::start(&[address; 2]),
        None => Relay::start(&[address]),
    };
    let mut caller = TcpStream::connect(relay.address).await.unwrap();
    let (path, length) = (case.path, case.body);
    let head =
        format!("POST {path} HTTP/1.1\r\nhost: h\r\nid: q\r\ncontent-length: {length}\r\n\r\n");
    caller.write_all(head.as_bytes()).await.unwrap();
    caller.write_all(&vec![b'x'; length]).await.unwrap();
    is_seen.await.unwrap();
    if case.leave == Leave::Begun {
        let mut got = Vec::new();
        while !got.ends_with(b"data: x\n\n\r\n") {
            got.push(caller.read_u8().await.unwrap());
        }
    }
    let caller = (case.leave == Leave::Never).then_some(caller);
    let end = end.recv().await;
    drop(caller);
    end
}

/// Fails where the connection of an attempt that was given up is closed in order: a frozen instance
/// found the request in its buffers when it resumed, and ran it for nobody. A connection whose
/// answer is complete still ends in order.
#[test]
fn a_request_that_was_given_up_is_reset() {
    let case = |name, path, first, leave| Case {
        name,
        path,
        body: 0,
        first,
        next: None,
        leave,
        end: End::Reset,
    };
    let cases = [
        case("caller left, idempotent", "/again/", SILENCE, Leave::Sent),
        case("caller left, once", "/once/", SILENCE, Leave::Sent),
        case(
            "caller left before events",
            "/stream/",
            SILENCE,
            Leave::Sent,
        ),
        case("caller left in a stream", "/stream/", BEGUN, Leave::Begun),
        Case {
            body: LONG_BODY,
            ..case(
                "caller left while it is sent",
                "/again/",
                SILENCE,
                Leave::Sent,
            )
        },
        Case {
            next: Some(GOOD),
            ..case("given up for silence", "/again/", SILENCE, Leave::Never)
        },
        Case {
            next: Some(GOOD),
            body: LONG_BODY,
            ..case(
                "given up while it is sent",
                "/again/",
                SILENCE,
                Leave::Never,
            )
        },
        Case {
            next: Some(RESUMED),
            ..case("stream resumed elsewhere", "/stream/", BEGUN, Leave::Never)
        },
        Case {
            next: Some(GOOD),
            ..case("another one's answer", "/again/", FOREIGN, Leave::Never)
        },
        case("deadline, idempotent", "/again/", SILENCE, Leave::Never),
        case("deadline, once", "/once/", SILENCE, Leave::Never),
        case("deadline in a body", "/once/", SHORT, Leave::Never),
        case("deadline before events", "/stream/", SILENCE, Leave::Never),
        case("deadline in a stream", "/stream/", BEGUN, Leave::Never),
        Case {
            end: End::InOrder,
            ..case("complete answer", "/once/", CLOSING, Leave::Never)
        },
        Case {
            end: End::InOrder,
            ..case(
                "complete answer, not kept",
                "/again/",
                CLOSING,
                Leave::Never,
            )
        },
        Case {
            end: End::InOrder,
            ..case("refused as not run", "/once/", NOT_RUN, Leave::Never)
        },
    ];
    run(async {
        let ends = future::join_all(cases.iter().map(play)).await;
        let ends = cases.iter().zip(ends);
        let wrong: Vec<_> = ends
            .filter(|(case, end)| end.as_ref() != Some(&case.end))
            .map(|(case, end)| (case.name, end))
            .collect();
        assert!(wrong.is_empty(), "{wrong:?}");
    });
}

/// An instance that answers the first request so and goes on after a pause that is longer than an
/// old version may be used.
async fn pausing(first: &'static str, rest: &'static str) -> (SocketAddr, mpsc::Receiver<End>) {
    let (ends, end) = mpsc::channel(8);
    let address = listen(move |mut stream| {
        let ends = ends.clone();
        async move {
            stream.readable().await.unwrap();
            stream.write_all(first.as_bytes()).await.unwrap();
            time::sleep(Duration::from_millis(900)).await;
            let is_written = stream.write_all(rest.as_bytes()).await.is_ok();
            let end = match stream.take_error().unwrap() {
                None if is_written => End::InOrder,
                _ => End::Reset,
            };
            let _ = ends.send(end).await;
            future::pending().await
        }
    })
    .await;
    (address, end)
}

/// Fails where a request stays at an instance of an old version that has not begun it: it began
/// when the instance resumed, later than the version may be used. An answer that began in time goes
/// on.
#[test]
fn a_request_does_not_begin_on_a_version_that_is_over() {
    const ASK: &str = "GET /stream/ HTTP/1.1\r\nhost: h\r\nid: q\r\nmodel: m\r\n\
                       connection: close\r\n\r\n";
    const REST: &str = "F\r\nid: 2\ndata: x\n\n\r\n0\r\n\r\n";
    // What the instance of the old version writes before and after the version is over, whether an
    // instance of the new version is there, what callers get, and what the old instance sees.
    let cases = [
        (SILENCE, SILENCE, false, "HTTP/1.1 502", End::Reset),
        (SILENCE, SILENCE, true, "HTTP/1.1 200", End::Reset),
        (BEGUN, REST, false, "HTTP/1.1 200", End::InOrder),
    ];
    run(async {
        for (first, rest, has_new, expected, end) in cases {
            let case = format!("{first:?}, an instance of the new version: {has_new}");
            let (old, mut ends) = pausing(first, rest).await;
            let (new, _ends) = pausing(BEGUN, REST).await;
            let both = [(old, 1), (new, 2)];
            let control = control_of(&both[..1 + usize::from(has_new)]);
            let relay = Relay::join(control);
            relay.control.name_version(2);
            time::sleep(Duration::from_millis(10)).await;
            // Two instances get two of four requests each.
            let count = 1 + 3 * usize::from(has_new);
            let answers = future::join_all((0..count).map(|_| relay.send_raw(ASK))).await;
            for answer in answers {
                assert!(answer.starts_with(expected), "{case}: {answer:?}");
                assert!(
                    !expected.ends_with("200") || answer.ends_with("0\r\n\r\n"),
                    "{case}"
                );
            }
            assert_eq!(ends.recv().await, Some(end), "{case}");
        }
    });
}
