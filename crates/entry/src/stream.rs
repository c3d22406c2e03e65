//! Calls whose answer is passed on event by event.
//!
//! A stream that breaks is resumed after its last token on another upstream with the same version.
//! If that fails, the caller sees an error event and a broken connection, never a clean end. See
//! `docs/ARCHITECTURE.md`, "Streams".

use std::{sync::Arc, time::Duration};

use axum::body::Body;
use bytes::Bytes;
use domain::call::{Attempt, Outcome, Problem, Step, Target};
use futures::{Stream, StreamExt, stream};
use http::{
    HeaderValue, Response, StatusCode,
    header::{CONTENT_TYPE, HeaderMap},
};
use policy::sse::{self, Event, Sequence, Splitter, Verdict};
use snafu::Snafu;
use tokio::time;

use crate::{
    calls,
    course::Course,
    dispatch::{self, Answer, Call, ReadError, read_next},
    failure::Failure,
    meters::{Drop as Dropped, End, Timer},
    shared::Shared,
    unary,
};

/// The media type of a stream of events.
const EVENT_STREAM: &str = "text/event-stream";
/// How long the error event gets to reach the caller before the connection breaks.
const ERROR_FLUSH: Duration = Duration::from_millis(20);
/// How long an upstream may take to end its stream after the last event.
const END_WAIT: Duration = Duration::from_millis(500);

/// The stream could not be made whole.
#[derive(Debug, Snafu)]
#[snafu(display("the stream could not be made whole"))]
pub struct Broken;

/// Runs a call and answers once its first event is there.
///
/// # Errors
///
/// What the caller is told if there is no first event.
pub async fn run(
    shared: &Arc<Shared>,
    call: Call,
    target: &Target,
    guard: calls::Guard,
    timer: Timer,
) -> Result<Response<Body>, Problem> {
    let mut pump = Pump {
        shared: shared.clone(),
        sequence: Sequence::new(target),
        call,
        course: Course::new(),
        source: None,
        state: State::Open,
        timer,
        _guard: guard,
    };
    match pump.step().await {
        Ok(Next::Event(first)) => {
            pump.timer.first_token();
            let first = stream::iter([Ok(first)]);
            let mut response = Response::new(Body::from_stream(first.chain(pump.into_stream())));
            let media_type = HeaderValue::from_static(EVENT_STREAM);
            response.headers_mut().insert(CONTENT_TYPE, media_type);
            Ok(response)
        }
        Ok(Next::Plain(response)) => {
            pump.timer.set_end(End::Whole);
            Ok(response)
        }
        Err(problem) => {
            pump.timer.set_end(problem.outcome);
            Err(problem)
        }
    }
}

/// What an attempt led to.
enum Next {
    /// The next event for the caller.
    Event(Bytes),
    /// An answer that is no stream.
    Plain(Response<Body>),
}

/// How far the stream is.
enum State {
    /// More events are to come.
    Open,
    /// The last event was passed on.
    Whole,
    /// The error event was passed on.
    Failed,
    /// Nothing more comes.
    Ended,
}

/// The attempt that the stream now comes from.
struct Source {
    answer: Answer,
    splitter: Splitter,
}

struct Pump {
    shared: Arc<Shared>,
    call: Call,
    sequence: Sequence,
    course: Course,
    source: Option<Source>,
    state: State,
    timer: Timer,
    _guard: calls::Guard,
}

impl Pump {
    fn into_stream(self) -> impl Stream<Item = Result<Bytes, Broken>> {
        stream::unfold(self, |mut pump| async move {
            let item = pump.next().await?;
            Some((item, pump))
        })
    }

    async fn next(&mut self) -> Option<Result<Bytes, Broken>> {
        match self.state {
            State::Open => match self.step().await {
                Ok(Next::Event(bytes)) => Some(Ok(bytes)),
                Ok(Next::Plain(_)) => Some(Err(Broken)),
                Err(problem) => {
                    self.state = State::Failed;
                    self.timer.set_end(problem.outcome);
                    Some(Ok(error_event(&problem)))
                }
            },
            State::Whole => {
                self.state = State::Ended;
                self.drain().await;
                None
            }
            State::Failed => {
                self.state = State::Ended;
                time::sleep(ERROR_FLUSH).await;
                Some(Err(Broken))
            }
            State::Ended => None,
        }
    }

    /// The next event, over as many attempts as it takes.
    async fn step(&mut self) -> Result<Next, Problem> {
        loop {
            let failure = match self.source.take() {
                None => match self.open().await? {
                    Ok(Opened::Stream(source)) => {
                        self.source = Some(source);
                        continue;
                    }
                    Ok(Opened::Plain(response)) => return Ok(Next::Plain(response)),
                    Err(failure) => failure,
                },
                Some(mut source) => match self.read(&mut source).await {
                    Ok(bytes) => {
                        self.source = Some(source);
                        return Ok(Next::Event(bytes));
                    }
                    Err(failure) => {
                        source.answer.placement.fail();
                        failure
                    }
                },
            };
            self.course.fail(&self.shared, &self.call, failure)?;
        }
    }

