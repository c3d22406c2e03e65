//! Connections to agents.
//!
//! Pings end a connection that went silent, and a connection is dialled again after any failure
//! rather than used again. See `docs/ARCHITECTURE.md`, "Silent connections".

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http2::{Builder, SendRequest};
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use parking_lot::Mutex;
use snafu::{ResultExt, Snafu};
use tokio::{net::TcpStream, time};

/// How long a connection may take to open.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// The time between two pings.
const PING_PERIOD: Duration = Duration::from_secs(1);
/// How long the answer to a ping may take.
const PING_TIMEOUT: Duration = Duration::from_secs(1);
/// The bytes of one answer that may be under way before the caller has taken them.
const STREAM_WINDOW_BYTES: u32 = 256 * 1024;
/// The bytes of all answers of one connection that may be under way.
const CONNECTION_WINDOW_BYTES: u32 = 4 * 1024 * 1024;

/// A connection on which requests are sent.
pub type Sender = SendRequest<Full<Bytes>>;

/// A connection could not be opened. Nothing was sent.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The agent can't be reached.
    #[snafu(display("could not connect: {addr}: {source}"))]
    Connect {
        /// Its address.
        addr: SocketAddr,
        /// What the system said.
        source: std::io::Error,
    },
    /// It does not speak HTTP/2.
    #[snafu(display("could not open an HTTP/2 session: {addr}: {source}"))]
    Handshake {
        /// Its address.
        addr: SocketAddr,
        /// What the library said.
        source: hyper::Error,
    },
    /// It did not answer in time.
    #[snafu(display("no connection to {addr} for {millis} ms"))]
    Timeout {
        /// Its address.
        addr: SocketAddr,
        /// How long was waited, in milliseconds.
        millis: u128,
    },
}

type Slot = Arc<tokio::sync::Mutex<Option<Sender>>>;

/// One connection to each agent in use.
#[derive(Default)]
pub struct Pool {
    slots: Mutex<HashMap<SocketAddr, Slot>>,
}

impl Pool {
    /// A pool without connections.
    pub fn new() -> Self {
        Self::default()
    }

    /// The open connection to the agent, or a new one.
    ///
    /// # Errors
    ///
    /// If none could be opened.
    pub async fn get(&self, addr: SocketAddr) -> Result<Sender, Error> {
        let slot = self.slots.lock().entry(addr).or_default().clone();
        let mut slot = slot.lock().await;
        match slot.as_ref() {
            Some(sender) if !sender.is_closed() => Ok(sender.clone()),
            _ => {
                let sender = dial(addr).await?;
                *slot = Some(sender.clone());
                Ok(sender)
            }
        }
    }

    /// Forgets the connection to an agent; calls that still run on it go on.
    pub fn discard(&self, addr: SocketAddr) {
        self.slots.lock().remove(&addr);
    }

    /// Forgets connections to agents that are no longer known.
    pub fn retain(&self, is_known: impl Fn(&SocketAddr) -> bool) {
        self.slots.lock().retain(|addr, _| is_known(addr));
    }

    /// How many agents have a connection.
    pub fn len(&self) -> usize {
        self.slots.lock().len()
    }

    /// Whether no agent has a connection.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// Opens a connection.
///
/// # Errors
///
/// If the agent can't be reached in time.
pub async fn dial(addr: SocketAddr) -> Result<Sender, Error> {
    let dialled = time::timeout(CONNECT_TIMEOUT, connect(addr)).await;
    dialled.unwrap_or_else(|_| {
        let millis = CONNECT_TIMEOUT.as_millis();
        TimeoutSnafu { addr, millis }.fail()
    })
}

async fn connect(addr: SocketAddr) -> Result<Sender, Error> {
    let stream = TcpStream::connect(addr)
        .await
        .context(ConnectSnafu { addr })?;
    stream.set_nodelay(true).context(ConnectSnafu { addr })?;
    let (sender, connection) = Builder::new(TokioExecutor::new())
        .timer(TokioTimer::new())
        .keep_alive_interval(PING_PERIOD)
        .keep_alive_timeout(PING_TIMEOUT)
        .keep_alive_while_idle(true)
        .initial_stream_window_size(STREAM_WINDOW_BYTES)
        .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
        .handshake(TokioIo::new(stream))
        .await
        .context(HandshakeSnafu { addr })?;
    tokio::spawn(async move {
        // Each call on the connection sees the error itself.
        let _ = connection.await;
    });
    Ok(sender)
}
