//! The listener for callers, and its orderly end.

use std::{cell::Cell, io, net::SocketAddr, rc::Rc, time::Duration};

use http::{HeaderValue, Request, Response, Version, header};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use policy::memory::{Grant, Use};
use slog::{debug, info, warn};
use socket2::SockRef;
use tokio::{
    net::{TcpListener, TcpSocket, TcpStream},
    sync::watch,
    task, time,
};

use crate::{
    answer::Unread,
    body::{Broken, UnreadTimeout},
    call,
    site::Site,
    socket::{Signals, Socket},
};

/// Connections that wait to be accepted; more of them are turned away by the kernel.
const BACKLOG: u32 = 1_024;
/// How long bytes sent to a caller may stay unacknowledged.
const USER_TIMEOUT: Duration = Duration::from_secs(5);
/// How much longer than callers may be idle a connection is kept, so that their next request does
/// not cross its end.
const IDLE_MARGIN: Duration = Duration::from_secs(1);
/// Headers of a request, beyond which it is refused. The platform bounds their bytes alone; each
/// one costs about 40 bytes while a head is read.
const MAX_HEADERS: usize = 256;
/// The pause after a failure to accept, which is mostly a lack of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// How long before its end the process answers requests that are still unanswered.
const ANSWER_TIME: Duration = Duration::from_millis(200);
/// How often the end of running requests is looked for.
const DRAIN_PERIOD: Duration = Duration::from_millis(20);

/// The listener for callers.
pub struct Front {
    listener: TcpListener,
    site: Rc<Site>,
    /// Whether connections end as soon as they are idle.
    closing: watch::Sender<bool>,
}

impl Front {
    /// Listens for callers.
    ///
    /// # Errors
    ///
    /// If the address can't be had.
    pub fn bind(address: SocketAddr, site: Rc<Site>) -> io::Result<Self> {
        let socket = match address {
            SocketAddr::V4(_) => TcpSocket::new_v4()?,
            SocketAddr::V6(_) => TcpSocket::new_v6()?,
        };
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        Ok(Self {
            listener: socket.listen(BACKLOG)?,
            site,
            closing: watch::Sender::new(false),
        })
    }

    /// Where it listens.
    ///
    /// # Errors
    ///
    /// If the system does not say.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Serves callers until `leave` ends. Then the relay counts as not ready, and after `notice`,
    /// in which the balancer learns that, idle connections end and the rest with their answers,
    /// within `limit`.
    pub async fn run(self, leave: impl Future<Output = ()>, notice: Duration, limit: Duration) {
        tokio::pin!(leave);
        tokio::select! {
            () = self.accept() => {}
            () = &mut leave => {}
        }
        let site = self.site.clone();
        info!(site.journal.logger(), "relay: leaving"; "running" => site.running());
        site.leave(limit);
        let begun = time::Instant::now();
        tokio::select! {
            () = self.accept() => {}
            () = time::sleep(notice) => {}
        }
        self.closing.send_replace(true);
        let closing = self.closing;
        drop(self.listener);
        let is_over = || closing.is_closed() && site.running() == 0;
        while !is_over() && begun.elapsed() + ANSWER_TIME < limit {
            time::sleep(DRAIN_PERIOD).await;
        }
        site.end();
        while !is_over() && begun.elapsed() < limit {
            time::sleep(DRAIN_PERIOD).await;
        }
        match site.running() {
            0 => info!(site.journal.logger(), "relay: every request has ended"),
            running => warn!(site.journal.logger(), "relay: requests cut"; "running" => running),
        }
    }

    /// Takes the memory of the next connection. Connections that come while there is none wait at
    /// the kernel.
    async fn room(&self) -> Grant {
        let bytes = buffer_bytes(self.site.limits().header_bytes);
        loop {
            match self.site.memory.take(Use::Connection, bytes) {
                Ok(grant) => return grant,
                Err(short) => self.site.journal.short(&short, self.site.now()),
            }
            time::sleep(ACCEPT_PAUSE).await;
        }
    }

    async fn accept(&self) {
        loop {
            let room = self.room().await;
            match self.listener.accept().await {
                Ok((stream, peer)) => {
                    let closing = self.closing.subscribe();
                    task::spawn_local(serve(self.site.clone(), stream, peer, closing, room));
                }
                Err(error) => {
                    warn!(self.site.journal.logger(), "relay: could not accept";
                        "reason" => %error);
                    time::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }
}

async fn serve(
    site: Rc<Site>,
    stream: TcpStream,
    peer: SocketAddr,
    mut closing: watch::Receiver<bool>,
    _room: Grant,
) {
    let prepared = stream
        .set_nodelay(true)
        .and_then(|()| SockRef::from(&stream).set_tcp_user_timeout(Some(USER_TIMEOUT)));
    if let Err(error) = prepared {
        debug!(site.journal.logger(), "relay: connection lost"; "peer" => %peer,
            "reason" => %error);
        return;
    }
    let limits = site.limits();
    let idle = Duration::from_millis(limits.idle_timeout_ms.into()) + IDLE_MARGIN;
    let shared = site.clone();
    let is_old = Rc::new(Cell::new(false));
    let signals = Rc::new(Signals::default());
    let socket = Socket::new(stream, signals.clone());
    let told = signals.clone();
    let version = is_old.clone();
    let service = service_fn(move |request: Request<Incoming>| {
        let site = shared.clone();
        let told = told.clone();
        version.set(request.version() == Version::HTTP_10);
        async move {
            let answered = call::handle(site.clone(), request).await;
            let response = with_close(&site, answered?);
            let extensions = response.extensions();
            told.is_unread.set(extensions.get::<Unread>().is_some());
            told.unread_timeout
                .set(extensions.get().copied().map(|UnreadTimeout(time)| time));
            Ok::<_, Broken>(response)
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle)
        .max_headers(MAX_HEADERS)
        .max_buf_size(buffer_bytes(limits.header_bytes))
        .serve_connection(TokioIo::new(socket), service);
    tokio::pin!(connection);
    let ended = tokio::select! {
        ended = &mut connection => ended,
        _ = closing.wait_for(|closing| *closing) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = ended {
        // Such a caller knows no other sign of the end than that of the connection.
        let is_broken = signals.is_broken.get() || is_old.get();
        signals.is_broken.set(is_broken);
        debug!(site.journal.logger(), "relay: connection ended"; "peer" => %peer,
            "reason" => %error);
    }
}

/// Ends the connection with this answer when the process ends.
fn with_close<B>(site: &Site, mut response: Response<B>) -> Response<B> {
    if site.is_leaving() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

/// The library wants room for at least 8 KiB; a longer head is refused as 431.
fn buffer_bytes(header_bytes: u32) -> usize {
    (header_bytes as usize).max(8 * 1024)
}
