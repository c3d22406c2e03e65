//! Connections: dialling, login, and calls with a timeout.

use std::{
    cell::RefCell,
    future::Future,
    io,
    net::SocketAddr,
    pin::Pin,
    rc::Rc,
    sync::Arc,
    task::{Context, Poll},
    time::Duration,
};

use capnp_rpc::{RpcSystem, rpc_twoparty_capnp::Side, twoparty};
use futures::{FutureExt, StreamExt, stream::FuturesUnordered};
use snafu::ResultExt;
use tokio::{
    io::{AsyncRead, AsyncReadExt, ReadBuf, Take},
    net::{TcpStream, tcp::OwnedReadHalf},
    task::JoinHandle,
    time,
};
use tokio_util::compat::{TokioAsyncReadCompatExt, TokioAsyncWriteCompatExt};

use crate::{
    error::{Error, IoSnafu, RpcSnafu, Step, TimeoutSnafu},
    wire_capnp::login,
};

/// Fast enough for one answer in flight, and it bounds what a silent peer can hold back.
pub const DEFAULT_TIMEOUT: Duration = Duration::from_secs(2);

/// A first packet that is lost, as while the peer starts, is sent again by the kernel only after
/// 1 s. Another connection is tried beside it after so long: far above a round trip between regions.
const CONNECT_STAGGER: Duration = Duration::from_millis(200);

/// How much is read from a peer before it has answered the login, in bytes. Another program may
/// listen at the address by now, and may write without end.
const MAX_LOGIN_BYTES: u64 = 64 * 1024;

/// How to reach the system's own processes.
#[derive(Clone)]
pub struct Dialer {
    secret: Arc<[u8]>,
    timeout: Duration,
}

impl Dialer {
    /// A dialer that presents the given shared secret.
    pub fn new(secret: impl Into<Arc<[u8]>>) -> Self {
        Self {
            secret: secret.into(),
            timeout: DEFAULT_TIMEOUT,
        }
    }

    /// Sets how long one step may take.
    #[must_use]
    pub fn with_timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    /// The shared secret.
    pub fn secret(&self) -> &[u8] {
        &self.secret
    }

    /// Opens a connection. It must be called inside a `LocalSet`.
    pub async fn dial(&self, peer: SocketAddr) -> Result<Connection, Error> {
        let step = Step::Connect;
        let millis = as_millis(self.timeout);
        let stream = time::timeout(self.timeout, connect(peer))
            .await
            .map_err(|_| TimeoutSnafu { step, peer, millis }.build())?
            .context(IoSnafu { step, peer })?;
        stream.set_nodelay(true).context(IoSnafu { step, peer })?;
        let (reader, writer) = stream.into_split();
        let inbound = Inbound::new(reader);
        let network = twoparty::VatNetwork::new(
            inbound.clone().compat(),
            writer.compat_write(),
            Side::Client,
            Default::default(),
        );
        let mut system = RpcSystem::new(Box::new(network), None);
        let login = system.bootstrap(Side::Server);
        let task = tokio::task::spawn_local(system.map(|_| ()));
        Ok(Connection {
            peer,
            login,
            inbound,
            timeout: self.timeout,
            task,
        })
    }
}

/// The connection that is first established or refused.
async fn connect(peer: SocketAddr) -> io::Result<TcpStream> {
    let mut tries = FuturesUnordered::new();
    loop {
        tries.push(TcpStream::connect(peer));
        if let Ok(Some(result)) = time::timeout(CONNECT_STAGGER, tries.next()).await {
            return result;
        }
    }
}

/// What a peer sends. It ends after [`MAX_LOGIN_BYTES`] until the limit is lifted.
#[derive(Clone)]
struct Inbound(Rc<RefCell<Take<OwnedReadHalf>>>);

impl Inbound {
    fn new(reader: OwnedReadHalf) -> Self {
        Self(Rc::new(RefCell::new(reader.take(MAX_LOGIN_BYTES))))
    }

    fn lift_limit(&self) {
        self.0.borrow_mut().set_limit(u64::MAX);
    }
}

impl AsyncRead for Inbound {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.0.borrow_mut()).poll_read(context, buffer)
    }
}

/// An open connection. Dropping it closes it and fails its running calls.
pub struct Connection {
    peer: SocketAddr,
    pub(crate) login: login::Client,
    inbound: Inbound,
    timeout: Duration,
    task: JoinHandle<()>,
}

impl Connection {
    /// The other end.
    pub fn peer(&self) -> SocketAddr {
        self.peer
    }

    /// Whether the connection has ended. A silent one looks open until a call times out.
    pub fn is_closed(&self) -> bool {
        self.task.is_finished()
    }

    /// Waits for an answer, at most as long as the dialer allows beyond `extra`.
    pub async fn call<T>(
        &self,
        step: Step,
        extra: Duration,
        answer: impl Future<Output = capnp::Result<T>>,
    ) -> Result<T, Error> {
        let limit = self.timeout + extra;
        let (peer, millis) = (self.peer, as_millis(limit));
        time::timeout(limit, answer)
            .await
            .map_err(|_| TimeoutSnafu { step, peer, millis }.build())?
            .context(RpcSnafu { step, peer })
    }

    /// Waits for the answer to the login, and then reads without the limit that holds before.
    pub(crate) async fn login<T>(
        &self,
        answer: impl Future<Output = capnp::Result<T>>,
    ) -> Result<T, Error> {
        let session = self.call(Step::Login, Duration::ZERO, answer).await?;
        self.inbound.lift_limit();
        Ok(session)
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

fn as_millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
