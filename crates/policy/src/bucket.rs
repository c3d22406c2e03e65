//! A token bucket.

use std::time::Duration;

use domain::clock::Instant;

/// Thousandths of a token, so that slow rates lose nothing to rounding.
const MILLI: u64 = 1_000;

/// Tokens that come at a steady rate and gather up to a number.
#[derive(Clone, Copy, Debug)]
pub struct Bucket {
    /// Thousandths of a token in a second.
    rate: u64,
    /// The most that gathers, in thousandths of a token.
    size: u64,
    level: u64,
    filled_at: Instant,
}

impl Bucket {
    /// A bucket with one token that gets `millitokens_per_s` and holds `size` tokens.
    pub fn new(millitokens_per_s: u64, size: u64, now: Instant) -> Self {
        Self {
            rate: millitokens_per_s,
            size: size * MILLI,
            level: MILLI.min(size * MILLI),
            filled_at: now,
        }
    }

    /// Changes how many thousandths of a token come in a second from now on.
    pub fn set_rate(&mut self, millitokens_per_s: u64, now: Instant) {
        self.fill(now);
        self.rate = millitokens_per_s;
    }

    /// Whether there is a token.
    pub fn has(&mut self, now: Instant) -> bool {
        self.fill(now);
        self.level >= MILLI
    }

    /// Takes a token, and says whether there was one.
    pub fn take(&mut self, now: Instant) -> bool {
        let has = self.has(now);
        if has {
            self.level -= MILLI;
        }
        has
    }

    fn fill(&mut self, now: Instant) {
        let elapsed_us = u64::try_from(now.since(self.filled_at).as_micros()).unwrap_or(u64::MAX);
        let gained = elapsed_us.saturating_mul(self.rate) / 1_000_000;
        if gained > 0 {
            self.level = self.level.saturating_add(gained).min(self.size);
            // What is left of the time belongs to the next part of a token.
            let used_us = gained.saturating_mul(1_000_000).div_ceil(self.rate.max(1));
            self.filled_at = self.filled_at + Duration::from_micros(used_us.min(elapsed_us));
        }
    }
}
