//! The way of a request: route, key, service, instance, and again if it may.

use std::{fmt::Display, rc::Rc, sync::Arc, time::Duration};

use bytes::Bytes;
use domain::{clock::Instant, load::Priority, name, routing};
use http::{HeaderMap, Request, Response, Uri, header, request, response};
use hyper::body::Incoming;
use peer::uplink::Feed;
use policy::{
    admission::Timeliness,
    crash::{self, Verdict},
    drain, load,
    placement::{self, Choice, Placer, Requirements, Share},
};
use tokio::time;

use crate::{
    answer::Failure,
    attempt::{self, Answered, Outcome, Outgoing},
    body::{self, Body, Broken, UnreadTimeout},
    dialect::Ask,
    gate::{self, Permit, shared},
    journal::{End, Trace},
    pool,
    site::{Site, Turn},
    stream::{Pump, Reader},
    upload,
    whole::{self, Fault},
};

/// Attempts that could not even be sent don't count as attempts, up to this many.
const MAX_NOT_SENT: u32 = 4;
/// The part of their time by which the deadlines of callers of one route differ. A caller counts as
/// one that comes back only if it has less time left than that explains.
pub(crate) const DEADLINE_SPREAD: u32 = 6;
/// The least time that an attempt is worth.
const MIN_LEFT: Duration = Duration::from_millis(30);
/// Why an attempt is given up that must not begin any more.
pub(crate) const VERSION_OVER: &str = "not begun before its version was over";

/// A call that found its route.
pub(crate) struct Call {
    pub(crate) site: Rc<Site>,
    pub(crate) route: Arc<routing::Route>,
    pub(crate) service: name::Service,
    pub(crate) caller_regions: Vec<name::Region>,
    pub(crate) outgoing: Outgoing,
    /// Whether it can still be answered in time.
    pub(crate) timeliness: Timeliness,
    pub(crate) priority: Priority,
    pub(crate) trace: Trace,
    pub(crate) tried: Vec<name::Instance>,
    /// How often it was sent.
    pub(crate) sent: u32,
    /// The permit to run, once it is given.
    pub(crate) permit: Option<Permit>,
    /// The number of more urgent priorities in use, where the service is shared by priority.
    pub(crate) rank: Option<u32>,
    /// The expected time until the response ends, where the service is shared by priority.
    pub(crate) span: Duration,
    /// Whether it tries out a part of its prompt that is in quarantine.
    pub(crate) is_probe: bool,
}

/// An attempt whose answer has begun.
enum Begun {
    /// It is a stream, and here are its first events.
    Stream(Box<Answered>, Turn, Reader, Bytes),
    /// It is here whole.
    Whole(response::Parts, Bytes),
}

/// What an attempt left behind.
enum Bad {
    /// It did not run.
    NotRun(String),
    /// It may have run.
    Unknown(String),
    /// The instance's own failure.
    Own(response::Parts, Bytes),
}

impl Bad {
    /// What holds of a request after one more attempt: one that may have run stays so, whatever
    /// the next instance refuses.
    fn after(self, earlier: Option<Self>) -> Self {
        match (earlier, self) {
            (Some(earlier @ (Self::Unknown(_) | Self::Own(..))), Self::NotRun(_)) => earlier,
            (_, latest) => latest,
        }
    }
}

/// Answers one request.
///
/// # Errors
///
/// [`Broken`] if the caller is gone.
pub async fn handle(site: Rc<Site>, request: Request<Incoming>) -> Result<Response<Body>, Broken> {
    let _presence = site.enter();
    let received_at = site.now();
    let (head, body) = request.into_parts();
    let ask = site.dialect.ask(&head);
    let id = ask.id.as_deref().map(Rc::from);
    let mut trace = Trace::new(site.clone(), id);
    trace.parts = ask.parts.clone();
    match upload::begin(&site, &head.headers) {
        Ok(memory) => trace.memory = Some(memory),
        Err(failure) => return Ok(refuse(&mut trace, &failure)),
    }
    let limit = site.limits().body_bytes;
    let time = upload::time(&site, &head, host(&head), &ask);
    let body = match upload::read(&site, body, limit, time).await {
        Ok(body) => body,
        Err(Some(failure)) => return Ok(refuse(&mut trace, &failure)),
        Err(None) => return Err(Broken),
    };
    match resolve(&site, &mut trace, head, body, ask, received_at) {
        Err(failure) => Ok(refuse(&mut trace, &failure)),
        Ok(resolved) => {
            site.count(&resolved.service);
            let call = Call {
                site,
                route: resolved.route,
                service: resolved.service,
                caller_regions: resolved.regions,
                outgoing: resolved.outgoing,
                timeliness: resolved.timeliness,
                priority: resolved.priority,
                trace,
                tried: Vec::new(),
                sent: 0,
                permit: None,
                rank: None,
                span: Duration::ZERO,
                is_probe: false,
            };
            let shared = call.site.clone();
            tokio::select! {
                biased;
                response = call.run() => Ok(response),
                () = shared.ended() => Ok(Failure::Late.response()),
            }
        }
    }
}

