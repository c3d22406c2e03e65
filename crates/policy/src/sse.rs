//! Streams of server-sent events: splitting bytes into events, and checking that each belongs to
//! the attempt, comes from the pinned version and follows without a gap.
//!
//! See `docs/ARCHITECTURE.md`, "Streams".

use std::borrow::Cow;

use bytes::{Bytes, BytesMut};
use domain::call::{Attempt, Target};
use serde::Deserialize;
use snafu::Snafu;

/// The longest accepted event, in bytes.
pub const MAX_EVENT_BYTES: usize = 1024 * 1024;
/// The data of the event that ends a whole stream.
pub const DONE: &[u8] = b"[DONE]";

/// One event with the blank line that ends it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// The bytes as they came.
    pub raw: Bytes,
}

impl Event {
    /// The payload of the event's only `data:` line, or nothing if it has none.
    pub fn data(&self) -> Option<&[u8]> {
        let mut lines = self.raw.split(|byte| *byte == b'\n');
        let data = lines.find_map(|line| line.strip_prefix(b"data:"))?;
        Some(data.trim_ascii())
    }

    /// The number in the event's `id:` line, or nothing if it has none.
    pub fn id(&self) -> Option<u64> {
        let mut lines = self.raw.split(|byte| *byte == b'\n');
        let id = lines.find_map(|line| line.strip_prefix(b"id:"))?;
        std::str::from_utf8(id.trim_ascii()).ok()?.parse().ok()
    }
}

/// Why a stream is not followed further.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum Error {
    /// An event outgrew the limit.
    #[snafu(display("an event of more than {MAX_EVENT_BYTES} bytes"))]
    TooLong,
    /// An event can't be read.
    #[snafu(display("an event that is no JSON object of the contract"))]
    Malformed,
    /// An event belongs to another attempt.
    #[snafu(display("an event of the foreign attempt {id}"))]
    WrongAttempt {
        /// What the event carries.
        id: String,
    },
    /// An event comes from another version.
    #[snafu(display("an event of the foreign version {model}"))]
    WrongVersion {
        /// What the event carries.
        model: String,
    },
    /// Tokens are missing in between.
    #[snafu(display("token {found} came after token {last}"))]
    Gap {
        /// The last token that the caller has.
        last: u64,
        /// The token that came next.
        found: u64,
    },
}

/// Splits bytes into events.
#[derive(Debug, Default)]
pub struct Splitter {
    buffer: BytesMut,
    searched: usize,
}

impl Splitter {
    /// A splitter that has seen nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes the next bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Whether an event has begun and not ended.
    pub fn is_partial(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// The next whole event, or nothing until more bytes come.
    ///
    /// # Errors
    ///
    /// [`Error::TooLong`].
    pub fn next_event(&mut self) -> Result<Option<Event>, Error> {
        let begin = self.searched.saturating_sub(3);
        match find_end(&self.buffer[begin..]) {
            Some(end) => {
                self.searched = 0;
                let raw = self.buffer.split_to(begin + end).freeze();
                Ok(Some(Event { raw }))
            }
            None if self.buffer.len() > MAX_EVENT_BYTES => Err(Error::TooLong),
            None => {
                self.searched = self.buffer.len();
                Ok(None)
            }
        }
    }
}

/// The place after the first blank line.
fn find_end(bytes: &[u8]) -> Option<usize> {
    (0..bytes.len()).find_map(|i| match &bytes[i..] {
        [b'\n', b'\n', ..] => Some(i + 2),
        [b'\r', b'\n', b'\r', b'\n', ..] => Some(i + 4),
        _ => None,
    })
}

/// Follows the ids of a stream whose events count up by one, over all its attempts.
#[derive(Clone, Copy, Debug, Default)]
pub struct Ids {
    last: Option<u64>,
}

impl Ids {
    /// A stream that goes on after the given event, or that begins anywhere.
    pub fn new(last: Option<u64>) -> Self {
        Self { last }
    }

    /// The last event that was passed on.
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Judges the next event. One without an id belongs to the one before it.
    ///
    /// # Errors
    ///
    /// [`Error::Gap`] if events are missing in between.
    pub fn check(&mut self, event: &Event) -> Result<Verdict, Error> {
        match (event.id(), self.last) {
            (None, _) => Ok(Verdict::Pass),
            (Some(found), Some(last)) if found <= last => Ok(Verdict::Skip),
            (Some(found), Some(last)) if found > last + 1 => Err(Error::Gap { last, found }),
            (Some(found), _) => {
                self.last = Some(found);
                Ok(Verdict::Pass)
            }
        }
    }
}

/// What to do with an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Pass it on.
    Pass,
    /// The caller already has it.
    Skip,
    /// The stream is whole.
    Done,
}

#[derive(Deserialize)]
struct Head<'a> {
    #[serde(borrow)]
    id: Cow<'a, str>,
    #[serde(borrow)]
    model: Cow<'a, str>,
    position: u64,
}

/// Follows one caller's stream over all its attempts.
#[derive(Clone, Debug)]
pub struct Sequence {
    model: String,
    last: u64,
}

impl Sequence {
    /// A stream of which the caller has nothing yet.
    pub fn new(target: &Target) -> Self {
        Self {
            model: target.model.to_string(),
            last: 0,
        }
    }

    /// How many tokens the caller has; a resumed stream continues after them.
    pub fn position(&self) -> u64 {
        self.last
    }

    /// Judges the next event of an attempt.
    ///
    /// # Errors
    ///
    /// The stream must not be followed further, since the event is not the next one of this call.
    pub fn check(&mut self, event: &Event, attempt: Attempt) -> Result<Verdict, Error> {
        let data = match event.data() {
            None => return Ok(Verdict::Skip),
            Some(DONE) => return Ok(Verdict::Done),
            Some(data) => data,
        };
        let head: Head<'_> = serde_json::from_slice(data).map_err(|_| Error::Malformed)?;
        if Attempt::parse(&head.id) != Some(attempt) {
            let id = head.id.into_owned();
            return Err(Error::WrongAttempt { id });
        }
        if head.model != self.model {
            let model = head.model.into_owned();
            return Err(Error::WrongVersion { model });
        }
        match head.position {
            found if found <= self.last => Ok(Verdict::Skip),
            found if found == self.last + 1 => {
                self.last = found;
                Ok(Verdict::Pass)
            }
            found => Err(Error::Gap {
                last: self.last,
                found,
            }),
        }
    }
}
