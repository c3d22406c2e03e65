//! Calls whose answer is held until it is whole, so that another attempt stays possible.

use std::{sync::Arc, time::Duration};

use axum::body::Body;
use bytes::Bytes;
use caller::chat;
use domain::{
    call::{Attempt, Outcome, Problem, Step, Target},
    header,
};
use http::{
    HeaderMap, HeaderName, Response, StatusCode,
    header::{CONTENT_ENCODING, CONTENT_LANGUAGE, CONTENT_TYPE, LOCATION, RETRY_AFTER},
    response,
};
use policy::router::Need;

use crate::{
    course::Course,
    dispatch::{self, Answer, Call, ReadError, read_whole},
    failure::Failure,
    meters::Drop as Dropped,
    shared::{Placement, Shared},
};

/// The largest answer that is held, in bytes.
pub const MAX_ANSWER_BYTES: usize = 8 * 1024 * 1024;
/// Headers of an answer that reach the caller.
const PASSED_HEADERS: [HeaderName; 5] = [
    CONTENT_TYPE,
    CONTENT_ENCODING,
    CONTENT_LANGUAGE,
    LOCATION,
    RETRY_AFTER,
];

/// Runs a repeatable call to its whole answer.
///
/// # Errors
///
/// What the caller is told.
pub async fn run(shared: &Arc<Shared>, call: &Call) -> Result<Response<Body>, Problem> {
    let mut course = Course::new();
    loop {
        let (placement, attempt) = course.next(shared, call)?;
        match attempt_once(shared, call, placement, attempt).await {
            Ok(response) => return Ok(response),
            Err(failure) => course.fail(shared, call, failure)?,
        }
    }
}

/// Makes one attempt and reads its whole answer.
///
/// # Errors
///
/// What went wrong.
pub async fn attempt_once(
    shared: &Arc<Shared>,
    call: &Call,
    placement: Placement,
    attempt: Attempt,
) -> Result<Response<Body>, Failure> {
    let patience = patience(shared, call);
    let answer = dispatch::send(shared, call, placement, attempt, 0, patience).await?;
    finish(shared, call, answer).await
}

/// Reads the rest of an answer and checks that it is the whole answer to this call.
///
/// # Errors
///
/// What went wrong.
pub async fn finish(
    shared: &Arc<Shared>,
    call: &Call,
    answer: Answer,
) -> Result<Response<Body>, Failure> {
    let Answer {
        head,
        body,
        attempt,
        placement,
    } = answer;
    let name = placement.name().clone();
    let silence = shared
        .config
        .progress_timeout
        .min(shared.remaining(call.deadline));
    let whole = match read_whole(body, MAX_ANSWER_BYTES, silence).await {
        Ok(whole) => whole,
        Err(error) => {
            let mut failure = Failure::broken(&name, Outcome::Ran, Step::Answer, error.to_string());
            match error {
                ReadError::TooLarge { .. } => failure = failure.into_final(),
                ReadError::Silent { .. } | ReadError::Cut { .. } => {
                    shared.meters.dropped(Dropped::Truncated);
                    placement.fail();
                }
            }
            return Err(failure);
        }
    };
    if let Need::Model(target) = &call.need {
        check_model(shared, &head, &whole, target, attempt).map_err(|detail| {
            placement.fail();
            Failure::broken(&name, Outcome::Ran, Step::Answer, detail)
        })?;
    }
    placement.succeed();
    Ok(respond(head.status, &head.headers, whole))
}

/// Half of what is left, so that another upstream still has time after this one.
fn patience(shared: &Shared, call: &Call) -> Duration {
    let remaining = shared.remaining(call.deadline);
    let half = remaining / 2;
    half.max(shared.config.progress_timeout).min(remaining)
}

/// An answer of an engine must name this attempt and the pinned version.
fn check_model(
    shared: &Shared,
    head: &response::Parts,
    body: &[u8],
    target: &Target,
    attempt: Attempt,
) -> Result<(), String> {
    match head.status {
        StatusCode::OK => {}
        status if status.is_server_error() => return Err(format!("the engine answered {status}")),
        _ => return Ok(()),
    }
    let answer: chat::Answer<'_> = serde_json::from_slice(body).map_err(|error| {
        shared.meters.dropped(Dropped::Truncated);
        format!("the answer is not whole: {error}")
    })?;
    if Attempt::parse(&answer.id) != Some(attempt) {
        shared.meters.dropped(Dropped::Attempt);
        return Err(format!("the answer belongs to the attempt {}", answer.id));
    }
    if answer.model != target.model.to_string() {
        shared.meters.dropped(Dropped::Version);
        return Err(format!("the answer was made by {}", answer.model));
    }
    Ok(())
}

/// The caller's answer, with none of the system's own headers but the mark of a replay.
pub fn respond(status: StatusCode, headers: &HeaderMap, body: Bytes) -> Response<Body> {
    let mut response = Response::new(Body::from(body));
    *response.status_mut() = status;
    let replay = HeaderName::from_static(header::REPLAY);
    let passed = PASSED_HEADERS.into_iter().chain([replay]);
    for name in passed {
        if let Some(value) = headers.get(&name) {
            response.headers_mut().insert(name, value.clone());
        }
    }
    response
}
