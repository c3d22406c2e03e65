//! Calls of plain services that may not be repeated.
//!
//! The ledger is asked right before the call is sent, on a connection opened beforehand, and the
//! answer is kept there before the entry gets it. See `docs/ARCHITECTURE.md`, "Ledger".

use std::{sync::Arc, time::Duration};

use domain::{
    call::{Outcome, Peer, Problem, Step},
    clock::Instant,
    digest::Digest,
    header,
    ledger::{self, Holder, Key, MAX_ANSWER_BYTES, Reply, Write},
};
use http::{HeaderValue, Response, StatusCode};
use policy::gate::End;
use slog::{error, warn};
use tokio::time;
use upstream::service::{Answer, Line, Service as Client};

use crate::{
    feed::Ledger,
    gate::Permit,
    request::Request,
    response::{self, Body},
    service::{call, end_of, enter, respond},
    site::{Need, Site},
};

/// One write to the ledger takes as long as a change of leader at most.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// How long an answer or a release is offered to the ledger before it is given up.
const PERSISTENCE: Duration = Duration::from_secs(120);
/// The first pause before asking again how another attempt ended.
const MIN_POLL: Duration = Duration::from_millis(50);
/// The longest such pause.
const MAX_POLL: Duration = Duration::from_secs(1);

/// Answers calls that may not be repeated.
#[derive(Clone)]
pub struct Once {
    site: Arc<Site>,
    client: Arc<dyn Client>,
    ledger: Arc<dyn Ledger>,
}

/// One call on its way through the ledger.
struct Run {
    once: Once,
    request: Request,
    path: Arc<str>,
    once_key: Arc<str>,
    key: Key,
    holder: Holder,
}

/// What came of one try to start the call.
enum Progress {
    /// The failure or the answer is final.
    Done(Result<Response<Body>, Box<Problem>>),
    /// Another attempt runs.
    Elsewhere,
}

impl Once {
    /// A service beside the agent, and the ledger.
    pub fn new(site: Arc<Site>, client: Arc<dyn Client>, ledger: Arc<dyn Ledger>) -> Self {
        Self {
            site,
            client,
            ledger,
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
        path: Arc<str>,
        once_key: Arc<str>,
    ) -> Result<Response<Body>, Box<Problem>> {
        let key = Key::of_call(
            request.customer.clone(),
            once_key.clone(),
            request.method.as_str(),
            &request.path,
        );
        let holder = Holder {
            vm: self.site.announcement.vm.clone(),
            incarnation: self.site.announcement.incarnation,
        };
        let run = Run {
            once: self.clone(),
            request,
            path,
            once_key,
            key,
            holder,
        };
        Arc::new(run).until_done().await
    }
}

impl Run {
    /// Tries until the call has run here, or its end elsewhere is known.
    async fn until_done(self: Arc<Self>) -> Result<Response<Body>, Box<Problem>> {
        let mut pause = MIN_POLL;
        loop {
            match self.clone().attempt().await {
                Progress::Done(result) => return result,
                Progress::Elsewhere => {}
            }
            let remaining = self.request.deadline.since(self.once.site.clock.now());
            if remaining <= pause {
                return Err(Box::new(self.running_elsewhere()));
            }
            time::sleep(pause).await;
            pause = (pause * 2).min(MAX_POLL);
        }
    }

    async fn attempt(self: Arc<Self>) -> Progress {
        let site = &self.once.site;
        let permit = match enter(site, &self.request, Need::Once).await {
            Ok(permit) => permit,
            Err(problem) => return Progress::Done(Err(problem)),
        };
        let line = match self.once.client.open().await {
            Ok(line) => line,
            Err(error) => return Progress::Done(Err(Box::new(site.problems.failed(&error)))),
        };
        match self.start().await {
            Ok(Reply::Granted) => Progress::Done(self.clone().detach(permit, line).await),
            Ok(Reply::Started { .. }) => Progress::Elsewhere,
            Ok(reply) => Progress::Done(self.refused(reply)),
            Err(error) => {
                // The grant may be on its way, but nothing was sent and nothing will be.
                tokio::spawn(self.clone().release());
                let detail = format!("the ledger did not answer: {error}");
                Progress::Done(Err(self.not_run(detail)))
            }
        }
    }

