//! Streams of server-sent events: splits bytes into events, and checks that each event belongs to
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
/// The data of the event that ends a complete stream.
pub const DONE: &[u8] = b"[DONE]";

/// One event with the blank line that ends it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// The bytes as received.
    pub raw: Bytes,
}

impl Event {
    /// Returns the payload of the event's only `data:` line, or `None` without such a line.
    pub fn data(&self) -> Option<&[u8]> {
        let mut lines = self.raw.split(|byte| *byte == b'\n');
        let data = lines.find_map(|line| line.strip_prefix(b"data:"))?;
        Some(data.trim_ascii())
    }

    /// Returns the number in the event's `id:` line, or `None` without such a line or number.
    pub fn id(&self) -> Option<u64> {
        let mut lines = self.raw.split(|byte| *byte == b'\n');
        let id = lines.find_map(|line| line.strip_prefix(b"id:"))?;
        std::str::from_utf8(id.trim_ascii()).ok()?.parse().ok()
    }
}

/// Why the stream of an attempt is aborted.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum Error {
    /// An event is longer than accepted.
    #[snafu(display("event exceeds {limit} bytes"))]
    TooLong {
        /// The longest accepted event, in bytes.
        limit: usize,
    },
    /// The data of an event is not a JSON object with the expected fields.
    #[snafu(display("event is not a JSON object with the expected fields"))]
    Malformed,
    /// An event belongs to another attempt.
    #[snafu(display("event belongs to another attempt: {id}"))]
    WrongAttempt {
        /// The attempt in the event.
        id: String,
    },
    /// An event comes from another version.
    #[snafu(display("event comes from another version: {model}"))]
    WrongVersion {
        /// The version in the event.
        model: String,
    },
    /// Tokens or events are missing.
    #[snafu(display("gap in the stream: {found} follows {last}"))]
    Gap {
        /// The position or id of the last event that was passed on.
        last: u64,
        /// The position or id of the next event.
        found: u64,
    },
}

/// Splits bytes into events.
#[derive(Debug)]
pub struct Splitter {
    buffer: BytesMut,
    searched: usize,
    /// The longest accepted event, in bytes.
    limit: usize,
}

impl Default for Splitter {
    fn default() -> Self {
        Self {
            buffer: BytesMut::new(),
            searched: 0,
            limit: MAX_EVENT_BYTES,
        }
    }
}

impl Splitter {
    /// Creates a splitter with an empty buffer.
    pub fn new() -> Self {
        Self::default()
    }

    /// Accepts events of at most `bytes` bytes.
    #[must_use]
    pub fn with_limit(mut self, bytes: usize) -> Self {
        self.limit = bytes;
        self
    }

    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// How many bytes are buffered.
    pub fn buffered(&self) -> usize {
        self.buffer.len()
    }

    /// Whether an incomplete event is buffered.
    pub fn is_partial(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Returns the next complete event, or `None` if more bytes are needed.
    ///
    /// # Errors
    ///
    /// [`Error::TooLong`] if an incomplete event exceeds the limit, which is [`MAX_EVENT_BYTES`] by
    /// default.
    pub fn next_event(&mut self) -> Result<Option<Event>, Error> {
        let begin = self.searched.saturating_sub(3);
        match find_end(&self.buffer[begin..]) {
            Some(end) => {
                self.searched = 0;
                let raw = self.buffer.split_to(begin + end).freeze();
                Ok(Some(Event { raw }))
            }
            None if self.buffer.len() > self.limit => Err(Error::TooLong { limit: self.limit }),
            None => {
                self.searched = self.buffer.len();
                Ok(None)
            }
        }
    }
}

/// Returns the position after the first blank line.
fn find_end(bytes: &[u8]) -> Option<usize> {
    (0..bytes.len()).find_map(|i| match &bytes[i..] {
        [b'\n', b'\n', ..] => Some(i + 2),
        [b'\r', b'\n', b'\r', b'\n', ..] => Some(i + 4),
        _ => None,
    })
}

/// Tracks the event ids of a stream across its attempts. Ids increase by one.
#[derive(Clone, Copy, Debug, Default)]
pub struct Ids {
    last: Option<u64>,
}

impl Ids {
    /// Tracks a stream that continues after the event `last`, or begins at any id if it is `None`.
    pub fn new(last: Option<u64>) -> Self {
        Self { last }
    }

    /// Returns the id of the last event that was passed on.
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Checks the next event. An event without an id belongs to the previous one and is passed on.
    ///
    /// # Errors
    ///
    /// [`Error::Gap`] if events are missing.
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
    /// Drop it: the caller already has it, or it carries no data.
    Skip,
    /// End the stream, which is complete.
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

/// Tracks the tokens of one caller's stream across its attempts.
#[derive(Clone, Debug)]
pub struct Sequence {
    model: String,
    last: u64,
}

impl Sequence {
    /// Tracks a stream of which the caller has received nothing.
    pub fn new(target: &Target) -> Self {
        Self {
            model: target.model.to_string(),
            last: 0,
        }
    }

    /// Returns the number of tokens that the caller has. A resumed stream continues after them.
    pub fn position(&self) -> u64 {
        self.last
    }

    /// Checks the next event of an attempt.
    ///
    /// # Errors
    ///
    /// [`Error`] if the event is not the next one of this call. The attempt's stream must
    /// then be aborted.
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
