//! Bodies that are whole only with their end marker.

use std::{net::SocketAddr, time::Duration};

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
/// If the end did not come, or the body is too long.
pub async fn whole(
    mut body: Incoming,
    peer: SocketAddr,
    patience: Duration,
) -> Result<Bytes, Error> {
    let mut whole = BytesMut::new();
    while let Some(piece) = next(&mut body, peer, patience).await? {
        if whole.len() + piece.len() > MAX_BYTES {
            let detail = format!("longer than {MAX_BYTES} bytes");
            return TruncatedSnafu { peer, detail }.fail();
        }
        whole.extend_from_slice(&piece);
    }
    Ok(whole.freeze())
}
