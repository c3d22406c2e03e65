//! What an entry asks of the agent.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use domain::{
    artifact,
    call::{Attempt, Problem, Target},
    clock::{Clock, Instant},
    header, name,
};
use http::{HeaderMap, Method, StatusCode, request};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;

use crate::problem;

/// A longer request body is refused.
pub const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;
/// How long a call may take when the entry doesn't say.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(30);
const CHAT_PATH: &str = "/v1/chat/completions";
const SERVICES_PATH: &str = "/v1/services/";

/// A call with its whole body.
#[derive(Clone, Debug)]
pub struct Request {
    /// The attempt.
    pub attempt: Attempt,
    /// Who it is for.
    pub customer: name::Customer,
    /// When the caller gives up.
    pub deadline: Instant,
    /// What it asks for.
    pub kind: Kind,
    /// The method.
    pub method: Method,
    /// The path as the caller sent it.
    pub path: Arc<str>,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

/// What a call asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A model's answer.
    Model {
        /// What the call was admitted to.
        target: Target,
        /// The last token that the caller has.
        resume_from: u32,
    },
    /// A plain service's answer.
    Service {
        /// The service.
        name: name::Service,
        /// Path below the service, and query.
        path: Arc<str>,
        /// The key of a call that may not be repeated.
        once_key: Option<Arc<str>>,
    },
}

/// The attempt that a request's head names.
pub fn attempt(headers: &HeaderMap) -> Option<Attempt> {
    Attempt::parse(text(headers, header::ATTEMPT)?)
}

/// Reads a request whole.
///
/// # Errors
///
/// The failure answer.
pub async fn read(
    request: http::Request<Incoming>,
    clock: &dyn Clock,
    problems: &problem::Maker,
) -> Result<Request, Box<Problem>> {
    let now = clock.now();
    let (head, body) = request.into_parts();
    let bad = |detail: &str| Box::new(problems.bad(StatusCode::BAD_REQUEST, detail));
    let attempt = attempt(&head.headers).ok_or_else(|| bad("no attempt id"))?;
    let customer = text(&head.headers, header::CUSTOMER).ok_or_else(|| bad("no customer"))?;
    let deadline = match text(&head.headers, header::DEADLINE_MS) {
        Some(millis) => millis
            .parse()
            .map(Duration::from_millis)
            .map_err(|_| bad("the deadline is not a number"))?,
        None => DEFAULT_DEADLINE,
    };
    let kind = kind(&head).ok_or_else(|| bad("neither a model nor a service"))?;
    let customer = customer.into();
    let body = Limited::new(body, MAX_BODY_BYTES)
        .collect()
        .await
        .map_err(|error| Box::new(problems.bad(StatusCode::PAYLOAD_TOO_LARGE, error.to_string())))?
        .to_bytes();
    Ok(Request {
        attempt,
        customer,
        deadline: now + deadline,
        kind,
        path: head.uri.path().into(),
        method: head.method,
        headers: head.headers,
        body,
    })
}

fn kind(head: &request::Parts) -> Option<Kind> {
    let path = head.uri.path();
    if path == CHAT_PATH && head.method == Method::POST {
        return model(&head.headers);
    }
    let rest = path.strip_prefix(SERVICES_PATH)?;
    let (name, below) = rest.split_once('/').unwrap_or((rest, ""));
    let path = match head.uri.query() {
        Some(query) => format!("/{below}?{query}"),
        None => format!("/{below}"),
    };
    Some(Kind::Service {
        name: name.into(),
        path: path.into(),
        once_key: text(&head.headers, header::ONCE_KEY).map(Into::into),
    })
}

fn model(headers: &HeaderMap) -> Option<Kind> {
    let model = artifact::Id::parse(text(headers, header::MODEL)?)?;
    let adapter = match text(headers, header::ADAPTER) {
        Some(adapter) => Some(artifact::Id::parse(adapter)?),
        None => None,
    };
    let resume_from = match text(headers, header::RESUME_FROM) {
        Some(position) => position.parse().ok()?,
        None => 0,
    };
    Some(Kind::Model {
        target: Target { model, adapter },
        resume_from,
    })
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}
