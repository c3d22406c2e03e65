//! The upload budget: how much of a version an agent sends before it leaves the rest to others.

use std::{collections::HashMap, time::Duration};

use domain::digest::Digest;

/// The backlog of the link beyond which a peer is sent to another holder.
const MAX_BACKLOG: Duration = Duration::from_millis(250);
/// The pause asked of a peer when the budget is used up.
const BUDGET_RETRY: Duration = Duration::from_millis(500);

/// The answer to a request for a chunk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// Send it; the bytes are booked.
    Send,
    /// Ask again after this time, or ask another holder.
    Busy(Duration),
}

#[derive(Clone, Copy, Debug)]
struct Usage {
    sent: u64,
    budget: u64,
}

/// What was sent of each version.
#[derive(Clone, Debug)]
pub struct Budget {
    budget_percent: u64,
    versions: HashMap<Digest, Usage>,
}

impl Budget {
    /// A ledger that spares `budget_percent` hundredths of each version for peers that have
    /// another holder to ask.
    pub fn new(budget_percent: u32) -> Self {
        Self {
            budget_percent: budget_percent.into(),
            versions: HashMap::new(),
        }
    }

    /// Opens the usage of a version.
    pub fn open(&mut self, manifest: Digest, total_bytes: u64) {
        let budget = total_bytes.saturating_mul(self.budget_percent) / 100;
        self.versions
            .entry(manifest)
            .or_insert(Usage { sent: 0, budget });
    }

    /// Forgets a version.
    pub fn close(&mut self, manifest: &Digest) {
        self.versions.remove(manifest);
    }

    /// How much was sent of a version, in bytes.
    pub fn sent(&self, manifest: &Digest) -> u64 {
        self.versions.get(manifest).map_or(0, |usage| usage.sent)
    }

    /// Decides on a request. `backlog` is what already waits for the link, `span` the time that
    /// the chunk itself takes on it.
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