fn refuse(trace: &mut Trace, failure: &Failure) -> Response<Body> {
    trace.end(End::Failed(failure.status().as_u16(), failure.to_string()));
    failure.response()
}

struct Resolved {
    route: Arc<routing::Route>,
    service: name::Service,
    regions: Vec<name::Region>,
    outgoing: Outgoing,
    timeliness: Timeliness,
    priority: Priority,
}

/// Decides by the state, at one moment, whose request it is and where it may go.
fn resolve(
    site: &Rc<Site>,
    trace: &mut Trace,
    head: request::Parts,
    body: Bytes,
    mut ask: Ask,
    received_at: Instant,
) -> Result<Resolved, Failure> {
    let feed = site.feed();
    let view = &feed.view;
    let routing = view.routing.as_ref().ok_or_else(Failure::unknown)?;
    let now = site.now();
    let age_ms = feed
        .bound
        .age(now)
        .map_or(u64::MAX, |age| age.as_millis() as u64);
    trace.basis = Some((routing.version, age_ms));
    if !feed.is_fresh(now, site.bounds.max_age) {
        return Err(Failure::Stale);
    }
    let host = host(&head).ok_or(Failure::NoRoute)?;
    let route = view
        .routes
        .find(host, head.uri.path())
        .ok_or(Failure::NoRoute)?;
    trace.route = Some(route.name.clone());
    let caller = view
        .authorize(routing, route, ask.key.as_deref())
        .map_err(|_| Failure::NoKey)?;
    trace.customer = caller.map(|caller| caller.name.clone());
    let service = site.next_service(route).ok_or_else(|| Failure::Refused {
        reason: "no service has a weight".to_owned(),
        retry: placement::Error::NoInstance.retry_after(),
    })?;
    let timeout = Duration::from_millis(route.timeout_ms.into());
    let caller_timeout = ask.patience.unwrap_or(timeout);
    if let Some(left) = site.ends_at().map(|at| at.since(now))
        && !drain::admits(route.kind, caller_timeout.min(timeout), left)
    {
        return Err(Failure::Refused {
            reason: "this entry ends".to_owned(),
            retry: Duration::ZERO,
        });
    }
    if ask.parts.is_empty() {
        let customer = caller.map(|caller| &caller.name);
        let path = target(&head.uri).to_string();
        let content = crash::content_of(head.method.as_str(), &path, customer, &body);
        ask.parts = Arc::new([content]);
        trace.parts = ask.parts.clone();
    }
    trace.waited = site.has_waited(route, caller_timeout);
    // A stream that is to go on has begun already.
    let latency_target = Duration::from_millis(route.target_ms.into());
    let late_after = match load::is_shared(view, &service) {
        true => latency_target.max((trace.waited + caller_timeout) / DEADLINE_SPREAD),
        false => latency_target,
    };
    let timeliness = match ask.last_event {
        None if trace.waited > late_after => Timeliness::Late,
        _ => Timeliness::OnTime,
    };
    let mut headers = head.headers;
    attempt::strip_connection(&mut headers);
    headers.remove(header::CONTENT_LENGTH);
    headers.remove(header::EXPECT);
    Ok(Resolved {
        route: route.clone(),
        service,
        regions: caller
            .map(|caller| caller.regions.clone())
            .unwrap_or_default(),
        outgoing: Outgoing {
            method: head.method,
            target: target(&head.uri),
            headers,
            body,
            kind: route.kind,
            customer: caller.map(|caller| caller.name.clone()),
            deadline: received_at + caller_timeout.min(timeout),
            ask,
            urgency: None,
        },
        timeliness,
        priority: Priority::new(route, caller.map(|caller| &**caller)),
    })
}

