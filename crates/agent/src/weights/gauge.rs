//! What was sent and received, for metrics, the status page and the bench.

use std::sync::atomic::{AtomicU64, Ordering};

use opentelemetry::{KeyValue, metrics::Counter};
use telemetry::metrics::Metrics;

/// The traffic of weights of one agent, in bytes and events since its start.
#[derive(Debug)]
pub struct Traffic {
    volume: Atomics,
    bytes: Counter<u64>,
    failures: Counter<u64>,
}

#[derive(Debug, Default)]
struct Atomics {
    local: AtomicU64,
    remote: AtomicU64,
    store: AtomicU64,
    origin: AtomicU64,
    sent: AtomicU64,
    refused: AtomicU64,
    control: AtomicU64,
    stored: AtomicU64,
}

/// The same figures at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Volume {
    /// From peers of the same region.
    pub local: u64,
    /// From peers of other regions.
    pub remote: u64,
    /// From the weight store.
    pub store: u64,
    /// From the origin.
    pub origin: u64,
    /// To peers.
    pub sent: u64,
    /// Chunks that were refused because they were not what was asked for.
    pub refused: u64,
    /// Answers about holdings.
    pub control: u64,
    /// Verified and written to the spool.
    pub stored: u64,
}

impl Volume {
    /// Everything received, in bytes.
    pub fn received(&self) -> u64 {
        self.local + self.remote + self.store + self.origin
    }
}

/// Where bytes came from or went.
#[derive(Clone, Copy, Debug)]
pub(super) enum Flow {
    Local,
    Remote,
    Store,
    Origin,
    Sent,
    Control,
    Stored,
}

impl Flow {
    fn label(self) -> &'static str {
        match self {
            Self::Local => "peer-local",
            Self::Remote => "peer-remote",
            Self::Store => "store",
            Self::Origin => "origin",
            Self::Sent => "sent",
            Self::Control => "holdings",
            Self::Stored => "stored",
        }
    }
}

impl Traffic {
    pub(super) fn new(metrics: &Metrics) -> Self {
        let meter = metrics.meter("weights");
        Self {
            volume: Atomics::default(),
            bytes: meter
                .u64_counter("gypsum_weights_bytes")
                .with_description("Bytes of weights by where they came from or went")
                .build(),
            failures: meter
                .u64_counter("gypsum_weights_failures")
                .with_description("Fetches that failed, by source and outcome")
                .build(),
        }
    }

    pub(super) fn add(&self, flow: Flow, bytes: u64) {
        let cell = match flow {
            Flow::Local => &self.volume.local,
            Flow::Remote => &self.volume.remote,
            Flow::Store => &self.volume.store,
            Flow::Origin => &self.volume.origin,
            Flow::Sent => &self.volume.sent,
            Flow::Control => &self.volume.control,
            Flow::Stored => &self.volume.stored,
        };
        cell.fetch_add(bytes, Ordering::Relaxed);
        self.bytes
            .add(bytes, &[KeyValue::new("flow", flow.label())]);
    }

    pub(super) fn fail(&self, source: &'static str, outcome: &'static str) {
        if outcome == "corrupt" {
            self.volume.refused.fetch_add(1, Ordering::Relaxed);
        }
        let labels = [
            KeyValue::new("source", source),
            KeyValue::new("outcome", outcome),
        ];
        self.failures.add(1, &labels);
    }

    /// The figures now.
    pub fn volume(&self) -> Volume {
        let read = |cell: &AtomicU64| cell.load(Ordering::Relaxed);
        Volume {
            local: read(&self.volume.local),
            remote: read(&self.volume.remote),
            store: read(&self.volume.store),
            origin: read(&self.volume.origin),
            sent: read(&self.volume.sent),
            refused: read(&self.volume.refused),
            control: read(&self.volume.control),
            stored: read(&self.volume.stored),
        }
    }
}
