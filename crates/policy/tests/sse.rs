//! Streams of events: splitting, and following a call over its attempts.

#![allow(clippy::unwrap_used)]

use bytes::Bytes;
use domain::{
    artifact,
    call::{Attempt, Target},
};
use policy::sse::{Error, Event, MAX_EVENT_BYTES, Sequence, Splitter, Verdict};

fn attempt(n: u128) -> Attempt {
    Attempt::from(n)
}

fn target() -> Target {
    Target {
        model: artifact::Id::new("tide", "2"),
        adapter: None,
    }
}

fn event(data: &str) -> Event {
    let raw = Bytes::from(format!("data: {data}\n\n"));
    Event { raw }
}

fn token(id: u128, model: &str, position: u64) -> Event {
    let id = attempt(id);
    event(&format!(
        r#"{{"id":"{id}","model":"{model}","position":{position},"choices":[]}}"#
    ))
}

#[test]
fn bytes_in_any_pieces_make_the_same_events() {
    bolero::check!()
        .with_type::<(Vec<Vec<u8>>, Vec<u8>)>()
        .for_each(|(lines, cuts)| {
            let mut text = Vec::new();
            for (i, line) in lines.iter().enumerate() {
                text.extend_from_slice(b"data: ");
                text.extend(line.iter().filter(|byte| !matches!(byte, b'\r' | b'\n')));
                text.extend_from_slice([b"\n\n".as_slice(), b"\r\n\r\n"][i % 2]);
            }
            let mut splitter = Splitter::new();
            let mut events = Vec::new();
            let mut rest = text.as_slice();
            for cut in cuts.iter().map(|cut| usize::from(*cut)).chain([text.len()]) {
                let (piece, after) = rest.split_at(cut.min(rest.len()));
                splitter.push(piece);
                rest = after;
                while let Some(event) = splitter.next_event().unwrap() {
                    events.extend_from_slice(&event.raw);
                }
            }
            assert_eq!(events, text);
        });
}

#[test]
fn an_event_without_end_is_given_up() {
    let mut splitter = Splitter::new();
    splitter.push(&vec![b'x'; MAX_EVENT_BYTES]);
    assert_eq!(splitter.next_event(), Ok(None));
    splitter.push(b"x");
    assert_eq!(splitter.next_event(), Err(Error::TooLong));
}

#[test]
fn each_event_must_be_the_next_one_of_the_call() {
    let foreign = attempt(2).to_string();
    let cases = [
        ("the next", token(1, "tide@2", 4), Ok(Verdict::Pass)),
        (
            "one that the caller has",
            token(1, "tide@2", 3),
            Ok(Verdict::Skip),
        ),
        (
            "a gap",
            token(1, "tide@2", 5),
            Err(Error::Gap { last: 3, found: 5 }),
        ),
        (
            "another attempt",
            token(2, "tide@2", 4),
            Err(Error::WrongAttempt { id: foreign }),
        ),
        (
            "another version",
            token(1, "tide@1", 4),
            Err(Error::WrongVersion {
                model: "tide@1".to_owned(),
            }),
        ),
        ("no JSON", event("{"), Err(Error::Malformed)),
        (
            "no position",
            event(r#"{"id":"1","model":"tide@2"}"#),
            Err(Error::Malformed),
        ),
        ("the end", event("[DONE]"), Ok(Verdict::Done)),
        (
            "a comment",
            Event {
                raw: Bytes::from_static(b": ping\n\n"),
            },
            Ok(Verdict::Skip),
        ),
    ];
    for (name, next, expected) in cases {
        let mut sequence = Sequence::new(&target());
        for position in 1..=3 {
            let passed = sequence.check(&token(1, "tide@2", position), attempt(1));
            assert_eq!(passed, Ok(Verdict::Pass));
        }
        assert_eq!(sequence.check(&next, attempt(1)), expected, "{name}");
        let position = match expected {
            Ok(Verdict::Pass) => 4,
            _ => 3,
        };
        assert_eq!(sequence.position(), position, "{name}");
    }
}
