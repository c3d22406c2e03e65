//! The listener of the HTTP interface, with bounds on connections, headers and time.

use std::{sync::Arc, time::Duration};

use axum::Router;
use hyper::server::conn::http1;
use hyper_util::{
    rt::{TokioIo, TokioTimer},
    server::graceful::GracefulShutdown,
    service::TowerToHyperService,
};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::Semaphore,
    time,
};
use tokio_util::sync::CancellationToken;

/// Connections beyond this many wait in the listener's backlog.
const MAX_CONNECTIONS: usize = 256;
/// The largest accepted head of a request, in bytes.
const MAX_HEADER_BYTES: usize = 64 * 1024;
/// How long a client may take to send the head of a request.
const HEADER_TIMEOUT: Duration = Duration::from_secs(5);
/// How long running requests may take to end at a shutdown.
const SHUTDOWN_LIMIT: Duration = Duration::from_secs(10);

/// Serves the routes until `drain` begins, then lets running requests end.
///
/// # Errors
///
/// If the listener fails.
pub async fn run(
    listener: TcpListener,
    router: Router,
    drain: CancellationToken,
) -> std::io::Result<()> {
    let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    let graceful = GracefulShutdown::new();
    loop {
        let Ok(permit) = permits.clone().acquire_owned().await else {
            break;
        };
        let stream = tokio::select! {
            accepted = listener.accept() => accepted?.0,
            () = drain.cancelled() => break,
        };
        let connection = graceful.watch(connection(stream, router.clone()));
        tokio::spawn(async move {
            // The error only says how the client went away.
            let _ = connection.await;
            drop(permit);
        });
    }
    drop(listener);
    // What still runs after the limit is cut with the process.
    let _ = time::timeout(SHUTDOWN_LIMIT, graceful.shutdown()).await;
    Ok(())
}

fn connection(
    stream: TcpStream,
    router: Router,
) -> http1::Connection<TokioIo<TcpStream>, TowerToHyperService<Router>> {
    http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_TIMEOUT)
        .max_buf_size(MAX_HEADER_BYTES)
        .serve_connection(TokioIo::new(stream), TowerToHyperService::new(router))
}
