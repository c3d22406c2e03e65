//! One attempt: from an open connection to the head of an answer that is proved to be its own.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use domain::{
    call::{Attempt, Outcome, Peer, Problem, Step},
    clock::Instant,
    header, name,
};
use http::{
    HeaderMap, HeaderValue, Method, Request, Response, StatusCode, Uri, header::AUTHORIZATION,
    response,
};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use policy::{
    affinity::Point,
    resolve,
    router::{self, Need, Report},
};
use tokio::time;

use crate::{
    failure::Failure,
    meters::{Class, Drop as Dropped},
    pool::{self, Sender},
    shared::{Placement, Shared},
    util::millis,
};

/// The largest problem body that is read from an agent, in bytes.
const MAX_PROBLEM_BYTES: usize = 64 * 1024;
/// How long an open connection may take to accept a request.
const READY_TIMEOUT: Duration = Duration::from_secs(1);

/// A call as it was admitted. Retries and resumes change nothing of it.
#[derive(Clone, Debug)]
pub struct Call {
    /// Its first attempt, which names it towards the caller.
    pub id: Attempt,
    /// On whose behalf it runs.
    pub customer: name::Customer,
    /// What it needs of an upstream.
    pub need: Need,
    /// The kind of call.
    pub class: Class,
    /// Its method.
    pub method: Method,
    /// Its path and query.
    pub uri: Uri,
    /// Headers that are passed on.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
    /// The start of its prompt.
    pub prefix: Option<Point>,
    /// Its key, if it may not be repeated.
    pub once_key: Option<Arc<str>>,
    /// When it must have ended.
    pub deadline: Instant,
}

impl Call {
    /// What it asks for, in words.
    pub fn wanted(&self) -> String {
        match &self.need {
            Need::Model(target) => target.model.to_string(),
            Need::Service(service) => service.to_string(),
        }
    }
}

/// The head of an answer that belongs to the attempt. The body has yet to come.
pub struct Answer {
    /// Status and headers.
    pub head: response::Parts,
    /// The body.
    pub body: Incoming,
    /// The attempt.
    pub attempt: Attempt,
    /// Where it runs.
    pub placement: Placement,
}

/// Sends one attempt and waits at most `patience` for the head of its answer.
///
/// # Errors
///
/// What went wrong, with what is known about the run.
pub async fn send(
    shared: &Arc<Shared>,
    call: &Call,
    placement: Placement,
    attempt: Attempt,
    resume_from: u64,
    patience: Duration,
) -> Result<Answer, Failure> {
    let mut sender = connect(shared, call, &placement).await?;
    // The connection may have taken long to open, or this process may have been frozen.
    admit(shared, call, &placement)?;
    let request = request(shared, call, attempt, resume_from);
    shared.meters.attempt(call.class);
    let answer = time::timeout(patience, sender.try_send_request(request)).await;
    let name = placement.name().clone();
    let response = match answer {
        Ok(Ok(response)) => response,
        Ok(Err(mut error)) => {
            placement.fail();
            let is_unsent = error.take_message().is_some();
            let detail = format!("could not send the call: {}", error.into_error());
            return Err(match is_unsent {
                true => Failure::unsent(Step::Send, Peer::Agent(name), detail),
                false => Failure::broken(&name, Outcome::Unknown, Step::Run, detail),
            });
        }
        Err(_) if shared.remaining(call.deadline).is_zero() => {
            placement.fail();
            return Err(Failure::late(&name, Step::Run));
        }
        Err(_) => {
            placement.fail();
            let detail = format!("no answer for {} ms", millis(patience));
            return Err(Failure::broken(&name, Outcome::Unknown, Step::Run, detail));
        }
    };
    check(shared, response, placement, attempt).await
}

async fn connect(
    shared: &Arc<Shared>,
    call: &Call,
    placement: &Placement,
) -> Result<Sender, Failure> {
    let addr = placement.vm.announcement.call_addr;
    let opened = match call.once_key {
        Some(_) => pool::dial(addr).await,
        None => shared.pool.get(addr).await,
    };
    let unsent = |detail: String| {
        placement.fail();
        Failure::unsent(Step::Connect, Peer::Agent(placement.name().clone()), detail)
    };
    let mut sender = opened.map_err(|error| unsent(error.to_string()))?;
    match time::timeout(READY_TIMEOUT, sender.ready()).await {
        Ok(Ok(())) => Ok(sender),
        Ok(Err(error)) => Err(unsent(format!("the connection broke: {error}"))),
        Err(_) => Err(unsent(format!(
            "the connection took no request for {} ms",
            millis(READY_TIMEOUT)
        ))),
    }
}

/// Checks at the moment of sending that the state is fresh and still allows this very step.
fn admit(shared: &Shared, call: &Call, placement: &Placement) -> Result<(), Failure> {
    let feed = shared.fresh_feed().map_err(|problem| {
        let mut failure = Failure::unsent(problem.step, problem.peer.clone(), "").into_final();
        failure.problem = problem;
        failure
    })?;
    let view = &feed.view;
    let is_permitted = match &call.need {
        Need::Model(target) => resolve::is_permitted(view, &call.customer, target),
        Need::Service(service) => resolve::is_service_permitted(view, &call.customer, service),
    };
    if !is_permitted {
        let detail = format!("the plan may no longer use {}", call.wanted());
        let mut failure = Failure::unsent(Step::Resolve, Peer::Entry, detail).into_final();
        failure.problem.status = StatusCode::FORBIDDEN.as_u16();
        return Err(failure);
    }
    let name = placement.name();
    if !router::is_eligible(view, name, &call.need) {
        let detail = format!("{name} has just left service for {}", call.wanted());
        return Err(Failure::unsent(Step::Choose, Peer::Entry, detail));
    }
    Ok(())
}

