//! Instruments of the relay. See `docs/OPERATIONS.md`, "Metrics".

use std::time::Duration;

use domain::{load::Priority, name};
use opentelemetry::{
    KeyValue,
    metrics::{Counter, Gauge, Histogram, Meter},
};
use policy::memory::{Memory, Use};
use telemetry::{labels::Labels, metrics::LATENCY_SECONDS};

/// The instruments.
pub struct Meters {
    requests: Counter<u64>,
    first_seconds: Histogram<f64>,
    total_seconds: Histogram<f64>,
    attempts: Counter<u64>,
    notices: Counter<u64>,
    limited: Counter<u64>,
    limited_instances: Gauge<u64>,
    crashes: Counter<u64>,
    admitted: Counter<u64>,
    refused: Counter<u64>,
    waiting: Gauge<u64>,
    fraction: Gauge<f64>,
    correction: Gauge<f64>,
    spilled: Gauge<f64>,
    running: Gauge<u64>,
    age_seconds: Gauge<f64>,
    memory_bytes: Gauge<u64>,
    memory_refusals: Gauge<u64>,
    routes: Labels,
    customers: Labels,
}

impl Meters {
    /// Makes the instruments.
    pub fn new(meter: &Meter) -> Self {
        let seconds = |name: &'static str, description: &'static str| {
            meter
                .f64_histogram(name)
                .with_description(description)
                .with_boundaries(LATENCY_SECONDS.to_vec())
                .build()
        };
        Self {
            requests: meter
                .u64_counter("gypsum_relay_requests")
                .with_description("Requests that ended, by route, customer and outcome")
                .build(),
            first_seconds: seconds(
                "gypsum_relay_first_seconds",
                "Time to the first byte of an answer, by route",
            ),
            total_seconds: seconds(
                "gypsum_relay_seconds",
                "Time to the end of a request, by route and outcome",
            ),
            attempts: meter
                .u64_counter("gypsum_relay_attempts")
                .with_description("Attempts at instances, by service and outcome")
                .build(),
            notices: meter
                .u64_counter("gypsum_relay_notices")
                .with_description("What instances said of themselves, by service and kind")
                .build(),
            limited: meter
                .u64_counter("gypsum_relay_limited")
                .with_description("Requests sent to instances that name a limit, by service")
                .build(),
            limited_instances: meter
                .u64_gauge("gypsum_relay_limited_instances")
                .with_description("Instances that name a limit, as this entry heard")
                .build(),
            crashes: meter
                .u64_counter("gypsum_relay_crashes")
                .with_description("Instances that crashed under requests of this entry, by service")
                .build(),
            admitted: meter
                .u64_counter("gypsum_relay_admitted")
                .with_description("Requests sent to shared services, by service and priority")
                .build(),
            refused: meter
                .u64_counter("gypsum_relay_refused")
                .with_description("Requests refused by admission, by service, priority and reason")
                .build(),
            waiting: meter
                .u64_gauge("gypsum_relay_waiting")
                .with_description("Requests that wait for an engine, by service and priority")
                .build(),
            fraction: meter
                .f64_gauge("gypsum_relay_admitted_fraction")
                .with_description("The fraction of work that is admitted, by service and priority")
                .build(),
            correction: meter
                .f64_gauge("gypsum_relay_capacity_correction")
                .with_description("The factor by which the described capacity is corrected")
                .build(),
            spilled: meter
                .f64_gauge("gypsum_relay_spilled_share")
                .with_description("The part of a service's work that leaves the zone")
                .build(),
            running: meter
                .u64_gauge("gypsum_relay_running")
                .with_description("Requests that are running")
                .build(),
            age_seconds: meter
                .f64_gauge("gypsum_relay_state_age_seconds")
                .with_description("The age of the state; -1: never confirmed")
                .build(),
            memory_bytes: meter
                .u64_gauge("gypsum_relay_memory_bytes")
                .with_description("Bytes of the memory budget that are in use, by use")
                .build(),
            memory_refusals: meter
                .u64_gauge("gypsum_relay_memory_refusals")
                .with_description("How often memory was refused since the start, by use")
                .build(),
            routes: Labels::new(),
            customers: Labels::new(),
        }
    }

