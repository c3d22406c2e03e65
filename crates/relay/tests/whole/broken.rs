//! Answers that break off: in their head, in a body without a frame, in a stream that another
//! instance was to go on with.

use std::{net::SocketAddr, time::Duration};

use socket2::SockRef;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time,
};

use crate::common::{Relay, Upstream, listen, read_head, run};

const CHUNKED: &str = "HTTP/1.1 200 OK\r\nid: q\r\nseal: 1\r\ntransfer-encoding: chunked\r\n\r\n";
const UNFRAMED: &str = "HTTP/1.1 200 OK\r\nid: q\r\nseal: 1\r\n\r\n";
const ONE: &str = "id: 1\ndata: x\n\n";
const TWO: &str = "id: 2\ndata: x\n\n";
const END: &str = "0\r\n\r\n";

fn chunk(text: &str) -> String {
    format!("{:X}\r\n{text}\r\n", text.len())
}

/// Whether a caller takes the answer for a whole one with a success.
fn looks_whole(answer: &str) -> bool {
    let is_success = answer.starts_with("HTTP/1.1 2");
    let (head, body) = answer.split_once("\r\n\r\n").unwrap_or((answer, ""));
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length: "))
        .map(|length| length.parse::<usize>().unwrap());
    let is_complete = match length {
        Some(length) => body.len() == length,
        None => body.ends_with(END),
    };
    is_success && is_complete
}

/// An instance that writes this and then resets the connection.
async fn resetting(text: &'static str) -> SocketAddr {
    listen(move |mut stream| async move {
        read_head(&mut stream).await;
        stream.write_all(text.as_bytes()).await.unwrap();
        // The bytes arrive before the reset.
        time::sleep(Duration::from_millis(30)).await;
        SockRef::from(&stream)
            .set_linger(Some(Duration::ZERO))
            .unwrap();
    })
    .await
}

/// Fails where a head that was cut is taken for a shorter one: callers got a success with an empty
/// body.
#[test]
fn an_answer_whose_head_was_cut_is_no_answer() {
    let framed = "HTTP/1.1 200 OK\r\nid: q\r\nseal: 1\r\ncontent-length: 10\r\n\r\n";
    run(async {
        for head in [framed, UNFRAMED, CHUNKED] {
            for end in 0..head.len() {
                let cut = &head[..end];
                for path in ["/again/", "/once/", "/stream/"] {
                    let upstream = Upstream::start(&[cut, cut]).await;
                    let relay = Relay::start(&[upstream.address; 2]);
                    let answer = relay.send(path).await;
                    let line = "HTTP/1.1 502";
                    assert!(answer.starts_with(line), "{path} {cut:?}: {answer:?}");
                    assert!(!answer.contains("seal"), "{path} {cut:?}: {answer:?}");
                }
            }
        }
    });
}

/// A body that ends with its connection.
#[test]
fn a_body_without_a_frame_is_whole_if_its_connection_closed_in_order() {
    // The path, what the instance writes, whether it closes in order, and whether the caller gets a
    // whole answer.
    let cases = [
        ("/again/", "body", true, true),
        ("/once/", "body", true, true),
        ("/once/", "", true, true),
        ("/again/", "body", false, false),
        ("/once/", "body", false, false),
        ("/stream/", "id: 1\ndata: x\n\n", true, true),
        ("/stream/", "id: 1\ndata: x\n\nid: 2\n", true, false),
        ("/stream/", "id: 1\ndata: x\n\n", false, false),
        ("/stream/", "id: 1\nda", true, false),
        ("/stream/", "", true, false),
        ("/stream/", "", false, false),
    ];
    run(async {
        for (path, body, is_ordered, is_whole) in cases {
            let text: &'static str = format!("{UNFRAMED}{body}").leak();
            let address = match is_ordered {
                true => Upstream::start(&[text]).await.address,
                false => resetting(text).await,
            };
            let relay = Relay::start(&[address]);
            let answer = relay.send(path).await;
            let case = format!("{path} {body:?} in order: {is_ordered}: {answer:?}");
            assert_eq!(looks_whole(&answer), is_whole, "{case}");
        }
    });
}

