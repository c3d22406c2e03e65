//! The age of state: how long ago, at most, a quorum confirmed that it was the newest.
//!
//! Each hop adds the time since *its question was sent*, so no synchronised clocks are needed.
//! See `docs/ARCHITECTURE.md`, "Feed".

use std::time::Duration;

use domain::clock::Instant;

/// An upper bound on the age of a state, which grows as time passes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bound {
    confirmed_at: Option<Instant>,
}

impl Bound {
    /// The bound of a state that nobody has confirmed yet.
    pub const UNKNOWN: Self = Self { confirmed_at: None };

    /// The bound after an answer with the given age to a question sent at `asked_at`.
    pub fn new(asked_at: Instant, age: Duration) -> Self {
        Self {
            confirmed_at: Some(asked_at - age),
        }
    }

    /// The age at `now`, or nothing if the state was never confirmed.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.confirmed_at.map(|at| now.since(at))
    }

    /// Whether the state may be acted on: its age is at most `max`.
    pub fn is_fresh(&self, now: Instant, max: Duration) -> bool {
        self.age(now).is_some_and(|age| age <= max)
    }

    /// The tighter of both bounds.
    #[must_use]
    pub fn tightest(self, other: Self) -> Self {
        Self {
            confirmed_at: self.confirmed_at.max(other.confirmed_at),
        }
    }
}
