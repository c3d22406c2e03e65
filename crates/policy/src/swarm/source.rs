//! The sources of chunks, and the health of each source.

use std::{collections::BTreeMap, time::Duration};

use derive_more::Display;
use domain::{clock::Instant, name};

/// The backoff after the first failure of a source.
const MIN_BACKOFF: Duration = Duration::from_secs(1);
/// The longest backoff after repeated failures of a source.
const MAX_BACKOFF: Duration = Duration::from_secs(30);
/// The backoff after a source sent corrupt bytes.
const CORRUPT_BACKOFF: Duration = Duration::from_secs(20);
/// The number of consecutive refusals after which a busy source counts as failing.
const MAX_REFUSALS: u32 = 8;
/// The longest pause that a busy source can ask for.
const MAX_BUSY: Duration = Duration::from_secs(2);

/// A source of chunks.
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

/// The recent failures of one source and the fetches from it.
#[derive(Clone, Copy, Debug, Default)]
struct Health {
    avoided_until: Instant,
    failing_until: Instant,
    failures: u32,
    refusals: u32,
    in_flight: usize,
}

/// The health of all sources. A source without an entry is usable.
#[derive(Clone, Debug, Default)]
pub struct Sources(BTreeMap<Source, Health>);

impl Sources {
    /// Whether a fetch from the source may start now.
    pub fn is_usable(&self, source: &Source, now: Instant) -> bool {
        self.0
            .get(source)
            .is_none_or(|health| health.avoided_until <= now)
    }

    /// Whether the source failed recently, so that its offers are ignored.
    pub fn is_failing(&self, source: &Source, now: Instant) -> bool {
        self.0
            .get(source)
            .is_some_and(|health| health.failing_until > now)
    }

    /// The number of running fetches from the source.
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

    /// Records that the source stalled, broke off or did not hold a chunk that it offered.
    pub(crate) fn record_failure(&mut self, source: &Source, now: Instant) {
        let health = self.0.entry(source.clone()).or_default();
        let span = MIN_BACKOFF * 2u32.saturating_pow(health.failures.min(8));
        health.failures += 1;
        health.failing_until = health.failing_until.max(now + span.min(MAX_BACKOFF));
        health.avoided_until = health.avoided_until.max(health.failing_until);
    }

    /// Records that the source sent bytes with another digest.
    pub(crate) fn record_corruption(&mut self, source: &Source, now: Instant) {
        let health = self.0.entry(source.clone()).or_default();
        health.failures += 1;
        health.failing_until = health.failing_until.max(now + CORRUPT_BACKOFF);
        health.avoided_until = health.avoided_until.max(health.failing_until);
    }

    /// Records that the source was busy and asked for a retry after the given time.
    pub(crate) fn record_busy(&mut self, source: &Source, retry: Duration, now: Instant) {
        let health = self.0.entry(source.clone()).or_default();
        health.avoided_until = health.avoided_until.max(now + retry.min(MAX_BUSY));
        health.refusals += 1;
        if health.refusals.is_multiple_of(MAX_REFUSALS) {
            self.record_failure(source, now);
        }
    }

    /// Removes a peer, unless fetches from it are still running.
    pub(crate) fn remove(&mut self, vm: &name::Vm) {
        let source = Source::Peer(vm.clone());
        if self.in_flight(&source) == 0 {
            self.0.remove(&source);
        }
    }
}
