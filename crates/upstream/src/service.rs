//! The client of a plain service.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use domain::{call::Attempt, header};
use futures::future::BoxFuture;
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode, header as http_header};
use http_body_util::Full;
use hyper::body::Incoming;
use policy::kept::Kept;

use crate::{
    body,
    connection::{Connection, Exchange, Freshness, Outgoing, Pool},
    error::{Error, TruncatedSnafu, UnsentSnafu},
    monitor::{self, Monitor},
};

/// Headers of the caller that the service gets.
const PASSED_ON: &[http::HeaderName] = &[
    http_header::ACCEPT,
    http_header::ACCEPT_LANGUAGE,
    http_header::CONTENT_TYPE,
];

/// A call as the service gets it.
#[derive(Clone, Debug)]
pub struct Call {
    /// The attempt, which the service should echo.
    pub attempt: Attempt,
    /// The method.
    pub method: Method,
    /// Path below the service, and query.
    pub path: Arc<str>,
    /// The caller's headers, of which a few are passed on.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// The key of a call that may not be repeated.
    pub once_key: Option<Arc<str>>,
}

/// A whole answer.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The status.
    pub status: StatusCode,
    /// The type of the body.
    pub content_type: Option<HeaderValue>,
    /// The body.
    pub body: Bytes,
}

/// A plain service.
pub trait Service: Send + Sync {
    /// Sends a call that may be repeated and waits for the whole answer.
    fn call(&self, call: Call) -> BoxFuture<'static, Result<Answer, Error>>;
    /// Opens a connection for one call that may not be repeated.
    fn open(&self) -> BoxFuture<'static, Result<Box<dyn Line>, Error>>;
    /// Opens a connection that shows the service's end.
    fn monitor(&self) -> BoxFuture<'static, Result<Box<dyn Monitor>, Error>>;
}

/// A connection of its own for one call, opened before the ledger is asked.
pub trait Line: Send {
    /// Sends the call and waits for the whole answer.
    fn send(self: Box<Self>, call: Call) -> BoxFuture<'static, Result<Answer, Error>>;
}

/// A plain service reached over HTTP.
#[derive(Clone)]
pub struct Client {
    pool: Pool,
    echoes: Arc<AtomicBool>,
}

impl Client {
    /// A client of the service at `peer`; `patience` bounds how long it may be silent.
    pub fn new(peer: SocketAddr, patience: Duration) -> Self {
        Self {
            pool: Pool::new(peer, patience),
            echoes: Arc::default(),
        }
    }

    async fn run(self, call: Call) -> Result<Answer, Error> {
        let peer = self.pool.peer();
        let freshness = match self.echoes.load(Ordering::Relaxed) {
            true => Freshness::Reused,
            false => Freshness::Fresh,
        };
        let (method, attempt) = (call.method.clone(), call.attempt.to_string());
        let request = outgoing(call, peer)?;
        let sent = self.pool.send(request, freshness).await;
        let Exchange {
            response,
            connection,
        } = sent.inspect_err(|_| self.pool.clear())?;
        let has_echo = check_echo(peer, &attempt, response.headers(), freshness)?;
        let (kept, patience) = (self.pool.kept(), self.pool.patience());
        let answer = read(kept, peer, &method, response, patience).await?;
        self.echoes.store(has_echo, Ordering::Relaxed);
        if has_echo {
            self.pool.put(connection);
        }
        Ok(answer)
    }
}

/// Whether the answer names the attempt. One that names none can only belong to it on a connection
/// of its own.
fn check_echo(
    peer: SocketAddr,
    attempt: &str,
    headers: &HeaderMap,
    freshness: Freshness,
) -> Result<bool, Error> {
    let echo = headers.get(header::ATTEMPT);
    match echo.map(|value| value.to_str().unwrap_or_default()) {
        Some(seen) if seen == attempt => Ok(true),
        None if freshness == Freshness::Fresh => Ok(false),
        seen => Err(Error::Crossed {
            peer,
            expected: attempt.to_owned(),
            seen: seen.unwrap_or("no attempt").to_owned(),
        }),
    }
}

/// Reads an answer whole.
async fn read(
    kept: &Kept,
    peer: SocketAddr,
    method: &Method,
    response: Response<Incoming>,
    patience: Duration,
) -> Result<Answer, Error> {
    let (head, body) = response.into_parts();
    if !body::has_end_marker(method, head.status, &head.headers) {
        let detail = "neither a length nor a last chunk";
        return TruncatedSnafu { peer, detail }.fail();
    }
    let body = body::whole(kept, body, peer, patience).await?;
    Ok(Answer {
        status: head.status,
        content_type: head.headers.get(http_header::CONTENT_TYPE).cloned(),
        body,
    })
}

/// A connection of its own.
struct Opened {
    connection: Connection,
    peer: SocketAddr,
    patience: Duration,
    kept: Kept,
}

impl Opened {
    async fn run(mut self, call: Call) -> Result<Answer, Error> {
        let peer = self.peer;
        let (method, attempt) = (call.method.clone(), call.attempt.to_string());
        let request = outgoing(call, peer)?;
        let sent = self.connection.send(peer, request, self.patience).await;
        let response = sent.map_err(|(error, _)| error)?;
        check_echo(peer, &attempt, response.headers(), Freshness::Fresh)?;
        read(&self.kept, peer, &method, response, self.patience).await
    }
}

impl Line for Opened {
    fn send(self: Box<Self>, call: Call) -> BoxFuture<'static, Result<Answer, Error>> {
        Box::pin(self.run(call))
    }
}

impl Service for Client {
    fn call(&self, call: Call) -> BoxFuture<'static, Result<Answer, Error>> {
        Box::pin(self.clone().run(call))
    }

    fn open(&self) -> BoxFuture<'static, Result<Box<dyn Line>, Error>> {
        let (peer, patience) = (self.pool.peer(), self.pool.patience());
        let kept = self.pool.kept().clone();
        Box::pin(async move {
            let connection = Connection::open(peer).await?;
            Ok(Box::new(Opened {
                connection,
                peer,
                patience,
                kept,
            }) as Box<dyn Line>)
        })
    }

    fn monitor(&self) -> BoxFuture<'static, Result<Box<dyn Monitor>, Error>> {
        let (peer, patience) = (self.pool.peer(), self.pool.patience());
        Box::pin(async move {
            let connection = Connection::open(peer).await?;
            Ok(Box::new(monitor::Line::new(connection, peer, patience)) as Box<dyn Monitor>)
        })
    }
}

fn outgoing(call: Call, peer: SocketAddr) -> Result<Outgoing, Error> {
    let unsent = |error: http::Error| {
        let detail = error.to_string();
        UnsentSnafu { peer, detail }.build()
    };
    let mut request = Request::builder()
        .method(call.method)
        .uri(call.path.as_ref())
        .header(http_header::HOST, peer.to_string())
        .header(header::ATTEMPT, call.attempt.to_string());
    for name in PASSED_ON {
        if let Some(value) = call.headers.get(name) {
            request = request.header(name, value);
        }
    }
    if let Some(key) = call.once_key.as_deref() {
        request = request.header(header::IDEMPOTENCY_KEY, key);
    }
    request.body(Full::new(call.body)).map_err(unsent)
}
