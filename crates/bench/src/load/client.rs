//! A caller: sends one call and says whether its answer was whole.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use domain::{call::Problem, header};
use http::{Method, Request, StatusCode, header::AUTHORIZATION};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::{
    client::legacy::{Client as Pool, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde_json::{Value, json};
use tokio::time::{self, Instant};

use crate::fleet::lists::key;

/// How long the bench waits for one answer.
pub const ANSWER_LIMIT: Duration = Duration::from_secs(60);

/// A caller of one customer at one entry.
#[derive(Clone)]
pub struct Caller {
    pool: Pool<HttpConnector, Full<Bytes>>,
    entry: SocketAddr,
    key: String,
}

/// A model call.
#[derive(Clone, Debug)]
pub struct Chat {
    /// The model's name.
    pub model: String,
    /// The adapter's name, if any.
    pub adapter: Option<String>,
    /// The only message.
    pub prompt: String,
    /// How many tokens to generate.
    pub max_tokens: u32,
    /// Whether the answer is streamed.
    pub is_stream: bool,
}

impl Chat {
    /// A call without an adapter that isn't streamed.
    pub fn new(model: impl Into<String>, prompt: impl Into<String>, max_tokens: u32) -> Self {
        Self {
            model: model.into(),
            adapter: None,
            prompt: prompt.into(),
            max_tokens,
            is_stream: false,
        }
    }

    /// Asks for a streamed answer.
    #[must_use]
    pub fn with_stream(mut self) -> Self {
        self.is_stream = true;
        self
    }

    fn body(&self) -> Value {
        let mut body = json!({
            "model": self.model,
            "messages": [{ "role": "user", "content": self.prompt }],
            "max_tokens": self.max_tokens,
            "stream": self.is_stream,
        });
        if let Some(adapter) = &self.adapter {
            body["adapter"] = json!(adapter);
        }
        body
    }
}

/// What a model call or a service call came back with.
#[derive(Clone, Debug)]
pub enum Answer {
    /// A whole answer.
    Whole(Content),
    /// A problem body.
    Refused(Problem),
    /// Anything else: a cut connection, a body without its end, no answer in time.
    Broken(String),
}

/// A whole answer.
#[derive(Clone, Debug)]
pub struct Content {
    /// The HTTP status.
    pub status: u16,
    /// The generated text, or the body of a service's answer.
    pub text: String,
    /// The model as `name@version`, if a model answered.
    pub model: Option<String>,
    /// Whether it was kept from an earlier run.
    pub is_replay: bool,
    /// The time to the first byte of the body.
    pub first_byte: Duration,
    /// The time to the end.
    pub total: Duration,
}

impl Caller {
    /// A caller of the customer at an entry.
    pub fn new(entry: SocketAddr, customer: &str) -> Self {
        let pool = Pool::builder(TokioExecutor::new()).build(HttpConnector::new());
        Self {
            pool,
            entry,
            key: key(customer),
        }
    }

    /// Sends a model call.
    pub async fn chat(&self, chat: &Chat) -> Answer {
        let body = chat.body().to_string();
        let request = self.request(Method::POST, "/v1/chat/completions", &[], body.into());
        self.run(request, if chat.is_stream { events } else { completion })
            .await
    }

    /// Calls a plain service.
    pub async fn service(
        &self,
        method: Method,
        path: &str,
        idempotency_key: Option<&str>,
        body: impl Into<Bytes>,
    ) -> Answer {
        let headers: Vec<_> = idempotency_key
            .map(|key| (header::IDEMPOTENCY_KEY, key))
            .into_iter()
            .collect();
        let request = self.request(
            method,
            &format!("/v1/services/{path}"),
            &headers,
            body.into(),
        );
        self.run(request, plain).await
    }

    fn request(
        &self,
        method: Method,
        path: &str,
        headers: &[(&'static str, &str)],
        body: Bytes,
    ) -> Option<Request<Full<Bytes>>> {
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.entry))
            .header(AUTHORIZATION, format!("Bearer {}", self.key))
            .header("content-type", "application/json");
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        request.body(Full::new(body)).ok()
    }

    async fn run(&self, request: Option<Request<Full<Bytes>>>, read: Reader) -> Answer {
        let Some(request) = request else {
            return Answer::Broken("could not build the request".to_owned());
        };
        match time::timeout(ANSWER_LIMIT, self.exchange(request, read)).await {
            Ok(answer) => answer,
            Err(_) => Answer::Broken(format!("no whole answer for {ANSWER_LIMIT:?}")),
        }
    }

    async fn exchange(&self, request: Request<Full<Bytes>>, read: Reader) -> Answer {
        let begin = Instant::now();
        let response = match self.pool.request(request).await {
            Ok(response) => response,
            Err(error) => return Answer::Broken(format!("no response: {error:?}")),
        };
        let status = response.status();
        let is_problem = response
            .headers()
            .get("content-type")
            .is_some_and(|value| value.as_bytes().starts_with(b"application/problem+json"));
        let is_replay = response.headers().contains_key(header::REPLAY);
        let (body, first_byte) = match collect(response.into_body(), begin).await {
            Ok(collected) => collected,
            Err(detail) => return Answer::Broken(detail),
        };
        if is_problem {
            return match serde_json::from_slice(&body) {
                Ok(problem) => Answer::Refused(problem),
                Err(error) => Answer::Broken(format!("not a problem body: {error}")),
            };
        }
        match read(status, &body) {
            Ok(Read { text, model }) => Answer::Whole(Content {
                status: status.as_u16(),
                text,
                model,
                is_replay,
                first_byte,
                total: begin.elapsed(),
            }),
            Err(detail) => Answer::Broken(detail),
        }
    }
}

struct Read {
    text: String,
    model: Option<String>,
}

type Reader = fn(StatusCode, &[u8]) -> Result<Read, String>;

async fn collect(mut body: Incoming, begin: Instant) -> Result<(Vec<u8>, Duration), String> {
    let mut bytes = Vec::new();
    let mut first_byte = None;
    while let Some(frame) = body.frame().await {
        let frame =
            frame.map_err(|error| format!("body cut after {} B: {error:?}", bytes.len()))?;
        if let Some(data) = frame.data_ref() {
            first_byte.get_or_insert_with(|| begin.elapsed());
            bytes.extend_from_slice(data);
        }
    }
    Ok((bytes, first_byte.unwrap_or_else(|| begin.elapsed())))
}

fn plain(_: StatusCode, body: &[u8]) -> Result<Read, String> {
    Ok(Read {
        text: String::from_utf8_lossy(body).into_owned(),
        model: None,
    })
}

fn completion(status: StatusCode, body: &[u8]) -> Result<Read, String> {
    if status != StatusCode::OK {
        return Err(format!("status {status} without a problem body"));
    }
    let body: Value = serde_json::from_slice(body).map_err(|error| format!("not JSON: {error}"))?;
    let text = body["choices"][0]["message"]["content"]
        .as_str()
        .ok_or_else(|| format!("no content in {body}"))?;
    Ok(Read {
        text: text.to_owned(),
        model: body["model"].as_str().map(str::to_owned),
    })
}

/// Reads a stream of events; positions must follow each other without a gap or a repeat.
fn events(status: StatusCode, body: &[u8]) -> Result<Read, String> {
    if status != StatusCode::OK {
        return Err(format!("status {status} without a problem body"));
    }
    let body = String::from_utf8_lossy(body);
    let mut read = Read {
        text: String::new(),
        model: None,
    };
    let mut last = 0;
    let mut is_done = false;
    for data in body.lines().filter_map(|line| line.strip_prefix("data:")) {
        let data = data.trim();
        if data == "[DONE]" {
            is_done = true;
            continue;
        }
        let event: Value =
            serde_json::from_str(data).map_err(|error| format!("not an event: {error}: {data}"))?;
        let position = event["position"]
            .as_u64()
            .ok_or_else(|| format!("event {event}"))?;
        if position != last + 1 {
            return Err(format!("position {position} after {last}"));
        }
        last = position;
        let model = event["model"].as_str().map(str::to_owned);
        if read.model.is_some() && read.model != model {
            return Err(format!("model changed from {:?} to {model:?}", read.model));
        }
        read.model = model;
        read.text += event["choices"][0]["delta"]["content"]
            .as_str()
            .unwrap_or_default();
    }
    match is_done {
        true => Ok(read),
        false => Err(format!(
            "stream ended after {last} events without its terminator"
        )),
    }
}
