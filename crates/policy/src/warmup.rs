//! The concurrency limit of one upstream: low while it is cold, rising with each successful answer.
//!
//! See `docs/ARCHITECTURE.md`, "Gate".

use std::time::Duration;

use derive_more::Display;
use domain::clock::Instant;

/// A first token that takes this many times longer than usual indicates a cold engine.
const SLOW_FACTOR: f64 = 3.0;
/// Added to the bound for a late first token, so that thread scheduling delays don't exceed it.
const SLOW_FLOOR: Duration = Duration::from_millis(10);
/// Number of consecutive first tokens with a usual delay after which an alarm is dismissed as
/// false.
const CLEARING_SAMPLES: u32 = 4;
/// Number of late first tokens during one alarm after which the usual delay is learned anew.
const RELEARNING_SAMPLES: u32 = 64;
/// Number of first tokens before the usual delay is considered known.
const MIN_SAMPLES: u32 = 8;
/// Inverse weight of a new sample in the moving averages of delay and request length.
const SMOOTHING: u32 = 8;
/// How long after a sign the limit may not rise, because reports from before the sign may still
/// claim that the engine is warm.
const REPORT_LAG: Duration = Duration::from_secs(1);
/// Pause after the first refusal. It doubles with each further one.
const MIN_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause after consecutive refusals.
const MAX_PAUSE: Duration = Duration::from_secs(5);

/// Configuration of the limit.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Maximum number of running calls while the upstream is cold.
    pub cold: u32,
    /// Maximum number of running calls once it is warm.
    pub warm: u32,
    /// Maximum number of running calls without a first token.
    pub unconfirmed: u32,
}

/// Evidence that an upstream is cold.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Sign {
    /// Its boot number changed, or its connections were closed.
    #[display("restarted")]
    Restarted,
    /// It refused a call.
    #[display("refused a call")]
    Refused,
    /// A first token arrived much later than usual.
    #[display("first token late")]
    Slow,
    /// Its own report says that it is cold.
    #[display("reports to be cold")]
    Reported,
}

/// The concurrency limit of one upstream.
///
/// It grows by one after as many successful answers as the current limit, drops to the cold value
/// on any [`Sign`], and stays there while the upstream reports itself cold. The number of calls
/// without a first token is limited separately: an upstream that becomes cold without notice then
/// gets no more new calls than a cold one can handle until that is detected.
#[derive(Debug)]
pub struct Limit {
    config: Config,
    current: u32,
    /// Successful answers under load since the limit last changed.
    successes: u32,
    usual: Usual,
    alarm: Option<Alarm>,
    is_reported_cold: bool,
    /// Until when the limit may not rise after a sign.
    hold_until: Instant,
    pause: Duration,
    paused_until: Instant,
}

/// Moving averages of the delay of first tokens and of the length of requests.
#[derive(Clone, Copy, Debug, Default)]
struct Usual {
    waited: Duration,
    bytes: f64,
    samples: u32,
}

/// An unconfirmed suspicion after a late first token.
#[derive(Clone, Copy, Debug)]
struct Alarm {
    limit_before: u32,
    /// The value of [`Limit::hold_until`] before the alarm.
    hold_before: Instant,
    /// First tokens with a usual delay since the last late one.
    usual_in_row: u32,
    late: u32,
}

impl Usual {
    /// Whether a first token is much later than usual. A longer request may take proportionally
    /// longer.
    fn is_late(&self, waited: Duration, bytes: u32) -> bool {
        let scale = (f64::from(bytes) / self.bytes.max(1.0)).max(1.0);
        let bound = self.waited.mul_f64(SLOW_FACTOR * scale) + SLOW_FLOOR;
        self.samples >= MIN_SAMPLES && waited > bound
    }

    /// Updates the averages.
    fn observe(&mut self, waited: Duration, bytes: u32) {
        let weight = SMOOTHING.min(self.samples + 1);
        self.waited = (self.waited * (weight - 1) + waited) / weight;
        self.bytes += (f64::from(bytes) - self.bytes) / f64::from(weight);
        self.samples = self.samples.saturating_add(1);
    }
}

impl Limit {
    /// Creates the limit of an upstream that is assumed to be cold.
    pub fn new(config: Config) -> Self {
        Self {
            current: config.cold.min(config.warm),
            config,
            successes: 0,
            usual: Usual::default(),
            alarm: None,
            is_reported_cold: false,
            hold_until: Instant::ZERO,
            pause: MIN_PAUSE,
            paused_until: Instant::ZERO,
        }
    }

    /// The current limit.
    pub fn current(&self) -> u32 {
        self.current
    }

    /// Whether the limit has reached its warm value.
    pub fn is_warm(&self) -> bool {
        self.current >= self.config.warm
    }

    /// Whether one more call may be sent.
    pub fn has_room(&self, now: Instant, running: u32, unconfirmed: u32) -> bool {
        now >= self.paused_until
            && running < self.current
            && unconfirmed < self.config.unconfirmed.max(1)
    }

    /// When the pause after the last refusal ends.
    pub fn paused_until(&self) -> Instant {
        self.paused_until
    }

    /// Records the delay of the first token of a call and the length of its request in bytes. A
    /// late first token resets the limit immediately. If the next ones have the usual delay, the
    /// alarm was false and the previous limit is restored.
    pub fn on_first_token(&mut self, now: Instant, waited: Duration, bytes: u32) -> Option<Sign> {
        let is_late = self.usual.is_late(waited, bytes);
        if !is_late {
            self.usual.observe(waited, bytes);
        }
        match (&mut self.alarm, is_late) {
            (None, false) => None,
            (None, true) => {
                let alarm = Alarm {
                    limit_before: self.current,
                    hold_before: self.hold_until,
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
                    // After a false alarm, earlier reports remain valid.
                    self.hold_until = alarm.hold_before;
                    self.alarm = None;
                }
                None
            }
        }
    }

    /// Records a successful answer. `was_busy` says whether enough other calls were running to show
    /// that the upstream can handle the current limit.
    pub fn on_success(&mut self, now: Instant, was_busy: bool) {
        self.pause = MIN_PAUSE;
        let is_on_hold = self.is_reported_cold || self.alarm.is_some() || now < self.hold_until;
        if !was_busy || self.is_warm() || is_on_hold {
            return;
        }
        self.successes += 1;
        if self.successes >= self.current {
            self.current += 1;
            self.successes = 0;
        }
    }

    /// Records a refusal by the upstream, which resets the limit and pauses sending.
    pub fn on_refusal(&mut self, now: Instant) -> Sign {
        self.reset(now);
        self.paused_until = now + self.pause;
        self.pause = (self.pause * 2).min(MAX_PAUSE);
        Sign::Refused
    }

    /// Records the upstream's own report, which lags behind its state. Returns a sign when the
    /// report turns cold and the limit was above its cold value.
    pub fn on_report(&mut self, now: Instant, is_cold: bool) -> Option<Sign> {
        let has_turned_cold = is_cold && !self.is_reported_cold;
        self.is_reported_cold = is_cold;
        match has_turned_cold && self.current > self.config.cold {
            true => {
                self.reset(now);
                Some(Sign::Reported)
            }
            false => None,
        }
    }

    /// Resets the limit to its cold value and forgets the usual delay.
    pub fn reset(&mut self, now: Instant) {
        self.current = self.config.cold.min(self.config.warm);
        self.successes = 0;
        self.usual = Usual::default();
        self.alarm = None;
        self.hold_until = now + REPORT_LAG;
    }
}
