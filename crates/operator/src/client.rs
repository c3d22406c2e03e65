//! The client of the HTTP interface: any replica will do, so it tries each in turn.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use domain::{
    artifact,
    edit::{Edit, Event, Outcome},
    lists, name,
    violation::Violation,
};
use http::{Method, Request, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::{
    client::legacy::{self, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde::{Serialize, de::DeserializeOwned};
use tokio::time;

use crate::{
    api,
    error::{Error, Step},
};

/// How long one replica may take to answer.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(5);
/// How long a connection may take to open.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// The pause after all replicas were tried in vain.
const PAUSE: Duration = Duration::from_millis(200);
/// The largest accepted answer, in bytes.
const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;

/// Asks control on behalf of an operator.
#[derive(Clone, Debug)]
pub struct Client {
    replicas: Arc<[SocketAddr]>,
    key: Arc<str>,
    timeout: Duration,
    http: legacy::Client<HttpConnector, Full<Bytes>>,
}

/// The status and the body of an answer.
struct Raw {
    peer: SocketAddr,
    status: StatusCode,
    body: Bytes,
}

impl Client {
    /// A client that presents the given key to any of the replicas.
    pub fn new(replicas: impl Into<Arc<[SocketAddr]>>, key: impl Into<Arc<str>>) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_nodelay(true);
        Self {
            replicas: replicas.into(),
            key: key.into(),
            timeout: Duration::from_secs(15),
            http: legacy::Client::builder(TokioExecutor::new()).build(connector),
        }
    }

    /// Sets how long replicas are tried before a request fails.
    #[must_use]
    pub fn with_timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    /// The lists in force.
    pub async fn lists(&self) -> Result<api::Lists, Error> {
        self.get("/v1/lists").await
    }

    /// Everything that would be wrong with new lists.
    pub async fn check(&self, lists: &lists::Lists) -> Result<Vec<Violation>, Error> {
        read(self.post("/v1/lists/check", lists).await?)
    }

    /// Makes an edit. It is resent until some replica answers, which its id makes safe.
    pub async fn edit(&self, edit: &Edit) -> Result<Outcome, Error> {
        let raw = self.post("/v1/edits", edit).await?;
        match raw.status {
            StatusCode::CONFLICT | StatusCode::UNPROCESSABLE_ENTITY => {
                parse(raw.peer, &raw.body).or_else(|_| read(raw))
            }
            _ => read(raw),
        }
    }

    /// Accepted edits, the newest first.
    pub async fn history(&self) -> Result<Vec<Event>, Error> {
        self.get("/v1/history").await
    }

    /// Every availability zone that has VMs or is out of service.
    pub async fn zones(&self) -> Result<Vec<api::Zone>, Error> {
        self.get("/v1/zones").await
    }

    /// Every upstream that announced itself.
    pub async fn upstreams(&self) -> Result<Vec<api::Upstream>, Error> {
        self.get("/v1/upstreams").await
    }

    /// One upstream.
    pub async fn upstream(&self, vm: &name::Vm) -> Result<api::Upstream, Error> {
        self.get(&format!("/v1/upstreams/{vm}")).await
    }

    /// Every rollout.
    pub async fn rollouts(&self) -> Result<Vec<api::Rollout>, Error> {
        self.get("/v1/rollouts").await
    }

    /// One rollout.
    pub async fn rollout(&self, id: &artifact::Id) -> Result<api::Rollout, Error> {
        self.get(&format!("/v1/rollouts/{}/{}", id.name, id.version))
            .await
    }

    /// How the replica that answers stands.
    pub async fn status(&self) -> Result<api::Status, Error> {
        self.get("/v1/control").await
    }

    /// The members of the group.
    pub async fn members(&self) -> Result<Vec<api::Member>, Error> {
        self.get("/v1/control/members").await
    }

    /// Swaps a member of the group.
    pub async fn replace(&self, replace: &api::Replace) -> Result<(), Error> {
        read(self.post("/v1/control/replace", replace).await?)
    }

    async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, Error> {
        read(self.request(Method::GET, path, Bytes::new()).await?)
    }

    async fn post<T: Serialize>(&self, path: &str, document: &T) -> Result<Raw, Error> {
        let body = serde_json::to_vec(document).map_err(|error| Error::Refused {
            peer: self.first(),
            detail: error.to_string(),
        })?;
        self.request(Method::POST, path, body.into()).await
    }

    async fn request(&self, method: Method, path: &str, body: Bytes) -> Result<Raw, Error> {
        let begin = Instant::now();
        loop {
            let mut last = None;
            for &peer in self.replicas.iter() {
                match self.attempt(peer, &method, path, body.clone()).await {
                    Err(error) if error.is_transient() => last = Some(error),
                    answer => return answer,
                }
            }
            let last = last.unwrap_or_else(|| Error::Exchange {
                step: Step::Build,
                peer: self.first(),
                detail: "no replica is given".to_owned(),
            });
            if begin.elapsed() + PAUSE > self.timeout {
                return Err(Error::Unreachable {
                    millis: u64::try_from(begin.elapsed().as_millis()).unwrap_or(u64::MAX),
                    last: Box::new(last),
                });
            }
            time::sleep(PAUSE).await;
        }
    }

    async fn attempt(
        &self,
        peer: SocketAddr,
        method: &Method,
        path: &str,
        body: Bytes,
    ) -> Result<Raw, Error> {
        let failed = |step, detail: String| Error::Exchange { step, peer, detail };
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{peer}{path}"))
            .header(header::AUTHORIZATION, format!("Bearer {}", self.key))
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .map_err(|error| failed(Step::Build, error.to_string()))?;
        let exchange = async {
            let answer = self
                .http
                .request(request)
                .await
                .map_err(|error| failed(Step::Send, chain(&error)))?;
            let status = answer.status();
            let body = Limited::new(answer.into_body(), MAX_ANSWER_BYTES)
                .collect()
                .await
                .map_err(|error| failed(Step::Read, error.to_string()))?;
            Ok((status, body.to_bytes()))
        };
        let late = || failed(Step::Send, format!("no answer for {ATTEMPT_TIMEOUT:?}"));
        let (status, body) = time::timeout(ATTEMPT_TIMEOUT, exchange)
            .await
            .map_err(|_| late())??;
        match status {
            status if status.is_server_error() => Err(failed(Step::Send, detail(&body))),
            StatusCode::UNAUTHORIZED => Err(Error::Access {
                peer,
                detail: detail(&body),
            }),
            status => Ok(Raw { peer, status, body }),
        }
    }

    fn first(&self) -> SocketAddr {
        let unspecified = SocketAddr::from(([0, 0, 0, 0], 0));
        self.replicas.first().copied().unwrap_or(unspecified)
    }
}

#[allow(clippy::needless_pass_by_value)]
fn read<T: DeserializeOwned>(raw: Raw) -> Result<T, Error> {
    match raw.status {
        status if status.is_success() => parse(raw.peer, &raw.body),
        StatusCode::NOT_FOUND => Err(Error::Absent {
            detail: detail(&raw.body),
        }),
        _ => Err(Error::Refused {
            peer: raw.peer,
            detail: detail(&raw.body),
        }),
    }
}

fn parse<T: DeserializeOwned>(peer: SocketAddr, body: &[u8]) -> Result<T, Error> {
    serde_json::from_slice(body).map_err(|error| Error::Exchange {
        step: Step::Read,
        peer,
        detail: error.to_string(),
    })
}

/// What a problem body says, or the body itself.
fn detail(body: &[u8]) -> String {
    match serde_json::from_slice::<api::Problem>(body) {
        Ok(problem) => problem.detail.to_string(),
        Err(_) => String::from_utf8_lossy(body).into_owned(),
    }
}

fn chain(error: &dyn std::error::Error) -> String {
    match error.source() {
        Some(source) => format!("{error}: {}", chain(source)),
        None => error.to_string(),
    }
}
