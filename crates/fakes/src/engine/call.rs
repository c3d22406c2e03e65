//! One call: admission, the prompt, then token by token, with the fault that was asked for.

use std::sync::Arc;

use bytes::Bytes;
use domain::{artifact, header};
use futures::{Stream, StreamExt};
use http::{HeaderValue, Request, Response, StatusCode, header as http_header};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::{sync::mpsc, time};
use tokio_stream::wrappers::ReceiverStream;

use super::{
    core::{Core, Other, Running},
    fault::Fault,
    text,
    warmth::Refusal,
};
use crate::server::{self, Body, Cut};

/// Tokens of an answer when the call doesn't say.
const DEFAULT_TOKENS: u32 = 16;
/// Another attempt's id, for crossed answers when no other call was seen.
const FOREIGN_ATTEMPT: &str = "0000000000000000000000000000f00d";

#[derive(Debug, Deserialize)]
struct Call {
    model: String,
    #[serde(default)]
    adapter: Option<String>,
    messages: Value,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    max_tokens: Option<u32>,
    #[serde(default)]
    priority: u32,
    #[serde(default)]
    resume_from: u32,
}

/// A call with all that its answer needs.
struct Job {
    core: Arc<Core>,
    call: Call,
    attempt: String,
    prompt: String,
    other: Other,
    fault: Option<Fault>,
    running: Running,
}

pub(super) async fn run(
    core: Arc<Core>,
    request: Request<Incoming>,
) -> Result<Response<Body>, Cut> {
    let attempt = request
        .headers()
        .get(header::ATTEMPT)
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default()
        .to_owned();
    let call: Call = match server::read_json(request).await {
        Ok(call) => call,
        Err(refusal) => return Ok(*refusal),
    };
    let fault = core.lock().plan.take();
    match &fault {
        Some(Fault::CutBeforeHead) => return Err(Cut),
        Some(Fault::Error { status }) => {
            let status = StatusCode::from_u16(*status).unwrap_or(StatusCode::BAD_GATEWAY);
            return Ok(server::error(status, "fails on request"));
        }
        _ => {}
    }
    if !is_served(&core, &call) {
        core.lock().stats.unserved += 1;
        return Ok(server::error(StatusCode::NOT_FOUND, "version not served"));
    }
    let running = match core.admit(&attempt) {
        Ok(running) => running,
        Err(Refusal::Down) => return Ok(server::error(StatusCode::SERVICE_UNAVAILABLE, "down")),
        Err(Refusal::Overload) => {
            return Ok(server::error(StatusCode::SERVICE_UNAVAILABLE, "overloaded"));
        }
    };
    let prompt = text::prompt(&call.messages);
    let other = core
        .lock()
        .last
        .replace(Other {
            attempt: attempt.clone(),
            prompt: prompt.clone(),
        })
        .unwrap_or_else(|| Other {
            attempt: FOREIGN_ATTEMPT.to_owned(),
            prompt: String::new(),
        });
    let job = Job {
        core,
        call,
        attempt,
        prompt,
        other,
        fault,
        running,
    };
    job.answer().await
}

fn is_served(core: &Core, call: &Call) -> bool {
    let inner = core.lock();
    let is_known = |name: &str| {
        artifact::Id::parse(name).is_some_and(|id| inner.store.serving.contains_key(&id))
    };
    is_known(&call.model) && call.adapter.as_deref().is_none_or(is_known)
}

impl Job {
    async fn answer(self) -> Result<Response<Body>, Cut> {
        match self.fault {
            Some(Fault::Late { ms }) => time::sleep(time::Duration::from_millis(ms)).await,
            Some(Fault::FreezeBeforeHead) => std::future::pending().await,
            _ => {}
        }
        let head = match self.fault {
            Some(Fault::CrossedHead) => self.other.attempt.clone(),
            _ => self.attempt.clone(),
        };
        let is_stream = self.call.stream;
        let (body, kind) = match is_stream {
            true => (stream_body(self.stream()), "text/event-stream"),
            false => (self.whole().await, "application/json"),
        };
        let mut response = Response::new(body);
        let headers = response.headers_mut();
        headers.insert(http_header::CONTENT_TYPE, HeaderValue::from_static(kind));
        if let Ok(value) = HeaderValue::from_str(&head) {
            headers.insert(header::ATTEMPT, value);
        }
        Ok(response)
    }

    /// The number of the answer's last token.
    fn last(&self) -> u32 {
        self.call.max_tokens.unwrap_or(DEFAULT_TOKENS)
    }

