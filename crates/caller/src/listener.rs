//! The listener for callers: HTTP/1.1 and HTTP/2 with limits on what one connection may take.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use axum::Router;
use hyper_util::{
    rt::{TokioExecutor, TokioIo, TokioTimer},
    server::{conn::auto::Builder, graceful::GracefulShutdown},
    service::TowerToHyperService,
};
use tokio::{net::TcpListener, sync::Semaphore, task::JoinSet, time};
use tokio_util::sync::CancellationToken;

use crate::stall;

/// The largest accepted head of a request, in bytes.
const MAX_HEAD_BYTES: usize = 32 * 1024;
/// The most headers that a request may have.
const MAX_HEADERS: usize = 64;
/// The most calls at once on one HTTP/2 connection.
const MAX_STREAMS: u32 = 1_024;
/// The time between two pings on an HTTP/2 connection.
const PING_PERIOD: Duration = Duration::from_secs(5);
/// The pause after the system refused a connection for lack of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// What a connection may take.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// How long the head of a request may take to come.
    pub head: Duration,
    /// How long the caller may take nothing of an answer.
    pub stall: Duration,
    /// How many connections may be open at once; more wait in the backlog.
    pub connections: usize,
}

/// A listener with its routes.
pub struct Listener {
    listener: TcpListener,
    router: Router,
    limits: Limits,
}

impl Listener {
    /// Serves `router` on an open socket.
    pub fn new(listener: TcpListener, router: Router, limits: Limits) -> Self {
        Self {
            listener,
            router,
            limits,
        }
    }

    /// The address on which it listens.
    ///
    /// # Errors
    ///
    /// What the system says.
    pub fn addr(&self) -> std::io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Accepts until `close`, then lets running calls end until `cut`.
    pub async fn run(self, close: CancellationToken, cut: CancellationToken) {
        let mut connections = JoinSet::new();
        let graceful = GracefulShutdown::new();
        let builder = self.builder();
        let permits = Arc::new(Semaphore::new(self.limits.connections));
        loop {
            while connections.try_join_next().is_some() {}
            let accept = async {
                let permit = permits.clone().acquire_owned().await;
                (permit, self.listener.accept().await)
            };
            let (permit, accepted) = tokio::select! {
                () = close.cancelled() => break,
                accepted = accept => accepted,
            };
            let stream = match accepted {
                Ok((stream, _)) => stream,
                Err(_) => {
                    time::sleep(ACCEPT_PAUSE).await;
                    continue;
                }
            };
            if stream.set_nodelay(true).is_err() {
                continue;
            }
            let io = TokioIo::new(stall::Stream::new(
                stream,
                self.limits.head,
                self.limits.stall,
            ));
            let service = TowerToHyperService::new(self.router.clone());
            let connection = builder.serve_connection(io, service).into_owned();
            let connection = graceful.watch(connection);
            connections.spawn(async move {
                // The error only says how the caller went away.
                let _ = connection.await;
                drop(permit);
            });
        }
        drop(self.listener);
        tokio::select! {
            () = graceful.shutdown() => {}
            () = cut.cancelled() => connections.abort_all(),
        }
    }

    fn builder(&self) -> Builder<TokioExecutor> {
        let mut builder = Builder::new(TokioExecutor::new());
        builder
            .http1()
            .timer(TokioTimer::new())
            .header_read_timeout(self.limits.head)
            .max_headers(MAX_HEADERS)
            .max_buf_size(MAX_HEAD_BYTES);
        builder
            .http2()
            .timer(TokioTimer::new())
            .max_concurrent_streams(MAX_STREAMS)
            .max_header_list_size(u32::try_from(MAX_HEAD_BYTES).unwrap_or(u32::MAX))
            .keep_alive_interval(PING_PERIOD)
            .keep_alive_timeout(self.limits.stall);
        builder
    }
}
