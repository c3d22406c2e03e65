//! Admission of requests for services that share by priority.
//!
//! It handles demand above the capacity of the engines. [`Admitter`] refuses the part of each
//! priority's work for which the fleet has no capacity, and the admitted requests wait in a
//! [`Queue`] until an engine accepts one of their rank. See `docs/LOAD.md`, "Admission by priority",
//! and `docs/design/admission.md`.

mod demand;
mod lane;
pub mod retry;

use std::{rc::Rc, time::Duration};

use derive_more::Display;
use domain::{load::Priority, name, routing::Engine};
use policy::{
    admission::Timeliness,
    placement::{self, Choice, LATE_RANK, Requirements, Share},
    queue::{Bounds, Full, Place},
    view::View,
    work::Size,
};
use tokio::{sync::oneshot, time};

pub(crate) use self::demand::refresh;
pub use self::lane::Lanes;
use self::{
    demand::compute,
    lane::{Lane, Waiter},
};
use super::{Permit, WAIT_PERCENT};
use crate::{
    dialect::Ask,
    site::{Site, Turn},
};

/// How often engines are looked for. Other entries' requests end without an event here. It is a
/// tenth of the time that a request may wait at a usual latency target.
const POLL_PERIOD: Duration = Duration::from_millis(20);
/// The largest urgency value that engines know.
const MAX_URGENCY: u8 = 9;

/// The urgency that is sent to engines for a rank.
pub fn urgency(rank: u32) -> u8 {
    u8::try_from(rank).unwrap_or(MAX_URGENCY).min(MAX_URGENCY)
}

/// A request that needs admission.
#[derive(Clone, Debug)]
pub struct Request {
    /// The service.
    pub service: name::Service,
    /// The allowed regions, as in [`Requirements::regions`].
    pub regions: [Vec<name::Region>; 2],
    /// Its priority.
    pub priority: Priority,
    /// Whose request it is.
    pub customer: Option<name::Customer>,
    /// Whether it can still be answered in time.
    pub timeliness: Timeliness,
    /// The latency target.
    pub target: Duration,
    /// How long the caller still waits.
    pub left: Duration,
    /// What its head says.
    pub ask: Ask,
}

impl Request {
    fn size(&self) -> Size {
        Size {
            prompt: self.ask.prompt_tokens,
            answer_hint: self.ask.answer_hint,
            answer_limit: self.ask.answer_limit,
        }
    }

    /// Whether its answer began in an earlier request, so that a refusal would cut it off.
    fn is_resumed(&self) -> bool {
        self.ask.last_event.is_some()
    }

    /// Whether the fraction of its priority applies to it. A caller that comes back was refused by
    /// the fraction before.
    fn is_subject_to_fraction(&self) -> bool {
        self.timeliness == Timeliness::OnTime && !self.is_resumed()
    }

    fn has_needs_of(&self, other: &Self) -> bool {
        self.ask.model == other.ask.model && self.regions == other.regions
    }

    fn requirements<'a>(&'a self, share: Share<'a>) -> Requirements<'a> {
        Requirements {
            service: &self.service,
            model: self.ask.model.as_ref(),
            pinned: None,
            regions: [&self.regions[0], &self.regions[1]],
            tried: &[],
            share: Some(share),
        }
    }
}

/// A request that runs.
pub struct Start {
    /// The engine that accepts it.
    pub choice: Choice,
    /// Its place at the engine.
    pub turn: Turn,
    /// The permit to run.
    pub permit: Permit,
    /// The number of more urgent priorities in use.
    pub rank: u32,
    /// The expected time until the response ends.
    pub span: Duration,
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum Reason {
    /// The capacity goes to other requests.
    #[display("the capacity is used up by requests that are as urgent or more urgent")]
    Shed,
    /// Too many requests wait.
    #[display("too many requests wait for an engine")]
    Full,
    /// A more urgent request took its place in the queue.
    #[display("a more urgent request waits in its place")]
    Displaced,
    /// No engine accepted it in time.
    #[display("no engine accepted it in time")]
    Expired,
    /// No engine may serve it.
    #[display("{_0}")]
    Unserved(placement::Error),
}

impl Reason {
    /// The name of the reason in metrics.
    fn label(self) -> &'static str {
        match self {
            Self::Shed => "shed",
            Self::Full => "full",
            Self::Displaced => "displaced",
            Self::Expired => "expired",
            Self::Unserved(_) => "unserved",
        }
    }
}

/// A refusal. The request did not run and never will.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[display("{reason}")]
pub struct Refusal {
    /// Why.
    pub reason: Reason,
    /// When the caller should come back.
    pub retry: Duration,
}

