//! The listener for calls of entries: HTTP/2 without TLS, a shared secret on each call.

use std::{convert::Infallible, io, net::SocketAddr, sync::Arc, time::Duration};

use domain::call::Problem;
use http::{Request, Response, StatusCode, header};
use hyper::{body::Incoming, server::conn::http2, service::service_fn};
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use slog::{debug, warn};
use subtle::ConstantTimeEq;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::Semaphore,
};
use tokio_util::{sync::CancellationToken, task::TaskTracker};

use crate::{
    model::Model,
    once::Once,
    request::{self, Kind},
    response::{self, Body},
    service::{Service, is_beside},
    site::Site,
};

/// Entries keep few connections each; this bounds what a broken one can hold.
const MAX_CONNECTIONS: usize = 1_024;
/// Calls at once on one connection.
const MAX_STREAMS: u32 = 1_024;
/// Headers beyond this are refused.
const MAX_HEADER_BYTES: u32 = 16 * 1024;
/// Silent connections are asked for a sign of life this often.
const PING_INTERVAL: Duration = Duration::from_secs(2);
/// And closed when it does not come within this time.
const PING_TIMEOUT: Duration = Duration::from_secs(2);
/// How long the listener rests when the system has no more file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// What stands behind the listener.
#[derive(Clone)]
pub enum Backend {
    /// A model engine.
    Model(Model),
    /// A plain service.
    Service(Service, Once),
}

/// Answers calls of entries.
#[derive(Clone)]
pub struct Listener {
    site: Arc<Site>,
    backend: Backend,
    secret: Arc<[u8]>,
    calls: TaskTracker,
}

impl Listener {
    /// A listener that takes calls with the given shared secret.
    pub fn new(site: Arc<Site>, backend: Backend, secret: impl Into<Arc<[u8]>>) -> Self {
        Self {
            site,
            backend,
            secret: secret.into(),
            calls: TaskTracker::new(),
        }
    }

    /// Opens the address.
    ///
    /// # Errors
    ///
    /// If it can't be had.
    pub async fn bind(addr: SocketAddr) -> io::Result<TcpListener> {
        TcpListener::bind(addr).await
    }

    /// The connections that are open.
    pub fn connections(&self) -> &TaskTracker {
        &self.calls
    }

    /// Takes connections until `close` fires; then connections end once their calls have.
    pub async fn run(self, listener: TcpListener, close: CancellationToken) {
        let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
        loop {
            let Ok(permit) = permits.clone().acquire_owned().await else {
                return;
            };
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                () = close.cancelled() => return,
            };
            match accepted {
                Ok((stream, _)) => {
                    let (server, close) = (self.clone(), close.clone());
                    self.calls.spawn(async move {
                        server.serve(stream, close).await;
                        drop(permit);
                    });
                }
                Err(error) => {
                    warn!(self.site.log, "calls: could not take a connection: {error}");
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    async fn serve(self, stream: TcpStream, close: CancellationToken) {
        if let Err(error) = stream.set_nodelay(true) {
            debug!(self.site.log, "calls: connection lost: {error}");
            return;
        }
        let log = self.site.log.clone();
        let service = service_fn(move |request| {
            let server = self.clone();
            async move { Ok::<_, Infallible>(server.answer(request).await) }
        });
        let connection = http2::Builder::new(TokioExecutor::new())
            .timer(TokioTimer::new())
            .keep_alive_interval(PING_INTERVAL)
            .keep_alive_timeout(PING_TIMEOUT)
            .max_concurrent_streams(MAX_STREAMS)
            .max_header_list_size(MAX_HEADER_BYTES)
            .serve_connection(TokioIo::new(stream), service);
        let mut connection = std::pin::pin!(connection);
        let ended = tokio::select! {
            ended = connection.as_mut() => ended,
            () = close.cancelled() => {
                connection.as_mut().graceful_shutdown();
                connection.await
            }
        };
        if let Err(error) = ended {
            debug!(log, "calls: connection lost: {error}");
        }
    }

    async fn answer(self, request: Request<Incoming>) -> Response<Body> {
        let attempt = request::attempt(request.headers());
        let response = match self.route(request).await {
            Ok(response) => response,
            Err(problem) => {
                debug!(self.site.log, "calls: {problem}");
                response::problem(&problem)
            }
        };
        response::finish(response, attempt, self.site.gate.load())
    }

    async fn route(&self, request: Request<Incoming>) -> Result<Response<Body>, Box<Problem>> {
        let problems = &self.site.problems;
        if !self.is_allowed(&request) {
            let detail = "the shared secret does not match";
            return Err(Box::new(problems.bad(StatusCode::UNAUTHORIZED, detail)));
        }
        let request = request::read(request, self.site.clock.as_ref(), problems).await?;
        let customer = request.customer.clone();
        let result = self.dispatch(request).await;
        let label = match &result {
            Ok(response) => response.status().as_str().to_owned(),
            Err(problem) => format!("{} {}", problem.status, problem.outcome),
        };
        self.site.metrics.call(customer.as_str(), label);
        result
    }

    async fn dispatch(&self, request: request::Request) -> Result<Response<Body>, Box<Problem>> {
        match (request.kind.clone(), &self.backend) {
            (
                Kind::Model {
                    target,
                    resume_from,
                },
                Backend::Model(model),
            ) => model.answer(request, target, resume_from).await,
            (
                Kind::Service {
                    name,
                    path,
                    once_key,
                },
                Backend::Service(service, once),
            ) if is_beside(&self.site, &name) => match once_key {
                Some(key) => once.answer(request, path, key).await,
                None => service.answer(request, path).await,
            },
            _ => {
                let detail = "this upstream does not offer that";
                let problem = self
                    .site
                    .problems
                    .not_run(domain::call::Step::Receive, detail);
                Err(Box::new(problem))
            }
        }
    }

    /// Compares the shared secret in time independent of its content.
    fn is_allowed(&self, request: &Request<Incoming>) -> bool {
        let value = request.headers().get(header::AUTHORIZATION);
        let presented = value.and_then(|value| value.as_bytes().strip_prefix(b"Bearer "));
        presented.is_some_and(|presented| presented.ct_eq(&self.secret).into())
    }
}
