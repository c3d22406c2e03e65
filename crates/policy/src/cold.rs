//! What all entries together may send to a cold instance, and what one of them may.
//!
//! Only a few entries use an instance while it is cold, see [`crate::quota`]. This handles instances
//! that start or come back while callers wait for them, up to a restart of everything.

use domain::routing::Warmup;

use crate::quota::Cap;

/// Percentage of a cold instance's sustainable rate that all places together may use. The rest is
/// headroom for requests that arrive in bursts.
const RATE_PERCENT: u64 = 80;
/// What each place may begin at once, in thousandths of a request.
const BURST_MILLIS: u64 = 1_000;
/// How many holders of places there may be for each place, in hundredths: lists of entries may
/// differ while one of them changes.
const DIFFERENCE_PERCENT: u64 = 150;

/// What may reach a cold instance within any second, from all entries together.
#[derive(Clone, Copy, Debug)]
pub struct Limit {
    /// A multiple of the sustainable rate, in hundredths.
    pub rate_percent: u32,
    /// Requests beyond that.
    pub margin: u32,
}

impl Default for Limit {
    /// The limit of the deployments that are known.
    fn default() -> Self {
        Self {
            rate_percent: 150,
            margin: 5,
        }
    }
}

impl Limit {
    /// The most requests within any second.
    pub fn per_second(self, warmup: Warmup) -> u64 {
        warmup
            .millicalls_per_s
            .saturating_mul(self.rate_percent.into())
            / 100
            / 1_000
            + u64::from(self.margin)
    }

    /// How many entries may use an instance while it is cold. Each may begin one request at once
    /// beside its rate.
    pub fn places(self, warmup: Warmup) -> u32 {
        let room = self.per_second(warmup) * 100 / DIFFERENCE_PERCENT;
        let bursts = room.saturating_sub(rate(warmup).div_ceil(1_000));
        u32::try_from(bursts).unwrap_or(u32::MAX).max(1)
    }

    /// What all entries together may send to an instance while it is cold.
    pub fn cap(self, warmup: Warmup) -> Cap {
        Cap {
            places: self.places(warmup),
            millicalls_per_s: rate(warmup),
            burst_millis: BURST_MILLIS,
            asks_per_s: 0,
            starts_full: true,
        }
    }
}

/// The rate that all places share, in thousandths of a request per second.
fn rate(warmup: Warmup) -> u64 {
    warmup.millicalls_per_s.saturating_mul(RATE_PERCENT) / 100
}
