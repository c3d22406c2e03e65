//! An entry as the agent sees it: one connection and the calls on it.

use std::net::SocketAddr;

use bytes::Bytes;
use domain::{
    artifact,
    call::{Attempt, Problem},
    header,
};
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::{body::Incoming, client::conn::http2::SendRequest};
use hyper_util::rt::{TokioExecutor, TokioIo};
use tokio::{net::TcpStream, task::JoinHandle, time};

use super::{LIMIT, SECRET};

/// An entry's connection.
#[derive(Clone)]
pub struct Client {
    sender: SendRequest<Full<Bytes>>,
}

/// An answer read to its end.
#[derive(Debug)]
pub struct Whole {
    pub status: StatusCode,
    pub headers: http::HeaderMap,
    pub body: Result<Bytes, String>,
}

impl Whole {
    pub fn text(&self) -> String {
        String::from_utf8(self.body.as_ref().unwrap().to_vec()).unwrap()
    }

    pub fn json(&self) -> serde_json::Value {
        serde_json::from_slice(self.body.as_ref().unwrap()).unwrap()
    }

    pub fn problem(&self) -> Problem {
        serde_json::from_slice(self.body.as_ref().unwrap()).unwrap()
    }
}

/// A call to be sent.
pub struct Call {
    pub request: http::request::Builder,
    pub body: Bytes,
}

impl Call {
    pub fn model(attempt: u128, version: &artifact::Id, prompt: &str, tokens: u32) -> Self {
        let body = serde_json::json!({
            "model": version.name,
            "messages": [{"role": "user", "content": prompt}],
            "max_tokens": tokens,
        });
        Self::new(attempt, Method::POST, "/v1/chat/completions")
            .with_header(header::MODEL, &version.to_string())
            .with_body(body.to_string())
    }

    pub fn stream(attempt: u128, version: &artifact::Id, prompt: &str, tokens: u32) -> Self {
        let body = serde_json::json!({
            "messages": [{"role": "user", "content": prompt}],
            "max_tokens": tokens,
            "stream": true,
        });
        Self::model(attempt, version, prompt, tokens).with_body(body.to_string())
    }

    pub fn hold(attempt: u128, key: &str) -> Self {
        Self::new(attempt, Method::POST, "/v1/services/booking/holds")
            .with_header(header::ONCE_KEY, key)
            .with_body("berth 7")
    }

    pub fn look_up(attempt: u128) -> Self {
        Self::new(
            attempt,
            Method::GET,
            "/v1/services/booking/holds/7?full=yes",
        )
    }

    pub fn new(attempt: u128, method: Method, path: &str) -> Self {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://agent{path}"))
            .header("authorization", format!("Bearer {SECRET}"))
            .header(header::ATTEMPT, Attempt::from(attempt).to_string())
            .header(header::CUSTOMER, "vaalkop")
            .header(header::DEADLINE_MS, "10000");
        Self {
            request,
            body: Bytes::new(),
        }
    }

    pub fn with_header(mut self, name: &str, value: &str) -> Self {
        if let Some(headers) = self.request.headers_mut() {
            let name = http::HeaderName::try_from(name).unwrap();
            headers.insert(name, value.parse().unwrap());
        }
        self
    }

    pub fn with_body(mut self, body: impl Into<Bytes>) -> Self {
        self.body = body.into();
        self
    }
}

impl Client {
    pub async fn open(addr: SocketAddr) -> Self {
        let stream = TcpStream::connect(addr).await.unwrap();
        let (sender, connection) =
            hyper::client::conn::http2::handshake(TokioExecutor::new(), TokioIo::new(stream))
                .await
                .unwrap();
        tokio::spawn(async move { drop(connection.await) });
        Self { sender }
    }

    pub async fn head(&self, call: Call) -> Result<Response<Incoming>, hyper::Error> {
        let request = call.request.body(Full::new(call.body)).unwrap();
        self.sender.clone().send_request(request).await
    }

    /// Sends a call whose caller goes away when the task is aborted.
    pub fn spawn(&self, call: Call) -> JoinHandle<Result<Response<Incoming>, hyper::Error>> {
        let client = self.clone();
        tokio::spawn(async move { client.head(call).await })
    }

    pub async fn send(&self, call: Call) -> Whole {
        let response = time::timeout(LIMIT, self.head(call))
            .await
            .unwrap()
            .unwrap();
        let (head, body) = response.into_parts();
        let body = time::timeout(LIMIT, body.collect()).await.unwrap();
        Whole {
            status: head.status,
            headers: head.headers,
            body: body
                .map(|body| body.to_bytes())
                .map_err(|error| error.to_string()),
        }
    }
}