    async fn open(&mut self) -> Result<Result<Opened, Failure>, Problem> {
        let (placement, attempt) = self.course.next(&self.shared, &self.call)?;
        let position = self.sequence.position();
        let patience = self.patience();
        let sent = dispatch::send(
            &self.shared,
            &self.call,
            placement,
            attempt,
            position,
            patience,
        );
        let answer = match sent.await {
            Ok(answer) => answer,
            Err(failure) => return Ok(Err(failure)),
        };
        if is_event_stream(answer.head.status, &answer.head.headers) {
            let splitter = Splitter::new();
            return Ok(Ok(Opened::Stream(Source { answer, splitter })));
        }
        if position > 0 {
            let name = answer.placement.name();
            let detail = format!("a resume was answered {}", answer.head.status);
            return Ok(Err(Failure::broken(
                name,
                Outcome::Ran,
                Step::Answer,
                detail,
            )));
        }
        let finished = unary::finish(&self.shared, &self.call, answer).await;
        Ok(finished.map(Opened::Plain))
    }

    /// The next event of an attempt that the caller does not have yet.
    async fn read(&mut self, source: &mut Source) -> Result<Bytes, Failure> {
        let attempt = source.answer.attempt;
        loop {
            let next = source.splitter.next_event();
            let event = next.map_err(|fault| self.faulty(source, &fault))?;
            let Some(event) = event else {
                let patience = self.patience();
                match read_next(&mut source.answer.body, patience).await {
                    Ok(Some(bytes)) => source.splitter.push(&bytes),
                    Ok(None) => return Err(self.cut(source, "the stream has no terminator")),
                    Err(error) => return Err(self.unread(source, &error)),
                }
                continue;
            };
            match self.sequence.check(&event, attempt) {
                Ok(Verdict::Skip) => {}
                Ok(Verdict::Pass) => return Ok(self.rename(&event, attempt)),
                Ok(Verdict::Done) => {
                    self.state = State::Whole;
                    self.timer.set_end(End::Whole);
                    source.answer.placement.succeed();
                    return Ok(event.raw);
                }
                Err(fault) => return Err(self.faulty(source, &fault)),
            }
        }
    }

    /// Lets the upstream end its stream, so that its call is not reset after it was answered.
    async fn drain(&mut self) {
        if let Some(mut source) = self.source.take() {
            let _ = read_next(&mut source.answer.body, END_WAIT).await;
        }
    }

    fn patience(&self) -> Duration {
        let remaining = self.shared.remaining(self.call.deadline);
        self.shared.config.progress_timeout.min(remaining)
    }

    /// Gives all events of a call the id of its first attempt.
    fn rename(&self, event: &Event, attempt: Attempt) -> Bytes {
        if attempt == self.call.id {
            return event.raw.clone();
        }
        let (from, to) = (attempt.to_string(), self.call.id.to_string());
        let found = event
            .raw
            .windows(from.len())
            .position(|window| window == from.as_bytes());
        let Some(at) = found else {
            return event.raw.clone();
        };
        let mut renamed = event.raw.to_vec();
        renamed[at..at + to.len()].copy_from_slice(to.as_bytes());
        renamed.into()
    }

    fn unread(&self, source: &Source, error: &ReadError) -> Failure {
        if self.shared.remaining(self.call.deadline).is_zero() {
            let mut failure = Failure::late(source.answer.placement.name(), Step::Answer);
            failure.problem.outcome = Outcome::Ran;
            return failure;
        }
        self.cut(source, error.to_string())
    }

    fn cut(&self, source: &Source, detail: impl Into<String>) -> Failure {
        self.shared.meters.dropped(Dropped::Truncated);
        let name = source.answer.placement.name();
        Failure::broken(name, Outcome::Ran, Step::Answer, detail)
    }

    fn faulty(&self, source: &Source, fault: &sse::Error) -> Failure {
        let cause = match fault {
            sse::Error::WrongAttempt { .. } => Dropped::Attempt,
            sse::Error::WrongVersion { .. } => Dropped::Version,
            sse::Error::Gap { .. } => Dropped::Gap,
            sse::Error::TooLong { .. } | sse::Error::Malformed => Dropped::Truncated,
        };
        self.shared.meters.dropped(cause);
        let name = source.answer.placement.name();
        Failure::broken(name, Outcome::Ran, Step::Answer, fault.to_string())
    }
}

enum Opened {
    Stream(Source),
    Plain(Response<Body>),
}

fn is_event_stream(status: StatusCode, headers: &HeaderMap) -> bool {
    let media_type = headers
        .get(CONTENT_TYPE)
        .and_then(|value| value.to_str().ok());
    status == StatusCode::OK && media_type.is_some_and(|text| text.starts_with(EVENT_STREAM))
}

fn error_event(problem: &Problem) -> Bytes {
    let body = serde_json::to_string(problem).unwrap_or_default();
    format!("event: error\ndata: {body}\n\n").into()
}