/// The host that the request names, without its port.
fn host(head: &request::Parts) -> Option<&str> {
    let authority = match head.uri.host() {
        Some(host) => return Some(host),
        None => head.headers.get(header::HOST)?.to_str().ok()?,
    };
    let is_port = |port: &str| port.bytes().all(|byte| byte.is_ascii_digit());
    match authority.rsplit_once(':') {
        Some((host, port)) if is_port(port) => Some(host),
        _ => Some(authority),
    }
}

/// The path and query as the caller sent them.
fn target(uri: &Uri) -> Uri {
    let path = uri.path_and_query().map_or("/", |path| path.as_str());
    path.parse().unwrap_or_else(|_| uri.clone())
}

impl Call {
    /// Tries until there is an answer, or no further attempt is allowed.
    async fn run(mut self) -> Response<Body> {
        if let Err(failure) = self.clear().await {
            return self.give_up(None, failure);
        }
        let mut start = match self.enter().await {
            Ok(start) => start,
            Err(failure) => return self.give_up(None, failure),
        };
        let mut last: Option<Bad> = None;
        let mut not_sent = 0;
        loop {
            let next = match start.take() {
                Some((choice, turn)) => self.check().map(|()| (choice, Some(turn))),
                None => self.choose(None).map(|choice| (choice, None)),
            };
            let (choice, turn) = match next {
                Ok(next) => next,
                Err(failure) => return self.give_up(last, failure),
            };
            if self.sent > 0 && !self.site.may_retry(&self.service) {
                let failure = refused("the retry budget is used up", placement::Error::Busy);
                return self.give_up(last, failure);
            }
            match self.attempt(&choice, turn).await {
                Ok(begun) => return self.answer(begun, choice),
                Err(Tried::NotSent(reason)) => {
                    not_sent += 1;
                    last = Some(Bad::NotRun(reason).after(last));
                }
                Err(Tried::Bad(bad)) => {
                    self.sent += 1;
                    last = Some(bad.after(last));
                }
            }
            let may_have_run = matches!(&last, Some(Bad::Unknown(_) | Bad::Own(..)));
            let is_over = may_have_run && !self.may_repeat();
            if is_over || self.sent >= self.route.attempts || not_sent > MAX_NOT_SENT {
                let failure = refused("no further attempt is allowed", placement::Error::Busy);
                return self.give_up(last, failure);
            }
        }
    }

    /// Lets a request with a part in quarantine pass as a probe only.
    async fn clear(&mut self) -> Result<(), Failure> {
        match self.judge() {
            Verdict::Free => Ok(()),
            Verdict::Refused(left) => Err(quarantined(left)),
            Verdict::Due { key, probes } => {
                let site = self.site.clone();
                match site.witness.may_probe(&site, key, probes).await {
                    true => {
                        self.is_probe = true;
                        Ok(())
                    }
                    false => Err(quarantined(placement::Error::NoInstance.retry_after())),
                }
            }
        }
    }

    fn judge(&self) -> Verdict {
        let parts = &self.outgoing.ask.parts;
        self.site
            .witness
            .judge(&self.service, parts, self.site.now())
    }

    /// Whether an attempt whose fate is unknown may be followed by another one. One that may have
    /// crashed its instance would crash the next one too.
    pub(crate) fn may_repeat(&self) -> bool {
        let parts = &self.outgoing.ask.parts;
        let witness = &self.site.witness;
        self.outgoing.kind.is_repeatable()
            && !self.is_probe
            && !witness.is_suspected(&self.service, parts, self.site.now())
    }

    /// Waits for a permit to run, where engines answer. Returns the engine that the request is sent
    /// to first, if it is already chosen.
    async fn enter(&mut self) -> Result<Option<(Choice, Turn)>, Failure> {
        let site = self.site.clone();
        let is_engine = |feed: &Feed| {
            let service = feed.view.services.get(&self.service);
            service.is_some_and(|service| service.engine.is_some())
        };
        let feed = site.feed();
        match () {
            () if !is_engine(&feed) => Ok(None),
            () if load::is_shared(&feed.view, &self.service) => self.enter_shared(&site).await,
            () => self.enter_limited(&site).await.map(|()| None),
        }
    }

