//! The memory budget: many large and slow uploads, and many callers that don't read, cost bounded
//! memory and time, and other requests go on.

#![allow(clippy::unwrap_used)]

use std::{
    cell::Cell,
    net::SocketAddr,
    rc::Rc,
    sync::Mutex,
    time::{Duration, Instant},
};

#[allow(dead_code)]
#[path = "whole/common.rs"]
mod common;

use common::{Relay, listen, read_head, run};
use futures::future;
use host::memory;
use policy::memory::Use;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpSocket, TcpStream},
    time,
};

/// What the process may need, in bytes: a part of the smallest machine's memory.
const MAX_GROWTH: usize = 64 * 1024 * 1024;
/// The longest body that the state allows.
const BODY_BYTES: usize = 4 * 1024 * 1024;
/// How long the routes of these tests let a request take.
const TIMEOUT: Duration = Duration::from_secs(3);
/// How much later than that everything must be over, on a busy machine.
const MARGIN: Duration = Duration::from_secs(15);
const PART: [u8; 16 * 1024] = [b'x'; 16 * 1024];

/// Held by each test, because the others of this file would add to its memory.
static MEASURED: Mutex<()> = Mutex::new(());

/// An instance that reads a request to its end and answers `length` bytes.
async fn instance(length: usize) -> SocketAddr {
    listen(move |mut stream| async move {
        let Some(head) = read_head(&mut stream).await else {
            return;
        };
        let body = head
            .to_ascii_lowercase()
            .lines()
            .find_map(|line| line.strip_prefix("content-length: ")?.parse::<usize>().ok());
        let mut left = body.unwrap_or(0);
        let mut part = vec![0; PART.len()];
        while left > 0 {
            match stream.read(&mut part).await {
                Ok(count @ 1..) => left -= count,
                _ => return,
            }
        }
        let head =
            format!("HTTP/1.1 200 OK\r\nid: q\r\nseal: 1\r\ncontent-length: {length}\r\n\r\n");
        let mut written = stream.write_all(head.as_bytes()).await;
        for at in (0..length).step_by(PART.len()) {
            if written.is_err() {
                return;
            }
            written = stream.write_all(&PART[..PART.len().min(length - at)]).await;
        }
    })
    .await
}

/// The beginning of an answer, and how long it took.
async fn beginning(stream: &mut TcpStream) -> String {
    let mut head = vec![0; 512];
    let read = time::timeout(TIMEOUT + MARGIN, stream.read(&mut head)).await;
    let count = read.expect("an answer or an end").unwrap_or(0);
    String::from_utf8_lossy(&head[..count]).into_owned()
}

/// How a body is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Pace {
    /// In a second.
    Even,
    /// The same without a length.
    Chunked,
    /// A byte in a second.
    Slow,
}

/// Sends a large body, and returns how the answer begins.
async fn upload(address: SocketAddr, pace: Pace) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let length = match pace {
        Pace::Chunked => "transfer-encoding: chunked".to_owned(),
        _ => format!("content-length: {BODY_BYTES}"),
    };
    let head = format!("POST /again/ HTTP/1.1\r\nhost: h\r\nid: q\r\n{length}\r\n\r\n");
    stream.write_all(head.as_bytes()).await.unwrap();
    let begun = Instant::now();
    let parts = BODY_BYTES / PART.len();
    for sent in 0..parts {
        let is_written = match pace {
            Pace::Slow => {
                let answered = time::timeout(Duration::from_secs(1), stream.readable()).await;
                answered.is_err() && stream.write_all(b"x").await.is_ok()
            }
            Pace::Even => stream.write_all(&PART).await.is_ok(),
            Pace::Chunked => {
                let chunk = [b"4000\r\n".as_slice(), &PART, b"\r\n"].concat();
                stream.write_all(&chunk).await.is_ok()
            }
        };
        if !is_written {
            break;
        }
        let due = Duration::from_millis(1_000) * (sent as u32 + 1) / parts as u32;
        time::sleep(due.saturating_sub(begun.elapsed())).await;
    }
    // Where the relay has refused it, this fails.
    let _ = stream.write_all(b"0\r\n\r\n").await;
    beginning(&mut stream).await
}

