//! Bodies that are whole only with their end marker.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, Method, StatusCode, header};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use policy::kept::Kept;
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

/// The bytes of unfinished answers, with the limits that hold for upstreams.
pub(crate) fn kept() -> Kept {
    Kept::new(MAX_BYTES, MAX_KEPT_BYTES)
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
    let mut share = kept.share();
    while let Some(piece) = next(&mut body, peer, patience).await? {
        if let Err(exceeded) = share.extend(&piece) {
            let detail = exceeded.to_string();
            return TruncatedSnafu { peer, detail }.fail();
        }
    }
    Ok(share.into_bytes())
}
