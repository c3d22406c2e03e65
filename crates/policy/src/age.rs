//! The age of replicated state: an upper bound on the time since a quorum confirmed that it was
//! current.
//!
//! Each hop adds the time since *its request was sent*, so no synchronised clocks are needed.
//! See `docs/ARCHITECTURE.md`, "Feed".

use std::time::Duration;

use domain::clock::Instant;

/// An upper bound on the age of a state. The bound grows with time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bound {
    confirmed_at: Option<Instant>,
}

impl Bound {
    /// The bound of a state that was never confirmed.
    pub const UNKNOWN: Self = Self { confirmed_at: None };

    /// Creates the bound from a response with the given age to a request sent at `requested_at`.
    pub fn new(requested_at: Instant, age: Duration) -> Self {
        Self {
            confirmed_at: Some(requested_at - age),
        }
    }

    /// When a quorum confirmed the state, if one ever did.
    pub fn confirmed_at(&self) -> Option<Instant> {
        self.confirmed_at
    }

    /// Returns the age at `now`, or `None` if the state was never confirmed.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.confirmed_at.map(|at| now.since(at))
    }

    /// Whether the state may be acted on: its age is at most `max`.
    pub fn is_fresh(&self, now: Instant, max: Duration) -> bool {
        self.age(now).is_some_and(|age| age <= max)
    }

    /// Returns the tighter of the two bounds.
    #[must_use]
    pub fn tightest(self, other: Self) -> Self {
        Self {
            confirmed_at: self.confirmed_at.max(other.confirmed_at),
        }
    }
}
