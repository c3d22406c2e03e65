//! Circuit breakers: upstreams that failed are avoided for a pause, then probed with one call.
//!
//! A breaker acts immediately on the choices of its own process and never waits for control. See
//! `docs/ARCHITECTURE.md`, "Choice of upstream".

use std::{collections::HashMap, hash::Hash, time::Duration};

use domain::{clock::Instant, name};

/// The pause after the first failure.
const MIN_PAUSE: Duration = Duration::from_millis(100);
/// The longest pause.
const MAX_PAUSE: Duration = Duration::from_secs(10);
/// The pause after a refusal, which is not a sign of a failing upstream.
const REFUSAL_PAUSE: Duration = Duration::from_millis(100);
/// How long a probe may take before another one is allowed.
const PROBE_LIMIT: Duration = Duration::from_secs(10);

/// The state of an upstream's breaker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// The upstream may be used.
    Closed,
    /// The upstream is avoided for the given remaining time.
    Open(Duration),
    /// The pause is over and one call may probe the upstream.
    HalfOpen,
}

#[derive(Clone, Copy, Debug)]
struct Record {
    failures: u32,
    until: Instant,
    probe: Option<Instant>,
}

/// The breakers of the upstreams that failed or refused a call.
#[derive(Clone, Debug)]
pub struct Table<K = name::Vm> {
    records: HashMap<K, Record>,
}

impl<K> Default for Table<K> {
    fn default() -> Self {
        Self {
            records: HashMap::new(),
        }
    }
}

impl<K: Clone + Eq + Hash> Table<K> {
    /// Creates a table in which all breakers are closed.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the state of the upstream's breaker at `now`.
    pub fn state(&self, key: &K, now: Instant) -> State {
        match self.records.get(key) {
            None => State::Closed,
            Some(record) if now < record.until => State::Open(record.until.since(now)),
            Some(Record { failures: 0, .. }) => State::Closed,
            Some(Record {
                probe: Some(at), ..
            }) if now.since(*at) < PROBE_LIMIT => State::Open(PROBE_LIMIT - now.since(*at)),
            Some(_) => State::HalfOpen,
        }
    }

    /// Records that a call is sent to the upstream. If its breaker is half-open, the call is the
    /// probe.
    pub fn begin(&mut self, key: &K, now: Instant) {
        let is_probe = self.state(key, now) == State::HalfOpen;
        let record = self.records.get_mut(key).filter(|_| is_probe);
        if let Some(record) = record {
            record.probe = Some(now);
        }
    }

    /// Records a correct answer and closes the breaker.
    pub fn succeed(&mut self, key: &K) {
        self.records.remove(key);
    }

    /// Records that the upstream refused the call without running it, for a reason other than load.
    pub fn refuse(&mut self, key: &K, now: Instant) {
        let record = self.record(key, now);
        record.probe = None;
        record.until = record.until.max(now + REFUSAL_PAUSE);
    }

    /// Records that a call ended without evidence about the upstream's health.
    pub fn release(&mut self, key: &K) {
        if let Some(record) = self.records.get_mut(key) {
            record.probe = None;
        }
    }

    /// Records a failure of the upstream. Failures of concurrent calls count as one.
    pub fn fail(&mut self, key: &K, now: Instant) {
        let record = self.record(key, now);
        let is_counted = record.failures > 0 && now < record.until;
        if !is_counted {
            record.failures = record.failures.saturating_add(1);
            let factor = 1 << (record.failures - 1).min(16);
            record.until = now + MIN_PAUSE.saturating_mul(factor).min(MAX_PAUSE);
        }
        record.probe = None;
    }

    /// Removes upstreams that are no longer known.
    pub fn retain(&mut self, is_known: impl Fn(&K) -> bool) {
        self.records.retain(|key, _| is_known(key));
    }

    fn record(&mut self, key: &K, now: Instant) -> &mut Record {
        self.records.entry(key.clone()).or_insert(Record {
            failures: 0,
            until: now,
            probe: None,
        })
    }
}
