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

use crate::quota::Cap;

/// The longest pause that is granted. An instance that wants more is being replaced, and a number
/// without sense must not take an instance out of service for good.
pub const MAX_PAUSE: Duration = Duration::from_secs(600);
/// How long a record is kept after its instance is gone from the state, because an instance that
/// control lost sight of may be listed again.
const MEMORY: Duration = Duration::from_secs(600);

/// The span over which an instance that names a limit counts what it gets, in seconds.
const SPAN_S: u64 = 4;
/// What it bears within that span, as a percentage of the limit.
const TOLERANCE_PERCENT: u64 = 150;
/// Requests that it bears beyond that.
const MARGIN: u64 = 5;
/// The part of a limit that entries with a place use, in percent.
const RATE_PERCENT: u64 = 95;
/// The part of a limit that entries without a place use to ask whether it still holds, in percent.
const ASK_PERCENT: u64 = 2;
/// The least rate at which the entries ask, whatever the limit, because an instance can't say that
/// it takes requests again if it gets none. In thousandths of a request per second.
const MIN_RATE: u64 = 250;
/// How many holders of places there may be for each place, in percent, while lists of entries differ.
const DIFFERENCE_PERCENT: u64 = 150;
/// The most that an entry with a place saves up while it has nothing to send, in thousandths of a
/// request.
const MAX_BURST_MILLIS: u64 = 2_000;
/// The number of thousandths in one.
const MILLI: u64 = 1_000;

/// How many requests an instance takes from all entries together.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, derive_more::Display, derive_more::From,
)]
#[display("{}.{:03}", millicalls_per_s / MILLI, millicalls_per_s % MILLI)]
pub struct Limit {
    /// In thousandths of a request per second.
    pub millicalls_per_s: u64,
}

impl Limit {
    /// The instance takes what it can.
    pub const NONE: Self = Self {
        millicalls_per_s: u64::MAX,
    };

    /// What all entries together may send to the instance, so that it bears their bursts too.
    pub fn cap(self) -> Cap {
        let limit = self.millicalls_per_s;
        let rate = (limit.saturating_mul(RATE_PERCENT) / 100).max(MIN_RATE);
        let asks_per_s = MIN_RATE.saturating_add(limit.saturating_mul(ASK_PERCENT) / 100);
        let bearable =
            (limit.saturating_mul(SPAN_S * TOLERANCE_PERCENT) / 100).saturating_add(MARGIN * MILLI);
        let sent = (rate.saturating_mul(SPAN_S * DIFFERENCE_PERCENT) / 100)
            .saturating_add(asks_per_s.saturating_mul(SPAN_S));
        let bursts = bearable.saturating_sub(sent) / DIFFERENCE_PERCENT * 100;
        let places = (bursts / MILLI).max(1);
        Cap {
            places: u32::try_from(places).unwrap_or(u32::MAX),
            millicalls_per_s: rate,
            burst_millis: (bursts / places).clamp(MILLI, MAX_BURST_MILLIS),
            asks_per_s,
            starts_full: false,
        }
    }

    /// The slots that requests at this rate fill, if each takes so long.
    pub fn slots(self, each: Duration) -> f64 {
        self.millicalls_per_s as f64 / MILLI as f64 * each.as_secs_f64()
    }
}

/// What one answer says of its instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Notice {
    /// The instance leaves.
    pub is_leaving: bool,
    /// The instance wants no request for so long.
    pub pause: Option<Duration>,
    /// The limit that the instance names, which is [`Limit::NONE`] where it names none. `None` if
    /// the answer proves nothing of it.
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
    limit: Limit,
    /// When the answer came that `limit` is from.
    limit_at: Instant,
    heard_at: Instant,
}

impl Record {
    /// Records the limit that the answer to a request sent at `sent_at` names. Answers may overtake
    /// each other: only one to a request that was sent after the last answer is surely newer.
    fn limit(&mut self, limit: Limit, sent_at: Instant, now: Instant) -> Option<Change> {
        let is_newer = sent_at >= self.limit_at;
        if !is_newer && limit >= self.limit {
            return None;
        }
        self.limit_at = now;
        match std::mem::replace(&mut self.limit, limit) {
            old if old == limit => None,
            _ if limit == Limit::NONE => Some(Change::Unlimited),
            _ => Some(Change::Limited(limit)),
        }
    }
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

    /// Records what the answer to a request that was sent at `sent_at` says of the instance. The
    /// longest pause holds, and of limits that two answers name in an unknown order the lower one.
    pub fn observe(
        &mut self,
        instance: &Instance,
        notice: Notice,
        sent_at: Instant,
        now: Instant,
    ) -> Vec<Change> {
        let is_limited = notice.limit.is_some_and(|limit| limit != Limit::NONE);
        let says_nothing = !notice.is_leaving && notice.pause.is_none() && !is_limited;
        if says_nothing && !self.records.contains_key(&instance.id) {
            return Vec::new();
        }
        let fresh = Record {
            born_ms: instance.born_ms,
            leaving_at: None,
            paused_until: now,
            limit: Limit::NONE,
            limit_at: sent_at,
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
        changes.extend(
            notice
                .limit
                .and_then(|limit| record.limit(limit, sent_at, now)),
        );
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

    /// The limit that the instance names, if it does.
    pub fn limit(&self, instance: &Instance) -> Option<Limit> {
        let record = self.records.get(&instance.id);
        let record = record.filter(|record| record.born_ms >= instance.born_ms)?;
        (record.limit != Limit::NONE).then_some(record.limit)
    }

    /// How many instances name a limit.
    pub fn limited(&self) -> usize {
        let limits = self.records.values().map(|record| record.limit);
        limits.filter(|limit| *limit != Limit::NONE).count()
    }

    /// Forgets instances that are neither known nor were heard lately.
    pub fn retain(&mut self, is_known: impl Fn(&name::Instance) -> bool, now: Instant) {
        self.records
            .retain(|id, record| is_known(id) || now.since(record.heard_at) < MEMORY);
    }
}
