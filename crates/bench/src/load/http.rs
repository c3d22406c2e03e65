//! Requests to stand-ins and status pages.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Method, Request};
use http_body_util::{BodyExt, Full};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde_json::Value;
use tokio::time;

use crate::error::Error;

/// A stand-in that takes longer is taken to be gone.
const LIMIT: Duration = Duration::from_secs(2);

/// Sends a request and reads the answer as JSON.
///
/// # Errors
///
/// If no JSON came.
pub async fn json(
    method: Method,
    addr: SocketAddr,
    path: &str,
    body: &Value,
) -> Result<Value, Error> {
    let step = || format!("ask {addr}{path}");
    let request = Request::builder()
        .method(method)
        .uri(format!("http://{addr}{path}"))
        .body(Full::new(Bytes::from(body.to_string())))
        .map_err(Error::step(step()))?;
    let client: Client<HttpConnector, Full<Bytes>> =
        Client::builder(TokioExecutor::new()).build(HttpConnector::new());
    let exchange = async {
        let response = client.request(request).await.map_err(Error::step(step()))?;
        let body = response.into_body().collect().await;
        let bytes = body.map_err(Error::step(step()))?.to_bytes();
        serde_json::from_slice(&bytes).map_err(Error::step(step()))
    };
    time::timeout(LIMIT, exchange)
        .await
        .map_err(Error::step(step()))?
}

/// Reads a path as JSON.
///
/// # Errors
///
/// If no JSON came.
pub async fn get(addr: SocketAddr, path: &str) -> Result<Value, Error> {
    json(Method::GET, addr, path, &Value::Null).await
}
