//! Answers that are kept until they are whole. An instance may write without end, so that one
//! answer and all of them together have a limit.

use std::{cell::Cell, rc::Rc};

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;

use crate::attempt;

/// The longest answer, in bytes: as long as a caller's body may be by default.
const MAX_ANSWER_BYTES: usize = 4 * 1024 * 1024;
/// What all answers together may take, in bytes: a fifth of the smallest machine's memory.
const MAX_KEPT_BYTES: usize = 32 * 1024 * 1024;

/// How many bytes of unfinished answers are kept.
#[derive(Clone, Default)]
pub struct Kept(Rc<Cell<usize>>);

/// The bytes of one unfinished answer.
struct Share {
    kept: Kept,
    bytes: usize,
}

impl Share {
    fn grow(&mut self, bytes: usize) -> Result<(), String> {
        self.bytes += bytes;
        self.kept.0.set(self.kept.0.get() + bytes);
        match () {
            () if self.bytes > MAX_ANSWER_BYTES => Err(format!(
                "the answer is longer than {MAX_ANSWER_BYTES} bytes"
            )),
            () if self.kept.0.get() > MAX_KEPT_BYTES => Err(format!(
                "unfinished answers take more than {MAX_KEPT_BYTES} bytes"
            )),
            () => Ok(()),
        }
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        self.kept.0.set(self.kept.0.get() - self.bytes);
    }
}

/// Reads a body to its end.
///
/// # Errors
///
/// Why it is not whole.
pub async fn read(kept: &Kept, mut body: Incoming) -> Result<Bytes, String> {
    let mut share = Share {
        kept: kept.clone(),
        bytes: 0,
    };
    // Parts are copied: a list of them would take a multiple of their bytes if each is short.
    let mut bytes = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| attempt::describe(&error))?;
        if let Ok(data) = frame.into_data() {
            share.grow(data.len())?;
            bytes.extend_from_slice(&data);
        }
    }
    Ok(bytes.freeze())
}
