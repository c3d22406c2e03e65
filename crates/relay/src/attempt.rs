//! One attempt: a request goes to one instance, and the head of its answer comes back.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use domain::{clock::Instant, instance::Instance, name, routing::Kind};
use http::{HeaderMap, HeaderName, Method, Request, StatusCode, Uri, header, response};
use http_body_util::Full;
use hyper::body::Incoming;
use policy::placement::Choice;
use tokio::time;

use crate::{
    dialect::{Ask, Order, Reply},
    pool::Connection,
    site::Site,
};

/// Headers that concern one connection only, besides those that `Connection` names.
const CONNECTION_HEADERS: [HeaderName; 8] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// A caller's request, ready to be sent as often as it may be.
pub(crate) struct Outgoing {
    pub(crate) method: Method,
    pub(crate) target: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) ask: Ask,
    pub(crate) kind: Kind,
    pub(crate) customer: Option<name::Customer>,
    /// When the answer must be over.
    pub(crate) deadline: Instant,
    /// The urgency among the requests that wait at the instance, where requests differ in priority.
    pub(crate) urgency: Option<u8>,
}

/// The head of an instance's answer, with what is needed to read the rest.
pub(crate) struct Answered {
    pub(crate) head: response::Parts,
    pub(crate) body: Incoming,
    pub(crate) reply: Reply,
    pub(crate) connection: Connection,
}

/// What came of an attempt.
pub(crate) enum Outcome {
    /// The instance answers.
    Answered(Box<Answered>),
    /// Nothing was sent.
    NotSent(String),
    /// The instance says that it did not run the request.
    Refused(StatusCode),
    /// The request was sent, and what became of it is unknown.
    Lost(String),
    /// The same, because the connection broke.
    Broken(String),
}

/// Removes headers that concern one connection only.
pub(crate) fn strip_connection(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|text| text.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in CONNECTION_HEADERS.iter().chain(&named) {
        headers.remove(name);
    }
}

/// Sends the request and waits for the head of the answer, at most until the deadline.
pub(crate) async fn exchange(
    site: &Rc<Site>,
    outgoing: &Outgoing,
    choice: &Choice,
    last_event: Option<u64>,
) -> Outcome {
    let left = outgoing.deadline.since(site.now());
    let exchange = send(site, outgoing, choice, last_event);
    match time::timeout(left, exchange).await {
        Ok(outcome) => outcome,
        Err(_) => Outcome::Lost("no answer until the deadline".to_owned()),
    }
}

async fn send(
    site: &Rc<Site>,
    outgoing: &Outgoing,
    choice: &Choice,
    last_event: Option<u64>,
) -> Outcome {
    // What may not run twice gets a connection of its own: one that was idle may be closed by the
    // instance just when the request is on its way, and then nobody knows whether it ran.
    let pooled = match outgoing.kind.is_repeatable() {
        true => site.pool.take(&choice.instance, site.now()),
        false => None,
    };
    let request = build(site, outgoing, choice, last_event);
    let (connection, request) = match pooled {
        None => match open(site, &choice.instance).await {
            Ok(connection) => (connection, request),
            Err(outcome) => return outcome,
        },
        Some(connection) => (connection, request),
    };
    deliver(site, outgoing, choice, connection, request).await
}

async fn open(site: &Rc<Site>, instance: &Instance) -> Result<Connection, Outcome> {
    let opened = site.pool.open(instance.address).await;
    opened.map_err(|error| Outcome::NotSent(format!("could not connect: {error}")))
}

fn build(
    site: &Rc<Site>,
    outgoing: &Outgoing,
    choice: &Choice,
    last_event: Option<u64>,
) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(outgoing.body.clone()));
    *request.method_mut() = outgoing.method.clone();
    *request.uri_mut() = outgoing.target.clone();
    *request.headers_mut() = outgoing.headers.clone();
    let order = Order {
        left: outgoing.deadline.since(site.now()),
        instance: &choice.instance.id,
        customer: outgoing.customer.as_ref(),
        version: choice.version,
        last_event,
        // An answer that has begun is continued before another one begins.
        urgency: match last_event {
            Some(_) => outgoing.urgency.map(|_| 0),
            None => outgoing.urgency,
        },
    };
    site.dialect.order(request.headers_mut(), &order);
    request
}