/// Waits until an engine accepts the request, at most a part of the latency target.
///
/// # Errors
///
/// [`Refusal`] if the request is not admitted, or no engine accepted it in time.
pub async fn enter(site: &Rc<Site>, request: Request) -> Result<Start, Refusal> {
    let request = Rc::new(request);
    let entered = wait(site, &request).await;
    let (service, priority) = (&request.service, request.priority);
    match &entered {
        Ok(_) => site.meters.admitted(service, priority),
        Err(reason) => site.meters.refused(service, priority, reason.label()),
    }
    entered.map_err(|reason| Refusal {
        reason,
        retry: retry::after(site, &request, reason),
    })
}

async fn wait(site: &Rc<Site>, request: &Rc<Request>) -> Result<Start, Reason> {
    let mut ticket = join(site, request)?;
    loop {
        let now = site.now();
        let polled_at = site
            .gate
            .shared
            .with(&request.service, |lane| lane.polled_at)
            .unwrap_or(now);
        let next = (polled_at + POLL_PERIOD).since(now);
        tokio::select! {
            biased;
            reply = &mut ticket.reply => return reply.unwrap_or(Err(Reason::Displaced)),
            () = time::sleep(next) => poll_if_due(site, &request.service),
        }
    }
}

/// A place in the queue. Dropping it leaves the queue.
struct Ticket {
    site: Rc<Site>,
    service: name::Service,
    place: Place,
    reply: oneshot::Receiver<Result<Start, Reason>>,
}

impl Drop for Ticket {
    fn drop(&mut self) {
        let place = self.place;
        let shared = &self.site.gate.shared;
        // Nothing is taken out if the request was served or refused.
        drop(shared.with(&self.service, |lane| lane.take(place)));
    }
}

/// Decides whether the request is admitted, and takes it into the queue.
fn join(site: &Rc<Site>, request: &Rc<Request>) -> Result<Ticket, Reason> {
    let now = site.now();
    compute(site, &request.service);
    let shared = &site.gate.shared;
    let work_ms = work_ms(site, request);
    let is_admitted = shared.with_new(&request.service, now, |lane| {
        let (priority, customer) = (request.priority, request.customer.as_ref());
        !request.is_subject_to_fraction() || lane.admitter.admit(priority, customer, work_ms, now)
    });
    if !is_admitted {
        return Err(Reason::Shed);
    }
    let zone = site.place(|placer| placer.spill(&request.service, work_ms));
    // The bounds don't apply to a request that an engine accepts at once.
    let unbounded = Bounds {
        each: usize::MAX,
        total: usize::MAX,
    };
    let ticket = queue(site, request, zone.clone(), unbounded)?;
    poll(site, &request.service);
    let is_waiting = shared.with(&request.service, |lane| {
        lane.waiters.contains_key(&ticket.place)
    });
    match is_waiting {
        Some(true) => {
            drop(ticket);
            let bounds = shared.with_new(&request.service, now, |lane| lane.bounds());
            queue(site, request, zone, bounds)
        }
        _ => Ok(ticket),
    }
}

/// Takes the request into the queue, and refuses the one that it displaces.
fn queue(
    site: &Rc<Site>,
    request: &Rc<Request>,
    zone: Option<name::AvailabilityZone>,
    bounds: Bounds,
) -> Result<Ticket, Reason> {
    let now = site.now();
    let limit = (request.target * WAIT_PERCENT / 100).min(request.left);
    let (sender, receiver) = oneshot::channel();
    let joined = site.gate.shared.with_new(&request.service, now, |lane| {
        let (priority, timeliness) = (request.priority, request.timeliness);
        let joined = lane.queue.join(priority, timeliness, now + limit, bounds)?;
        let displaced = joined
            .displaced
            .and_then(|place| lane.waiters.remove(&place));
        let waiter = Waiter {
            request: request.clone(),
            rank: lane.rank(request),
            zone,
            reply: sender,
        };
        lane.waiters.insert(joined.place, waiter);
        Ok((joined.place, displaced))
    });
    let (place, displaced) = joined.map_err(|Full| Reason::Full)?;
    if let Some(displaced) = displaced {
        answer(displaced, Err(Reason::Displaced));
    }
    Ok(Ticket {
        site: site.clone(),
        service: request.service.clone(),
        place,
        reply: receiver,
    })
}

/// Answers a request that waits. If its caller has just left, a start ends here again.
fn answer(waiter: Waiter, reply: Result<Start, Reason>) {
    drop(waiter.reply.send(reply));
}

