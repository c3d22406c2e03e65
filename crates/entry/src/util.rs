//! Little helpers.

use std::time::Duration;

use domain::call::Attempt;

/// A span in whole milliseconds.
pub fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

/// A fresh attempt. Attempts come from the thread's generator, which is seeded by the system.
pub fn fresh_attempt() -> Attempt {
    Attempt::from(rand::random::<u128>())
}