    /// Counts a request that ended.
    pub fn ended(
        &self,
        route: Option<&name::Route>,
        customer: Option<&name::Customer>,
        outcome: &'static str,
        first: Option<Duration>,
        took: Duration,
    ) {
        let route = KeyValue::new("route", self.routes.label(route.map_or("", |r| r.as_str())));
        let customer = customer.map_or("", |customer| customer.as_str());
        let customer = KeyValue::new("customer", self.customers.label(customer));
        let outcome = KeyValue::new("outcome", outcome);
        if let Some(first) = first {
            self.first_seconds
                .record(first.as_secs_f64(), std::slice::from_ref(&route));
        }
        self.total_seconds
            .record(took.as_secs_f64(), &[route.clone(), outcome.clone()]);
        self.requests.add(1, &[route, customer, outcome]);
    }

    /// Counts an attempt.
    pub fn attempted(&self, service: &name::Service, outcome: &'static str) {
        let service = KeyValue::new("service", service.to_string());
        self.attempts
            .add(1, &[service, KeyValue::new("outcome", outcome)]);
    }

    /// Counts an instance that says something new of itself.
    pub fn noticed(&self, service: &name::Service, kind: &'static str) {
        let service = KeyValue::new("service", service.to_string());
        self.notices.add(1, &[service, KeyValue::new("kind", kind)]);
    }

    /// Counts a request that is sent to an instance that names a limit.
    pub fn limited(&self, service: &name::Service) {
        let service = KeyValue::new("service", service.to_string());
        self.limited.add(1, &[service]);
    }

    /// Shows how many instances name a limit.
    pub fn show_limited(&self, instances: usize) {
        self.limited_instances.record(instances as u64, &[]);
    }

    /// Counts an instance that crashed.
    pub fn crashed(&self, service: &name::Service) {
        let service = KeyValue::new("service", service.to_string());
        self.crashes.add(1, &[service]);
    }

    /// Counts a request that admission by priority lets run.
    pub fn admitted(&self, service: &name::Service, priority: Priority) {
        self.admitted.add(1, &by_priority(service, priority));
    }

    /// Counts a request that admission by priority refuses.
    pub fn refused(&self, service: &name::Service, priority: Priority, reason: &'static str) {
        let [service, priority] = by_priority(service, priority);
        self.refused
            .add(1, &[service, priority, KeyValue::new("reason", reason)]);
    }

    /// Shows the admission of a priority.
    pub fn show_priority(
        &self,
        service: &name::Service,
        priority: Priority,
        fraction: f64,
        waiting: usize,
    ) {
        let labels = by_priority(service, priority);
        self.fraction.record(fraction, &labels);
        self.waiting.record(waiting as u64, &labels);
    }

    /// Shows the correction of a service's capacity, and the part of its work that leaves the zone.
    pub fn show_capacity(&self, service: &name::Service, correction: f64, spilled: f64) {
        let service = [KeyValue::new("service", service.to_string())];
        self.correction.record(correction, &service);
        self.spilled.record(spilled, &service);
    }

    /// Shows how the memory budget is used.
    pub fn show_memory(&self, memory: &Memory) {
        for wanted in Use::ALL {
            let label = [KeyValue::new("use", wanted.to_string())];
            let held = memory.held_for(wanted);
            self.memory_bytes.record(held as u64, &label);
            self.memory_refusals.record(memory.refused(wanted), &label);
        }
    }

    /// Shows how the relay stands.
    pub fn show(&self, running: u32, age: Option<Duration>) {
        self.running.record(running.into(), &[]);
        self.age_seconds
            .record(age.map_or(-1.0, |age| age.as_secs_f64()), &[]);
    }
}

fn by_priority(service: &name::Service, priority: Priority) -> [KeyValue; 2] {
    [
        KeyValue::new("service", service.to_string()),
        KeyValue::new("priority", priority.to_string()),
    ]
}
