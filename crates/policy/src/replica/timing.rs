//! The timeouts of a replica.

use std::time::Duration;

use rand::{Rng, RngExt};

/// The heartbeat interval and the election timeout, from which all timeouts are derived.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    heartbeat: Duration,
    election: Duration,
}

impl Timing {
    /// Creates the timeouts from the heartbeat interval and the minimum election timeout, which is
    /// raised to two heartbeat intervals if it is shorter.
    pub fn new(heartbeat: Duration, election: Duration) -> Self {
        Self {
            heartbeat,
            election: election.max(heartbeat * 2),
        }
    }

    /// The interval between two heartbeats of the leader.
    pub fn heartbeat(&self) -> Duration {
        self.heartbeat
    }

    /// The minimum election timeout: the shortest time without a leader after which a replica
    /// campaigns. It is also the time without answers of a quorum after which a leader steps down.
    pub fn election(&self) -> Duration {
        self.election
    }

    /// A random election timeout, so that two replicas seldom campaign at the same time.
    pub(super) fn random_election(&self, rng: &mut impl Rng) -> Duration {
        let nanos = u64::try_from(self.election.as_nanos()).unwrap_or(u64::MAX);
        self.election + Duration::from_nanos(rng.random_range(0..=nanos))
    }

    /// A random election timeout for a replica without contact to a leader since it started. It is
    /// shorter: if all replicas started together there is no leader to wait for, and a live leader
    /// is not deposed by a pre-vote.
    pub(super) fn random_initial_election(&self, rng: &mut impl Rng) -> Duration {
        rng.random_range(self.heartbeat * 2..=self.election)
    }

    /// How long the leader waits for the reply to a snapshot before it sends the snapshot again.
    pub(super) fn snapshot_retry(&self) -> Duration {
        self.election * 10
    }
}
