//! What instances say of themselves in their answers: that they leave, for how long they want no
//! more requests, and how many requests a second they take from all entries together.
//!
//! An entry acts on this alone and at once, whatever control says of the instance: it holds while
//! control can't be reached, and control may learn of it seconds later. It is no sign of a fault,
//! so that it is kept apart from [`crate::breaker`]. It handles instances that are replaced under
//! load and instances that are overloaded by what other entries send. See `docs/DECISIONS.md`,
//! "What instances say of themselves".

use std::{collections::HashMap, time::Duration};

use domain::{clock::Instant, instance::Instance, name};

/// The longest pause that is granted. An instance that wants more is being replaced, and a number
/// without sense must not take an instance out of service for good.
pub const MAX_PAUSE: Duration = Duration::from_secs(600);
/// How long a record is kept after its instance is gone from the state, because an instance that
/// control lost sight of may be listed again.
const MEMORY: Duration = Duration::from_secs(600);

/// The number of thousandths in one.
const MILLI: f64 = 1_000.0;

/// How many requests an instance takes from all entries together.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, derive_more::Display, derive_more::From,
)]
#[display("{}", *millicalls_per_s as f64 / MILLI)]
pub struct Limit {
    /// In thousandths of a request per second.
    pub millicalls_per_s: u64,
}

/// What one answer says of its instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Notice {
    /// The instance leaves.
    pub is_leaving: bool,
    /// The instance wants no request for so long.
    pub pause: Option<Duration>,
    /// The instance takes no more requests than this.
    pub limit: Option<Limit>,
}

/// How an instance may be used, by its own word.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Availability {
    /// Without restriction.
    Available,
    /// Where nothing else can serve a request: it leaves soon.
    Leaving,
    /// Not for the given remaining time.
    Paused(Duration),
    /// Not at all.
    Gone,
}

/// News in a notice, which are worth a log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// The instance says for the first time that it leaves.
    Leaving,
    /// The instance asks for a pause while it is in none.
    Paused(Duration),
    /// The instance names a limit that it had not named before.
    Limited(Limit),
    /// The instance no longer names a limit.
    Unlimited,
}

#[derive(Clone, Copy, Debug)]
struct Record {
    born_ms: u64,
    leaving_at: Option<Instant>,
    paused_until: Instant,
    limit: Option<Limit>,
    heard_at: Instant,
}

/// What the instances that an entry uses have said.
#[derive(Clone, Debug)]
pub struct Table {
    drain: Duration,
    records: HashMap<name::Instance, Record>,
}

impl Table {
    /// Creates an empty table. A leaving instance may be used for `drain` after its first notice.
    pub fn new(drain: Duration) -> Self {
        Self {
            drain,
            records: HashMap::new(),
        }
    }

    /// Records what an answer of the instance says. The longest pause holds.
    pub fn observe(&mut self, instance: &Instance, notice: Notice, now: Instant) -> Vec<Change> {
        if notice == Notice::default() && !self.records.contains_key(&instance.id) {
            return Vec::new();
        }
        let fresh = Record {
            born_ms: instance.born_ms,
            leaving_at: None,
            paused_until: now,
            limit: None,
            heard_at: now,
        };
        let record = self.records.entry(instance.id.clone()).or_insert(fresh);
        if record.born_ms < instance.born_ms {
            *record = fresh;
        }
        record.heard_at = now;
        let mut changes = Vec::new();
        if notice.is_leaving && record.leaving_at.is_none() {
            record.leaving_at = Some(now);
            changes.push(Change::Leaving);
        }
        if let Some(pause) = notice.pause.map(|pause| pause.min(MAX_PAUSE)) {
            if record.paused_until <= now && !pause.is_zero() {
                changes.push(Change::Paused(pause));
            }
            record.paused_until = record.paused_until.max(now + pause);
        }
        match std::mem::replace(&mut record.limit, notice.limit) {
            known if known == notice.limit => {}
            _ => changes.push(notice.limit.map_or(Change::Unlimited, Change::Limited)),
        }
        changes
    }

    /// How the instance may be used. A later start of an instance is not bound by what an earlier
    /// one said.
    pub fn availability(&self, instance: &Instance, now: Instant) -> Availability {
        let record = self.records.get(&instance.id);
        match record.filter(|record| record.born_ms >= instance.born_ms) {
            None => Availability::Available,
            Some(Record {
                leaving_at: Some(at),
                ..
            }) if now.since(*at) >= self.drain => Availability::Gone,
            Some(record) if now < record.paused_until => {
                Availability::Paused(record.paused_until.since(now))
            }
            Some(Record {
                leaving_at: Some(_),
                ..
            }) => Availability::Leaving,
            Some(_) => Availability::Available,
        }
    }

    /// The limit that the instance named in its last answer.
    pub fn limit(&self, instance: &Instance) -> Option<Limit> {
        let record = self.records.get(&instance.id);
        record
            .filter(|record| record.born_ms >= instance.born_ms)?
            .limit
    }

    /// Forgets instances that are neither known nor were heard lately.
    pub fn retain(&mut self, is_known: impl Fn(&name::Instance) -> bool, now: Instant) {
        self.records
            .retain(|id, record| is_known(id) || now.since(record.heard_at) < MEMORY);
    }
}
