//! How long callers have waited before they ask, told by the time that they have left.
//!
//! A caller that comes back after a refusal has less time left than it had at first. What callers
//! of a route have at first is not told, so the longest of late stands for it. This answers loads
//! above the capacity, where half of what comes are callers that come back.

use std::time::Duration;

use domain::clock::Instant;

/// For how long a longest time counts at least, and at most twice as long: longer than a caller
/// takes to come back, and short beside a change of the callers.
const WINDOW: Duration = Duration::from_secs(10);

/// The times that callers of one route have left.
#[derive(Clone, Copy, Debug)]
pub struct Estimator {
    longest: Duration,
    /// The longest of the window before.
    earlier: Duration,
    since: Instant,
}

impl Estimator {
    /// Nothing is known yet.
    pub fn new(now: Instant) -> Self {
        Self {
            longest: Duration::ZERO,
            earlier: Duration::ZERO,
            since: now,
        }
    }

    /// Takes note of a caller that has `left`, and says how long it has waited already.
    pub fn observe(&mut self, left: Duration, now: Instant) -> Duration {
        let windows = now.since(self.since).as_millis() / WINDOW.as_millis();
        match windows {
            0 => {}
            1 => (self.earlier, self.longest) = (self.longest, Duration::ZERO),
            _ => (self.earlier, self.longest) = (Duration::ZERO, Duration::ZERO),
        }
        if windows > 0 {
            self.since = now;
        }
        self.longest = self.longest.max(left);
        self.longest.max(self.earlier).saturating_sub(left)
    }

    /// Whether nobody asked for so long that nothing counts any more.
    pub fn is_idle(&self, now: Instant) -> bool {
        now.since(self.since) > WINDOW * 2
    }
}
