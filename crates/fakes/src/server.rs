//! An HTTP/1.1 server whose handlers can also cut the connection.

use std::{io, net::SocketAddr, sync::Arc};

use bytes::Bytes;
use derive_more::Display;
use futures::future::BoxFuture;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, combinators::BoxBody};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use serde::Serialize;
use tokio::{
    net::{TcpListener, TcpStream},
    task::{JoinHandle, JoinSet},
};

/// The connection ends at once, whatever was promised on it.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display("cut on request")]
pub struct Cut;

impl std::error::Error for Cut {}

/// The body of an answer.
pub type Body = BoxBody<Bytes, Cut>;

/// What a stand-in does with a request.
pub trait Handler: Send + Sync + 'static {
    /// Answers a request or cuts its connection.
    fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> BoxFuture<'static, Result<Response<Body>, Cut>>;
}

/// A stand-in that listens. Dropping it cuts every connection, as a crash does.
pub struct Running {
    addr: SocketAddr,
    task: JoinHandle<()>,
}

impl Running {
    /// Listens on an address; port 0 takes a free one.
    ///
    /// # Errors
    ///
    /// If the address can't be had.
    pub async fn start(addr: SocketAddr, handler: Arc<dyn Handler>) -> io::Result<Self> {
        let listener = TcpListener::bind(addr).await?;
        let addr = listener.local_addr()?;
        let task = tokio::spawn(accept(listener, handler));
        Ok(Self { addr, task })
    }

    /// Where it listens.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Cuts every connection and waits until the address is free.
    pub async fn stop(mut self) {
        self.task.abort();
        // The task was just aborted, so its result says nothing.
        let _ = (&mut self.task).await;
    }

    /// Waits for the end of the listener, which comes only by [`Running::stop`].
    pub async fn wait(mut self) {
        // There is nothing to tell apart: the task only ends when it is aborted.
        let _ = (&mut self.task).await;
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept(listener: TcpListener, handler: Arc<dyn Handler>) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                if let Ok((stream, _)) = accepted {
                    connections.spawn(serve(stream, handler.clone()));
                }
            }
            Some(_) = connections.join_next() => {}
        }
    }
}

async fn serve(stream: TcpStream, handler: Arc<dyn Handler>) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let service = service_fn(move |request| handler.clone().handle(request));
    // A failed connection is what the faults ask for.
    let _ = http1::Builder::new()
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

/// A body that is sent whole, with its length.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed()
}

/// An answer with a JSON body.
pub fn json(status: StatusCode, value: &impl Serialize) -> Response<Body> {
    let text = serde_json::to_vec(value).unwrap_or_default();
    let mut response = Response::new(full(text));
    *response.status_mut() = status;
    response.headers_mut().insert(
        http::header::CONTENT_TYPE,
        http::HeaderValue::from_static("application/json"),
    );
    response
}

/// An answer that says only what went wrong.
pub fn error(status: StatusCode, detail: &str) -> Response<Body> {
    json(status, &serde_json::json!({ "error": detail }))
}

/// Reads a request's whole body as JSON.
///
/// # Errors
///
/// An answer with status 400 or 413.
pub async fn read_json<T: serde::de::DeserializeOwned>(
    request: Request<Incoming>,
) -> Result<T, Box<Response<Body>>> {
    let body = request
        .into_body()
        .collect()
        .await
        .map_err(|cause| Box::new(error(StatusCode::BAD_REQUEST, &cause.to_string())))?
        .to_bytes();
    serde_json::from_slice(&body)
        .map_err(|cause| Box::new(error(StatusCode::BAD_REQUEST, &cause.to_string())))
}
