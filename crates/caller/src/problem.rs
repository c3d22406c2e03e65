//! Failures as callers see them.

use std::time::Duration;

use axum::body::Body;
use domain::{
    call::{Attempt, Outcome, Peer, Problem, Step},
    header,
};
use http::{
    HeaderValue, Response, StatusCode,
    header::{CACHE_CONTROL, CONTENT_TYPE, RETRY_AFTER},
};

/// The media type of a problem.
pub const MEDIA_TYPE: &str = "application/problem+json";
/// The header with the id of the call's first attempt.
pub const REQUEST_ID: &str = "x-request-id";

/// A failure before anything ran.
pub fn not_run(status: StatusCode, step: Step, peer: Peer, detail: impl Into<String>) -> Problem {
    Problem {
        status: status.as_u16(),
        detail: detail.into(),
        outcome: Outcome::NotRun,
        step,
        peer,
        retry_after_ms: None,
    }
}

/// The same failure with a hint when to try again.
#[must_use]
pub fn with_retry_after(mut problem: Problem, after: Duration) -> Problem {
    problem.retry_after_ms = Some(u64::try_from(after.as_millis()).unwrap_or(u64::MAX));
    problem
}

/// The answer that carries the failure.
pub fn respond(problem: &Problem, id: Attempt) -> Response<Body> {
    let body = serde_json::to_vec(problem).unwrap_or_default();
    let status = StatusCode::from_u16(problem.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = Response::new(Body::from(body));
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static(MEDIA_TYPE));
    headers.insert(header::OUTCOME, text(&problem.outcome.to_string()));
    if let Some(millis) = problem.retry_after_ms {
        headers.insert(RETRY_AFTER, HeaderValue::from(millis.div_ceil(1_000)));
    }
    mark(&mut response, id);
    response
}

/// Adds the headers that every answer carries.
pub fn mark(response: &mut Response<Body>, id: Attempt) {
    let headers = response.headers_mut();
    headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-store"));
    headers.insert(REQUEST_ID, text(&id.to_string()));
}

fn text(value: &str) -> HeaderValue {
    HeaderValue::from_str(value).unwrap_or(HeaderValue::from_static("-"))
}
