//! Connections to instances: opened with a short timeout, kept while idle, never trusted blindly.

use std::{cell::RefCell, collections::HashMap, io, net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use domain::{clock::Instant, instance::Instance, name};
use http::{HeaderMap, Request, Response, header};
use http_body_util::Full;
use hyper::{
    body::Incoming,
    client::conn::{
        TrySendError,
        http1::{self, SendRequest},
    },
};
use hyper_util::rt::TokioIo;
use policy::memory::{Memory, Use};
use socket2::SockRef;
use tokio::{net::TcpStream, task::AbortHandle, time};

use crate::socket::{Signals, Socket};

/// How long opening a connection may take: a few round trips between regions, and the instance's
/// own delay. A lost first packet is sent again only after a second, so waiting longer is vain.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// How long sent bytes may stay unacknowledged before the connection counts as dead.
const USER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// How long a connection is kept idle when the instance does not say how long it keeps it.
const DEFAULT_IDLE: Duration = Duration::from_millis(1_500);
/// How much earlier than the instance this end lets go of an idle connection.
const IDLE_MARGIN: Duration = Duration::from_millis(700);
/// The room for the head of an answer, and for what is read of its body at once, in bytes. Many
/// instances that write without end must fit into the memory of an entry.
const READ_BUFFER_BYTES: usize = 64 * 1024;
/// How many idle connections are kept to one instance at most.
const MAX_IDLE: usize = 16;
/// The part of an entry's share of an instance's connections that may be idle, in hundredths: an
/// instance resets connections beyond its limit, and a request on one of those is lost.
const IDLE_PERCENT: u32 = 50;

/// An open connection to an instance, which carries one request at a time.
///
/// If it is dropped between [`Connection::send`] and [`Connection::complete`], it is reset at once.
/// Data that is still unsent is discarded, and the instance sees an error instead of an orderly
/// end. After an orderly end, an instance that resumes after a freeze would still run the request.
/// See `docs/LOAD.md`, "Requests that were given up".
pub struct Connection {
    /// Whether it carried a request before.
    pub is_reused: bool,
    sender: SendRequest<Full<Bytes>>,
    /// The task that owns the socket.
    task: AbortHandle,
    /// What decides how the socket ends.
    signals: Rc<Signals>,
    /// Whether a request was sent whose answer is not complete.
    is_pending: bool,
}

impl Connection {
    /// Sends a request and waits for the head of its answer.
    ///
    /// # Errors
    ///
    /// If the connection fails. The error contains the request if nothing of it was sent.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, TrySendError<Request<Full<Bytes>>>> {
        self.is_pending = true;
        self.sender.try_send_request(request).await
    }

    /// Records that nothing of the request is left at the instance: its answer was read whole, or
    /// says that the request will never run. From now on the connection ends in order.
    pub fn complete(&mut self) {
        self.is_pending = false;
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        if self.is_pending {
            self.signals.is_broken.set(true);
            // Dropping the sender alone would let the task shut the socket down in order.
            self.task.abort();
        }
    }
}

struct Idle {
    connection: Connection,
    address: SocketAddr,
    until: Instant,
}

/// Idle connections by instance.
pub struct Pool {
    memory: Memory,
    idle: RefCell<HashMap<name::Instance, Vec<Idle>>>,
}

impl Pool {
    /// A pool without connections.
    pub fn new(memory: Memory) -> Rc<Self> {
        let idle = RefCell::default();
        Rc::new(Self { memory, idle })
    }

    /// An idle connection, the one that was used last.
    pub fn take(&self, instance: &Instance, now: Instant) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let kept = idle.get_mut(&instance.id)?;
        kept.retain(|idle| {
            idle.until > now
                && idle.address == instance.address
                && idle.connection.sender.is_ready()
        });
        kept.pop().map(|idle| idle.connection)
    }

    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// If the instance can't be reached in time, or memory is short.
    pub async fn open(&self, address: SocketAddr) -> io::Result<Connection> {
        // A request that was let in needs it for its answer.
        let taken = self.memory.take(Use::Answer, READ_BUFFER_BYTES);
        let grant = taken.map_err(io::Error::other)?;
        let stream = time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
            .await
            .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        stream.set_nodelay(true)?;
        SockRef::from(&stream).set_tcp_user_timeout(Some(USER_TIMEOUT))?;
        let signals = Rc::<Signals>::default();
        let handshake = http1::Builder::new()
            .max_buf_size(READ_BUFFER_BYTES)
            .handshake(TokioIo::new(Socket::new(stream, signals.clone())));
        let (sender, connection) = handshake.await.map_err(io::Error::other)?;
        // Its end shows in the requests that it carries.
        let task = tokio::task::spawn_local(async move {
            let _grant = grant;
            let _ = connection.await;
        });
        Ok(Connection {
            is_reused: false,
            sender,
            task: task.abort_handle(),
            signals,
            is_pending: false,
        })
    }

    /// Keeps a complete connection, as long as the instance does. `share` is how many
    /// connections to the instance this entry may have.
    pub fn put(
        &self,
        instance: &Instance,
        mut connection: Connection,
        lifetime: Option<Duration>,
        share: u32,
        now: Instant,
    ) {
        let Some(lifetime) = lifetime else {
            return;
        };
        let mut idle = self.idle.borrow_mut();
        let kept = idle.entry(instance.id.clone()).or_default();
        kept.retain(|idle| idle.until > now && !idle.connection.sender.is_closed());
        let most = usize::try_from(share * IDLE_PERCENT / 100).unwrap_or(MAX_IDLE);
        if kept.len() < most.min(MAX_IDLE) {
            connection.is_reused = true;
            kept.push(Idle {
                connection,
                address: instance.address,
                until: now + lifetime,
            });
        }
    }

    /// Closes the idle connections to an instance.
    pub fn forget(&self, id: &name::Instance) {
        self.idle.borrow_mut().remove(id);
    }

    /// How many connections are idle.
    pub fn idle(&self) -> usize {
        self.idle.borrow().values().map(Vec::len).sum()
    }

    /// Closes connections that are idle for too long, or whose instance is gone.
    pub fn sweep(&self, now: Instant, is_known: impl Fn(&name::Instance) -> bool) {
        self.idle.borrow_mut().retain(|id, kept| {
            kept.retain(|idle| idle.until > now && !idle.connection.sender.is_closed());
            !kept.is_empty() && is_known(id)
        });
    }
}

/// How long a connection may be kept idle after an answer with these headers, if at all.
pub fn lifetime(headers: &HeaderMap) -> Option<Duration> {
    let has_token = |name, token: &str| {
        headers.get_all(name).iter().any(|value| {
            value.to_str().is_ok_and(|text| {
                text.split(',')
                    .any(|part| part.trim().eq_ignore_ascii_case(token))
            })
        })
    };
    if has_token(header::CONNECTION, "close") {
        return None;
    }
    let seconds = headers
        .get("keep-alive")
        .and_then(|value| value.to_str().ok())
        .and_then(|text| {
            text.split(',')
                .find_map(|part| part.trim().strip_prefix("timeout="))
        })
        .and_then(|text| text.trim().parse::<u64>().ok());
    match seconds {
        Some(seconds) => Duration::from_secs(seconds).checked_sub(IDLE_MARGIN),
        None => Some(DEFAULT_IDLE),
    }
}
