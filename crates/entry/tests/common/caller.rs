//! A caller.

use std::net::SocketAddr;

use bytes::Bytes;
use domain::call::{Outcome, Problem};
use http::{HeaderMap, Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::{
    client::legacy::Client,
    rt::{TokioExecutor, TokioTimer},
};

use super::KEY;

/// What a caller got.
#[derive(Debug)]
pub struct Got {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: String,
    /// Whether the body ended with its end marker.
    pub is_whole: bool,
}

impl Got {
    pub fn problem(&self) -> Problem {
        serde_json::from_str(&self.body).unwrap_or_else(|_| panic!("no problem: {self:?}"))
    }

    pub fn outcome(&self) -> Outcome {
        let problem = self.problem();
        let stated = self.headers["x-gypsum-outcome"].to_str().unwrap();
        assert_eq!(stated, problem.outcome.to_string());
        problem.outcome
    }

    /// The tokens of a stream, and whether it ended with the terminator.
    pub fn tokens(&self) -> (Vec<u64>, bool) {
        let mut tokens = Vec::new();
        let mut is_done = false;
        for line in self
            .body
            .lines()
            .filter_map(|line| line.strip_prefix("data: "))
        {
            if line == "[DONE]" {
                is_done = true;
            } else if let Ok(value) = serde_json::from_str::<serde_json::Value>(line) {
                tokens.extend(value["position"].as_u64());
            }
        }
        (tokens, is_done)
    }
}

pub async fn send(addr: SocketAddr, request: Request<Full<Bytes>>) -> Got {
    let mut builder = Client::builder(TokioExecutor::new());
    let client = builder
        .pool_timer(TokioTimer::new())
        .build_http::<Full<Bytes>>();
    let mut response = client.request(at(addr, request)).await.unwrap();
    let mut body = Vec::new();
    let mut is_whole = true;
    while let Some(frame) = response.body_mut().frame().await {
        match frame {
            Ok(frame) => body.extend_from_slice(&frame.into_data().unwrap_or_default()),
            Err(_) => {
                is_whole = false;
                break;
            }
        }
    }
    Got {
        status: response.status(),
        headers: response.headers().clone(),
        body: String::from_utf8(body).unwrap(),
        is_whole,
    }
}

fn at(addr: SocketAddr, mut request: Request<Full<Bytes>>) -> Request<Full<Bytes>> {
    let path = request.uri().path_and_query().unwrap().clone();
    *request.uri_mut() = format!("http://{addr}{path}").parse().unwrap();
    request
}

pub fn request(method: Method, path: &str, body: impl Into<Bytes>) -> Request<Full<Bytes>> {
    Request::builder()
        .method(method)
        .uri(path)
        .header("authorization", format!("Bearer {KEY}"))
        .header("content-type", "application/json")
        .body(Full::new(body.into()))
        .unwrap()
}

pub fn chat_body(is_stream: bool) -> String {
    format!(
        r#"{{"model":"tide","stream":{is_stream},"messages":[{{"role":"user","content":"hi"}}]}}"#
    )
}

pub async fn chat(addr: SocketAddr, is_stream: bool) -> Got {
    let body = chat_body(is_stream);
    send(addr, request(Method::POST, "/v1/chat/completions", body)).await
}

pub async fn lookup(addr: SocketAddr) -> Got {
    send(
        addr,
        request(Method::GET, "/v1/services/booking/slots?day=2", ""),
    )
    .await
}

pub async fn book(addr: SocketAddr, key: &str, body: &'static str) -> Got {
    let mut request = request(Method::POST, "/v1/services/booking/holds", body);
    request
        .headers_mut()
        .insert("idempotency-key", key.parse().unwrap());
    send(addr, request).await
}
