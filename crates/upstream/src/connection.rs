//! Connections to an upstream: a small pool, and fresh ones for calls that may not be repeated.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::{body::Incoming, client::conn::http1};
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use policy::kept::Kept;
use snafu::ResultExt;
use tokio::{net::TcpStream, time};
use tokio_util::sync::CancellationToken;

use crate::{
    body,
    error::{BrokenSnafu, ConnectSnafu, Error, SilentSnafu, Step},
};

/// Loopback answers a connection attempt at once or never.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Idle connections beyond this many are closed.
const MAX_IDLE: usize = 32;

/// A request with its whole body.
pub type Outgoing = Request<Full<Bytes>>;

/// Whether a request may go out on a connection that was used before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// It may.
    Reused,
    /// It needs a connection of its own.
    Fresh,
}

/// Connections to one upstream.
#[derive(Clone)]
pub struct Pool {
    peer: SocketAddr,
    patience: Duration,
    idle: Arc<Mutex<Vec<Connection>>>,
    kept: Kept,
}

/// An open connection.
pub struct Connection {
    sender: http1::SendRequest<Full<Bytes>>,
    closed: CancellationToken,
}

/// An answer's head, and the connection on which its body comes.
pub struct Exchange {
    /// The answer.
    pub response: Response<Incoming>,
    /// Give it back with [`Pool::put`] once the body was read to its end.
    pub connection: Connection,
}

impl Connection {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// If the upstream does not accept it.
    pub async fn open(peer: SocketAddr) -> Result<Self, Error> {
        let timeout = || std::io::Error::from(std::io::ErrorKind::TimedOut);
        let stream = time::timeout(CONNECT_TIMEOUT, TcpStream::connect(peer))
            .await
            .unwrap_or_else(|_| Err(timeout()))
            .context(ConnectSnafu { peer })?;
        stream.set_nodelay(true).context(ConnectSnafu { peer })?;
        let (sender, connection) =
            http1::handshake(TokioIo::new(stream))
                .await
                .context(BrokenSnafu {
                    step: Step::Connect,
                    peer,
                })?;
        let closed = CancellationToken::new();
        let guard = closed.clone().drop_guard();
        tokio::spawn(async move {
            // What broke it shows at the call that used it.
            let _ = connection.await;
            drop(guard);
        });
        Ok(Self { sender, closed })
    }

    /// Fires when the connection has ended.
    pub fn closed(&self) -> CancellationToken {
        self.closed.clone()
    }

    /// Sends a request and waits for the answer's head.
    ///
    /// # Errors
    ///
    /// With the request itself if not a byte of it was sent.
    pub async fn send(
        &mut self,
        peer: SocketAddr,
        request: Outgoing,
        patience: Duration,
    ) -> Result<Response<Incoming>, (Error, Option<Outgoing>)> {
        let step = Step::Head;
        let millis = as_millis(patience);
        match time::timeout(patience, self.sender.try_send_request(request)).await {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(mut failure)) => match failure.take_message() {
                Some(request) => {
                    let detail = failure.into_error().to_string();
                    Err((Error::Unsent { peer, detail }, Some(request)))
                }
                None => {
                    let source = failure.into_error();
                    Err((Error::Broken { step, peer, source }, None))
                }
            },
            Err(_) => Err((SilentSnafu { step, peer, millis }.build(), None)),
        }
    }
}

impl Pool {
    /// Connections to `peer`; `patience` bounds the wait for an answer's head.
    pub fn new(peer: SocketAddr, patience: Duration) -> Self {
        Self {
            peer,
            patience,
            idle: Arc::default(),
            kept: body::kept(),
        }
    }

    /// The upstream.
    pub fn peer(&self) -> SocketAddr {
        self.peer
    }

    /// How long the upstream may be silent.
    pub fn patience(&self) -> Duration {
        self.patience
    }

    /// The bytes of unfinished answers, counted over all connections.
    pub fn kept(&self) -> &Kept {
        &self.kept
    }

    /// Sends a request and waits for the answer's head.
    ///
    /// # Errors
    ///
    /// If it could not be sent, or no head came.
    pub async fn send(&self, request: Outgoing, freshness: Freshness) -> Result<Exchange, Error> {
        let request = match (freshness, self.take()) {
            (Freshness::Reused, Some(mut connection)) => {
                match connection.send(self.peer, request, self.patience).await {
                    Ok(response) => {
                        return Ok(Exchange {
                            response,
                            connection,
                        });
                    }
                    // The idle connection had ended; not a byte was sent on it.
                    Err((_, Some(request))) => request,
                    Err((error, None)) => return Err(error),
                }
            }
            _ => request,
        };
        let mut connection = Connection::open(self.peer).await?;
        match connection.send(self.peer, request, self.patience).await {
            Ok(response) => Ok(Exchange {
                response,
                connection,
            }),
            Err((error, _)) => Err(error),
        }
    }

    /// Keeps a connection for the next request.
    pub fn put(&self, connection: Connection) {
        let mut idle = self.idle.lock();
        if idle.len() < MAX_IDLE && !connection.sender.is_closed() {
            idle.push(connection);
        }
    }

    /// Closes all idle connections, because one of them was seen to be dead.
    pub fn clear(&self) {
        self.idle.lock().clear();
    }

    fn take(&self) -> Option<Connection> {
        let mut idle = self.idle.lock();
        while let Some(connection) = idle.pop() {
            if connection.sender.is_ready() {
                return Some(connection);
            }
        }
        None
    }
}

pub(crate) fn as_millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
