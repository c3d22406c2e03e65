//! Server-sent events: splitting, and checking the sequence of a call across its attempts.

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
fn events_do_not_depend_on_chunk_boundaries() {
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
                let (chunk, tail) = rest.split_at(cut.min(rest.len()));
                splitter.push(chunk);
                rest = tail;
                while let Some(event) = splitter.next_event().unwrap() {
                    events.extend_from_slice(&event.raw);
                }
            }
            assert_eq!(events, text);
        });
}

#[test]
fn oversized_event_is_rejected() {
    let mut splitter = Splitter::new();
    splitter.push(&vec![b'x'; MAX_EVENT_BYTES]);
    assert_eq!(splitter.next_event(), Ok(None));
    splitter.push(b"x");
    assert_eq!(
        splitter.next_event(),
        Err(Error::TooLong {
            limit: MAX_EVENT_BYTES
        })
    );
}

#[test]
fn sequence_accepts_only_the_next_event() {
    let foreign = attempt(2).to_string();
    let cases = [
        ("the next token", token(1, "tide@2", 4), Ok(Verdict::Pass)),
        (
            "a token that the caller already has",
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
        ("invalid JSON", event("{"), Err(Error::Malformed)),
        (
            "a missing position",
            event(r#"{"id":"1","model":"tide@2"}"#),
            Err(Error::Malformed),
        ),
        ("the end of the stream", event("[DONE]"), Ok(Verdict::Done)),
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
