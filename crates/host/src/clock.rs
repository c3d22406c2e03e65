//! The clock of the daemons.

use std::time::{SystemTime, UNIX_EPOCH};

use domain::clock::{Clock, Instant};
use rustix::time::{ClockId, clock_gettime};

/// A clock that also counts while the VM is paused, so that state ages during a freeze.
#[derive(Clone, Copy, Debug, Default)]
pub struct Boot;

impl Clock for Boot {
    fn now(&self) -> Instant {
        let time = clock_gettime(ClockId::Boottime);
        let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
        let nanos = u64::try_from(time.tv_nsec).unwrap_or_default();
        Instant::from_nanos(seconds * 1_000_000_000 + nanos)
    }

    fn wall_ms(&self) -> u64 {
        let since = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
    }
}