/// Fails where what the next instance says is passed on: callers found an error's text in the
/// middle of their stream, or a stream that ended as if it were complete.
#[test]
fn a_stream_that_can_not_go_on_ends_as_broken() {
    let begun = format!("{CHUNKED}{}", chunk(ONE));
    let failed = "HTTP/1.1 500 Bad\r\nid: q\r\nseal: 7\r\ncontent-length: 3\r\n\r\nbad";
    let answers = [
        ("a failure", failed.to_owned()),
        (
            "a failure without a frame",
            "HTTP/1.1 500 Bad\r\nid: q\r\nseal: 7\r\n\r\nbad".to_owned(),
        ),
        (
            "a failure that streams",
            format!(
                "HTTP/1.1 500 Bad\r\nid: q\r\nseal: 7\r\ntransfer-encoding: chunked\r\n\r\n{}{END}",
                chunk(TWO)
            ),
        ),
        (
            "a refusal",
            "HTTP/1.1 503 No\r\nid: q\r\nnot-run: 1\r\ncontent-length: 2\r\n\r\nno".to_owned(),
        ),
        ("no answer", String::new()),
        ("half a head", "HTTP/1.1 200 OK\r\nid: q\r\nse".to_owned()),
        (
            "another answer",
            format!(
                "{}{}{END}",
                CHUNKED.replace("id: q", "id: other"),
                chunk(TWO)
            ),
        ),
        (
            "an answer of somebody else",
            format!("{}{}{END}", CHUNKED.replace("seal: 1\r\n", ""), chunk(TWO)),
        ),
        (
            "a redirection",
            "HTTP/1.1 302 Found\r\nid: q\r\nseal: 1\r\nlocation: /x\r\ncontent-length: 0\r\n\r\n"
                .to_owned(),
        ),
        ("nothing, without a frame", UNFRAMED.to_owned()),
        (
            "half an event, without a frame",
            format!("{UNFRAMED}id: 2\nda"),
        ),
        ("text that is no event", format!("{UNFRAMED}internal error")),
        (
            "an event that does not follow",
            format!("{CHUNKED}{}{END}", chunk("id: 9\ndata: x\n\n")),
        ),
    ];
    run(async {
        for (name, answer) in &answers {
            let upstream = Upstream::start(&[&begun, answer]).await;
            let relay = Relay::start(&[upstream.address; 2]);
            let got = relay.send("/stream/").await;
            assert_eq!(upstream.heads.borrow().len(), 2, "{name}: {got}");
            assert!(!looks_whole(&got), "{name}: {got:?}");
            let (head, body) = got.split_once("\r\n\r\n").unwrap();
            assert!(head.starts_with("HTTP/1.1 200"), "{name}: {got:?}");
            assert_eq!(body, chunk(ONE), "{name}");
        }
    });
}

/// A caller that can't read chunks learns by a reset that its answer broke off, as its end is that
/// of the connection.
#[test]
fn an_old_caller_sees_that_its_answer_broke_off() {
    let begun = format!("{CHUNKED}{}", chunk(ONE));
    let whole = format!("{CHUNKED}{}{END}", chunk(ONE));
    run(async {
        for (answer, is_whole) in [(&whole, true), (&begun, false)] {
            let upstream = Upstream::start(&[answer]).await;
            let relay = Relay::start(&[upstream.address]);
            let mut stream = TcpStream::connect(relay.address).await.unwrap();
            let request = b"GET /stream/ HTTP/1.0\r\nhost: h\r\nid: q\r\n\r\n";
            stream.write_all(request).await.unwrap();
            let mut got = Vec::new();
            let read = stream.read_to_end(&mut got).await;
            let text = String::from_utf8(got).unwrap();
            assert_eq!(read.is_ok(), is_whole, "{read:?}: {text:?}");
            assert!(!is_whole || text.ends_with(ONE), "{text:?}");
        }
    });
}

/// Fails where a status is taken as it comes: callers got 101, and statuses from 600 on.
#[test]
fn a_status_that_no_answer_may_have_is_not_passed_on() {
    let statuses = [
        "000", "001", "099", "0", "20", "2000", "-20", "2x0", "", "101", "600", "700", "999",
    ];
    run(async {
        for status in statuses {
            let answer = format!(
                "HTTP/1.1 {status} No\r\nid: q\r\nseal: 1\r\ncontent-length: 9\r\n\r\ndata: x\n\n"
            );
            for path in ["/again/", "/once/", "/stream/"] {
                let upstream = Upstream::start(&[&answer, &answer]).await;
                let relay = Relay::start(&[upstream.address; 2]);
                let answer = relay.send(path).await;
                let line = "HTTP/1.1 502";
                assert!(answer.starts_with(line), "{path} {status:?}: {answer:?}");
                assert!(!answer.contains("seal"), "{path} {status:?}: {answer:?}");
            }
        }
    });
}
