//! Time limits of a replica.

use std::time::Duration;

use rand::{Rng, RngExt};

/// Time limits of a replica.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    heartbeat: Duration,
    election: Duration,
}

impl Timing {
    /// Limits from the time between two heartbeats and the shortest time without a leader after
    /// which a replica asks for votes.
    pub fn new(heartbeat: Duration, election: Duration) -> Self {
        Self {
            heartbeat,
            election: election.max(heartbeat * 2),
        }
    }

    /// The time between two heartbeats of the leader.
    pub fn heartbeat(&self) -> Duration {
        self.heartbeat
    }

    /// The shortest time without a leader after which a replica asks for votes, and the longest
    /// time that a leader goes on without the answers of a quorum.
    pub fn election(&self) -> Duration {
        self.election
    }

    /// A wait before asking for votes, drawn so that two replicas seldom ask at once.
    pub(super) fn random_election(&self, rng: &mut impl Rng) -> Duration {
        let nanos = u64::try_from(self.election.as_nanos()).unwrap_or(u64::MAX);
        self.election + Duration::from_nanos(rng.random_range(0..=nanos))
    }

    /// The wait of a replica that has heard no leader since it started. All may have started
    /// together, and then there is none to wait for; one that lives is not deposed by a pre-vote.
    pub(super) fn random_initial_election(&self, rng: &mut impl Rng) -> Duration {
        rng.random_range(self.heartbeat * 2..=self.election)
    }

    /// How long the leader waits for the answer to a snapshot before it sends it again.
    pub(super) fn snapshot_retry(&self) -> Duration {
        self.election * 10
    }
}
