//! Answers to entries.

use bytes::Bytes;
use derive_more::{Display, Error};
use domain::{
    call::{Attempt, Problem},
    header,
};
use futures::{Stream, StreamExt};
use http::{HeaderName, HeaderValue, Response, StatusCode, header as http_header};
use http_body::Frame;
use http_body_util::{BodyExt, Full, StreamBody, combinators::UnsyncBoxBody};
use policy::gate::Load;

/// A body that can't be finished: the stream to the entry is reset.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("the answer can't be finished")]
pub struct Unfinished;

/// The body of an answer.
pub type Body = UnsyncBoxBody<Bytes, Unfinished>;

/// A whole body.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// A body that comes in pieces.
pub fn stream(pieces: impl Stream<Item = Result<Bytes, Unfinished>> + Send + 'static) -> Body {
    BodyExt::boxed_unsync(StreamBody::new(pieces.map(|piece| piece.map(Frame::data))))
}

/// An answer with a type of body.
pub fn answer(status: StatusCode, content_type: HeaderValue, body: Body) -> Response<Body> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert(http_header::CONTENT_TYPE, content_type);
    response
}

/// A failure answer.
pub fn problem(problem: &Problem) -> Response<Body> {
    let text = serde_json::to_vec(problem).unwrap_or_default();
    let kind = HeaderValue::from_static("application/problem+json");
    let status = StatusCode::from_u16(problem.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = answer(status, kind, full(text));
    set(&mut response, header::OUTCOME, &problem.outcome.to_string());
    if let Some(millis) = problem.retry_after_ms {
        let seconds = millis.div_ceil(1_000).to_string();
        set(&mut response, http_header::RETRY_AFTER.as_str(), &seconds);
    }
    response
}

/// Adds what every answer carries.
pub fn finish(
    mut response: Response<Body>,
    attempt: Option<Attempt>,
    load: Load,
) -> Response<Body> {
    if let Some(attempt) = attempt {
        set(&mut response, header::ATTEMPT, &attempt.to_string());
    }
    set(&mut response, header::LOAD, &load.to_string());
    set(
        &mut response,
        http_header::CACHE_CONTROL.as_str(),
        "no-store",
    );
    response
}

/// Sets a header whose name and value are known to be well formed.
pub fn set(response: &mut Response<Body>, name: &str, value: &str) {
    let parsed = (HeaderName::try_from(name), HeaderValue::try_from(value));
    if let (Ok(name), Ok(value)) = parsed {
        response.headers_mut().insert(name, value);
    }
}