    async fn start(&self) -> Result<Reply, peer::Error> {
        let site = &self.once.site;
        let write = Write::Start {
            key: self.key.clone(),
            attempt: self.request.attempt,
            body: Digest::of(&self.request.body),
            holder: self.holder.clone(),
        };
        let remaining = self.request.deadline.since(site.clock.now());
        self.write("start", write, remaining.min(WRITE_TIMEOUT))
            .await
    }

    /// Runs the call to its end, also when the entry goes away meanwhile.
    async fn detach(
        self: Arc<Self>,
        permit: Permit,
        line: Box<dyn Line>,
    ) -> Result<Response<Body>, Box<Problem>> {
        let run = self.clone();
        let task = tokio::spawn(async move { run.send(permit, line).await });
        match task.await {
            Ok(result) => result,
            Err(error) => Err(Box::new(self.problem(Outcome::Unknown, Step::Run, &error))),
        }
    }

    async fn send(
        self: Arc<Self>,
        mut permit: Permit,
        line: Box<dyn Line>,
    ) -> Result<Response<Body>, Box<Problem>> {
        let site = &self.once.site;
        // The process may have slept since the grant; what it knew then may have changed.
        if let Err(obstacle) = self.obstacle() {
            warn!(site.log, "ledger: grant given back: {obstacle}");
            drop(permit);
            return self.give_back(obstacle).await;
        }
        permit.send();
        let call = call(
            &self.request,
            self.path.clone(),
            Some(self.once_key.clone()),
        );
        let since = time::Instant::now();
        match line.send(call).await {
            Ok(answer) => {
                permit.confirm();
                permit.finish(end_of(&answer), 1);
                let customer = self.request.customer.as_str();
                site.metrics.duration(customer, since.elapsed());
                self.finish(answer).await
            }
            Err(error) if error.outcome() == Outcome::NotRun => {
                permit.finish(End::Failed, 1);
                self.give_back(error.to_string()).await
            }
            Err(error) => {
                permit.finish(End::Failed, 1);
                warn!(site.log, "ledger: end of a call unknown: {error}");
                Err(Box::new(site.problems.failed(&error)))
            }
        }
    }

    /// What stands in the way of sending the call now.
    fn obstacle(&self) -> Result<(), String> {
        let site = &self.once.site;
        site.check(Need::Once)
            .map_err(|obstacle| obstacle.to_string())?;
        match site.clock.now() < self.request.deadline {
            true => Ok(()),
            false => Err("the deadline passed before the call was sent".to_owned()),
        }
    }

    /// Gives the grant back, since not a byte was sent. That permits another attempt, so
    /// the caller is told only after it is tried.
    async fn give_back(self: Arc<Self>, detail: String) -> Result<Response<Body>, Box<Problem>> {
        let problem = self.not_run(detail);
        let release = tokio::spawn(self.clone().release());
        // Whether the release has committed yet or not, the call was not run.
        let _ = time::timeout(MAX_POLL, release).await;
        Err(problem)
    }

    async fn release(self: Arc<Self>) {
        let write = Write::Release {
            key: self.key.clone(),
            attempt: self.request.attempt,
            holder: self.holder.clone(),
        };
        self.persist("release", write).await;
    }

    /// Keeps the answer in the ledger, then passes it on.
    async fn finish(self: Arc<Self>, answer: Answer) -> Result<Response<Body>, Box<Problem>> {
        let write = Write::Finish {
            key: self.key.clone(),
            attempt: self.request.attempt,
            holder: self.holder.clone(),
            answer: kept(&answer),
        };
        let run = self.clone();
        let persist = tokio::spawn(async move { run.persist("finish", write).await });
        let remaining = self.remaining();
        match time::timeout(remaining, persist).await {
            Ok(Ok(Some(Reply::Recorded | Reply::Finished { .. }))) => Ok(respond(answer)),
            _ => {
                let detail = "the call ran, but the ledger has not kept its answer yet";
                Err(Box::new(self.problem(Outcome::Ran, Step::Ledger, &detail)))
            }
        }
    }

    fn remaining(&self) -> Duration {
        let now: Instant = self.once.site.clock.now();
        self.request.deadline.since(now)
    }