/// Fails where each body has a limit but all together have none: an entry of 160 MB took 300 MB and
/// was ended, and requests that instances worked on were cut. Fails too where large bodies leave
/// nothing to small ones, or a slow body keeps its memory.
#[test]
fn large_and_slow_uploads_cost_bounded_memory_and_others_go_on() {
    let _measured = MEASURED.lock();
    run(async {
        let relay = Relay::start(&[instance(4).await; 20]);
        let before = memory::reset_peak().unwrap();
        let is_over = Rc::new(Cell::new(false));
        let ordinary = async {
            let mut answers = Vec::new();
            while !is_over.get() {
                for path in ["/again/", "/once/"] {
                    let request = format!(
                        "POST {path} HTTP/1.1\r\nhost: h\r\nid: q\r\nconnection: close\r\n\
                         content-length: 5\r\n\r\nsmall"
                    );
                    answers.push(relay.send_raw(&request).await);
                }
                time::sleep(Duration::from_millis(10)).await;
            }
            answers
        };
        let uploads = async {
            let paces = [Pace::Even, Pace::Chunked, Pace::Slow, Pace::Even];
            let uploads = paces.iter().cycle().take(80).map(|pace| async {
                let answer = upload(relay.address, *pace).await;
                (*pace, answer)
            });
            let answers = future::join_all(uploads).await;
            is_over.set(true);
            answers
        };
        let (ordinary, uploads) = future::join(ordinary, uploads).await;
        let growth = memory::peak().unwrap().saturating_sub(before);
        eprintln!("GROWTH {growth}, {} ordinary requests", ordinary.len());
        assert!(growth < MAX_GROWTH, "{growth} bytes");
        for answer in &ordinary {
            assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
        }
        assert!(ordinary.len() > 10);
        let count = |paces: &[Pace], status: &str| {
            let line = format!("HTTP/1.1 {status}");
            let those = uploads.iter().filter(|(pace, _)| paces.contains(pace));
            those
                .filter(|(_, answer)| answer.starts_with(&line))
                .count()
        };
        let refused = uploads
            .iter()
            .filter(|(_, answer)| answer.starts_with("HTTP/1.1 503"));
        for (pace, answer) in refused {
            let said = answer.to_ascii_lowercase();
            assert!(said.contains("retry-after: "), "{pace:?}: {answer}");
            assert!(said.contains("connection: close"), "{pace:?}: {answer}");
        }
        let fast = [Pace::Even, Pace::Chunked];
        let [served, refused] = [count(&fast, "200"), count(&fast, "503")];
        assert!(served > 0 && refused > 0, "{uploads:?}");
        assert!(count(&[Pace::Slow], "408") > 0, "{uploads:?}");
        assert_eq!(count(&[Pace::Slow], "200"), 0, "{uploads:?}");
        time::sleep(Duration::from_millis(100)).await;
        for wanted in [Use::LargeBody, Use::Request] {
            let held = relay.site.memory.held_for(wanted);
            assert_eq!(held, 0, "all memory for a {wanted} came back");
        }
        // The memory is there for the next one.
        let next = upload(relay.address, Pace::Even).await;
        assert!(next.starts_with("HTTP/1.1 200"), "{next}");
    });
}

/// A caller's connection that takes few bytes before the kernel stops the sender.
async fn narrow(address: SocketAddr) -> TcpStream {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(8 * 1024).unwrap();
    socket.connect(address).await.unwrap()
}

