//! How many calls an upstream bears at once: few when it is cold, more with each good answer.
//!
//! See `docs/ARCHITECTURE.md`, "Gate".

use std::time::Duration;

use derive_more::Display;
use domain::clock::Instant;

/// A first token this many times later than usual is a sign of a cold engine.
const SLOW_FACTOR: f64 = 3.0;
/// Added to that bound, so that the scheduling of threads is no such sign.
const SLOW_FLOOR: Duration = Duration::from_millis(10);
/// So many usual first tokens in a row after a late one show that it was a false alarm.
const CLEARING_SAMPLES: u32 = 4;
/// So many late first tokens in a row are the new usual.
const RELEARNING_SAMPLES: u32 = 64;
/// So many first tokens it takes to know what is usual.
const MIN_SAMPLES: u32 = 8;
/// The weight of a new sample in the usual time is 1 to this.
const SMOOTHING: u32 = 8;
/// After a sign, reports from before may still say that the engine is warm.
const REPORT_LAG: Duration = Duration::from_secs(1);
/// The first pause after a refusal.
const MIN_PAUSE: Duration = Duration::from_millis(100);
/// The longest pause after refusals in a row.
const MAX_PAUSE: Duration = Duration::from_secs(5);

/// The bounds of the limit.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// How many calls a cold upstream bears at once.
    pub cold: u32,
    /// How many calls a warm one bears at once.
    pub warm: u32,
    /// How many calls may wait for their first sign of life at once.
    pub unconfirmed: u32,
}

/// What shows that an upstream is cold.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Sign {
    /// Its restart number changed, or its connections ended.
    #[display("restarted")]
    Restarted,
    /// It refused a call.
    #[display("refused a call")]
    Refused,
    /// A first token came much later than usual.
    #[display("first token late")]
    Slow,
    /// It says so itself.
    #[display("reports to be cold")]
    Reported,
}

/// The concurrency limit of one upstream.
///
/// It grows by one for each round of good answers, falls to the cold figure at once on any
/// [`Sign`], and stays there while the upstream reports to be cold. Besides, few calls may wait for
/// their first sign of life, so that an upstream that turns cold without warning gets no more new
/// calls than a cold one bears before the change shows.
#[derive(Debug)]
pub struct Limit {
    config: Config,
    current: u32,
    credit: u32,
    usual: Usual,
    alarm: Option<Alarm>,
    is_reported_cold: bool,
    reports_count_from: Instant,
    pause: Duration,
    paused_until: Instant,
}

/// How long first tokens usually take, and how long the requests usually are.
#[derive(Clone, Copy, Debug, Default)]
struct Usual {
    waited: Duration,
    bytes: f64,
    samples: u32,
}

/// A late first token, until it is clear whether the engine is cold.
#[derive(Clone, Copy, Debug)]
struct Alarm {
    limit_before: u32,
    /// From when reports counted before it.
    reports_counted_from: Instant,
    usual_in_row: u32,
    late: u32,
}

impl Usual {
    /// Whether a first token is much later than usual. A long prompt may take longer.
    fn is_late(&self, waited: Duration, bytes: u32) -> bool {
        let stretch = (f64::from(bytes) / self.bytes.max(1.0)).max(1.0);
        let bound = self.waited.mul_f64(SLOW_FACTOR * stretch) + SLOW_FLOOR;
        self.samples >= MIN_SAMPLES && waited > bound
    }

    fn learn(&mut self, waited: Duration, bytes: u32) {
        let weight = SMOOTHING.min(self.samples + 1);
        self.waited = (self.waited * (weight - 1) + waited) / weight;
        self.bytes += (f64::from(bytes) - self.bytes) / f64::from(weight);
        self.samples = self.samples.saturating_add(1);
    }
}

