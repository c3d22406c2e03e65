//! The client of a model engine.

use std::{net::SocketAddr, path::PathBuf, sync::Arc, time::Duration};

use bytes::Bytes;
use domain::{
    artifact,
    call::{Attempt, Target},
    digest::Digest,
    header,
    order::{Fence, Order, Role},
};
use futures::future::BoxFuture;
use http::{Method, Request, StatusCode, header as http_header};
use http_body_util::Full;
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

use crate::{
    body,
    connection::{Connection, Exchange, Freshness, Outgoing, Pool},
    error::{Error, FencedSnafu, MalformedSnafu, RefusedSnafu, TruncatedSnafu, UnsentSnafu},
    event::{self, Data, Event},
    monitor::{self, Monitor},
};
use snafu::OptionExt;

/// Loading takes as long as reading the weights; the monitor notices an engine that hangs.
const ORDER_TIMEOUT: Duration = Duration::from_secs(900);
/// A cancellation that takes longer is given up; dropping the connection says the same.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(2);

/// A call with its pinned version.
#[derive(Clone, Debug)]
pub struct Call {
    /// The attempt, which the engine must echo.
    pub attempt: Attempt,
    /// What the call was admitted to.
    pub target: Target,
    /// The last token that the caller has.
    pub resume_from: u32,
    /// The caller's request.
    pub request: Map<String, Value>,
}

/// One token of an answer, checked to belong to the call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Token {
    /// Its place, from 1 on.
    pub position: u32,
    /// Its text.
    pub content: String,
    /// The event's data as the engine sent it.
    pub data: Bytes,
}

/// A version as the engine says that it serves it.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct Served {
    /// The version.
    pub artifact: artifact::Id,
    /// The digest of its manifest.
    pub digest: Digest,
}

/// What the engine says of itself.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct State {
    /// Changes at each start.
    pub boot: u64,
    /// The versions that it serves.
    pub serving: Vec<Served>,
    /// Running calls, with a lag.
    pub running: u32,
    /// Waiting calls, with a lag.
    pub queued: u32,
    /// Whether it is cold, with a lag.
    pub is_cold: bool,
    /// Its role.
    pub role: Role,
    /// The highest fencing number that it has seen.
    pub fence: Fence,
}

/// An order as the engine gets it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Command {
    /// The fencing number.
    pub fence: Fence,
    /// The order.
    pub order: Order,
    /// The manifest's file, for a load.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub manifest: Option<PathBuf>,
    /// The chunks' files in the manifest's order, for a load.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub chunks: Vec<PathBuf>,
}

/// A model engine.
pub trait Engine: Send + Sync {
    /// Starts a call. The answer comes token by token, however the caller wants it.
    fn call(&self, call: Call) -> BoxFuture<'static, Result<Box<dyn Tokens>, Error>>;
    /// Gives an order and waits until it is carried out.
    fn order(&self, command: Command) -> BoxFuture<'static, Result<(), Error>>;
    /// Opens a connection that shows the engine's state and its end.
    fn monitor(&self) -> BoxFuture<'static, Result<Box<dyn Monitor>, Error>>;
}

/// The tokens of one answer. Dropping it before its end cancels the call at the engine.
pub trait Tokens: Send {
    /// The next token, or nothing once the terminator has come.
    fn next(&mut self) -> BoxFuture<'_, Result<Option<Token>, Error>>;
}

/// A model engine reached over HTTP.
#[derive(Clone)]
pub struct Client {
    pool: Pool,
}

impl Client {
    /// A client of the engine at `peer`; `patience` bounds how long it may be silent.
    pub fn new(peer: SocketAddr, patience: Duration) -> Self {
        Self {
            pool: Pool::new(peer, patience),
        }
    }
}

impl Engine for Client {
    fn call(&self, call: Call) -> BoxFuture<'static, Result<Box<dyn Tokens>, Error>> {
        let pool = self.pool.clone();
        Box::pin(async move {
            let stream = Stream::open(pool, call).await?;
            Ok(Box::new(stream) as Box<dyn Tokens>)
        })
    }

    fn order(&self, command: Command) -> BoxFuture<'static, Result<(), Error>> {
        let pool = Pool::new(self.pool.peer(), ORDER_TIMEOUT);
        Box::pin(async move { order(&pool, &command).await })
    }

    fn monitor(&self) -> BoxFuture<'static, Result<Box<dyn Monitor>, Error>> {
        let (peer, patience) = (self.pool.peer(), self.pool.patience());
        Box::pin(async move {
            let connection = Connection::open(peer).await?;
            let line = monitor::Line::new(connection, peer, patience);
            Ok(Box::new(line) as Box<dyn Monitor>)
        })
    }
}

