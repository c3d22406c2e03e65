//! A token bucket for rate limits.

use std::time::Duration;

use domain::clock::Instant;

/// The number of millitokens in a token. Levels are in millitokens so that low rates don't suffer
/// from rounding.
const MILLI: u64 = 1_000;

/// A bucket that is filled with tokens at a constant rate up to its size.
#[derive(Clone, Copy, Debug)]
pub struct Bucket {
    /// The fill rate, in millitokens per second.
    rate: u64,
    /// The maximum level, in millitokens.
    size: u64,
    /// The current level, in millitokens.
    level: u64,
    filled_at: Instant,
}

impl Bucket {
    /// Creates a bucket for `size` tokens. It starts with one token, or empty if `size` is zero.
    pub fn new(millitokens_per_s: u64, size: u64, now: Instant) -> Self {
        Self {
            rate: millitokens_per_s,
            size: size * MILLI,
            level: MILLI.min(size * MILLI),
            filled_at: now,
        }
    }

    /// Changes how much the bucket holds, in millitokens.
    pub fn set_size(&mut self, millitokens: u64) {
        self.size = millitokens;
        self.level = self.level.min(millitokens);
    }

    /// Lets the bucket hold its first token only after so long.
    #[must_use]
    pub fn with_first_after(mut self, wait: Duration) -> Self {
        let wait_us = u64::try_from(wait.as_micros()).unwrap_or(u64::MAX);
        self.level = MILLI.saturating_sub(wait_us.saturating_mul(self.rate) / 1_000_000);
        self
    }

    /// The time until a token is available, or `None` if there never is one.
    pub fn wait(&mut self, now: Instant) -> Option<Duration> {
        self.fill(now);
        let missing = MILLI.saturating_sub(self.level);
        match missing {
            0 => Some(Duration::ZERO),
            _ if self.rate == 0 || self.size < MILLI => None,
            _ => Some(Duration::from_micros(
                missing.saturating_mul(1_000_000).div_ceil(self.rate),
            )),
        }
    }

    /// Changes the fill rate from `now` on.
    pub fn set_rate(&mut self, millitokens_per_s: u64, now: Instant) {
        self.fill(now);
        self.filled_at = now;
        self.rate = millitokens_per_s;
    }

    /// Whether a token is available.
    pub fn has(&mut self, now: Instant) -> bool {
        self.fill(now);
        self.level >= MILLI
    }

    /// Takes a token. Returns `false` if none is available.
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
            // The unused rest of the time counts towards the next millitoken.
            let used_us = gained.saturating_mul(1_000_000).div_ceil(self.rate.max(1));
            self.filled_at = self.filled_at + Duration::from_micros(used_us.min(elapsed_us));
        }
    }
}