    /// Waits until an engine accepts the request, by its priority.
    async fn enter_shared(&mut self, site: &Rc<Site>) -> Result<Option<(Choice, Turn)>, Failure> {
        let ask = &self.outgoing.ask;
        self.trace.priority = Some(self.priority);
        let request = shared::Request {
            service: self.service.clone(),
            regions: [self.route.regions.clone(), self.caller_regions.clone()],
            priority: self.priority,
            customer: self.outgoing.customer.clone(),
            timeliness: self.timeliness,
            target: Duration::from_millis(self.route.target_ms.into()),
            left: self.outgoing.deadline.since(site.now()),
            ask: ask.clone(),
        };
        let start = shared::enter(site, request).await;
        let start = start.map_err(|refusal| Failure::Refused {
            reason: refusal.to_string(),
            retry: refusal.retry,
        })?;
        self.rank = Some(start.rank);
        self.span = start.span;
        self.outgoing.urgency = Some(shared::urgency(start.rank));
        self.permit = Some(start.permit);
        Ok(Some((start.choice, start.turn)))
    }

    /// Waits until fewer requests run than the entry's limit.
    async fn enter_limited(&mut self, site: &Rc<Site>) -> Result<(), Failure> {
        let slots = || {
            let feed = site.feed();
            let now = site.now();
            site.place(|placer| placer.slots(&feed.view, &self.need(None, None), now))
        };
        let target = Duration::from_millis(self.route.target_ms.into());
        let permit = gate::enter(site, &self.service, target, self.timeliness, slots).await;
        self.permit = Some(permit.map_err(|refusal| refused(refusal, refusal))?);
        Ok(())
    }

