//! How many requests of a service one entry lets run at once.
//!
//! Engines bear a number of requests at once; more of them wait there, and then every answer begins
//! late. An entry sees only what it sends itself, so it follows what the answers show: while they
//! begin in time nothing is refused; when many begin late at once, or some for longer, the limit
//! falls below what runs, and grows slowly again while it is used up and answers begin in time.
//! This answers loads above the capacity that is there: as many requests as can be answered in
//! time are let in, and the rest hears so at once. Those that come back after that are late whatever
//! happens, so the ones that can still be answered in time go before them. See
//! `docs/DECISIONS.md`, "Admission".

use std::time::Duration;

use domain::clock::Instant;

/// The least that the limit becomes, as a multiple of the entry's part of the slots.
const LEAST: f64 = 0.3;
/// A limit above this multiple bounds nothing.
const MOST: f64 = 5.0;
/// How often the limit is adjusted.
const PERIOD: Duration = Duration::from_millis(250);
/// How many answers must have begun for an adjustment.
const MIN_SAMPLES: u32 = 12;
/// The part of the answers of one period that may begin late before the limit falls.
const LATE_AT_ONCE: f64 = 0.4;
/// The part that may begin late for longer. A late answer is worth a fraction of one in time, and
/// a queue before the engines that lasts helps nobody.
const LATE_FOR_LONG: f64 = 0.2;
/// The weight of the last period in the part that begins late for longer: about six periods count.
const SMOOTHING: f64 = 0.3;
/// What part of the time that is aimed at an answer may take to begin: the rest of it passes
/// before the request is sent and after the answer has begun.
const TARGET_PERCENT: u32 = 95;
/// By what the limit falls.
const FALL: f64 = 0.92;
/// By what it falls where fewer are late for longer: every period while that lasts.
const SLOW_FALL: f64 = 0.96;
/// By what it grows.
const GROWTH: f64 = 0.1;
/// By what it grows while it is not used up.
const RELEASE: f64 = 1.05;

/// The part of the limit that requests which are late already share with the others, in
/// hundredths. The rest is left to those that can still be answered in time.
const LATE_ROOM_PERCENT: u32 = 70;
/// One in so many late requests is treated like the others, so that no caller starves whose time
/// is shorter than others'.
const LATE_TURN: u32 = 4;

/// For how long room is left after a request that could be answered in time found none. Without
/// such requests it would stay unused, as after an outage, when all who come are late.
const CROWDED: Duration = Duration::from_millis(500);

/// Whether a request can still be answered in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Timeliness {
    /// It can.
    OnTime,
    /// Its caller has waited longer than was aimed at, as after a refusal.
    Late,
}

/// How an answer began.
#[derive(Clone, Copy, Debug)]
pub struct Sample {
    /// How long after the request was sent.
    pub waited: Duration,
    /// The time that was aimed at.
    pub target: Duration,
    /// Whether the instance was cold. Then it is late whatever the load, and what it gets is
    /// bounded by its own rate.
    pub is_cold: bool,
}

/// The limit of one service.
#[derive(Clone, Debug)]
pub struct Limiter {
    factor: f64,
    /// The entry's part of the slots when it was last asked for.
    slots: f64,
    running: u32,
    late: u32,
    begun: u32,
    /// The part of the answers that began late, over the last periods.
    lateness: f64,
    was_full: bool,
    adjusted_at: Instant,
    /// Late requests that found too little room, up to [`LATE_TURN`].
    passed_over: u32,
    /// When a request that could be answered in time last found no room.
    crowded_at: Option<Instant>,
}

impl Limiter {
    /// A limit that has seen nothing.
    pub fn new(now: Instant) -> Self {
        Self {
            factor: MOST,
            slots: 1.0,
            running: 0,
            late: 0,
            begun: 0,
            lateness: 0.0,
            was_full: false,
            adjusted_at: now,
            passed_over: 0,
            crowded_at: None,
        }
    }

    /// How many requests may run, when the entry's part of the slots is `slots`.
    pub fn limit(&self, slots: f64) -> u32 {
        (slots * self.factor).ceil().max(1.0) as u32
    }

    /// How many requests run.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Lets a request run if there is room, and says whether there was.
    pub fn admit(&mut self, slots: f64, chance: Timeliness, now: Instant) -> bool {
        self.slots = slots.max(1.0);
        self.adjust(now);
        let limit = self.limit(slots);
        let has_room = self.running < self.room(limit, chance, now);
        if !has_room && chance == Timeliness::OnTime {
            self.crowded_at = Some(now);
        }
        match has_room {
            true => self.running += 1,
            false => self.was_full |= self.running >= limit,
        }
        has_room
    }

    /// How many requests may run beside one with this chance.
    fn room(&mut self, limit: u32, chance: Timeliness, now: Instant) -> u32 {
        let shared = limit * LATE_ROOM_PERCENT / 100;
        let is_crowded = self.crowded_at.is_some_and(|at| now.since(at) < CROWDED);
        match chance {
            Timeliness::OnTime => limit,
            Timeliness::Late if !is_crowded || self.running < shared => limit,
            Timeliness::Late => {
                self.passed_over = (self.passed_over + 1) % LATE_TURN;
                match self.passed_over {
                    0 => limit,
                    _ => shared,
                }
            }
        }
    }

    /// A request is over.
    pub fn release(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// An answer began.
    pub fn observe(&mut self, beginning: Sample, now: Instant) {
        if beginning.is_cold {
            return;
        }
        self.begun += 1;
        self.late += u32::from(beginning.waited > beginning.target * TARGET_PERCENT / 100);
        self.adjust(now);
    }

    fn adjust(&mut self, now: Instant) {
        if now.since(self.adjusted_at) < PERIOD || self.begun < MIN_SAMPLES {
            return;
        }
        let late = f64::from(self.late) / f64::from(self.begun);
        self.lateness += (late - self.lateness) * SMOOTHING;
        let used = f64::from(self.running) / self.slots;
        self.factor = match self.was_full {
            _ if late > LATE_AT_ONCE => self.factor.min(used) * FALL,
            // Answers that come in time again show that the limit is low enough.
            _ if self.lateness > LATE_FOR_LONG && late > LATE_FOR_LONG => {
                self.factor.min(used) * SLOW_FALL
            }
            true => self.factor + GROWTH,
            // What is not used up need not bind when the load comes back.
            false => self.factor * RELEASE,
        };
        self.factor = self.factor.clamp(LEAST, MOST);
        self.late = 0;
        self.begun = 0;
        self.was_full = false;
        self.adjusted_at = now;
    }
}