/// Sends a request whose answer the caller leaves unread.
async fn ask(address: SocketAddr, path: &str) -> TcpStream {
    let mut stream = narrow(address).await;
    let request = format!("GET {path} HTTP/1.1\r\nhost: h\r\nid: q\r\nconnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).await.unwrap();
    stream
}

/// Waits until something holds, or fails.
async fn until(what: &str, mut holds: impl FnMut() -> bool) {
    let begun = Instant::now();
    while !holds() {
        assert!(begun.elapsed() < TIMEOUT + MARGIN, "{what}");
        time::sleep(Duration::from_millis(20)).await;
    }
}

/// Fails where whole answers that callers leave unread are not counted, or stay for ever: new
/// requests took what was left.
#[test]
fn whole_answers_to_slow_readers_are_bounded_and_end() {
    const ANSWER_BYTES: usize = 4 * 1024 * 1024;
    let _measured = MEASURED.lock();
    run(async {
        let relay = Relay::start(&[instance(ANSWER_BYTES).await; 20]);
        let before = memory::reset_peak().unwrap();
        let mut unread = Vec::new();
        for _ in 0..40 {
            unread.push(ask(relay.address, "/again/").await);
            time::sleep(Duration::from_millis(20)).await;
        }
        // One that reads slowly gets all of an answer that was taken in, or was told that nothing
        // ran.
        let mut slow = ask(relay.address, "/again/").await;
        let mut part = vec![0; 512 * 1024];
        let mut answer = slow.read(&mut part).await.unwrap();
        let is_refused = part.starts_with(b"HTTP/1.1 503");
        while let Ok(count @ 1..) = slow.read(&mut part).await {
            answer += count;
            time::sleep(Duration::from_millis(5)).await;
        }
        assert!(is_refused || answer > ANSWER_BYTES, "{answer} bytes");
        let growth = memory::peak().unwrap().saturating_sub(before);
        eprintln!("GROWTH {growth}");
        assert!(growth < MAX_GROWTH, "{growth} bytes");
        until("unread answers end", || {
            relay.site.memory.held() < ANSWER_BYTES
        })
        .await;
        let next = relay.send("/again/").await;
        assert!(next.starts_with("HTTP/1.1 200"), "{} bytes", next.len());
        drop(unread);
    });
}

/// An instance that sends events for as long as its answer is read. `sent` counts the bytes of all
/// its answers, and `open` those that go on.
async fn streaming(sent: Rc<Cell<usize>>, open: Rc<Cell<usize>>) -> SocketAddr {
    listen(move |mut stream| {
        let (sent, open) = (sent.clone(), open.clone());
        async move {
            if read_head(&mut stream).await.is_none() {
                return;
            }
            open.set(open.get() + 1);
            let head = "HTTP/1.1 200 OK\r\nid: q\r\nseal: 1\r\ntransfer-encoding: chunked\r\n\r\n";
            let mut written = stream.write_all(head.as_bytes()).await;
            for number in 1.. {
                if written.is_err() {
                    break;
                }
                let event = format!("id: {number}\ndata: {}\n\n", "x".repeat(1_000));
                let chunk = format!("{:X}\r\n{event}\r\n", event.len());
                written = stream.write_all(chunk.as_bytes()).await;
                sent.set(sent.get() + chunk.len());
            }
            open.set(open.get() - 1);
        }
    })
    .await
}

/// Reads a little of an answer now and then.
async fn sip(mut stream: TcpStream) {
    let mut part = [0; 4 * 1024];
    while let Ok(1..) = stream.read(&mut part).await {
        time::sleep(Duration::from_millis(300)).await;
    }
}

/// Fails where a stream is read from its instance faster than its caller reads it, or goes on for
/// ever because nothing asks for its next event.
#[test]
fn streams_to_slow_readers_stop_and_end() {
    const CALLERS: usize = 20;
    let _measured = MEASURED.lock();
    for reads in [false, true] {
        run(async move {
            let (sent, open) = (Rc::new(Cell::new(0)), Rc::new(Cell::new(0)));
            let relay = Relay::start(&[streaming(sent.clone(), open.clone()).await; CALLERS]);
            let before = memory::reset_peak().unwrap();
            let asked = (0..CALLERS).map(|_| ask(relay.address, "/stream/"));
            let unread = future::join_all(asked).await;
            until("every stream begins", || open.get() == CALLERS).await;
            // The kernel's buffers fill up, and then hardly anything moves.
            let mut known = 0;
            until("streams stop", || {
                sent.get() - std::mem::replace(&mut known, sent.get()) < 10_000
            })
            .await;
            let growth = memory::peak().unwrap().saturating_sub(before);
            eprintln!("GROWTH {growth}, {} bytes sent", sent.get());
            assert!(growth < MAX_GROWTH, "{growth} bytes");
            let ended = async {
                until("streams end", || open.get() == 0).await;
                until("requests end", || relay.site.running() == 0).await;
            };
            match reads {
                true => {
                    drop(future::join(ended, future::join_all(unread.into_iter().map(sip))).await)
                }
                false => ended.await,
            }
            assert_eq!(relay.site.memory.held_for(Use::Request), 0);
        });
    }
}
