//! Estimates how long a caller has already waited, from the time left until its deadline.
//!
//! A caller that retries after a refusal has less time left than on its first attempt. Requests
//! don't carry the initial time, so the longest time left among recent requests of the route is
//! used in its place. This handles loads above the capacity, where half of the incoming requests
//! are retries.

use std::time::Duration;

use domain::clock::Instant;

/// Length of the window over which the maximum is taken. A maximum counts for one to two windows.
/// The window is longer than the retry delay of callers and short compared to changes in their
/// timeouts.
const WINDOW: Duration = Duration::from_secs(10);

/// The recent maximum of the time left for callers of one route.
#[derive(Clone, Copy, Debug)]
pub struct Estimator {
    /// The maximum of the current window.
    longest: Duration,
    /// The maximum of the previous window.
    previous: Duration,
    /// The start of the current window.
    since: Instant,
}

impl Estimator {
    /// Creates an estimator without any observations.
    pub fn new(now: Instant) -> Self {
        Self {
            longest: Duration::ZERO,
            previous: Duration::ZERO,
            since: now,
        }
    }

    /// Records a caller with `left` time until its deadline, and returns how long it has waited.
    pub fn observe(&mut self, left: Duration, now: Instant) -> Duration {
        let windows = now.since(self.since).as_millis() / WINDOW.as_millis();
        match windows {
            0 => {}
            1 => (self.previous, self.longest) = (self.longest, Duration::ZERO),
            _ => (self.previous, self.longest) = (Duration::ZERO, Duration::ZERO),
        }
        if windows > 0 {
            self.since = now;
        }
        self.longest = self.longest.max(left);
        self.longest.max(self.previous).saturating_sub(left)
    }

    /// Whether all observations are outdated.
    pub fn is_idle(&self, now: Instant) -> bool {
        now.since(self.since) > WINDOW * 2
    }
}
