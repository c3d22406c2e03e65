//! Pacing of weight transfers on a link that is shared with live calls.

use std::time::Duration;

use domain::clock::Instant;

/// How far transfers may run ahead of the rate, so that small messages don't wait.
const BURST: Duration = Duration::from_millis(20);
/// Minimum percentage of the link's rate for weights however slow live calls become, so that a
/// rollout never stops completely.
const MIN_PERCENT: u32 = 10;
/// Latency of live calls, as a percentage of its usual value, up to which the rate isn't reduced.
const MAX_LATENCY_PERCENT: u32 = 110;

/// Paces transfers in one direction of one link.
///
/// Weights may use the link's rate minus the reserve for live calls, and less than that while live
/// calls take longer than usual.
#[derive(Clone, Debug)]
pub struct Pacer {
    bytes_per_s: u64,
    live_percent: u32,
    sharers: u32,
    /// Factor applied to the rate, below 1 while live calls are slow.
    rate_factor: f64,
    /// When all reserved bytes have been sent.
    free_at: Instant,
}

impl Pacer {
    /// Creates a pacer for a link of `bytes_per_s`, of which `live_percent` is reserved for live
    /// calls.
    pub fn new(bytes_per_s: u64, live_percent: u32) -> Self {
        Self {
            bytes_per_s: bytes_per_s.max(1),
            live_percent: live_percent.min(100 - MIN_PERCENT),
            sharers: 1,
            rate_factor: 1.0,
            free_at: Instant::ZERO,
        }
    }

    /// Sets how many agents use the link at once. Each gets an equal share.
    pub fn set_sharers(&mut self, sharers: usize) {
        self.sharers = u32::try_from(sharers).unwrap_or(u32::MAX).max(1);
    }

    /// Sets the current latency of live calls, as a percentage of their usual latency.
    pub fn set_live_latency(&mut self, percent: u32) {
        self.rate_factor = match percent {
            0..=MAX_LATENCY_PERCENT => 1.0,
            _ => f64::from(MAX_LATENCY_PERCENT) / f64::from(percent),
        };
    }

    /// The rate that weights may use now, in bytes per second.
    pub fn bytes_per_s(&self) -> f64 {
        let free = f64::from(100 - self.live_percent) / 100.0;
        let part = (free * self.rate_factor).max(f64::from(MIN_PERCENT) / 100.0);
        self.bytes_per_s as f64 * part / f64::from(self.sharers)
    }

    /// How long the transfer of `bytes` takes at the current rate.
    pub fn transfer_time(&self, bytes: u64) -> Duration {
        Duration::from_secs_f64(bytes as f64 / self.bytes_per_s())
    }

    /// How long it takes until all reserved bytes have been sent.
    pub fn backlog(&self, now: Instant) -> Duration {
        self.free_at.since(now)
    }

    /// Reserves the link for `bytes` and returns how long to wait until they have been sent.
    pub fn reserve(&mut self, bytes: u64, now: Instant) -> Duration {
        let start = self.free_at.max(now - BURST);
        self.free_at = start + self.transfer_time(bytes);
        self.free_at.since(now)
    }

    /// Releases a reservation of bytes that were never sent.
    pub fn refund(&mut self, bytes: u64) {
        self.free_at = self.free_at - self.transfer_time(bytes);
    }
}
