//! Calls of models.

use std::sync::Arc;

use bytes::Bytes;
use domain::call::{Outcome, Problem, Step, Target};
use http::{HeaderValue, Response, StatusCode};
use policy::gate::{self, End};
use serde_json::{Map, Value, json};
use slog::{debug, warn};
use tokio::{sync::mpsc, time};
use tokio_util::sync::CancellationToken;
use upstream::{
    Error,
    engine::{Call, Engine, Token, Tokens},
};

use crate::{
    gate::Permit,
    request::Request,
    response::{self, Body, Unfinished},
    site::{Flight, Need, Site},
};

/// Tokens of an answer when the call doesn't say, for its expected cost.
const DEFAULT_TOKENS: u32 = 256;
/// Tokens that wait for a caller who reads slowly.
const BUFFERED_TOKENS: usize = 256;

/// Answers calls of models.
#[derive(Clone)]
pub struct Model {
    site: Arc<Site>,
    engine: Arc<dyn Engine>,
    cut: CancellationToken,
    patience: time::Duration,
}

/// An answer that is being read.
struct Running {
    permit: Permit,
    tokens: Box<dyn Tokens>,
    first: Option<Token>,
    customer: String,
    since: time::Instant,
    made: u32,
    is_ended: bool,
    _flight: Flight,
}

impl Model {
    /// `cut` ends running answers; `patience` bounds how long a caller may not read.
    pub fn new(
        site: Arc<Site>,
        engine: Arc<dyn Engine>,
        cut: CancellationToken,
        patience: time::Duration,
    ) -> Self {
        Self {
            site,
            engine,
            cut,
            patience,
        }
    }

    /// Answers a call.
    ///
    /// # Errors
    ///
    /// The failure answer.
    pub async fn answer(
        &self,
        request: Request,
        target: Target,
        resume_from: u32,
    ) -> Result<Response<Body>, Box<Problem>> {
        let problems = &self.site.problems;
        let body: Map<String, Value> = serde_json::from_slice(&request.body)
            .map_err(|error| Box::new(problems.bad(StatusCode::BAD_REQUEST, error.to_string())))?;
        let is_stream = body.get("stream").and_then(Value::as_bool) == Some(true);
        let model = target.model.to_string();
        let call = Call {
            attempt: request.attempt,
            target,
            resume_from,
            request: body,
        };
        let id = request.attempt.to_string();
        let running = self.start(request, call).await?;
        match is_stream {
            true => Ok(self.stream(running)),
            false => self.whole(running, &id, &model).await,
        }
    }

    /// Waits for the turn, sends the call and waits for its first token.
    async fn start(&self, request: Request, call: Call) -> Result<Running, Box<Problem>> {
        let site = &self.site;
        // A version that is not served is refused at once, not after the queue.
        self.check(&call.target)?;
        let tokens = call.request.get("max_tokens").and_then(Value::as_u64);
        let cost = tokens.and_then(|tokens| u32::try_from(tokens).ok());
        let cost = cost.unwrap_or(DEFAULT_TOKENS).max(1);
        let customer = request.customer.as_str().to_owned();
        let asked_at = site.clock.now();
        let asked = gate::Call {
            owner: site.owner(request.customer),
            cost,
            bytes: u32::try_from(request.body.len()).unwrap_or(u32::MAX),
            deadline: request.deadline,
        };
        let entered = site.gate.enter(asked).await;
        let mut permit = entered.map_err(|denial| Box::new(site.problems.denied(denial)))?;
        site.metrics
            .queued(&customer, site.clock.now().since(asked_at));
        let flight = site.in_flight.start(call.target.clone());
        self.check(&call.target)?;
        let since = time::Instant::now();
        permit.send();
        let mut tokens = match self.engine.call(call).await {
            Ok(tokens) => tokens,
            Err(error) => return Err(self.fail(permit, 0, &error)),
        };
        let first = match tokens.next().await {
            Ok(first) => first,
            Err(error) => return Err(self.fail(permit, 0, &error)),
        };
        site.metrics.first_token(&customer, since.elapsed());
        if let Some(sign) = permit.confirm() {
            warn!(site.log, "gate: upstream looks cold: {sign}");
            site.metrics.sign(sign.to_string());
        }
        Ok(Running {
            is_ended: first.is_none(),
            permit,
            tokens,
            first,
            customer,
            since,
            made: 0,
            _flight: flight,
        })
    }