    /// Offers a write to the ledger until it replies or the time for that is over.
    async fn persist(&self, kind: &'static str, write: Write) -> Option<Reply> {
        let site = &self.once.site;
        let until = site.clock.now() + PERSISTENCE;
        loop {
            match self.write(kind, write.clone(), WRITE_TIMEOUT).await {
                Ok(reply) => {
                    if matches!(reply, Reply::NotHolder) {
                        error!(site.log, "ledger: {kind} refused: the grant is another's");
                    }
                    return Some(reply);
                }
                Err(cause) if site.clock.now() < until => {
                    warn!(site.log, "ledger: {kind} not answered yet: {cause}");
                    time::sleep(MIN_POLL).await;
                }
                Err(cause) => {
                    error!(site.log, "ledger: {kind} given up: {cause}");
                    return None;
                }
            }
        }
    }

    async fn write(
        &self,
        kind: &'static str,
        write: Write,
        deadline: Duration,
    ) -> Result<Reply, peer::Error> {
        let since = time::Instant::now();
        let reply = self.once.ledger.write(write, deadline).await;
        self.once.site.metrics.ledger(kind, since.elapsed());
        reply
    }

    /// The answer to a Start that was not granted.
    fn refused(&self, reply: Reply) -> Result<Response<Body>, Box<Problem>> {
        match reply {
            Reply::Finished { answer, .. } => self.replay(answer),
            Reply::Abandoned => Err(self.not_run("the entry gave this attempt up".to_owned())),
            Reply::Mismatch => Err(Box::new(Problem {
                retry_after_ms: None,
                status: StatusCode::UNPROCESSABLE_ENTITY.as_u16(),
                ..self.ledger_problem("the key was used with another body")
            })),
            Reply::Full => Err(self.not_run("the ledger is full".to_owned())),
            Reply::Granted | Reply::Started { .. } | Reply::Recorded | Reply::NotHolder => {
                let detail = "the ledger gave a reply that does not fit";
                Err(Box::new(self.problem(
                    Outcome::Unknown,
                    Step::Ledger,
                    &detail,
                )))
            }
        }
    }

    /// The answer that an earlier attempt got.
    fn replay(&self, kept: ledger::Answer) -> Result<Response<Body>, Box<Problem>> {
        let Some(body) = kept.body else {
            let detail = format!(
                "the call ran before and was answered with {}; the answer was too long to keep",
                kept.status
            );
            return Err(Box::new(self.problem(Outcome::Ran, Step::Ledger, &detail)));
        };
        let kind = kept
            .content_type
            .and_then(|kind| HeaderValue::from_str(&kind).ok())
            .unwrap_or_else(|| HeaderValue::from_static("application/octet-stream"));
        let status = StatusCode::from_u16(kept.status).unwrap_or(StatusCode::OK);
        let mut response = response::answer(status, kind, response::full(body));
        response::set(&mut response, header::REPLAY, "true");
        Ok(response)
    }

    fn running_elsewhere(&self) -> Problem {
        let detail = "another attempt was started, and its end is not known yet";
        self.problem(Outcome::Unknown, Step::Ledger, &detail)
    }

    fn not_run(&self, detail: String) -> Box<Problem> {
        Box::new(self.ledger_problem(detail))
    }

    fn ledger_problem(&self, detail: impl Into<String>) -> Problem {
        self.once.site.problems.not_run(Step::Ledger, detail)
    }

    fn problem(&self, outcome: Outcome, step: Step, detail: &impl ToString) -> Problem {
        Problem {
            status: StatusCode::BAD_GATEWAY.as_u16(),
            outcome,
            step,
            peer: match step {
                Step::Ledger => Peer::Control,
                _ => self.once.site.problems.upstream(),
            },
            retry_after_ms: None,
            ..self.ledger_problem(detail.to_string())
        }
    }
}

/// What the ledger keeps of an answer.
fn kept(answer: &Answer) -> ledger::Answer {
    let content_type = answer
        .content_type
        .as_ref()
        .and_then(|kind| kind.to_str().ok());
    ledger::Answer {
        status: answer.status.as_u16(),
        content_type: content_type.map(Into::into),
        body: (answer.body.len() <= MAX_ANSWER_BYTES).then(|| answer.body.to_vec()),
    }
}