fn request(
    shared: &Shared,
    call: &Call,
    attempt: Attempt,
    resume_from: u64,
) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(call.body.clone()));
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = call.uri.clone();
    let headers = request.headers_mut();
    *headers = call.headers.clone();
    headers.insert(AUTHORIZATION, shared.authorization.clone());
    let mut set = |name: &'static str, value: &str| {
        if let Ok(value) = HeaderValue::from_str(value) {
            headers.insert(name, value);
        }
    };
    set(header::ATTEMPT, &attempt.to_string());
    set(header::CUSTOMER, call.customer.as_str());
    let remaining = millis(shared.remaining(call.deadline));
    set(header::DEADLINE_MS, &remaining.to_string());
    if let Need::Model(target) = &call.need {
        set(header::MODEL, &target.model.to_string());
        if let Some(adapter) = &target.adapter {
            set(header::ADAPTER, &adapter.to_string());
        }
    }
    if resume_from > 0 {
        set(header::RESUME_FROM, &resume_from.to_string());
    }
    if let Some(key) = &call.once_key {
        set(header::ONCE_KEY, key);
    }
    request
}

/// Takes the answer only if it echoes the attempt, and reads the agent's failure if it is one.
async fn check(
    shared: &Shared,
    response: Response<Incoming>,
    placement: Placement,
    attempt: Attempt,
) -> Result<Answer, Failure> {
    let (head, body) = response.into_parts();
    let text = |name: &str| head.headers.get(name).and_then(|value| value.to_str().ok());
    if text(header::ATTEMPT).and_then(Attempt::parse) != Some(attempt) {
        shared.meters.dropped(Dropped::Attempt);
        placement.fail();
        let detail = "the answer belongs to another attempt";
        let name = placement.name();
        return Err(Failure::broken(
            name,
            Outcome::Unknown,
            Step::Answer,
            detail,
        ));
    }
    let report = text(header::LOAD).and_then(Report::parse);
    if let Some(report) = report {
        placement.report(report);
    }
    match text(header::OUTCOME).map(str::to_owned) {
        None => Ok(Answer {
            head,
            body,
            attempt,
            placement,
        }),
        Some(outcome) => {
            let problem = read_problem(shared, &head, body, &placement, &outcome).await;
            Err(blame(&placement, problem, report))
        }
    }
}

/// Holds a failure against the upstream as far as it says something about it. Want of room shows
/// in the reported load; a refusal in spite of room means that the upstream takes nothing now.
fn blame(placement: &Placement, problem: Problem, report: Option<Report>) -> Failure {
    let failure = Failure::stated(problem);
    let is_full = report.is_some_and(|report| report.is_full());
    match &failure {
        failure if !failure.is_local => {}
        failure if failure.is_load() && is_full => {}
        failure if failure.problem.status == StatusCode::TOO_MANY_REQUESTS.as_u16() => {}
        failure if failure.is_not_run() => placement.refuse(),
        _ => placement.fail(),
    }
    failure
}

async fn read_problem(
    shared: &Shared,
    head: &response::Parts,
    body: Incoming,
    placement: &Placement,
    outcome: &str,
) -> Problem {
    let outcome = match outcome {
        "not-run" => Outcome::NotRun,
        "ran" => Outcome::Ran,
        _ => Outcome::Unknown,
    };
    let bytes = read_whole(body, MAX_PROBLEM_BYTES, shared.config.progress_timeout).await;
    let parsed = bytes
        .ok()
        .and_then(|bytes| serde_json::from_slice::<Problem>(&bytes).ok());
    match parsed {
        Some(problem) => Problem { outcome, ..problem },
        None => Problem {
            status: head.status.as_u16(),
            detail: "the agent gave no cause".to_owned(),
            outcome,
            step: Step::Run,
            peer: Peer::Agent(placement.name().clone()),
            retry_after_ms: None,
        },
    }
}

/// Why a body is not whole.
#[derive(Debug, snafu::Snafu)]
pub enum ReadError {
    /// Nothing came for too long.
    #[snafu(display("no byte of the answer for {millis} ms"))]
    Silent {
        /// How long was waited, in milliseconds.
        millis: u64,
    },
    /// It ended before its end marker.
    #[snafu(display("the answer broke off: {source}"))]
    Cut {
        /// What the library said.
        source: hyper::Error,
    },
    /// It is larger than the entry keeps.
    #[snafu(display("the answer is larger than {limit} bytes"))]
    TooLarge {
        /// The limit in bytes.
        limit: usize,
    },
}

/// The next bytes of a body, or nothing after its end marker.
///
/// # Errors
///
/// If it broke off, or nothing came for the time of `patience`.
pub async fn read_next(
    body: &mut Incoming,
    patience: Duration,
) -> Result<Option<Bytes>, ReadError> {
    loop {
        let frame = time::timeout(patience, body.frame()).await;
        let frame = frame.map_err(|_| ReadError::Silent {
            millis: millis(patience),
        })?;
        match frame {
            None => return Ok(None),
            Some(Err(source)) => return Err(ReadError::Cut { source }),
            Some(Ok(frame)) => match frame.into_data() {
                Ok(data) => return Ok(Some(data)),
                Err(_trailers) => {}
            },
        }
    }
}

/// A whole body of at most `limit` bytes.
///
/// # Errors
///
/// If it is not whole or too large.
pub async fn read_whole(
    mut body: Incoming,
    limit: usize,
    patience: Duration,
) -> Result<Bytes, ReadError> {
    let mut whole = Vec::new();
    while let Some(bytes) = read_next(&mut body, patience).await? {
        if whole.len() + bytes.len() > limit {
            return Err(ReadError::TooLarge { limit });
        }
        whole.extend_from_slice(&bytes);
    }
    Ok(whole.into())
}