    fn check(&self, target: &Target) -> Result<(), Box<Problem>> {
        let obstacle = self.site.check(Need::Model(target));
        obstacle.map_err(|obstacle| {
            Box::new(
                self.site
                    .problems
                    .not_run(Step::Queue, obstacle.to_string()),
            )
        })
    }

    /// Ends the turn of a failed call.
    fn fail(&self, permit: Permit, made: u32, error: &Error) -> Box<Problem> {
        let site = &self.site;
        debug!(site.log, "model: call failed: {error}");
        let end = match error {
            error if error.is_overload() => End::Refused,
            _ => End::Failed,
        };
        if let Some(sign) = permit.finish(end, made) {
            warn!(site.log, "gate: upstream looks cold: {sign}");
            site.metrics.sign(sign.to_string());
        }
        Box::new(site.problems.failed(error))
    }

    /// Passes tokens on as they come.
    fn stream(&self, running: Running) -> Response<Body> {
        let (pieces, receiver) = mpsc::channel(BUFFERED_TOKENS);
        let model = self.clone();
        tokio::spawn(async move { model.pump(running, pieces).await });
        let kind = HeaderValue::from_static("text/event-stream");
        let body = response::stream(tokio_stream::wrappers::ReceiverStream::new(receiver));
        response::answer(StatusCode::OK, kind, body)
    }

    async fn pump(&self, mut running: Running, pieces: mpsc::Sender<Result<Bytes, Unfinished>>) {
        let closed = pieces.clone();
        loop {
            let next = tokio::select! {
                next = running.next() => next,
                // The caller is gone; dropping the tokens cancels the call at the engine.
                () = closed.closed() => return,
                () = self.cut.cancelled() => {
                    self.reset(&pieces).await;
                    return;
                }
            };
            match next {
                Ok(Some(token)) => {
                    let piece = piece(&token.data);
                    let sent = time::timeout(self.patience, pieces.send(Ok(piece))).await;
                    if !matches!(sent, Ok(Ok(()))) {
                        return;
                    }
                }
                Ok(None) => {
                    self.complete(running);
                    // The caller may be gone; the call ran whole all the same.
                    let _ = pieces.send(Ok(piece(b"[DONE]"))).await;
                    return;
                }
                Err(error) => {
                    let made = running.made;
                    self.fail(running.permit, made, &error);
                    self.reset(&pieces).await;
                    return;
                }
            }
        }
    }

    async fn reset(&self, pieces: &mpsc::Sender<Result<Bytes, Unfinished>>) {
        // A caller that is gone needs no reset.
        let _ = time::timeout(self.patience, pieces.send(Err(Unfinished))).await;
    }

    /// Collects the tokens for a caller who wants the answer in one piece.
    async fn whole(
        &self,
        mut running: Running,
        id: &str,
        model: &str,
    ) -> Result<Response<Body>, Box<Problem>> {
        let mut content = String::new();
        loop {
            let next = tokio::select! {
                next = running.next() => next,
                () = self.cut.cancelled() => return Err(Box::new(self.cut_problem())),
            };
            match next {
                Ok(Some(token)) => content.push_str(&token.content),
                Ok(None) => break,
                Err(error) => {
                    let made = running.made;
                    return Err(self.fail(running.permit, made, &error));
                }
            }
        }
        self.complete(running);
        let value = json!({
            "id": id,
            "model": model,
            "choices": [{
                "index": 0,
                "message": { "role": "assistant", "content": content },
                "finish_reason": "stop",
            }],
        });
        let kind = HeaderValue::from_static("application/json");
        let body = response::full(serde_json::to_vec(&value).unwrap_or_default());
        Ok(response::answer(StatusCode::OK, kind, body))
    }

    fn complete(&self, running: Running) {
        let metrics = &self.site.metrics;
        metrics.duration(&running.customer, running.since.elapsed());
        running.permit.finish(End::Succeeded, running.made);
    }

    fn cut_problem(&self) -> Problem {
        Problem {
            status: StatusCode::BAD_GATEWAY.as_u16(),
            outcome: Outcome::Unknown,
            retry_after_ms: None,
            ..self
                .site
                .problems
                .not_run(Step::Run, "the agent was told to cut running calls")
        }
    }
}

impl Running {
    async fn next(&mut self) -> Result<Option<Token>, Error> {
        let token = match self.first.take() {
            Some(first) => Some(first),
            None if self.is_ended => None,
            None => self.tokens.next().await?,
        };
        self.made += u32::from(token.is_some());
        self.is_ended = token.is_none();
        Ok(token)
    }
}

fn piece(data: &[u8]) -> Bytes {
    Bytes::from([b"data: ", data, b"\n\n"].concat())
}
