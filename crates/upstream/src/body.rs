//! Bodies that are whole only with their end marker.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, Method, StatusCode, header};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time;

use crate::{
    connection::as_millis,
    error::{BrokenSnafu, Error, SilentSnafu, Step, TruncatedSnafu},
};
use snafu::ResultExt;

/// A longer plain answer is refused, since it has to be held until its end has come.
pub const MAX_BYTES: usize = 16 * 1024 * 1024;

/// What all unfinished answers of an upstream may take together, in bytes: a quarter of what a node
/// may spend for control.
const MAX_KEPT_BYTES: usize = 32 * 1024 * 1024;

/// How many bytes of unfinished answers are kept.
#[derive(Clone, Debug, Default)]
pub struct Kept(Arc<AtomicUsize>);

/// The bytes of one unfinished answer.
struct Share<'a> {
    kept: &'a Kept,
    bytes: usize,
}

impl Share<'_> {
    /// Counts more bytes, and says what is exceeded by them.
    fn grow(&mut self, bytes: usize) -> Option<String> {
        self.bytes += bytes;
        let all = self.kept.0.fetch_add(bytes, Ordering::Relaxed) + bytes;
        match () {
            () if self.bytes > MAX_BYTES => Some(format!("longer than {MAX_BYTES} bytes")),
            () if all > MAX_KEPT_BYTES => Some(format!(
                "unfinished answers take more than {MAX_KEPT_BYTES} bytes"
            )),
            () => None,
        }
    }
}

impl Drop for Share<'_> {
    fn drop(&mut self) {
        self.kept.0.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

/// Whether the head says how the end of the body will show.
pub fn has_end_marker(method: &Method, status: StatusCode, headers: &HeaderMap) -> bool {
    let has_no_body = *method == Method::HEAD
        || matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
    let is_chunked = headers
        .get(header::TRANSFER_ENCODING)
        .and_then(|value| value.to_str().ok())
        .is_some_and(|value| value.to_ascii_lowercase().ends_with("chunked"));
    has_no_body || is_chunked || headers.contains_key(header::CONTENT_LENGTH)
}

/// The next piece of a body, or nothing at its end.
///
/// # Errors
///
/// If the connection broke or nothing came for `patience`.
pub async fn next(
    body: &mut Incoming,
    peer: SocketAddr,
    patience: Duration,
) -> Result<Option<Bytes>, Error> {
    let step = Step::Body;
    let millis = as_millis(patience);
    loop {
        let frame = time::timeout(patience, body.frame())
            .await
            .map_err(|_| SilentSnafu { step, peer, millis }.build())?;
        let Some(frame) = frame else {
            return Ok(None);
        };
        let frame = frame.context(BrokenSnafu { step, peer })?;
        if let Ok(data) = frame.into_data() {
            return Ok(Some(data));
        }
    }
}

/// Reads a body to its end.
///
/// # Errors
///
/// If the end did not come, or this body or all unfinished ones are too long.
pub async fn whole(
    kept: &Kept,
    mut body: Incoming,
    peer: SocketAddr,
    patience: Duration,
) -> Result<Bytes, Error> {
    let mut share = Share { kept, bytes: 0 };
    let mut whole = BytesMut::new();
    while let Some(piece) = next(&mut body, peer, patience).await? {
        if let Some(detail) = share.grow(piece.len()) {
            return TruncatedSnafu { peer, detail }.fail();
        }
        whole.extend_from_slice(&piece);
    }
    Ok(whole.freeze())
}
