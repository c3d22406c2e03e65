//! Bodies of requests. Their memory is taken before they are read, and they have a time limit, so
//! that a caller that sends slowly does not hold memory for long.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, request};
use http_body_util::BodyExt;
use hyper::body::{Body as _, Incoming};
use policy::memory::{Grant, Use};
use tokio::time;

use crate::{answer::Failure, dialect::Ask, site::Site};

/// How long a body may take if no route or deadline says so: as long as the longest usual timeout.
const DEFAULT_TIME: Duration = Duration::from_secs(6);
/// What a request costs beside the bytes of its head and body, in bytes: a read buffer of the
/// library stays allocated while parts of the head are in use.
const REQUEST_BYTES: usize = 8 * 1024;

/// Takes the memory of a request with such a head, as long as it runs.
///
/// # Errors
///
/// If memory is short.
pub(crate) fn begin(site: &Site, headers: &HeaderMap) -> Result<Grant, Failure> {
    let texts = headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len());
    let bytes = REQUEST_BYTES + texts.sum::<usize>();
    let taken = site.memory.take(Use::Request, bytes);
    taken.map_err(|short| Failure::short(&short))
}

/// How long the body of a request may take: as long as its caller waits, and its route lets it.
pub(crate) fn time(site: &Site, head: &request::Parts, host: Option<&str>, ask: &Ask) -> Duration {
    let feed = site.feed();
    let route = host.and_then(|host| feed.view.routes.find(host, head.uri.path()));
    let limit = route.map_or(DEFAULT_TIME, |route| {
        Duration::from_millis(route.timeout_ms.into())
    });
    ask.patience.map_or(limit, |patience| patience.min(limit))
}

/// Reads a body of at most `limit` bytes within `time`. The bytes are counted as long as they are
/// kept.
///
/// # Errors
///
/// Why it is refused, or nothing if the caller is gone.
pub(crate) async fn read(
    site: &Site,
    body: Incoming,
    limit: u32,
    time: Duration,
) -> Result<Bytes, Option<Failure>> {
    match time::timeout(time, collect(site, body, limit)).await {
        Ok(read) => read,
        Err(_) => Err(Some(Failure::Slow)),
    }
}

async fn collect(site: &Site, mut body: Incoming, limit: u32) -> Result<Bytes, Option<Failure>> {
    let too_long = Failure::TooLong { limit };
    // A length that is announced need not be waited for.
    let announced = match usize::try_from(body.size_hint().lower()) {
        Ok(bytes) if bytes <= limit as usize => bytes,
        _ => return Err(Some(too_long)),
    };
    let buffer = site.memory.buffer(Use::body(announced), announced);
    let mut buffer = buffer.map_err(|short| Some(Failure::short(&short)))?;
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(|_| None)?.into_data() else {
            continue;
        };
        if buffer.len() + data.len() > limit as usize {
            return Err(Some(too_long));
        }
        let kept = buffer.extend(&data);
        kept.map_err(|short| Some(Failure::short(&short)))?;
    }
    Ok(buffer.into_bytes())
}
