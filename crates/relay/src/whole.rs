//! Answers that are kept until they are whole. An instance may write without end, so that one
//! answer and all of them together have a limit.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body as _, Incoming};
use policy::{
    kept::{Exceeded, Kept},
    memory::{Memory, Short, Use},
};

use crate::attempt;

/// Why an answer is not whole.
#[derive(Debug, derive_more::Display)]
pub(crate) enum Fault {
    /// The instance or its connection failed.
    Broken(String),
    /// The process has no memory for it, which says nothing of the instance.
    Short(Short),
}

/// The longest answer, in bytes: as long as a caller's body may be by default.
const MAX_ANSWER_BYTES: usize = 4 * 1024 * 1024;
/// What all answers together may take, in bytes: a fifth of the smallest machine's memory.
const MAX_KEPT_BYTES: usize = 32 * 1024 * 1024;

/// The bytes of unfinished answers, with the limits that hold for instances.
pub fn kept() -> Kept {
    Kept::new(MAX_ANSWER_BYTES, MAX_KEPT_BYTES)
}

/// Reads a body to its end.
///
/// # Errors
///
/// Why it is not whole.
pub async fn read(kept: &Kept, mut body: Incoming) -> Result<Bytes, String> {
    let mut share = kept.share();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| attempt::describe(&error))?;
        if let Ok(data) = frame.into_data() {
            share.extend(&data).map_err(|exceeded| match exceeded {
                Exceeded::One(_) => format!("the answer is {exceeded}"),
                Exceeded::All(_) => exceeded.to_string(),
            })?;
        }
    }
    Ok(share.into_bytes())
}

/// Reads an answer to its end, within the budget. The bytes are counted until the caller has them.
///
/// # Errors
///
/// Why it is not whole.
pub(crate) async fn take(memory: &Memory, mut body: Incoming) -> Result<Bytes, Fault> {
    let too_long = || {
        Fault::Broken(format!(
            "the answer is longer than {MAX_ANSWER_BYTES} bytes"
        ))
    };
    let announced = match usize::try_from(body.size_hint().lower()) {
        Ok(bytes) if bytes <= MAX_ANSWER_BYTES => bytes,
        _ => return Err(too_long()),
    };
    let buffer = memory.buffer(Use::Answer, announced);
    let mut buffer = buffer.map_err(Fault::Short)?;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| Fault::Broken(attempt::describe(&error)))?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if buffer.len() + data.len() > MAX_ANSWER_BYTES {
            return Err(too_long());
        }
        buffer.extend(&data).map_err(Fault::Short)?;
    }
    Ok(buffer.into_bytes())
}
