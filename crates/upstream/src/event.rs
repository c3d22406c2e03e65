//! The events of a streamed answer.

use bytes::{Buf, Bytes, BytesMut};
use serde::Deserialize;

/// A longer event is refused.
const MAX_BYTES: usize = 1024 * 1024;
const END_OF_EVENT: &[u8] = b"\n\n";
const FIELD: &[u8] = b"data:";
const DONE: &[u8] = b"[DONE]";

/// One event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// Its data.
    Data(Bytes),
    /// The terminator.
    Done,
}

/// An event longer than the limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("an event is longer than {MAX_BYTES} bytes")]
pub struct TooLong;

/// Cuts a body into events.
#[derive(Debug, Default)]
pub struct Reader {
    buffer: BytesMut,
}

impl Reader {
    /// A reader at the start of a body.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a piece of the body.
    pub fn push(&mut self, piece: &[u8]) {
        self.buffer.extend_from_slice(piece);
    }

    /// Whether a part of an event is left over.
    pub fn has_rest(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// The next event that has come whole. Lines that carry no data are skipped.
    ///
    /// # Errors
    ///
    /// If an event is too long.
    pub fn next_event(&mut self) -> Result<Option<Event>, TooLong> {
        loop {
            let end = self
                .buffer
                .windows(END_OF_EVENT.len())
                .position(|window| window == END_OF_EVENT);
            let Some(end) = end else {
                return match self.buffer.len() > MAX_BYTES {
                    true => Err(TooLong),
                    false => Ok(None),
                };
            };
            let block = self.buffer.split_to(end).freeze();
            self.buffer.advance(END_OF_EVENT.len());
            let Some(data) = block.strip_prefix(FIELD) else {
                continue;
            };
            let data = data.trim_ascii();
            return Ok(Some(match data == DONE {
                true => Event::Done,
                false => Event::Data(block.slice_ref(data)),
            }));
        }
    }
}

/// What is read of an event's data.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct Data {
    /// The attempt.
    pub id: String,
    /// The model and version that made the token.
    pub model: String,
    /// The token's place, from 1 on.
    pub position: u32,
    /// The alternatives, of which there is one.
    pub choices: Vec<Choice>,
}

/// One alternative.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct Choice {
    /// What is added to the text.
    pub delta: Delta,
}

/// An addition to the text.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
pub struct Delta {
    /// The token's text.
    #[serde(default)]
    pub content: String,
}