    fn need(&self, pinned: Option<u64>, rank: Option<u32>) -> Requirements<'_> {
        Requirements {
            service: &self.service,
            model: self.outgoing.ask.model.as_ref(),
            pinned,
            regions: [&self.route.regions, &self.caller_regions],
            tried: &self.tried,
            share: rank.map(|rank| Share {
                rank,
                span: self.span,
                zone: None,
            }),
        }
    }

    /// Chooses an instance that was not tried, by the state as it is now.
    pub(crate) fn choose(&self, pinned: Option<u64>) -> Result<Choice, Failure> {
        self.choose_by(pinned, self.rank)
    }

    /// Chooses an instance that goes on with an answer. It has the rank of the most urgent requests,
    /// so that an answer that has begun isn't cut off in favour of one that hasn't.
    pub(crate) fn choose_next(&self, pinned: Option<u64>) -> Result<Choice, Failure> {
        self.choose_by(pinned, self.rank.map(|_| 0))
    }

    fn choose_by(&self, pinned: Option<u64>, rank: Option<u32>) -> Result<Choice, Failure> {
        self.check()?;
        let now = self.site.now();
        let feed = self.site.feed();
        let need = self.need(pinned, rank);
        let chosen = self
            .site
            .place(|placer| placer.choose(&feed.view, &need, now));
        chosen.map_err(|refusal| refused(refusal, refusal))
    }

    /// Checks that the request may still be sent.
    fn check(&self) -> Result<(), Failure> {
        let now = self.site.now();
        if !self.site.feed().is_fresh(now, self.site.bounds.max_age) {
            return Err(Failure::Stale);
        }
        if self.outgoing.deadline.since(now) < MIN_LEFT {
            return Err(Failure::Late);
        }
        // A part of the prompt may have come into quarantine while the request waited.
        match self.judge() {
            Verdict::Free => Ok(()),
            _ if self.is_probe => Ok(()),
            Verdict::Refused(left) => Err(quarantined(left)),
            Verdict::Due { .. } => Err(quarantined(placement::Error::NoInstance.retry_after())),
        }
    }

    async fn attempt(&mut self, choice: &Choice, turn: Option<Turn>) -> Result<Begun, Tried> {
        let site = self.site.clone();
        let ask = &self.outgoing.ask;
        let turn = turn.unwrap_or_else(|| site.begin(&site.feed().view, choice, ask));
        self.tried.push(choice.instance.id.clone());
        let sent_at = site.now();
        let is_cold = site.place(|placer| placer.is_cold(&choice.instance, sent_at));
        let begun = {
            let begin = begin(&site, &self.outgoing, choice, turn, None);
            let begin = limit(&site, self.must_begin_by(choice), begin);
            tokio::pin!(begin);
            let timeout = attempt::silence_timeout(self.route.target_ms);
            match time::timeout(timeout, &mut begin).await {
                Ok(begun) => begun,
                // Another instance may do better; if there is none, this one goes on.
                Err(_) if self.may_turn_away() => {
                    Err(Tried::Bad(Bad::Unknown("silent for too long".to_owned())))
                }
                Err(_) => begin.await,
            }
        };
        if let (Ok(_), Some(permit)) = (&begun, &self.permit) {
            permit.begin(site.now().since(sent_at), is_cold);
        }
        self.note(choice, &begun);
        begun
    }

    /// When an attempt must have begun. Only a stream shows when it begins; whole answers that
    /// began in time must not be cut.
    pub(crate) fn must_begin_by(&self, choice: &Choice) -> Option<Instant> {
        let model = self.outgoing.ask.model.as_ref()?;
        let feed = self.site.feed();
        let find = |placer: &mut Placer| placer.must_begin_by(&feed.view, &choice.instance, model);
        let is_stream = self.outgoing.kind.is_stream();
        is_stream.then(|| self.site.place(find)).flatten()
    }

    /// Whether an attempt that is silent may be dropped for another one.
    fn may_turn_away(&self) -> bool {
        self.may_repeat() && self.sent + 1 < self.route.attempts && self.choose(None).is_ok()
    }

    fn note(&mut self, choice: &Choice, begun: &Result<Begun, Tried>) {
        let id = &choice.instance.id;
        let now = self.site.now();
        let (label, text) = match begun {
            Ok(_) => {
                self.site.place(|placer| placer.succeed(id));
                ("answered", "answered".to_owned())
            }
            Err(Tried::NotSent(reason)) => {
                self.site.place(|placer| placer.fail(id, now));
                ("not-sent", reason.clone())
            }
            Err(Tried::Bad(Bad::NotRun(reason))) => {
                self.site.place(|placer| placer.refuse(id, now));
                ("refused", reason.clone())
            }
            Err(Tried::Bad(Bad::Unknown(reason))) => {
                self.site.place(|placer| placer.fail(id, now));
                ("lost", reason.clone())
            }
            Err(Tried::Bad(Bad::Own(head, _))) => {
                self.site.place(|placer| placer.fail(id, now));
                ("failed", head.status.to_string())
            }
        };
        self.site.meters.attempted(&self.service, label);
        self.trace.step(id, text);
    }

    fn answer(mut self, begun: Begun, choice: Choice) -> Response<Body> {
        self.trace.first_at = Some(self.site.now());
        self.sent += 1;
        match begun {
            Begun::Whole(head, bytes) => {
                self.trace.end(End::Answered(head.status.as_u16()));
                response_of(&head, bytes)
            }
            Begun::Stream(answered, turn, reader, first) => {
                let unread_timeout =
                    UnreadTimeout(Duration::from_millis(self.route.timeout_ms.into()));
                let mut response = Response::new(body::full(Bytes::new()));
                response.extensions_mut().insert(unread_timeout);
                *response.status_mut() = answered.head.status;
                *response.headers_mut() = returned(&answered.head.headers);
                let version = answered.reply.version;
                let pump = Pump::new(self, *answered, turn, reader, choice, version);
                *response.body_mut() = pump.body(first);
                response
            }
        }
    }

    /// The last word to the caller: the instance's own failure if there was one.
    fn give_up(mut self, last: Option<Bad>, failure: Failure) -> Response<Body> {
        let failure = match (last, failure) {
            (Some(Bad::Own(head, bytes)), _) => {
                self.trace.end(End::Answered(head.status.as_u16()));
                return response_of(&head, bytes);
            }
            (Some(Bad::Unknown(_)), Failure::Late) => Failure::Late,
            (Some(Bad::Unknown(reason)), _) => Failure::Lost { reason },
            // Nothing of it ran, so the caller may come again at once if there is time.
            (Some(Bad::NotRun(reason)), Failure::Refused { retry, .. }) => {
                Failure::Refused { reason, retry }
            }
            (_, Failure::Late) => refused("no time is left", placement::Error::Busy),
            (_, failure) => failure,
        };
        refuse(&mut self.trace, &failure)
    }
}

fn quarantined(left: Duration) -> Failure {
    Failure::Refused {
        reason: "the request or a part of its prompt crashes instances".to_owned(),
        retry: left,
    }
}

