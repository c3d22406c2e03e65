//! The upload budget: how much of a version an agent sends before peers should ask other holders.

use std::{collections::HashMap, time::Duration};

use domain::digest::Digest;

/// The backlog of the uplink beyond which requests are answered with [`Answer::Busy`].
const MAX_BACKLOG: Duration = Duration::from_millis(250);
/// The retry pause given to a peer when the budget is used up.
const BUDGET_RETRY: Duration = Duration::from_millis(500);

/// The answer to a request for a chunk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// Send the chunk. Its bytes are counted as sent.
    Send,
    /// Retry after this time, or ask another holder.
    Busy(Duration),
}

/// The bytes sent of one version and the budget for it.
#[derive(Clone, Copy, Debug)]
struct Usage {
    sent: u64,
    budget: u64,
}

/// The upload budgets of all versions.
#[derive(Clone, Debug)]
pub struct Budget {
    budget_percent: u64,
    versions: HashMap<Digest, Usage>,
}

impl Budget {
    /// A budget of `budget_percent` hundredths of the size of each version. Peers that have no
    /// other holder to ask are served beyond it.
    pub fn new(budget_percent: u32) -> Self {
        Self {
            budget_percent: budget_percent.into(),
            versions: HashMap::new(),
        }
    }

    /// Starts counting the uploads of a version.
    pub fn open(&mut self, manifest: Digest, total_bytes: u64) {
        let budget = total_bytes.saturating_mul(self.budget_percent) / 100;
        self.versions
            .entry(manifest)
            .or_insert(Usage { sent: 0, budget });
    }

    /// Removes a version.
    pub fn close(&mut self, manifest: &Digest) {
        self.versions.remove(manifest);
    }

    /// The bytes sent of a version.
    pub fn sent(&self, manifest: &Digest) -> u64 {
        self.versions.get(manifest).map_or(0, |usage| usage.sent)
    }

    /// Decides whether to send a chunk. With `is_spare_only` it is sent only within the budget.
    /// `backlog` is the time that queued uploads take on the link, `span` the time that the chunk
    /// itself takes.
    pub fn request(
        &mut self,
        manifest: &Digest,
        bytes: u64,
        is_spare_only: bool,
        backlog: Duration,
        span: Duration,
    ) -> Answer {
        if backlog > MAX_BACKLOG.max(span * 2) {
            return Answer::Busy(backlog / 2);
        }
        let Some(usage) = self.versions.get_mut(manifest) else {
            return Answer::Send;
        };
        if is_spare_only && usage.sent + bytes > usage.budget {
            return Answer::Busy(BUDGET_RETRY);
        }
        usage.sent += bytes;
        Answer::Send
    }
}