    /// Whether what comes at this place belongs to another call.
    fn is_crossed(&self, position: u32) -> bool {
        matches!(self.fault, Some(Fault::CrossedBody { after }) if position > after)
    }

    fn token(&self, position: u32) -> String {
        let prompt = match self.is_crossed(position) {
            true => &self.other.prompt,
            false => &self.prompt,
        };
        text::token(
            &self.call.model,
            self.call.adapter.as_deref(),
            prompt,
            position,
        )
    }

    fn id(&self, position: u32) -> &str {
        match self.is_crossed(position) {
            true => &self.other.attempt,
            false => &self.attempt,
        }
    }

    /// Waits for the prompt to be read.
    async fn prefill(&self) {
        let hit = {
            let mut inner = self.core.lock();
            let hit = inner.cache.touch(&self.call.model, &self.prompt);
            inner.stats.prefix_blocks += hit.blocks;
            inner.stats.prefix_hits += hit.cached;
            hit
        };
        let missing = u32::try_from(hit.blocks - hit.cached).unwrap_or(u32::MAX);
        time::sleep(self.running.pace(self.core.config.block * missing)).await;
    }

    /// Makes one token. Nothing comes after a cancellation.
    async fn make(&self, position: u32) -> Option<String> {
        time::sleep(self.running.pace(self.core.config.token)).await;
        self.core.thaw().await;
        if self.running.is_cancelled() {
            return None;
        }
        self.core.lock().stats.tokens += 1;
        Some(self.token(position))
    }

    async fn whole(self) -> Body {
        let _seat = self.core.batch.enter(self.call.priority).await;
        self.prefill().await;
        let mut content = String::new();
        for position in self.call.resume_from + 1..=self.last() {
            match self.make(position).await {
                Some(token) => content.push_str(&token),
                None => return cut_body(Bytes::new()),
            }
        }
        let last = self.last();
        let value = json!({
            "id": self.id(last),
            "model": self.call.model,
            "choices": [{
                "index": 0,
                "message": { "role": "assistant", "content": content },
                "finish_reason": "stop",
            }],
        });
        let mut bytes = serde_json::to_vec(&value).unwrap_or_default();
        match self.fault {
            Some(Fault::Cut { .. }) => {
                bytes.truncate(bytes.len() / 2);
                return cut_body(Bytes::from(bytes));
            }
            Some(Fault::NoTerminator { .. }) => bytes.truncate(bytes.len() / 2),
            Some(Fault::Freeze { .. }) => std::future::pending().await,
            _ => {}
        }
        self.running.complete();
        server::full(bytes)
    }

    fn stream(self) -> impl Stream<Item = Result<Bytes, Cut>> + Send + 'static {
        // One event at a time, so that a slow reader slows the engine down too.
        let (events, receiver) = mpsc::channel(1);
        tokio::spawn(async move {
            let closed = events.clone();
            tokio::select! {
                () = self.play(events) => {}
                // The caller's connection is gone.
                () = closed.closed() => {}
            }
        });
        ReceiverStream::new(receiver)
    }

    async fn play(self, events: mpsc::Sender<Result<Bytes, Cut>>) {
        let _seat = self.core.batch.enter(self.call.priority).await;
        self.prefill().await;
        let positions = self.call.resume_from + 1..=self.last();
        for (made, position) in (0..).zip(positions) {
            match self.fault {
                Some(Fault::Cut { after }) if made >= after => {
                    // The receiver may be gone already.
                    let _ = events.send(Err(Cut)).await;
                    return;
                }
                Some(Fault::NoTerminator { after }) if made >= after => return,
                Some(Fault::Freeze { after }) if made >= after => std::future::pending().await,
                _ => {}
            }
            let Some(token) = self.make(position).await else {
                let _ = events.send(Err(Cut)).await;
                return;
            };
            let event = json!({
                "id": self.id(position),
                "model": self.call.model,
                "position": position,
                "choices": [{ "index": 0, "delta": { "content": token } }],
            });
            let line = Bytes::from(format!("data: {event}\n\n"));
            if events.send(Ok(line)).await.is_err() {
                return;
            }
        }
        let done = Bytes::from_static(b"data: [DONE]\n\n");
        if events.send(Ok(done)).await.is_ok() {
            self.running.complete();
        }
    }
}

fn stream_body(stream: impl Stream<Item = Result<Bytes, Cut>> + Send + Sync + 'static) -> Body {
    BodyExt::boxed(StreamBody::new(stream.map(|item| item.map(Frame::data))))
}

fn cut_body(bytes: Bytes) -> Body {
    let start = futures::stream::iter([Ok(bytes), Err(Cut)]);
    stream_body(start)
}
