//! Monotonic time. Decision code gets the current instant as an argument and never reads a clock.

use std::{
    ops::{Add, Sub},
    time::Duration,
};

use serde::{Deserialize, Serialize};

/// An instant of a monotonic clock that also advances while the VM is suspended, in nanoseconds
/// since the start of the clock.
///
/// Instants of different processes are not comparable.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Instant(u64);

impl Instant {
    /// The start of the clock.
    pub const ZERO: Self = Self(0);

    /// The instant `nanos` nanoseconds after the start of the clock.
    pub const fn from_nanos(nanos: u64) -> Self {
        Self(nanos)
    }

    /// The instant `millis` milliseconds after the start of the clock.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000_000)
    }

    /// Nanoseconds since the start of the clock.
    pub const fn as_nanos(self) -> u64 {
        self.0
    }

    /// The time elapsed since `earlier`, or zero if `earlier` is later than this instant.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_nanos(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Instant {
    type Output = Self;

    fn add(self, span: Duration) -> Self {
        let nanos = u64::try_from(span.as_nanos()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(nanos))
    }
}

impl Sub<Duration> for Instant {
    type Output = Self;

    fn sub(self, span: Duration) -> Self {
        let nanos = u64::try_from(span.as_nanos()).unwrap_or(u64::MAX);
        Self(self.0.saturating_sub(nanos))
    }
}

/// A source of time. Only the code that does I/O holds one; decision code gets its readings.
pub trait Clock: Send + Sync {
    /// The current instant.
    fn now(&self) -> Instant;
    /// The wall-clock time in milliseconds since the Unix epoch, for records that people read.
    fn wall_ms(&self) -> u64;
}
