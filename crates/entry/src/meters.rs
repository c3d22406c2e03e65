//! Metrics of calls, per customer and class.

use std::time::{Duration, Instant};

use domain::{call::Outcome, name};
use opentelemetry::{
    KeyValue,
    metrics::{Counter, Histogram, Meter},
};
use telemetry::{labels::Labels, metrics::LATENCY_SECONDS};

/// The kinds of calls that are told apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
#[display(rename_all = "kebab-case")]
pub enum Class {
    /// A completion as events.
    Stream,
    /// A completion in one piece.
    Chat,
    /// A repeatable call of a plain service.
    Service,
    /// A call that may not be repeated.
    Once,
}

/// Answers that belong to something else, by what gave them away.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
#[display(rename_all = "kebab-case")]
pub enum Drop {
    /// The attempt's id was another one or missing.
    Attempt,
    /// The version was another one.
    Version,
    /// Tokens were missing in between.
    Gap,
    /// It ended before it was whole.
    Truncated,
}

/// The instruments.
pub struct Meters {
    customers: Labels,
    latency: Histogram<f64>,
    first_token: Histogram<f64>,
    calls: Counter<u64>,
    attempts: Counter<u64>,
    retries: Counter<u64>,
    dropped: Counter<u64>,
}

impl Meters {
    /// Makes the instruments.
    pub fn new(meter: &Meter) -> Self {
        let histogram = |name: &'static str| {
            let bounds = LATENCY_SECONDS.to_vec();
            meter
                .f64_histogram(name)
                .with_unit("s")
                .with_boundaries(bounds)
                .build()
        };
        let counter = |name: &'static str| meter.u64_counter(name).build();
        Self {
            customers: Labels::new(),
            latency: histogram("entry_call_duration"),
            first_token: histogram("entry_first_token_duration"),
            calls: counter("entry_calls"),
            attempts: counter("entry_attempts"),
            retries: counter("entry_retries"),
            dropped: counter("entry_dropped_answers"),
        }
    }

    /// Counts an attempt.
    pub fn attempt(&self, class: Class) {
        self.attempts
            .add(1, &[KeyValue::new("class", class.to_string())]);
    }

    /// Counts a retry.
    pub fn retry(&self, class: Class) {
        self.retries
            .add(1, &[KeyValue::new("class", class.to_string())]);
    }

    /// Counts an answer that was dropped.
    pub fn dropped(&self, cause: Drop) {
        self.dropped
            .add(1, &[KeyValue::new("cause", cause.to_string())]);
    }

    /// The labels of a call.
    pub fn labels(&self, customer: &name::Customer, class: Class) -> [KeyValue; 2] {
        let customer = self.customers.label(customer.as_str());
        [
            KeyValue::new("customer", customer),
            KeyValue::new("class", class.to_string()),
        ]
    }

    fn first_token(&self, labels: &[KeyValue], after: Duration) {
        self.first_token.record(after.as_secs_f64(), labels);
    }

    fn call(&self, labels: &[KeyValue], end: End, after: Duration) {
        self.latency.record(after.as_secs_f64(), labels);
        let mut labels = labels.to_vec();
        labels.push(KeyValue::new("end", end.to_string()));
        self.calls.add(1, &labels);
    }
}

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
#[display(rename_all = "kebab-case")]
pub enum End {
    /// The caller got a whole answer.
    Whole,
    /// Refused or failed, and proved not run.
    NotRun,
    /// Failed after an upstream ran it.
    Ran,
    /// Failed, and it can't be told whether it ran.
    Unknown,
    /// The caller went away.
    Vanished,
}

impl From<Outcome> for End {
    fn from(outcome: Outcome) -> Self {
        match outcome {
            Outcome::NotRun => Self::NotRun,
            Outcome::Ran => Self::Ran,
            Outcome::Unknown => Self::Unknown,
        }
    }
}

/// Records one call when it is dropped.
pub struct Timer {
    meters: std::sync::Arc<Meters>,
    labels: [KeyValue; 2],
    begin: Instant,
    end: End,
}

impl Timer {
    /// Starts the time of a call. Unless told otherwise, its caller went away.
    pub fn new(meters: std::sync::Arc<Meters>, customer: &name::Customer, class: Class) -> Self {
        Self {
            labels: meters.labels(customer, class),
            meters,
            begin: Instant::now(),
            end: End::Vanished,
        }
    }

    /// Records the time to the first token.
    pub fn first_token(&self) {
        self.meters.first_token(&self.labels, self.begin.elapsed());
    }

    /// Says how the call ended.
    pub fn set_end(&mut self, end: impl Into<End>) {
        self.end = end.into();
    }
}

impl std::ops::Drop for Timer {
    fn drop(&mut self) {
        self.meters
            .call(&self.labels, self.end, self.begin.elapsed());
    }
}
