//! The client, with a bound on the time and on the size of every answer.

use std::{net::SocketAddr, time::Duration};

use bytes::{Bytes, BytesMut};
use domain::{artifact, digest::Digest, manifest::MAX_MANIFEST_BYTES};
use http::{Request, Response, StatusCode, header::RETRY_AFTER};
use http_body_util::{BodyExt, Empty};
use hyper::body::Incoming;
use hyper_util::{
    client::legacy::{self, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};
use snafu::ResultExt;
use tokio::time;

use crate::error::{
    ConnectionSnafu, EndlessSnafu, Error, RequestSnafu, ShortSnafu, StalledSnafu, StatusSnafu,
    Step, ThrottledSnafu,
};

/// How long a connection may take to open.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// How long an answer may go without a byte.
const PROGRESS_TIMEOUT: Duration = Duration::from_secs(5);
/// The slowest rate at which an answer is still waited for, in bytes per second.
const MIN_BYTES_PER_S: u64 = 32 * 1024;
/// How long an idle connection is kept.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// The pause after a refusal for rate that names none.
const DEFAULT_RETRY: Duration = Duration::from_secs(1);
/// The longest pause that a peer can ask for.
const MAX_RETRY: Duration = Duration::from_secs(30);

/// Reads manifests and chunks from one peer. Clones share their connections.
#[derive(Clone, Debug)]
pub struct Client {
    peer: SocketAddr,
    progress_timeout: Duration,
    http: legacy::Client<HttpConnector, Empty<Bytes>>,
}

impl Client {
    /// A client of the origin or the weight store at `peer`.
    pub fn new(peer: SocketAddr) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_nodelay(true);
        let http = legacy::Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .build(connector);
        Self {
            peer,
            progress_timeout: PROGRESS_TIMEOUT,
            http,
        }
    }

    /// Sets how long an answer may go without a byte.
    #[must_use]
    pub fn with_progress_timeout(mut self, timeout: Duration) -> Self {
        self.progress_timeout = timeout;
        self
    }

    /// The other end.
    pub fn peer(&self) -> SocketAddr {
        self.peer
    }

    /// The bytes of a manifest, exactly as they are served, since their digest is what counts.
    ///
    /// # Errors
    ///
    /// If the peer can't be reached, refuses, stalls, or sends more than a manifest can have.
    pub async fn manifest(&self, artifact: &artifact::Id) -> Result<Bytes, Error> {
        let step = Step::Manifest(artifact.clone());
        let path = format!("/manifests/{}/{}", artifact.name, artifact.version);
        let answer = self.get(&step, &path).await?;
        self.collect(step, answer, MAX_MANIFEST_BYTES).await
    }

    /// The `bytes` bytes of a chunk, not verified yet.
    ///
    /// # Errors
    ///
    /// If the peer can't be reached, refuses, stalls, or sends another number of bytes.
    pub async fn chunk(&self, digest: Digest, bytes: usize) -> Result<Bytes, Error> {
        let step = Step::Chunk(digest);
        let answer = self.get(&step, &format!("/chunks/{digest}")).await?;
        let body = self.collect(step.clone(), answer, bytes).await?;
        match body.len() {
            seen if seen < bytes => {
                let (peer, expected) = (self.peer, bytes);
                ShortSnafu {
                    step,
                    peer,
                    seen,
                    expected,
                }
                .fail()
            }
            _ => Ok(body),
        }
    }

    async fn get(&self, step: &Step, path: &str) -> Result<Response<Incoming>, Error> {
        let peer = self.peer;
        let request = Request::get(format!("http://{peer}{path}"))
            .body(Empty::new())
            .context(RequestSnafu {
                step: step.clone(),
                peer,
            })?;
        let answer = time::timeout(
            CONNECT_TIMEOUT + self.progress_timeout,
            self.http.request(request),
        )
        .await
        .map_err(|_| self.stalled(step, CONNECT_TIMEOUT + self.progress_timeout))?
        .map_err(|error| self.broken(step, error))?;
        match answer.status() {
            StatusCode::OK => Ok(answer),
            StatusCode::TOO_MANY_REQUESTS => ThrottledSnafu {
                step: step.clone(),
                peer,
                retry: retry_after(&answer),
            }
            .fail(),
            status => StatusSnafu {
                step: step.clone(),
                peer,
                status,
            }
            .fail(),
        }
    }

    async fn collect(
        &self,
        step: Step,
        answer: Response<Incoming>,
        limit: usize,
    ) -> Result<Bytes, Error> {
        let whole = self.progress_timeout + slowest(limit);
        time::timeout(whole, self.collect_frames(&step, answer, limit))
            .await
            .map_err(|_| self.stalled(&step, whole))?
    }

    async fn collect_frames(
        &self,
        step: &Step,
        answer: Response<Incoming>,
        limit: usize,
    ) -> Result<Bytes, Error> {
        let mut body = answer.into_body();
        let mut seen = BytesMut::new();
        loop {
            let frame = time::timeout(self.progress_timeout, body.frame())
                .await
                .map_err(|_| self.stalled(step, self.progress_timeout))?;
            let Some(frame) = frame else {
                return Ok(seen.freeze());
            };
            let frame = frame.map_err(|error| self.broken(step, error))?;
            let Ok(data) = frame.into_data() else {
                continue;
            };
            if seen.len() + data.len() > limit {
                let (step, peer) = (step.clone(), self.peer);
                return EndlessSnafu { step, peer, limit }.fail();
            }
            seen.extend_from_slice(&data);
        }
    }

    fn stalled(&self, step: &Step, waited: Duration) -> Error {
        StalledSnafu {
            step: step.clone(),
            peer: self.peer,
            millis: u64::try_from(waited.as_millis()).unwrap_or(u64::MAX),
        }
        .build()
    }

    fn broken(&self, step: &Step, error: impl std::error::Error + Send + Sync + 'static) -> Error {
        let boxed: Box<dyn std::error::Error + Send + Sync> = Box::new(error);
        let context = ConnectionSnafu {
            step: step.clone(),
            peer: self.peer,
        };
        snafu::IntoError::into_error(context, boxed)
    }
}

fn slowest(bytes: usize) -> Duration {
    Duration::from_secs(u64::try_from(bytes).unwrap_or(u64::MAX) / MIN_BYTES_PER_S)
}

fn retry_after(answer: &Response<Incoming>) -> Duration {
    answer
        .headers()
        .get(RETRY_AFTER)
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.parse().ok())
        .map_or(DEFAULT_RETRY, Duration::from_secs)
        .min(MAX_RETRY)
}
