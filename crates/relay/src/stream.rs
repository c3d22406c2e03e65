//! Streams of events: only whole events go to the caller, in order, and another instance goes on
//! where one broke off.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use domain::clock::Instant;
use futures::stream;
use http::{header, response};
use http_body::Frame;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use policy::{
    memory::{Grant, Memory, Use},
    placement::Choice,
    sse::{Ids, Splitter, Verdict},
};
use tokio::time;

use crate::{
    attempt::{self, Answered, Outcome},
    body::{self, Body, Broken},
    call::{Call, VERSION_OVER},
    journal::End,
    pool::{self, Connection},
    site::{Presence, Turn},
    whole::Fault,
};

/// A stream that may be resumed goes on at another instance after so long a silence. Callers
/// leave after two seconds at the earliest.
const STALL: Duration = Duration::from_millis(1_000);

/// The longest event, in bytes. One event of each running stream may be kept in part.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// Reads whole events of one attempt's body.
pub(crate) struct Reader {
    splitter: Splitter,
    ids: Ids,
    /// Whether the body's length is told, so that its end can't be mistaken.
    is_framed: bool,
    /// Whether an event came.
    has_event: bool,
    memory: Memory,
    /// The memory of what is kept of an incomplete event.
    kept: Grant,
}

impl Reader {
    /// A reader of the answer with the given head, which goes on after the given event.
    pub(crate) fn new(memory: &Memory, head: &response::Parts, last: Option<u64>) -> Self {
        let is_framed = head.headers.contains_key(header::CONTENT_LENGTH)
            || head.headers.contains_key(header::TRANSFER_ENCODING);
        Self {
            splitter: Splitter::new().with_limit(MAX_EVENT_BYTES),
            ids: Ids::new(last),
            is_framed,
            has_event: false,
            memory: memory.clone(),
            kept: memory.none(Use::Answer),
        }
    }

    /// Whether the end of the body is that of the stream. An instance that crashes right after its
    /// head, without a frame, says nothing by closing.
    pub(crate) fn is_whole(&self) -> bool {
        self.is_framed || self.has_event
    }

    /// The next whole events, or nothing at the end of a whole stream.
    ///
    /// # Errors
    ///
    /// Why the stream can't be followed further.
    pub(crate) async fn events(&mut self, body: &mut Incoming) -> Result<Option<Bytes>, Fault> {
        loop {
            let events = self.take().map_err(Fault::Broken)?;
            let partial = self.splitter.buffered();
            self.kept.resize(partial).map_err(Fault::Short)?;
            if !events.is_empty() {
                // They are counted until the caller's connection has taken them.
                let taken = self.memory.take(Use::Answer, events.len());
                let grant = taken.map_err(Fault::Short)?;
                return Ok(Some(grant.cover(events)));
            }
            match body.frame().await {
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        self.splitter.push(&data);
                    }
                }
                Some(Err(error)) => return Err(Fault::Broken(attempt::describe(&error))),
                None if self.splitter.is_partial() => {
                    return Err(Fault::Broken("an event broke off".to_owned()));
                }
                None => return Ok(None),
            }
        }
    }

    fn take(&mut self) -> Result<Bytes, String> {
        let mut events = BytesMut::new();
        loop {
            let next = self
                .splitter
                .next_event()
                .map_err(|fault| fault.to_string())?;
            let Some(event) = next else {
                return Ok(events.freeze());
            };
            self.has_event = true;
            match self.ids.check(&event).map_err(|fault| fault.to_string())? {
                Verdict::Pass | Verdict::Done => events.extend_from_slice(&event.raw),
                Verdict::Skip => {}
            }
        }
    }
}

/// A stream on its way to the caller.
pub(crate) struct Pump {
    call: Call,
    choice: Choice,
    body: Incoming,
    connection: Option<Connection>,
    lifetime: Option<Duration>,
    reader: Reader,
    turn: Option<Turn>,
    version: Option<u64>,
    first: Option<Bytes>,
    is_over: bool,
    _presence: Presence,
}

/// What came of waiting for the next events.
enum Next {
    Events(Bytes),
    End,
    Fault(String),
    /// Memory is short, which says nothing of the instance.
    Short(String),
    Silence,
}

impl Pump {
    /// Goes on with an answer that has begun.
    pub(crate) fn new(
        call: Call,
        answered: Answered,
        turn: Turn,
        reader: Reader,
        choice: Choice,
        version: Option<u64>,
    ) -> Self {
        let presence = call.site.enter();
        Self {
            lifetime: pool::lifetime(&answered.head.headers),
            body: answered.body,
            connection: Some(answered.connection),
            call,
            choice,
            reader,
            turn: Some(turn),
            version,
            first: None,
            is_over: false,
            _presence: presence,
        }
    }

    /// The body of the answer. Dropping it ends the attempt at the instance.
    pub(crate) fn body(mut self, first: Bytes) -> Body {
        self.first = (!first.is_empty()).then_some(first);
        body::stream(stream::unfold(self, async |mut pump| {
            let next = pump.next().await?;
            Some((next, pump))
        }))
    }

