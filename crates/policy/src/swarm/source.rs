//! Where a chunk can come from, and how each source behaved so far.

use std::{collections::BTreeMap, time::Duration};

use derive_more::Display;
use domain::{clock::Instant, name};

/// The shortest time for which a source that failed is avoided.
const MIN_AVOIDANCE: Duration = Duration::from_secs(1);
/// The longest time for which a source that failed is avoided.
const MAX_AVOIDANCE: Duration = Duration::from_secs(30);
/// The time for which a source that sent a wrong chunk is avoided.
const CORRUPT_AVOIDANCE: Duration = Duration::from_secs(20);
/// After how many refusals in a row a busy source counts as failing.
const MAX_REFUSALS: u32 = 8;
/// The longest pause that a busy source can ask for.
const MAX_BUSY: Duration = Duration::from_secs(2);

/// Where a chunk can come from.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Source {
    /// Another agent.
    #[display("peer {_0}")]
    Peer(name::Vm),
    /// The weight store.
    #[display("weight store")]
    Store,
    /// The origin of weights.
    #[display("origin")]
    Origin,
}

#[derive(Clone, Copy, Debug, Default)]
struct Health {
    avoided_until: Instant,
    failing_until: Instant,
    failures: u32,
    refusals: u32,
    in_flight: usize,
}

/// How each source behaved so far.
#[derive(Clone, Debug, Default)]
pub struct Sources(BTreeMap<Source, Health>);

impl Sources {
    /// Whether the source may be asked now.
    pub fn is_usable(&self, source: &Source, now: Instant) -> bool {
        self.0
            .get(source)
            .is_none_or(|health| health.avoided_until <= now)
    }

    /// Whether the source failed of late, so that what it offers counts for nothing.
    pub fn is_failing(&self, source: &Source, now: Instant) -> bool {
        self.0
            .get(source)
            .is_some_and(|health| health.failing_until > now)
    }

    /// How many fetches from the source are running.
    pub fn in_flight(&self, source: &Source) -> usize {
        self.0.get(source).map_or(0, |health| health.in_flight)
    }

    pub(crate) fn start(&mut self, source: &Source) {
        self.0.entry(source.clone()).or_default().in_flight += 1;
    }

    pub(crate) fn end(&mut self, source: &Source) {
        if let Some(health) = self.0.get_mut(source) {
            health.in_flight = health.in_flight.saturating_sub(1);
        }
    }

    pub(crate) fn record_success(&mut self, source: &Source) {
        if let Some(health) = self.0.get_mut(source) {
            health.failures = 0;
            health.refusals = 0;
        }
    }

    /// The source stalled, broke off or did not have what it offered.
    pub(crate) fn record_failure(&mut self, source: &Source, now: Instant) {
        let health = self.0.entry(source.clone()).or_default();
        let span = MIN_AVOIDANCE * 2u32.saturating_pow(health.failures.min(8));
        health.failures += 1;
        health.failing_until = health.failing_until.max(now + span.min(MAX_AVOIDANCE));
        health.avoided_until = health.avoided_until.max(health.failing_until);
    }

    /// The source sent something else than the chunk.
    pub(crate) fn record_corruption(&mut self, source: &Source, now: Instant) {
        let health = self.0.entry(source.clone()).or_default();
        health.failures += 1;
        health.failing_until = health.failing_until.max(now + CORRUPT_AVOIDANCE);
        health.avoided_until = health.avoided_until.max(health.failing_until);
    }

    /// The source asked to come back later.
    pub(crate) fn record_busy(&mut self, source: &Source, retry: Duration, now: Instant) {
        let health = self.0.entry(source.clone()).or_default();
        health.avoided_until = health.avoided_until.max(now + retry.min(MAX_BUSY));
        health.refusals += 1;
        if health.refusals.is_multiple_of(MAX_REFUSALS) {
            self.record_failure(source, now);
        }
    }

    pub(crate) fn remove(&mut self, vm: &name::Vm) {
        let source = Source::Peer(vm.clone());
        if self.in_flight(&source) == 0 {
            self.0.remove(&source);
        }
    }
}
