//! Silent engines: which engines get no further requests because nothing comes from them.
//!
//! A frozen engine takes requests into its buffers and runs them when it resumes, when their
//! callers have left. Latency targets are 300 to 600 ms, so an engine that is silent for longer
//! would fail them anyway. An engine that is full or switches versions may let one request wait for
//! a second. Therefore silence is judged by all attempts at an engine, and any byte from it ends
//! it. See `docs/LOAD.md`, "Requests that were given up".

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use domain::{clock::Instant, name};

/// The silence after which an engine gets no further request: the longest usual latency target.
const LIMIT: Duration = Duration::from_millis(600);
/// The attempts that must wait at an engine for its silence to count.
const MIN_WAITING: usize = 2;
/// One of so many engines of a service may be avoided for its silence. If more are silent, it is
/// their load.
const MAX_SILENT_PART: usize = 3;

/// What this entry waits for at one engine.
#[derive(Clone, Debug, Default)]
struct Record {
    /// When the attempts were sent from which no byte came, oldest first.
    waiting: VecDeque<Instant>,
    /// When the last byte came.
    heard_at: Option<Instant>,
    /// Whether attempts were given up during a silence that has not ended.
    is_suspended: bool,
}

impl Record {
    fn is_overdue(&self, now: Instant) -> bool {
        let oldest = self.waiting.front().copied();
        let since = oldest.max(self.heard_at);
        let is_long = since.is_some_and(|since| now.since(since) > LIMIT);
        self.waiting.len() >= MIN_WAITING && is_long
    }
}

/// The engines at which attempts of this entry wait for a first byte.
#[derive(Clone, Debug, Default)]
pub struct Table {
    records: HashMap<name::Instance, Record>,
}

impl Table {
    /// Creates a table in which no engine is silent.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that an attempt was sent of which an engine usually answers the first part soon.
    pub fn begin(&mut self, id: &name::Instance, now: Instant) {
        let record = self.records.entry(id.clone()).or_default();
        record.waiting.push_back(now);
    }

    /// Records that a byte came from the engine, on whichever attempt.
    pub fn hear(&mut self, id: &name::Instance, now: Instant) {
        if let Some(record) = self.records.get_mut(id) {
            record.heard_at = Some(now);
            record.is_suspended = false;
        }
    }

    /// Records that an attempt that was sent at `sent_at` no longer waits.
    pub fn end(&mut self, id: &name::Instance, sent_at: Instant, now: Instant) {
        let Some(record) = self.records.get_mut(id) else {
            return;
        };
        record.is_suspended |= record.is_overdue(now);
        let place = record.waiting.iter().position(|at| *at == sent_at);
        place.and_then(|place| record.waiting.remove(place));
        if record.waiting.is_empty() && !record.is_suspended {
            self.records.remove(id);
        }
    }

    /// Whether the engine gets no request now. One that is silent gets one probe after nothing
    /// waits there any more.
    pub fn is_avoided(&self, id: &name::Instance, now: Instant) -> bool {
        self.records.get(id).is_some_and(|record| {
            let is_silent = record.is_suspended || record.is_overdue(now);
            is_silent && !record.waiting.is_empty()
        })
    }

    /// Whether so many of a service's engines may be avoided.
    pub fn is_exception(avoided: usize, engines: usize) -> bool {
        avoided * MAX_SILENT_PART <= engines
    }

    /// Whether no engine is avoided.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Removes engines that are no longer known.
    pub fn retain(&mut self, is_known: impl Fn(&name::Instance) -> bool) {
        self.records.retain(|id, _| is_known(id));
    }
}
