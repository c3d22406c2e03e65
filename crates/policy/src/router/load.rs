//! An entry's estimate of an upstream's load.

use std::time::Duration;

use domain::clock::Instant;

/// How long a report is used. The upstream may have restarted after an older one.
const REPORT_LIFETIME: Duration = Duration::from_secs(2);

/// The load that an agent reports with each answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// The number of running calls.
    pub running: u32,
    /// The number of waiting calls.
    pub queued: u32,
    /// The maximum number of concurrent calls.
    pub limit: u32,
}

impl Report {
    /// Whether the running and waiting calls reach the limit.
    pub fn is_full(&self) -> bool {
        self.running.saturating_add(self.queued) >= self.limit
    }

    /// Parses the form `running/queued/limit`. Returns `None` if the text has another form.
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

/// The last report, and the entry's own running calls at that time and now.
#[derive(Clone, Copy, Debug, Default)]
pub struct Load {
    report: Option<(Report, Instant)>,
    running_at_report: u32,
    running: u32,
}

impl Load {
    /// Counts a call that this entry sends.
    pub fn begin(&mut self) {
        self.running += 1;
    }

    /// Counts the end of a call of this entry.
    pub fn end(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// Records a report. Its figures include the call whose answer carried it.
    pub fn report(&mut self, report: Report, now: Instant) {
        self.report = Some((report, now));
        self.running_at_report = self.running;
    }

    /// Whether calls of this entry are running.
    pub fn is_running(&self) -> bool {
        self.running > 0
    }

    /// Returns the ratio of running and waiting calls to the upstream's limit. Without a recent
    /// report, `limit` is used and calls of other entries are not counted.
    pub fn ratio(&self, limit: u32, now: Instant) -> f64 {
        let report = self
            .report
            .filter(|(_, at)| now.since(*at) < REPORT_LIFETIME);
        let (others, limit) = match report {
            None => (0, limit),
            Some((report, _)) => {
                let all = report.running.saturating_add(report.queued);
                (all.saturating_sub(self.running_at_report), report.limit)
            }
        };
        f64::from(others.saturating_add(self.running)) / f64::from(limit.max(1))
    }
}
