//! An upstream's load as one entry estimates it.

use std::time::Duration;

use domain::clock::Instant;

/// A report older than this says nothing any more; the upstream may have restarted since.
const REPORT_LIFE: Duration = Duration::from_secs(2);

/// What an agent says of its load with each answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// Calls that run.
    pub running: u32,
    /// Calls that wait.
    pub queued: u32,
    /// Calls that it bears at once.
    pub limit: u32,
}

impl Report {
    /// Whether as many calls run and wait as it bears at once.
    pub fn is_full(&self) -> bool {
        self.running.saturating_add(self.queued) >= self.limit
    }

    /// Reads the `running/queued/limit` form, or nothing when the text has another shape.
    pub fn parse(text: &str) -> Option<Self> {
        let mut parts = text.split('/').map(|part| part.parse().ok());
        let report = Self {
            running: parts.next()??,
            queued: parts.next()??,
            limit: parts.next()??,
        };
        parts.next().is_none().then_some(report)
    }
}

/// The last report, and the entry's own calls then and now.
#[derive(Clone, Copy, Debug, Default)]
pub struct Load {
    report: Option<(Report, Instant)>,
    running_then: u32,
    running: u32,
}

impl Load {
    /// This entry sends a call.
    pub fn begin(&mut self) {
        self.running += 1;
    }

    /// A call of this entry ended.
    pub fn end(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// Takes a report, which still counts the call that it came with.
    pub fn report(&mut self, report: Report, now: Instant) {
        self.report = Some((report, now));
        self.running_then = self.running;
    }

    /// Whether calls of this entry run.
    pub fn is_running(&self) -> bool {
        self.running > 0
    }

    /// Calls that run or wait as a part of what the upstream bears. `limit` stands in for a
    /// report that is missing or old.
    pub fn ratio(&self, limit: u32, now: Instant) -> f64 {
        let report = self.report.filter(|(_, at)| now.since(*at) < REPORT_LIFE);
        let (others, limit) = match report {
            None => (0, limit),
            Some((report, _)) => {
                let all = report.running.saturating_add(report.queued);
                (all.saturating_sub(self.running_then), report.limit)
            }
        };
        f64::from(others.saturating_add(self.running)) / f64::from(limit.max(1))
    }
}
