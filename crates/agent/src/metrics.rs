//! The agent's metrics. See `docs/OPERATIONS.md`, "Metrics".

use std::{sync::Arc, time::Duration};

use opentelemetry::{
    KeyValue,
    metrics::{Counter, Gauge, Histogram, Meter},
};
use telemetry::{labels::Labels, metrics::LATENCY_SECONDS};

/// The agent's instruments. Customers are labels of bounded number.
#[derive(Clone)]
pub struct Metrics {
    customers: Arc<Labels>,
    calls: Counter<u64>,
    signs: Counter<u64>,
    orders: Counter<u64>,
    ledger: Histogram<f64>,
    queue: Histogram<f64>,
    first_token: Histogram<f64>,
    duration: Histogram<f64>,
    limit: Gauge<u64>,
}

impl Metrics {
    /// Makes the instruments.
    pub fn new(meter: &Meter) -> Self {
        let histogram = |name: &'static str, text: &'static str| {
            meter
                .f64_histogram(name)
                .with_description(text)
                .with_unit("s")
                .with_boundaries(LATENCY_SECONDS.to_vec())
                .build()
        };
        Self {
            customers: Arc::new(Labels::new()),
            calls: meter
                .u64_counter("agent_calls")
                .with_description("Calls by customer and result")
                .build(),
            signs: meter
                .u64_counter("agent_cold_signs")
                .with_description("Signs of a cold upstream, by kind")
                .build(),
            orders: meter
                .u64_counter("agent_orders")
                .with_description("Orders to the engine, by kind and result")
                .build(),
            ledger: histogram("agent_ledger", "Writes to the ledger, by kind"),
            queue: histogram("agent_queue", "Time in the queue, by customer"),
            first_token: histogram("agent_first_token", "Time to the first token, by customer"),
            duration: histogram("agent_call", "Time at the upstream, by customer"),
            limit: meter
                .u64_gauge("agent_limit")
                .with_description("Calls that the upstream bears at once")
                .build(),
        }
    }

    /// A call ended.
    pub fn call(&self, customer: &str, result: impl Into<String>) {
        let result = KeyValue::new("result", result.into());
        self.calls.add(1, &[self.customer(customer), result]);
    }

    /// A call got its turn after waiting.
    pub fn queued(&self, customer: &str, waited: Duration) {
        let labels = [self.customer(customer)];
        self.queue.record(waited.as_secs_f64(), &labels);
    }

    /// A first token came.
    pub fn first_token(&self, customer: &str, waited: Duration) {
        let labels = [self.customer(customer)];
        self.first_token.record(waited.as_secs_f64(), &labels);
    }

    /// A call took so long at the upstream.
    pub fn duration(&self, customer: &str, took: Duration) {
        let labels = [self.customer(customer)];
        self.duration.record(took.as_secs_f64(), &labels);
    }

    /// The upstream showed that it is cold.
    pub fn sign(&self, sign: impl Into<String>) {
        self.signs.add(1, &[KeyValue::new("sign", sign.into())]);
    }

    /// An order ended.
    pub fn order(&self, kind: &'static str, result: &'static str) {
        let labels = [KeyValue::new("kind", kind), KeyValue::new("result", result)];
        self.orders.add(1, &labels);
    }

    /// The ledger answered.
    pub fn ledger(&self, kind: &'static str, took: Duration) {
        let labels = [KeyValue::new("kind", kind)];
        self.ledger.record(took.as_secs_f64(), &labels);
    }

    /// The limit changed.
    pub fn limit(&self, limit: u32) {
        self.limit.record(limit.into(), &[]);
    }

    fn customer(&self, customer: &str) -> KeyValue {
        KeyValue::new("customer", self.customers.label(customer))
    }
}
