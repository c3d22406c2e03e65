//! Instruments of control. See `docs/OPERATIONS.md`, "Metrics".

use std::time::Duration;

use opentelemetry::{
    KeyValue,
    metrics::{Counter, Gauge, Histogram, Meter},
};
use telemetry::metrics::LATENCY_SECONDS;

/// The instruments.
pub struct Metrics {
    submit_seconds: Histogram<f64>,
    submit_failures: Counter<u64>,
    polls: Counter<u64>,
    deltas: Counter<u64>,
    revision: Gauge<u64>,
    age_seconds: Gauge<f64>,
    vms: Gauge<u64>,
    ledger_entries: Gauge<u64>,
    ledger_started: Gauge<u64>,
    quarantined: Gauge<u64>,
}

/// What the gauges show.
#[derive(Clone, Copy, Debug)]
pub struct Reading {
    /// The revision in force.
    pub revision: u64,
    /// The age of the replicated state, if it is known.
    pub age: Option<Duration>,
    /// How many VMs are known.
    pub vms: usize,
    /// How many calls the ledger holds.
    pub ledger_entries: usize,
    /// How many of those have started and not ended.
    pub ledger_started: usize,
    /// How many parts of prompts are in quarantine.
    pub quarantined: usize,
}

impl Metrics {
    /// Makes the instruments.
    pub fn new(meter: &Meter) -> Self {
        Self {
            submit_seconds: meter
                .f64_histogram("gypsum_control_submit_seconds")
                .with_description("Time from a command to its committed reply, by class")
                .with_boundaries(LATENCY_SECONDS.to_vec())
                .build(),
            submit_failures: meter
                .u64_counter("gypsum_control_submit_failures")
                .with_description("Commands that got no reply, by class")
                .build(),
            polls: meter
                .u64_counter("gypsum_control_polls")
                .with_description("Feed answers, by kind: delta, snapshot, idle, refused")
                .build(),
            deltas: meter
                .u64_counter("gypsum_control_deltas")
                .with_description("Records sent to subscribers")
                .build(),
            revision: meter
                .u64_gauge("gypsum_control_revision")
                .with_description("The revision in force here")
                .build(),
            age_seconds: meter
                .f64_gauge("gypsum_control_age_seconds")
                .with_description("How long ago, at most, a quorum confirmed the state; -1: never")
                .build(),
            vms: meter
                .u64_gauge("gypsum_control_vms")
                .with_description("VMs known here")
                .build(),
            ledger_entries: meter
                .u64_gauge("gypsum_control_ledger_entries")
                .with_description("Calls that the ledger holds")
                .build(),
            quarantined: meter
                .u64_gauge("gypsum_control_quarantined")
                .with_description("Parts of prompts that are refused, as they crash instances")
                .build(),
            ledger_started: meter
                .u64_gauge("gypsum_control_ledger_started")
                .with_description("Calls that have started and not ended")
                .build(),
        }
    }

    /// Records how long a command took.
    pub fn submitted(&self, class: &'static str, took: Duration, is_ok: bool) {
        let labels = [KeyValue::new("class", class)];
        match is_ok {
            true => self.submit_seconds.record(took.as_secs_f64(), &labels),
            false => self.submit_failures.add(1, &labels),
        }
    }

    /// Counts an answer of the feed.
    pub fn polled(&self, kind: &'static str, deltas: usize) {
        self.polls.add(1, &[KeyValue::new("kind", kind)]);
        self.deltas.add(deltas as u64, &[]);
    }

    /// Shows how the replica stands.
    pub fn show(&self, reading: Reading) {
        self.revision.record(reading.revision, &[]);
        let age = reading.age.map_or(-1.0, |age| age.as_secs_f64());
        self.age_seconds.record(age, &[]);
        self.vms.record(reading.vms as u64, &[]);
        self.ledger_entries
            .record(reading.ledger_entries as u64, &[]);
        self.ledger_started
            .record(reading.ledger_started as u64, &[]);
        self.quarantined.record(reading.quarantined as u64, &[]);
    }
}
