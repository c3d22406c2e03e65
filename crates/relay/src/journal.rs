//! One log line for each request that ends, within a budget.

use std::{cell::RefCell, rc::Rc, sync::Arc, time::Duration};

use domain::{clock::Instant, load::Priority, name};
use policy::memory::{Grant, Short};
use slog::{Logger, info, warn};
use telemetry::budget::{Budget, Class, Rate};

use crate::site::Site;

/// Lines about requests that went well: enough to sample every route within a few seconds.
const ROUTINE: Rate = Rate {
    per_s: 2,
    burst: 10,
};
/// Lines about requests that failed: all of them at the failure rates of an ordinary day.
const FAILURE: Rate = Rate {
    per_s: 40,
    burst: 200,
};

/// The log of requests.
pub struct Journal {
    logger: Logger,
    budget: RefCell<Budget>,
}

impl Journal {
    /// A journal that writes to the given log.
    pub fn new(logger: Logger) -> Self {
        Self {
            logger,
            budget: RefCell::new(Budget::new(ROUTINE, FAILURE)),
        }
    }

    /// The log itself, for what is no request.
    pub fn logger(&self) -> &Logger {
        &self.logger
    }

    /// Tells that memory is short for what has no line of its own.
    pub(crate) fn short(&self, short: &Short, now: Instant) {
        if let Some(omitted) = self.admit(Class::Failure, now) {
            warn!(self.logger, "relay: {}", short; "omitted" => omitted);
        }
    }

    fn admit(&self, class: Class, now: Instant) -> Option<u64> {
        let now = Duration::from_nanos(now.as_nanos());
        self.budget.borrow_mut().admit(class, now)
    }
}

/// How a request ended.
#[derive(Clone, Debug)]
pub enum End {
    /// The caller got an instance's answer.
    Answered(u16),
    /// The caller got the relay's own answer.
    Failed(u16, String),
    /// The answer broke off.
    Broken(String),
}

/// What is told of one request. It is written when it is dropped; a request that has no end by
/// then was given up by its caller.
pub struct Trace {
    site: Rc<Site>,
    begun_at: Instant,
    /// The caller's id of the request.
    pub id: Option<Rc<str>>,
    /// The route that it took.
    pub route: Option<name::Route>,
    /// Whose key it carried.
    pub customer: Option<name::Customer>,
    /// Its priority, where the service is shared by priority.
    pub priority: Option<Priority>,
    /// The routing version and the age of the state by which it was decided, in milliseconds.
    pub basis: Option<(u64, u64)>,
    /// How long the caller had waited already when it asked: after a refusal it comes back.
    pub waited: Duration,
    /// The parts of the prompt, or what names the content of a request without one.
    pub parts: Arc<[name::Part]>,
    /// Each instance that was tried, with what came of it.
    pub steps: Vec<String>,
    /// When the first byte of the answer came.
    pub first_at: Option<Instant>,
    /// The memory of the request.
    pub(crate) memory: Option<Grant>,
    end: Option<End>,
}

impl Trace {
    /// A request that has just been read.
    pub fn new(site: Rc<Site>, id: Option<Rc<str>>) -> Self {
        let begun_at = site.now();
        Self {
            site,
            begun_at,
            id,
            route: None,
            customer: None,
            priority: None,
            basis: None,
            waited: Duration::ZERO,
            parts: Arc::default(),
            steps: Vec::new(),
            first_at: None,
            memory: None,
            end: None,
        }
    }

    /// Notes what came of an attempt.
    pub fn step(&mut self, instance: &name::Instance, what: impl std::fmt::Display) {
        let at = self.site.now().since(self.begun_at).as_millis();
        self.steps.push(format!("{instance} at {at} ms: {what}"));
    }

    /// Notes how it ended.
    pub fn end(&mut self, end: End) {
        self.end = Some(end);
    }

    fn write(&self, class: Class, outcome: &str, status: Option<u16>) {
        let now = self.site.now();
        let Some(omitted) = self.site.journal.admit(class, now) else {
            return;
        };
        let first_ms = self
            .first_at
            .map(|at| at.since(self.begun_at).as_millis() as u64);
        let took_ms = now.since(self.begun_at).as_millis() as u64;
        let (routing, age_ms) = self.basis.unzip();
        let values = slog::o!(
            "id" => self.id.as_deref().map(str::to_owned),
            "route" => self.route.as_ref().map(ToString::to_string),
            "customer" => self.customer.as_ref().map(ToString::to_string),
            "priority" => self.priority.map(|priority| priority.to_string()),
            "routing" => routing, "age_ms" => age_ms,
            "waited_ms" => self.waited.as_millis() as u64,
            "parts" => join(&self.parts),
            "steps" => self.steps.join("; "),
            "first_ms" => first_ms, "took_ms" => took_ms,
            "status" => status, "omitted" => omitted,
        );
        let logger = self.site.journal.logger.new(values);
        match class {
            Class::Routine => info!(logger, "request: {}", outcome),
            Class::Failure => warn!(logger, "request: {}", outcome),
        }
    }
}

/// Parts of a prompt as one word.
pub(crate) fn join(parts: &[name::Part]) -> String {
    let parts: Vec<_> = parts.iter().map(name::Part::as_str).collect();
    parts.join(",")
}

impl Drop for Trace {
    fn drop(&mut self) {
        let took = self.site.now().since(self.begun_at);
        let first = self.first_at.map(|at| at.since(self.begun_at));
        let (label, class, outcome, status) = match &self.end {
            Some(End::Answered(status)) if *status < 500 => (
                "answered",
                Class::Routine,
                "answered".to_owned(),
                Some(*status),
            ),
            Some(End::Answered(status)) => (
                "upstream-failed",
                Class::Failure,
                "answered with the instance's failure".to_owned(),
                Some(*status),
            ),
            Some(End::Failed(status, reason)) => {
                ("failed", Class::Failure, reason.clone(), Some(*status))
            }
            Some(End::Broken(reason)) => (
                "broken",
                Class::Failure,
                format!("broke off: {reason}"),
                None,
            ),
            None if self.site.has_ended() => (
                "failed",
                Class::Failure,
                "unanswered when the entry ended".to_owned(),
                Some(504),
            ),
            None => ("left", Class::Routine, "the caller left".to_owned(), None),
        };
        self.site.meters.ended(
            self.route.as_ref(),
            self.customer.as_ref(),
            label,
            first,
            took,
        );
        self.write(class, &outcome, status);
    }
}
