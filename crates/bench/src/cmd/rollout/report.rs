//! The JSON object of one run.

use std::time::Duration;

use host::memory;
use serde::Serialize;

use super::{
    live::Calls,
    plan::{Plan, Strategy},
};
use crate::error::Error;

/// What one agent sent and received, in bytes.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Share {
    pub(super) region: usize,
    pub(super) received: u64,
    pub(super) remote: u64,
    pub(super) sent: u64,
    pub(super) control: u64,
}

/// What was seen in one run.
#[derive(Debug)]
pub(super) struct Figures {
    pub(super) elapsed: Duration,
    pub(super) origin_bytes: u64,
    pub(super) shares: Vec<Share>,
    pub(super) calls: Calls,
    pub(super) processor: Duration,
}

#[derive(Serialize)]
struct Line {
    strategy: Strategy,
    replicas: usize,
    bytes: u64,
    burst: u64,
    seconds: f64,
    bound_seconds: f64,
    origin_copies: f64,
    max_link_copies: f64,
    region_link_copies: f64,
    calls: u64,
    failed_calls: u64,
    p95_ratio: f64,
    chunk_bytes: u32,
    neighbours: usize,
    pipeline: usize,
    origin_bytes_per_s: u64,
    link_bytes_per_s: u64,
    region_bytes_per_s: u64,
    origin_percent: u32,
    restarts: usize,
    #[serde(skip_serializing_if = "Option::is_none")]
    slopes: Option<Slopes>,
}

#[derive(Serialize)]
struct Slopes {
    processor_ms_per_mb: f64,
    control_bytes_per_agent: f64,
    peak_memory_mb: f64,
}

/// The object as one line.
pub(super) fn line(plan: &Plan, figures: &Figures) -> Result<String, Error> {
    let bytes = plan.total_bytes() as f64;
    let copies = |value: u64| round(value as f64 / bytes);
    let most = figures
        .shares
        .iter()
        .map(|share| share.received + share.sent)
        .max()
        .unwrap_or_default();
    let line = Line {
        strategy: plan.strategy,
        replicas: plan.replicas,
        bytes: plan.bytes,
        burst: plan.burst,
        seconds: round(figures.elapsed.as_secs_f64()),
        bound_seconds: round(plan.bound_seconds()),
        origin_copies: copies(figures.origin_bytes),
        max_link_copies: copies(most),
        region_link_copies: round(region_link_copies(plan, figures)),
        calls: figures.calls.count,
        failed_calls: figures.calls.failed,
        p95_ratio: round(figures.calls.p95_ratio),
        chunk_bytes: plan.chunk_bytes,
        neighbours: plan.neighbours,
        pipeline: plan.pipeline,
        origin_bytes_per_s: plan.origin_rate,
        link_bytes_per_s: plan.link_rate,
        region_bytes_per_s: plan.region_rate,
        origin_percent: plan.origin_percent,
        restarts: plan.restarts,
        slopes: plan.has_slopes.then(|| slopes(figures)),
    };
    serde_json::to_string(&line).map_err(Error::step("write the figures"))
}

/// What came into the region with the most, for each of the links into it.
fn region_link_copies(plan: &Plan, figures: &Figures) -> f64 {
    let links = plan.regions.saturating_sub(1).max(1) as f64;
    let into = |region: usize| -> u64 {
        figures
            .shares
            .iter()
            .filter(|share| share.region == region)
            .map(|share| share.remote)
            .sum()
    };
    let most = (0..plan.regions).map(into).max().unwrap_or_default();
    most as f64 / links / plan.total_bytes() as f64
}

fn slopes(figures: &Figures) -> Slopes {
    let received: u64 = figures.shares.iter().map(|share| share.received).sum();
    let control: u64 = figures.shares.iter().map(|share| share.control).sum();
    let megabytes = received as f64 / 1e6;
    Slopes {
        processor_ms_per_mb: round(figures.processor.as_secs_f64() * 1e3 / megabytes.max(1e-9)),
        control_bytes_per_agent: round(control as f64 / figures.shares.len().max(1) as f64),
        peak_memory_mb: round(memory::peak().unwrap_or_default() as f64 / 1e6),
    }
}

fn round(value: f64) -> f64 {
    (value * 1e3).round() / 1e3
}
