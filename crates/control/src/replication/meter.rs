//! Metrics of the replicated log.

use opentelemetry::metrics::{Counter, Gauge, Histogram, Meter};
use telemetry::metrics::LATENCY_SECONDS;

/// The instruments.
pub(super) struct Instruments {
    pub(super) commit: Gauge<u64>,
    pub(super) term: Gauge<u64>,
    pub(super) is_leader: Gauge<u64>,
    pub(super) members: Gauge<u64>,
    pub(super) disk_full: Gauge<u64>,
    pub(super) write_seconds: Histogram<f64>,
    pub(super) submit_seconds: Histogram<f64>,
    pub(super) dropped: Counter<u64>,
    pub(super) snapshots: Counter<u64>,
}

impl Instruments {
    pub(super) fn new(meter: &Meter) -> Self {
        let seconds = |name: &'static str| {
            meter
                .f64_histogram(name)
                .with_boundaries(LATENCY_SECONDS.to_vec())
                .build()
        };
        Self {
            commit: meter.u64_gauge("gypsum_log_commit").build(),
            term: meter.u64_gauge("gypsum_log_term").build(),
            is_leader: meter.u64_gauge("gypsum_log_is_leader").build(),
            members: meter
                .u64_gauge("gypsum_log_members")
                .with_description("Voters and learners of the group")
                .build(),
            disk_full: meter
                .u64_gauge("gypsum_log_disk_full")
                .with_description("Whether writes wait for room on the disk")
                .build(),
            write_seconds: seconds("gypsum_log_write_seconds"),
            submit_seconds: seconds("gypsum_log_submit_seconds"),
            dropped: meter.u64_counter("gypsum_log_messages_dropped").build(),
            snapshots: meter.u64_counter("gypsum_log_snapshots").build(),
        }
    }
}
