//! Calls that may not be repeated: one attempt at a time, and the ledger decides between them.
//!
//! See `docs/ARCHITECTURE.md`, "Calls that may not be repeated".

use std::{sync::Arc, time::Duration};

use axum::body::Body;
use domain::{
    call::{Attempt, Outcome, Peer, Problem, Step},
    digest::Digest,
    header, ledger,
};
use http::{HeaderMap, HeaderName, HeaderValue, Response, StatusCode, header::CONTENT_TYPE};
use tokio::time;

use crate::{
    course::Course,
    dispatch::Call,
    failure::{Failure, Kind, problem},
    shared::Shared,
    unary,
};

/// How long one write to the ledger may take.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);
/// The time that is left to the ledger when the call's own deadline has passed.
const MIN_SETTLE: Duration = Duration::from_secs(2);
/// The first pause before the ledger is asked again.
const MIN_PAUSE: Duration = Duration::from_millis(50);
/// The longest pause before the ledger is asked again.
const MAX_PAUSE: Duration = Duration::from_millis(500);

/// Runs a call at most once.
///
/// # Errors
///
/// What the caller is told. `not-run` only if no attempt left this process, the agent says so, or
/// the ledger has recorded that the attempt never starts.
pub async fn run(
    shared: &Arc<Shared>,
    call: &Call,
    key: &ledger::Key,
) -> Result<Response<Body>, Problem> {
    let body = Digest::of(&call.body);
    let mut course = Course::new();
    loop {
        let (placement, attempt) = course.next(shared, call)?;
        let failure = match unary::attempt_once(shared, call, placement, attempt).await {
            Ok(response) => return Ok(response),
            Err(failure) => failure,
        };
        let failure = match failure.kind {
            Kind::Unsent => failure,
            Kind::Stated if failure.is_not_run() => failure,
            Kind::Stated | Kind::Broken => {
                let abandon = ledger::Write::Abandon {
                    key: key.clone(),
                    attempt,
                    body,
                };
                match settle(shared, call, abandon).await {
                    Settled::NotRun => not_run(failure),
                    Settled::Finished(ran, answer) => return replay(ran, answer),
                    Settled::Mismatch => return Err(mismatch()),
                    Settled::Open(detail) => return Err(open(failure, &detail)),
                }
            }
        };
        course.fail(shared, call, failure)?;
    }
}

/// What the ledger says of an attempt that got no answer.
enum Settled {
    /// It never starts.
    NotRun,
    /// The call has run, in this attempt or another.
    Finished(Attempt, ledger::Answer),
    /// The key belongs to another body.
    Mismatch,
    /// It can't be told in the time that is left.
    Open(String),
}

/// Abandons an attempt, and waits for the answer if it has started.
async fn settle(shared: &Shared, call: &Call, abandon: ledger::Write) -> Settled {
    let until = shared.clock.now() + shared.remaining(call.deadline).max(MIN_SETTLE);
    let mut pause = MIN_PAUSE;
    loop {
        let limit = shared.remaining(until).min(WRITE_TIMEOUT);
        let detail = match shared.control.ledger(abandon.clone(), limit).await {
            Ok(ledger::Reply::Recorded) => return Settled::NotRun,
            Ok(ledger::Reply::Finished { attempt, answer }) => {
                return Settled::Finished(attempt, answer);
            }
            Ok(ledger::Reply::Mismatch) => return Settled::Mismatch,
            Ok(ledger::Reply::Started { attempt }) => {
                format!("the attempt {attempt} has started and not finished")
            }
            Ok(ledger::Reply::Full) => "the ledger is full".to_owned(),
            Ok(reply) => format!("the ledger answered {reply:?}"),
            Err(error) => error.to_string(),
        };
        if shared.remaining(until) <= pause {
            return Settled::Open(detail);
        }
        time::sleep(pause).await;
        pause = (pause * 2).min(MAX_PAUSE);
    }
}

/// The ledger has recorded that the attempt never starts.
fn not_run(mut failure: Failure) -> Failure {
    failure.problem.outcome = Outcome::NotRun;
    failure.problem.status = StatusCode::SERVICE_UNAVAILABLE.as_u16();
    failure.is_local = true;
    failure
}

/// Neither an answer nor a proof that nothing ran.
fn open(failure: Failure, detail: &str) -> Problem {
    let mut problem = failure.problem;
    if problem.outcome == Outcome::NotRun {
        problem.outcome = Outcome::Unknown;
    }
    problem.detail = format!("{}; {detail}", problem.detail);
    problem
}

fn mismatch() -> Problem {
    problem(
        StatusCode::UNPROCESSABLE_ENTITY,
        Outcome::NotRun,
        Step::Ledger,
        Peer::Control,
        "the key was used with another body",
    )
}

/// The kept answer, marked as a replay.
fn replay(ran: Attempt, answer: ledger::Answer) -> Result<Response<Body>, Problem> {
    let Some(body) = answer.body else {
        let detail = format!(
            "the attempt {ran} ran and was answered {}; its body of more than {} bytes was not kept",
            answer.status,
            ledger::MAX_ANSWER_BYTES
        );
        let status = StatusCode::BAD_GATEWAY;
        return Err(problem(
            status,
            Outcome::Ran,
            Step::Ledger,
            Peer::Control,
            detail,
        ));
    };
    let mut headers = HeaderMap::new();
    let media_type = answer
        .content_type
        .and_then(|text| HeaderValue::from_str(&text).ok());
    if let Some(media_type) = media_type {
        headers.insert(CONTENT_TYPE, media_type);
    }
    let replay = HeaderName::from_static(header::REPLAY);
    headers.insert(replay, HeaderValue::from_static("true"));
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::OK);
    Ok(unary::respond(status, &headers, body.into()))
}
