//! Small helpers.

use std::time::Duration;

/// Whole milliseconds, rounded up, because ages must never be told too small.
pub fn as_millis_up(span: Duration) -> u64 {
    u64::try_from(span.as_nanos().div_ceil(1_000_000)).unwrap_or(u64::MAX)
}