async fn order(pool: &Pool, command: &Command) -> Result<(), Error> {
    let peer = pool.peer();
    let request = json_request(Method::POST, "/orders", peer, command)?;
    let Exchange { response, .. } = pool.send(request, Freshness::Fresh).await?;
    let status = response.status();
    let text = body::whole(pool.kept(), response.into_body(), peer, pool.patience()).await?;
    match status {
        StatusCode::OK => Ok(()),
        StatusCode::CONFLICT => {
            let fence: Fence = serde_json::from_slice(&text).unwrap_or_default();
            FencedSnafu { peer, fence }.fail()
        }
        _ => refused(peer, status, &text),
    }
}

pub(crate) fn refused<T>(peer: SocketAddr, status: StatusCode, text: &[u8]) -> Result<T, Error> {
    const MAX_DETAIL_BYTES: usize = 200;
    let text = &text[..text.len().min(MAX_DETAIL_BYTES)];
    RefusedSnafu {
        peer,
        status: status.as_u16(),
        detail: String::from_utf8_lossy(text),
    }
    .fail()
}

fn json_request(
    method: Method,
    path: &str,
    peer: SocketAddr,
    value: &impl Serialize,
) -> Result<Outgoing, Error> {
    let unsent = |detail: String| UnsentSnafu { peer, detail }.build();
    let text = serde_json::to_vec(value).map_err(|error| unsent(error.to_string()))?;
    Request::builder()
        .method(method)
        .uri(path)
        .header(http_header::HOST, peer.to_string())
        .header(http_header::CONTENT_TYPE, "application/json")
        .body(Full::new(Bytes::from(text)))
        .map_err(|error| unsent(error.to_string()))
}

/// An answer that is being read.
struct Stream {
    pool: Pool,
    attempt: Attempt,
    attempt_text: String,
    model: String,
    last: u32,
    reader: event::Reader,
    connection: Option<Connection>,
    body: Option<Incoming>,
}

impl Stream {
    async fn open(pool: Pool, call: Call) -> Result<Self, Error> {
        let peer = pool.peer();
        let attempt_text = call.attempt.to_string();
        let model = call.target.model.to_string();
        let mut guard = Self {
            attempt: call.attempt,
            attempt_text: attempt_text.clone(),
            model,
            last: call.resume_from,
            reader: event::Reader::new(),
            connection: None,
            body: None,
            pool: pool.clone(),
        };
        let mut request = json_request(Method::POST, "/v1/chat/completions", peer, &pinned(call))?;
        if let Ok(value) = attempt_text.parse() {
            request.headers_mut().insert(header::ATTEMPT, value);
        }
        let sent = pool.send(request, Freshness::Reused).await;
        let Exchange {
            response,
            connection,
        } = match sent {
            Ok(exchange) => exchange,
            Err(error) => {
                // Nothing runs if nothing was sent; else the guard's end cancels the call.
                guard.attempt_text.clear();
                if error.outcome() != domain::call::Outcome::NotRun {
                    pool.clear();
                    cancel(pool, guard.attempt);
                }
                return Err(error);
            }
        };
        guard.connection = Some(connection);
        let status = response.status();
        if status != StatusCode::OK {
            guard.attempt_text.clear();
            let (kept, patience) = (guard.pool.kept(), guard.pool.patience());
            let text = body::whole(kept, response.into_body(), peer, patience).await?;
            return refused(peer, status, &text);
        }
        let (head, body) = response.into_parts();
        guard.body = Some(body);
        let echo = head.headers.get(header::ATTEMPT);
        match echo.and_then(|value| value.to_str().ok()) {
            Some(seen) if seen == attempt_text => Ok(guard),
            seen => Err(Error::Crossed {
                peer,
                expected: attempt_text,
                seen: seen.unwrap_or("no attempt").to_owned(),
            }),
        }
    }