async fn deliver(
    site: &Rc<Site>,
    outgoing: &Outgoing,
    choice: &Choice,
    mut connection: Connection,
    request: Request<Full<Bytes>>,
) -> Outcome {
    let sent_at = site.now();
    let sent = connection.send(request).await;
    let response = match sent {
        Ok(response) => response,
        Err(mut failure) => match failure.take_message() {
            // The connection closed before the request was taken; a new one may do.
            Some(request) if connection.is_reused => {
                let connection = match open(site, &choice.instance).await {
                    Ok(connection) => connection,
                    Err(outcome) => return outcome,
                };
                return Box::pin(deliver(site, outgoing, choice, connection, request)).await;
            }
            Some(_) => return Outcome::NotSent("the connection closed at once".to_owned()),
            None => return Outcome::Broken(describe(&failure.into_error())),
        },
    };
    site.hear(&choice.instance.id);
    let (head, body) = response.into_parts();
    let reply = site.dialect.reply(&head);
    let id = outgoing.ask.id.as_deref();
    let mut notice = reply.notice;
    // An answer to another request may be old, and one that names none another server's.
    let is_own = reply.id == outgoing.ask.id && (reply.id.is_some() || reply.is_sealed);
    notice.limit = notice.limit.filter(|_| is_own);
    site.heed(&choice.instance, notice, id, sent_at);
    judge(outgoing, head, body, reply, connection)
}

/// Whether a status promises that the request did not run, and never will.
fn is_promise(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_EARLY
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

/// Whether a status is one of a final answer. Others are no answer: nothing asked the instance for
/// another protocol, and what is above has no meaning to callers.
fn is_final(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

/// Whether the answer belongs to the request, and what it says. A faulty instance may write an
/// earlier answer once more on a kept connection, where it would be taken for the next one.
fn judge(
    outgoing: &Outgoing,
    head: response::Parts,
    body: Incoming,
    reply: Reply,
    mut connection: Connection,
) -> Outcome {
    let is_foreign = reply.id.is_some() && reply.id != outgoing.ask.id;
    let is_unnamed = reply.id.is_none() && outgoing.ask.id.is_some();
    // An instance can't name a request without an id when it refuses it, and seals only what ran.
    let is_unsigned = reply.id.is_none() && !reply.is_sealed && (is_unnamed || !reply.is_not_run);
    let is_success = head.status.is_success();
    let is_refusal = reply.is_not_run && head.status != StatusCode::BAD_REQUEST;
    let is_encoded = head.headers.contains_key(header::CONTENT_ENCODING);
    match () {
        () if !is_final(head.status) => Outcome::Lost(format!(
            "an answer with the status {} came",
            head.status.as_u16()
        )),
        () if is_foreign => Outcome::Lost("an answer to another request came".to_owned()),
        // The address may belong to a server that is no instance, and its 404 is not the caller's.
        () if is_unsigned => {
            Outcome::Lost("an answer that names no request and bears no seal came".to_owned())
        }
        // Without an id nobody can say whose answer it is.
        () if is_unnamed && (is_success || is_refusal || connection.is_reused) => {
            Outcome::Lost("an answer that names no request came".to_owned())
        }
        () if is_refusal => {
            connection.complete();
            Outcome::Refused(head.status)
        }
        () if is_promise(head.status) => Outcome::Lost(format!(
            "the instance answered {} without saying that the request did not run",
            head.status
        )),
        () if is_success && (!reply.is_sealed || is_encoded) => {
            Outcome::Lost("an answer that is not the instance's came".to_owned())
        }
        () => Outcome::Answered(Box::new(Answered {
            head,
            body,
            reply,
            connection,
        })),
    }
}

/// What an error of the connection says, with its cause.
pub(crate) fn describe(error: &hyper::Error) -> String {
    match std::error::Error::source(error) {
        Some(cause) => format!("{error}: {cause}"),
        None => error.to_string(),
    }
}

/// How long a first sign of an answer is waited for before another instance is asked, if it may
/// be: a multiple of the time that is aimed at.
pub(crate) fn silence_timeout(target_ms: u32) -> Duration {
    Duration::from_millis(u64::from(target_ms) * 3).max(Duration::from_millis(600))
}
