//! Admission control of one entry: how many requests of a service may run at once.
//!
//! Engines run a limited number of requests at once. Excess requests queue at the engine, which
//! delays the start of every answer. An entry sees only its own traffic, so the limit follows the
//! observed start times of answers. While answers begin in time, nothing is refused. When many
//! begin late within one period, or a smaller part does so over several periods, the limit falls
//! below the number of running requests. It grows slowly again while it is used up and answers
//! begin in time.
//!
//! This handles loads above the available capacity: as many requests are admitted as can be
//! answered in time, and the rest are refused immediately. A retry after a refusal misses the
//! latency target in any case, so requests that can still meet it take precedence. See
//! `docs/DECISIONS.md`, "Admission".

use std::time::Duration;

use domain::clock::Instant;

/// Smallest limit, as a multiple of the entry's share of the slots.
const MIN_FACTOR: f64 = 0.3;
/// Largest limit, as a multiple of the entry's share of the slots. At this value the limit has no
/// effect.
const MAX_FACTOR: f64 = 5.0;
/// Minimum time between two adjustments of the limit.
const PERIOD: Duration = Duration::from_millis(250);
/// Number of answers that must have begun before an adjustment.
const MIN_SAMPLES: u32 = 12;
/// Fraction of late answers within one period above which the limit falls.
const MAX_LATE: f64 = 0.4;
/// Fraction of late answers over several periods above which the limit falls. It is lower because a
/// late answer is worth only a fraction of a timely one, and a standing queue at the engines has no
/// benefit.
const MAX_LATE_SUSTAINED: f64 = 0.2;
/// Weight of the last period in the moving average of late answers, which covers about six periods.
const SMOOTHING: f64 = 0.3;
/// Percentage of the latency target within which an answer must begin. The rest is for the time
/// before the request is sent and after the answer has begun.
const TARGET_PERCENT: u32 = 95;
/// Factor by which the limit falls.
const DECREASE: f64 = 0.92;
/// Factor by which the limit falls in each period of sustained lateness.
const SLOW_DECREASE: f64 = 0.96;
/// Added to the limit when it was used up, as a multiple of the entry's share of the slots.
const INCREASE: f64 = 0.1;
/// Factor by which the limit grows while it is not used up.
const UNUSED_INCREASE: f64 = 1.05;

/// Percentage of the limit up to which requests that are already late are admitted. The rest is
/// reserved for requests that can still be answered in time.
const LATE_LIMIT_PERCENT: u32 = 70;
/// One in this many late requests gets the whole limit, so that a caller with a shorter deadline
/// than others, which looks late, doesn't starve.
const LATE_EXEMPTION: u32 = 4;

/// How long capacity stays reserved after a request that could be answered in time was refused. A
/// permanent reservation would go unused after an outage, when every request is late.
const RESERVATION: Duration = Duration::from_millis(500);

/// Whether a request can still be answered within its latency target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Timeliness {
    /// The target can still be met.
    OnTime,
    /// The caller has already waited longer than the target, for instance because it was refused
    /// before.
    Late,
}

/// The measured start of one answer.
#[derive(Clone, Copy, Debug)]
pub struct Sample {
    /// Time from sending the request to the start of the answer.
    pub waited: Duration,
    /// The latency target of the request.
    pub target: Duration,
    /// Whether the instance was cold. A cold instance answers late at any load and has its own rate
    /// limit, so its answers don't affect this limit.
    pub is_cold: bool,
}

/// An adaptive concurrency limit for one service.
#[derive(Clone, Debug)]
pub struct Limiter {
    /// The limit as a multiple of the entry's share of the slots.
    factor: f64,
    /// The entry's share of the slots at the last request.
    slots: f64,
    running: u32,
    /// Answers of this period that began late.
    late: u32,
    /// Answers of this period that began.
    begun: u32,
    /// Moving average of the fraction of late answers.
    late_average: f64,
    /// Whether a request was refused in this period because the limit was reached.
    was_full: bool,
    adjusted_at: Instant,
    /// Late requests that met the lower limit, modulo [`LATE_EXEMPTION`].
    late_seen: u32,
    /// When a request that could be answered in time was last refused.
    refused_at: Option<Instant>,
}

impl Limiter {
    /// Creates a limiter without any samples, which has no effect yet.
    pub fn new(now: Instant) -> Self {
        Self {
            factor: MAX_FACTOR,
            slots: 1.0,
            running: 0,
            late: 0,
            begun: 0,
            late_average: 0.0,
            was_full: false,
            adjusted_at: now,
            late_seen: 0,
            refused_at: None,
        }
    }

    /// The maximum number of running requests, where `slots` is the entry's share of the slots.
    pub fn limit(&self, slots: f64) -> u32 {
        (slots * self.factor).ceil().max(1.0) as u32
    }

    /// The number of running requests.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Counts a request as running if the limit permits it, and returns whether it was admitted.
    pub fn admit(&mut self, slots: f64, timeliness: Timeliness, now: Instant) -> bool {
        self.slots = slots.max(1.0);
        self.adjust(now);
        let limit = self.limit(slots);
        let has_room = self.running < self.limit_for(limit, timeliness, now);
        if !has_room && timeliness == Timeliness::OnTime {
            self.refused_at = Some(now);
        }
        match has_room {
            true => self.running += 1,
            false => self.was_full |= self.running >= limit,
        }
        has_room
    }

    /// The maximum number of running requests at which a request of this timeliness is admitted.
    fn limit_for(&mut self, limit: u32, timeliness: Timeliness, now: Instant) -> u32 {
        let late_limit = limit * LATE_LIMIT_PERCENT / 100;
        let is_reserved = self
            .refused_at
            .is_some_and(|at| now.since(at) < RESERVATION);
        match timeliness {
            Timeliness::OnTime => limit,
            Timeliness::Late if !is_reserved || self.running < late_limit => limit,
            Timeliness::Late => {
                self.late_seen = (self.late_seen + 1) % LATE_EXEMPTION;
                match self.late_seen {
                    0 => limit,
                    _ => late_limit,
                }
            }
        }
    }

    /// Records the end of an admitted request.
    pub fn release(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// Records the start of an answer and adjusts the limit.
    pub fn observe(&mut self, sample: Sample, now: Instant) {
        if sample.is_cold {
            return;
        }
        self.begun += 1;
        self.late += u32::from(sample.waited > sample.target * TARGET_PERCENT / 100);
        self.adjust(now);
    }

    /// Adjusts the limit once a period has passed with enough samples.
    fn adjust(&mut self, now: Instant) {
        if now.since(self.adjusted_at) < PERIOD || self.begun < MIN_SAMPLES {
            return;
        }
        let late = f64::from(self.late) / f64::from(self.begun);
        self.late_average += (late - self.late_average) * SMOOTHING;
        let used = f64::from(self.running) / self.slots;
        self.factor = match self.was_full {
            _ if late > MAX_LATE => self.factor.min(used) * DECREASE,
            // Once answers begin in time again, the limit is low enough, even if the average is
            // high.
            _ if self.late_average > MAX_LATE_SUSTAINED && late > MAX_LATE_SUSTAINED => {
                self.factor.min(used) * SLOW_DECREASE
            }
            true => self.factor + INCREASE,
            // A limit that is not used up grows, so that it doesn't bind when the load returns.
            false => self.factor * UNUSED_INCREASE,
        };
        self.factor = self.factor.clamp(MIN_FACTOR, MAX_FACTOR);
        self.late = 0;
        self.begun = 0;
        self.was_full = false;
        self.adjusted_at = now;
    }
}
