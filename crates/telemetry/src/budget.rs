//! A bound on the log lines of a process, so that load can't turn into logging.
//!
//! Routine lines and lines about failures have budgets of their own: a flood of the first never
//! takes the place of the second. What is left out is counted, and the next line that is written
//! says how much it was.

use std::time::Duration;

/// What a line is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Class {
    /// What went as it should.
    Routine,
    /// What did not.
    Failure,
}

/// Lines in a second of one class, and how many may come at once.
#[derive(Clone, Copy, Debug)]
pub struct Rate {
    /// Lines in a second.
    pub per_s: u32,
    /// Lines at once.
    pub burst: u32,
}

#[derive(Clone, Copy, Debug)]
struct Meter {
    rate: Rate,
    /// Lines that may be written, in nanolines.
    level: u64,
    at: Duration,
    omitted: u64,
}

/// The budget of one process.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    routine: Meter,
    failure: Meter,
}

const NANO: u64 = 1_000_000_000;

impl Meter {
    fn new(rate: Rate) -> Self {
        Self {
            rate,
            level: u64::from(rate.burst) * NANO,
            at: Duration::ZERO,
            omitted: 0,
        }
    }

    fn admit(&mut self, now: Duration) -> Option<u64> {
        let elapsed = u64::try_from(now.saturating_sub(self.at).as_nanos()).unwrap_or(u64::MAX);
        let gained = elapsed.saturating_mul(self.rate.per_s.into());
        self.level = self
            .level
            .saturating_add(gained)
            .min(u64::from(self.rate.burst) * NANO);
        self.at = self.at.max(now);
        match self.level.checked_sub(NANO) {
            Some(level) => {
                self.level = level;
                Some(std::mem::take(&mut self.omitted))
            }
            None => {
                self.omitted += 1;
                None
            }
        }
    }
}

impl Budget {
    /// A budget with the given rates.
    pub fn new(routine: Rate, failure: Rate) -> Self {
        Self {
            routine: Meter::new(routine),
            failure: Meter::new(failure),
        }
    }

    /// Whether a line may be written at `now`, and then how many of its class were left out since
    /// the last one.
    pub fn admit(&mut self, class: Class, now: Duration) -> Option<u64> {
        match class {
            Class::Routine => self.routine.admit(now),
            Class::Failure => self.failure.admit(now),
        }
    }
}