/// Looks for engines after a request of this entry has ended.
pub(crate) fn advance(site: &Rc<Site>, service: &name::Service) {
    let is_waiting = |lane: &mut Lane| !lane.queue.is_empty();
    if site.gate.shared.with(service, is_waiting) == Some(true) {
        poll(site, service);
    }
}

/// Looks for engines unless another request has just done so.
fn poll_if_due(site: &Rc<Site>, service: &name::Service) {
    let now = site.now();
    let is_due = |lane: &mut Lane| now.since(lane.polled_at) >= POLL_PERIOD;
    if site.gate.shared.with(service, is_due) == Some(true) {
        poll(site, service);
    }
}

/// Sends the waiting requests for which there is an engine, in their order. One that no engine
/// accepts doesn't keep others from being sent, because they may use other engines.
fn poll(site: &Rc<Site>, service: &name::Service) {
    let now = site.now();
    let shared = &site.gate.shared;
    let expired = shared.with(service, |lane| {
        lane.polled_at = now;
        let expired = lane.queue.expire(now).into_iter();
        let waiters = expired.filter_map(|place| lane.waiters.remove(&place));
        waiters.collect::<Vec<_>>()
    });
    for waiter in expired.into_iter().flatten() {
        answer(waiter, Err(Reason::Expired));
    }
    let waiting = shared.with(service, |lane| {
        let waiters = lane.waiters.iter();
        waiters
            .map(|(place, waiter)| {
                let zone = waiter.zone.clone();
                (*place, waiter.request.clone(), waiter.rank, zone)
            })
            .collect::<Vec<_>>()
    });
    let feed = site.feed();
    let mut busy: Vec<(Rc<Request>, u32)> = Vec::new();
    for (place, request, rank, zone) in waiting.into_iter().flatten() {
        let rank = match place.is_late() {
            true => LATE_RANK,
            false => rank.min(LATE_RANK - 1),
        };
        let is_busy =
            |(other, busy): &(Rc<Request>, u32)| *busy == rank && request.has_needs_of(other);
        if zone.is_none() && busy.iter().any(is_busy) {
            continue;
        }
        let span = span(&feed.view, &request);
        let requirements = request.requirements(Share {
            rank,
            span,
            zone: zone.as_ref(),
        });
        match site.place(|placer| placer.choose(&feed.view, &requirements, now)) {
            Ok(choice) => start(site, place, choice, &feed.view),
            Err(placement::Error::Busy) => busy.push((request, rank)),
            Err(error) => {
                if let Some(Some(waiter)) = shared.with(service, |lane| lane.take(place)) {
                    answer(waiter, Err(Reason::Unserved(error)));
                }
            }
        }
    }
}

/// Hands a request to the engine that accepts it. It is counted at the engine from now on, before
/// the next request looks for one.
fn start(site: &Rc<Site>, place: Place, choice: Choice, view: &View) {
    let (now, service) = (site.now(), choice.instance.service.clone());
    let taken = site.gate.shared.with(&service, |lane| {
        let waiter = lane.take(place);
        lane.running += usize::from(waiter.is_some());
        waiter
    });
    let Some(Some(waiter)) = taken else {
        return;
    };
    let request = waiter.request.clone();
    // A late request only uses slots that no timely one needs, so it is no demand.
    if request.is_resumed() {
        let work_ms = work_ms(site, &request);
        let count = |lane: &mut Lane| lane.admitter.count(request.priority, work_ms, now);
        site.gate.shared.with(&service, count);
    }
    let start = Start {
        span: span(view, &request),
        turn: site.begin(view, &choice, &request.ask),
        choice,
        permit: Permit {
            site: site.clone(),
            service,
            target: request.target,
            is_shared: true,
        },
        rank: waiter.rank,
    };
    answer(waiter, Ok(start));
}

/// The work of a request, in engine milliseconds.
fn work_ms(site: &Rc<Site>, request: &Request) -> f64 {
    let feed = site.feed();
    let engine = engine(&feed.view, &request.service);
    engine.map_or(0.0, |engine| {
        request.size().work(engine).as_secs_f64() * 1_000.0
    })
}

/// The expected time until the response to a request ends, if it begins at the latency target.
fn span(view: &View, request: &Request) -> Duration {
    let writing = engine(view, &request.service).map(|engine| request.size().writing(engine));
    request.target + writing.unwrap_or_default()
}

fn engine<'a>(view: &'a View, service: &name::Service) -> Option<&'a Engine> {
    let service = view.services.get(service)?;
    service.engine.as_ref()
}
