//! Pacing: how fast weights may use a link that live calls use too.

use std::time::Duration;

use domain::clock::Instant;

/// How far ahead of its rate a link may be used, so that small messages don't wait.
const BURST: Duration = Duration::from_millis(20);
/// The least part of a link's rate that weights keep however slow live calls become, in
/// hundredths: a rollout never stops for good.
const MIN_PERCENT: u32 = 10;
/// The rise of live latency, in hundredths of its usual value, up to which the rate stays.
const CALM_PERCENT: u32 = 110;

/// One direction of one link.
///
/// Weights may use its rate less the reserve for live calls, and less than that while live calls
/// take longer than usual.
#[derive(Clone, Debug)]
pub struct Pacer {
    bytes_per_s: u64,
    live_percent: u32,
    sharers: u32,
    calm: f64,
    free_at: Instant,
}

impl Pacer {
    /// A pacer for a link of the given rate, of which `live_percent` hundredths are kept free.
    pub fn new(bytes_per_s: u64, live_percent: u32) -> Self {
        Self {
            bytes_per_s: bytes_per_s.max(1),
            live_percent: live_percent.min(100 - MIN_PERCENT),
            sharers: 1,
            calm: 1.0,
            free_at: Instant::ZERO,
        }
    }

    /// Sets how many agents use the link at once; each takes an equal part.
    pub fn set_sharers(&mut self, sharers: usize) {
        self.sharers = u32::try_from(sharers).unwrap_or(u32::MAX).max(1);
    }

    /// Sets how long live calls take now, in hundredths of what they usually take.
    pub fn set_live_latency(&mut self, percent: u32) {
        self.calm = match percent {
            0..=CALM_PERCENT => 1.0,
            _ => f64::from(CALM_PERCENT) / f64::from(percent),
        };
    }

    /// The rate that weights may use now, in bytes per second.
    pub fn bytes_per_s(&self) -> f64 {
        let free = f64::from(100 - self.live_percent) / 100.0;
        let part = (free * self.calm).max(f64::from(MIN_PERCENT) / 100.0);
        self.bytes_per_s as f64 * part / f64::from(self.sharers)
    }

    /// How long `bytes` bytes take on the link.
    pub fn transfer_time(&self, bytes: u64) -> Duration {
        Duration::from_secs_f64(bytes as f64 / self.bytes_per_s())
    }

    /// How long the next bytes would wait.
    pub fn backlog(&self, now: Instant) -> Duration {
        self.free_at.since(now)
    }

    /// Books `bytes` bytes and says how long to wait until they have passed.
    pub fn reserve(&mut self, bytes: u64, now: Instant) -> Duration {
        let start = self.free_at.max(now - BURST);
        self.free_at = start + self.transfer_time(bytes);
        self.free_at.since(now)
    }

    /// Gives back bytes that were booked and never sent.
    pub fn refund(&mut self, bytes: u64) {
        self.free_at = self.free_at - self.transfer_time(bytes);
    }
}