    async fn next(&mut self) -> Option<Result<Frame<Bytes>, Broken>> {
        if self.is_over {
            return None;
        }
        if let Some(first) = self.first.take() {
            return Some(Ok(Frame::data(first)));
        }
        loop {
            match self.wait().await {
                // An answer that never pauses ends with the time that it may take.
                Next::Events(_) if self.deadline_left().is_zero() => {
                    return self.break_off("time ran out".to_owned());
                }
                Next::Events(events) => return Some(Ok(Frame::data(events))),
                Next::End => {
                    self.finish();
                    return None;
                }
                Next::Short(reason) => return self.break_off(reason),
                Next::Fault(reason) => {
                    let id = self.choice.instance.id.clone();
                    let now = self.now();
                    self.call.site.place(|placer| placer.fail(&id, now));
                    self.call.trace.step(&id, &reason);
                    if let Some(mut turn) = self.turn.take() {
                        turn.lose();
                    }
                    // An instance whose answer is faulty may still run the request.
                    self.connection = None;
                    if let Err(refusal) = self.resume().await {
                        return self.break_off(format!("{reason}; {refusal}"));
                    }
                }
                Next::Silence if self.deadline_left().is_zero() => {
                    return self.break_off("time ran out".to_owned());
                }
                Next::Silence => {
                    let id = self.choice.instance.id.clone();
                    self.call.trace.step(&id, "silent");
                    // Without another instance this one may still go on.
                    if let Err(refusal) = self.resume().await {
                        self.call.trace.step(&id, refusal);
                    }
                }
            }
        }
    }

    async fn wait(&mut self) -> Next {
        let left = self.deadline_left();
        let limit = match self.may_resume() {
            true => left.min(STALL),
            false => left,
        };
        match time::timeout(limit, self.reader.events(&mut self.body)).await {
            Ok(Ok(Some(events))) => {
                if let Some(turn) = &mut self.turn {
                    turn.progress();
                }
                Next::Events(events)
            }
            Ok(Ok(None)) if self.reader.is_whole() => Next::End,
            Ok(Ok(None)) => Next::Fault("the stream ended without an event".to_owned()),
            Ok(Err(Fault::Broken(reason))) => Next::Fault(reason),
            Ok(Err(Fault::Short(short))) => Next::Short(short.to_string()),
            Err(_) => Next::Silence,
        }
    }

    fn may_resume(&self) -> bool {
        self.call.may_repeat()
            && self.call.sent < self.call.route.attempts
            && self.reader.ids.last().is_some()
    }

    /// Lets another instance go on after the last event.
    async fn resume(&mut self) -> Result<(), String> {
        if !self.may_resume() {
            return Err("it may not go on elsewhere".to_owned());
        }
        let mut choice = self.next_choice()?;
        if !self.call.site.may_retry(&self.call.service) {
            return Err("the retry budget is used up".to_owned());
        }
        let last = self.reader.ids.last();
        let site = self.call.site.clone();
        loop {
            let feed = site.feed();
            let mut turn = site.begin(&feed.view, &choice, &self.call.outgoing.ask);
            turn.expect();
            self.call.tried.push(choice.instance.id.clone());
            let exchange = attempt::exchange(&site, &self.call.outgoing, &choice, last);
            let outcome = match self.call.must_begin_by(&choice) {
                Some(at) => time::timeout(at.since(site.now()), exchange)
                    .await
                    .unwrap_or_else(|_| Outcome::Lost(VERSION_OVER.to_owned())),
                None => exchange.await,
            };
            let fail = || site.place(|placer| placer.fail(&choice.instance.id, site.now()));
            let answered = match outcome {
                // One that can't be reached costs nothing but time.
                Outcome::NotSent(reason) => {
                    fail();
                    self.call.trace.step(&choice.instance.id, reason);
                    choice = self.next_choice()?;
                    continue;
                }
                Outcome::Answered(answered) if answered.head.status.is_success() => Ok(*answered),
                Outcome::Answered(answered) => Err(format!("answered {}", answered.head.status)),
                Outcome::Lost(reason) => {
                    fail();
                    Err(reason)
                }
                Outcome::Broken(reason) => {
                    fail();
                    turn.lose();
                    Err(reason)
                }
                Outcome::Refused(status) => Err(format!("refused: {status}")),
            };
            self.call.sent += 1;
            self.go_on(answered?, turn, choice, last);
            return Ok(());
        }
    }

    /// An instance with the version with which the answer began.
    fn next_choice(&self) -> Result<Choice, String> {
        let choice = self.call.choose_next(self.version);
        choice.map_err(|failure| failure.to_string())
    }

    fn go_on(&mut self, answered: Answered, turn: Turn, choice: Choice, last: Option<u64>) {
        self.call.trace.step(&choice.instance.id, "goes on");
        self.lifetime = pool::lifetime(&answered.head.headers);
        self.reader = Reader::new(&self.call.site.memory, &answered.head, last);
        self.body = answered.body;
        self.connection = Some(answered.connection);
        self.turn = Some(turn);
        self.choice = choice;
    }

    fn finish(&mut self) {
        self.is_over = true;
        let site = self.call.site.clone();
        if let Some(connection) = self.connection.take() {
            let kind = self.call.outgoing.kind;
            site.keep(&self.choice.instance, connection, kind, self.lifetime);
        }
        if let Some(mut turn) = self.turn.take() {
            turn.finish();
        }
        self.call.trace.end(End::Answered(200));
    }

    fn break_off(&mut self, reason: String) -> Option<Result<Frame<Bytes>, Broken>> {
        self.is_over = true;
        self.connection = None;
        self.call.trace.end(End::Broken(reason));
        Some(Err(Broken))
    }

    fn now(&self) -> Instant {
        self.call.site.now()
    }

    fn deadline_left(&self) -> Duration {
        self.call.outgoing.deadline.since(self.now())
    }
}