fn refused(reason: impl Display, refusal: placement::Error) -> Failure {
    Failure::Refused {
        reason: reason.to_string(),
        retry: refusal.retry_after(),
    }
}

/// What is left of an attempt that gave no answer.
enum Tried {
    NotSent(String),
    Bad(Bad),
}

/// Gives an attempt up that has not begun by the given time.
async fn limit(
    site: &Rc<Site>,
    must_begin_by: Option<Instant>,
    attempt: impl Future<Output = Result<Begun, Tried>>,
) -> Result<Begun, Tried> {
    let Some(at) = must_begin_by else {
        return attempt.await;
    };
    match time::timeout(at.since(site.now()), attempt).await {
        Ok(begun) => begun,
        Err(_) => Err(Tried::Bad(Bad::Unknown(VERSION_OVER.to_owned()))),
    }
}

/// Sends the request, and waits for the whole answer or the first events of a stream.
async fn begin(
    site: &Rc<Site>,
    outgoing: &Outgoing,
    choice: &Choice,
    mut turn: Turn,
    last_event: Option<u64>,
) -> Result<Begun, Tried> {
    let unknown = |reason: String| Tried::Bad(Bad::Unknown(reason));
    // Other answers come whole, after a time that nobody can tell from a silence.
    if outgoing.kind.is_stream() {
        turn.expect();
    }
    let mut answered = match attempt::exchange(site, outgoing, choice, last_event).await {
        Outcome::Answered(answered) => answered,
        Outcome::NotSent(reason) => return Err(Tried::NotSent(reason)),
        Outcome::Refused(status) => {
            return Err(Tried::Bad(Bad::NotRun(format!(
                "the instance refused: {status}"
            ))));
        }
        Outcome::Lost(reason) => return Err(unknown(reason)),
        Outcome::Broken(reason) => {
            turn.lose();
            return Err(unknown(reason));
        }
    };
    let left = outgoing.deadline.since(site.now());
    if outgoing.kind.is_stream() && answered.head.status.is_success() {
        let mut reader = Reader::new(&site.memory, &answered.head, outgoing.ask.last_event);
        let first = time::timeout(left, reader.events(&mut answered.body)).await;
        return match first {
            Ok(Ok(Some(first))) => {
                turn.progress();
                Ok(Begun::Stream(answered, turn, reader, first))
            }
            Ok(Ok(None)) if reader.is_whole() => {
                Ok(Begun::Stream(answered, turn, reader, Bytes::new()))
            }
            Ok(Ok(None)) => {
                turn.lose();
                Err(unknown("the stream ended without an event".to_owned()))
            }
            Ok(Err(Fault::Broken(reason))) => {
                turn.lose();
                Err(unknown(reason))
            }
            Ok(Err(Fault::Short(short))) => Err(unknown(short.to_string())),
            Err(_) => Err(unknown("no event until the deadline".to_owned())),
        };
    }
    let Answered {
        head,
        body,
        connection,
        ..
    } = *answered;
    let bytes = match time::timeout(left, whole::take(&site.memory, body)).await {
        Ok(Ok(bytes)) => bytes,
        Ok(Err(Fault::Broken(reason))) => {
            turn.lose();
            return Err(unknown(reason));
        }
        Ok(Err(Fault::Short(short))) => return Err(unknown(short.to_string())),
        Err(_) => return Err(unknown("no whole answer until the deadline".to_owned())),
    };
    let lifetime = pool::lifetime(&head.headers);
    site.keep(&choice.instance, connection, outgoing.kind, lifetime);
    match head.status.is_server_error() {
        true => Err(Tried::Bad(Bad::Own(head, bytes))),
        false => {
            // An instance that turns a request away has not begun to answer its prompt.
            if head.status.is_success() {
                turn.finish();
            }
            Ok(Begun::Whole(head, bytes))
        }
    }
}

fn response_of(head: &response::Parts, bytes: Bytes) -> Response<Body> {
    let mut response = Response::new(body::full(bytes));
    *response.status_mut() = head.status;
    *response.headers_mut() = returned(&head.headers);
    response
}

/// The headers of an instance's answer as the caller gets them.
pub(crate) fn returned(headers: &HeaderMap) -> HeaderMap {
    let mut headers = headers.clone();
    attempt::strip_connection(&mut headers);
    headers.remove(header::CONTENT_LENGTH);
    headers
}
