//! How many calls an upstream bears at once: few when it is cold, more with each good answer.
//!
//! See `docs/ARCHITECTURE.md`, "Gate".

use std::time::Duration;

use derive_more::Display;
use domain::clock::Instant;

/// A first token this many times later than usual is a sign of a cold engine.
const SLOW_FACTOR: u32 = 4;
/// Added to that bound, so that the scheduling of threads is no such sign.
const SLOW_FLOOR: Duration = Duration::from_millis(20);
/// How many first tokens it takes to know what is usual.
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
    usual: Option<Duration>,
    samples: u32,
    is_reported_cold: bool,
    reports_count_from: Instant,
    pause: Duration,
    paused_until: Instant,
}

impl Limit {
    /// The limit of an upstream that is taken to be cold.
    pub fn new(config: Config) -> Self {
        Self {
            current: config.cold.min(config.warm),
            config,
            credit: 0,
            usual: None,
            samples: 0,
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

    /// Takes in how long the first token of a call took. A jump makes the upstream cold.
    pub fn on_first_token(&mut self, now: Instant, waited: Duration) -> Option<Sign> {
        if self.samples >= MIN_SAMPLES
            && self
                .usual
                .is_some_and(|usual| waited > usual * SLOW_FACTOR + SLOW_FLOOR)
        {
            self.chill(now);
            return Some(Sign::Slow);
        }
        self.samples = self.samples.saturating_add(1);
        self.usual = Some(match self.usual {
            Some(usual) => (usual * (SMOOTHING - 1) + waited) / SMOOTHING,
            None => waited,
        });
        None
    }

    /// Takes in a good answer. `was_busy` says whether the call ran beside enough others to show
    /// that the upstream bears the limit.
    pub fn on_good(&mut self, now: Instant, was_busy: bool) {
        self.pause = MIN_PAUSE;
        if !was_busy || self.is_warm() || self.is_reported_cold || now < self.reports_count_from {
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
        self.chill(now);
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
                self.chill(now);
                Some(Sign::Reported)
            }
            false => None,
        }
    }

    /// Falls to the cold figure.
    pub fn chill(&mut self, now: Instant) {
        self.current = self.config.cold.min(self.config.warm);
        self.credit = 0;
        self.usual = None;
        self.samples = 0;
        self.reports_count_from = now + REPORT_LAG;
    }
}