    async fn read(&mut self) -> Result<Option<Token>, Error> {
        let peer = self.pool.peer();
        loop {
            let event = self.reader.next_event().map_err(|error| {
                let detail = error.to_string();
                MalformedSnafu { peer, detail }.build()
            })?;
            match event {
                Some(Event::Done) => return self.end().await.map(|()| None),
                Some(Event::Data(data)) => match self.check(data)? {
                    Some(token) => return Ok(Some(token)),
                    None => continue,
                },
                None => {}
            }
            let detail = "the stream ended without its terminator";
            let body = self
                .body
                .as_mut()
                .context(TruncatedSnafu { peer, detail })?;
            match body::next(body, peer, self.pool.patience()).await? {
                Some(piece) => self.reader.push(&piece),
                None => {
                    self.body = None;
                    return TruncatedSnafu { peer, detail }.fail();
                }
            }
        }
    }

    /// Checks that an event belongs to the call, and trims what the caller has already.
    fn check(&mut self, data: Bytes) -> Result<Option<Token>, Error> {
        let peer = self.pool.peer();
        let read: Data = serde_json::from_slice(&data).map_err(|error| {
            let detail = error.to_string();
            MalformedSnafu { peer, detail }.build()
        })?;
        if read.id != self.attempt_text {
            return Err(Error::Crossed {
                peer,
                expected: self.attempt_text.clone(),
                seen: read.id,
            });
        }
        if read.model != self.model {
            return Err(Error::Crossed {
                peer,
                expected: self.model.clone(),
                seen: read.model,
            });
        }
        match read.position {
            position if position <= self.last => Ok(None),
            position if position == self.last + 1 => {
                self.last = position;
                let choice = read.choices.into_iter().next();
                let detail = "an event without a choice";
                let choice = choice.context(MalformedSnafu { peer, detail })?;
                Ok(Some(Token {
                    position,
                    content: choice.delta.content,
                    data,
                }))
            }
            position => {
                let detail = format!("token {position} after token {}", self.last);
                MalformedSnafu { peer, detail }.fail()
            }
        }
    }

    /// Reads up to the end of the body, so that the connection can be used again.
    async fn end(&mut self) -> Result<(), Error> {
        let peer = self.pool.peer();
        self.attempt_text.clear();
        let (Some(mut body), Some(connection)) = (self.body.take(), self.connection.take()) else {
            return Ok(());
        };
        let has_rest = self.reader.has_rest();
        // The terminator has come, so the answer is whole whatever follows; but a connection on
        // which more follows is not used again.
        match body::next(&mut body, peer, CANCEL_TIMEOUT).await {
            Ok(None) if !has_rest => self.pool.put(connection),
            _ => drop(connection),
        }
        Ok(())
    }
}

impl Tokens for Stream {
    fn next(&mut self) -> BoxFuture<'_, Result<Option<Token>, Error>> {
        Box::pin(self.read())
    }
}

impl Drop for Stream {
    fn drop(&mut self) {
        // The text is cleared once nothing runs any more.
        if !self.attempt_text.is_empty() {
            cancel(self.pool.clone(), self.attempt);
        }
    }
}

/// Tells the engine that nobody waits for the answer any more.
fn cancel(pool: Pool, attempt: Attempt) {
    let Ok(runtime) = tokio::runtime::Handle::try_current() else {
        return;
    };
    let path = format!("/v1/requests/{attempt}");
    runtime.spawn(async move {
        let peer = pool.peer();
        let Ok(request) = json_request(Method::DELETE, &path, peer, &()) else {
            return;
        };
        let exchange = pool.send(request, Freshness::Reused);
        let Ok(Ok(exchange)) = tokio::time::timeout(CANCEL_TIMEOUT, exchange).await else {
            return;
        };
        let body = exchange.response.into_body();
        let answer = body::whole(pool.kept(), body, peer, CANCEL_TIMEOUT).await;
        if answer.is_ok() {
            pool.put(exchange.connection);
        }
    });
}

/// The caller's request with what it was admitted to. The engine always streams: tokens show that
/// it makes progress, and a caller who wants one piece gets it from the agent.
fn pinned(call: Call) -> Map<String, Value> {
    let mut request = call.request;
    request.insert("model".into(), call.target.model.to_string().into());
    match call.target.adapter {
        Some(adapter) => request.insert("adapter".into(), adapter.to_string().into()),
        None => request.remove("adapter"),
    };
    request.insert("stream".into(), true.into());
    match call.resume_from {
        0 => request.remove("resume_from"),
        position => request.insert("resume_from".into(), position.into()),
    };
    request
}

/// Engines are shared by the gate, the reconciler and the monitor.
pub type Shared = Arc<dyn Engine>;