impl Limit {
    /// The limit of an upstream that is taken to be cold.
    pub fn new(config: Config) -> Self {
        Self {
            current: config.cold.min(config.warm),
            config,
            credit: 0,
            usual: Usual::default(),
            alarm: None,
            is_reported_cold: false,
            reports_count_from: Instant::ZERO,
            pause: MIN_PAUSE,
            paused_until: Instant::ZERO,
        }
    }

    /// The limit now.
    pub fn current(&self) -> u32 {
        self.current
    }

    /// Whether the limit has reached the warm figure.
    pub fn is_warm(&self) -> bool {
        self.current >= self.config.warm
    }

    /// Whether one more call may be sent.
    pub fn has_room(&self, now: Instant, running: u32, unconfirmed: u32) -> bool {
        now >= self.paused_until
            && running < self.current
            && unconfirmed < self.config.unconfirmed.max(1)
    }

    /// When calls may be sent again after a refusal.
    pub fn paused_until(&self) -> Instant {
        self.paused_until
    }

    /// Takes in how long the first token of a call took, whose request had so many bytes. A jump
    /// makes the upstream cold at once; when the next first tokens come as usual, it was a false
    /// alarm, and the limit is what it was before.
    pub fn on_first_token(&mut self, now: Instant, waited: Duration, bytes: u32) -> Option<Sign> {
        let is_late = self.usual.is_late(waited, bytes);
        if !is_late {
            self.usual.learn(waited, bytes);
        }
        match (&mut self.alarm, is_late) {
            (None, false) => None,
            (None, true) => {
                let alarm = Alarm {
                    limit_before: self.current,
                    reports_counted_from: self.reports_count_from,
                    usual_in_row: 0,
                    late: 1,
                };
                let usual = self.usual;
                self.reset(now);
                self.usual = usual;
                self.alarm = Some(alarm);
                Some(Sign::Slow)
            }
            (Some(alarm), true) => {
                alarm.usual_in_row = 0;
                alarm.late += 1;
                if alarm.late >= RELEARNING_SAMPLES {
                    self.alarm = None;
                    self.usual = Usual::default();
                }
                None
            }
            (Some(alarm), false) => {
                alarm.usual_in_row += 1;
                if alarm.usual_in_row >= CLEARING_SAMPLES && !self.is_reported_cold {
                    self.current = self.current.max(alarm.limit_before);
                    // Reports from before a false alarm hold as well.
                    self.reports_count_from = alarm.reports_counted_from;
                    self.alarm = None;
                }
                None
            }
        }
    }

    /// Takes in a good answer. `was_busy` says whether the call ran beside enough others to show
    /// that the upstream bears the limit.
    pub fn on_success(&mut self, now: Instant, was_busy: bool) {
        self.pause = MIN_PAUSE;
        let is_held_back =
            self.is_reported_cold || self.alarm.is_some() || now < self.reports_count_from;
        if !was_busy || self.is_warm() || is_held_back {
            return;
        }
        self.credit += 1;
        if self.credit >= self.current {
            self.current += 1;
            self.credit = 0;
        }
    }

    /// Takes in a refusal by the upstream: it is cold, and gets nothing for a while.
    pub fn on_refusal(&mut self, now: Instant) -> Sign {
        self.reset(now);
        self.paused_until = now + self.pause;
        self.pause = (self.pause * 2).min(MAX_PAUSE);
        Sign::Refused
    }

    /// Takes in the upstream's own report, which lags. Returns a sign when it turns cold.
    pub fn on_report(&mut self, now: Instant, is_cold: bool) -> Option<Sign> {
        let has_turned = is_cold && !self.is_reported_cold;
        self.is_reported_cold = is_cold;
        match has_turned && self.current > self.config.cold {
            true => {
                self.reset(now);
                Some(Sign::Reported)
            }
            false => None,
        }
    }

    /// Falls to the cold figure.
    pub fn reset(&mut self, now: Instant) {
        self.current = self.config.cold.min(self.config.warm);
        self.credit = 0;
        self.usual = Usual::default();
        self.alarm = None;
        self.reports_count_from = now + REPORT_LAG;
    }
}
