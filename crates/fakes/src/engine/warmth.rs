//! The cold start: a cold engine bears few calls, and falls over when it gets more.

use std::time::Duration;

use tokio::time::Instant;

/// How warm the engine is and what it bears.
#[derive(Debug)]
pub struct Warmth {
    cold_limit: u32,
    warm_after: u32,
    recovery: Duration,
    is_cold: bool,
    generation: u64,
    running: u32,
    good: u32,
    down_until: Option<Instant>,
}

/// A call that the engine took. It goes back to [`Warmth::finish`].
#[derive(Clone, Copy, Debug)]
pub struct Admission {
    generation: u64,
    /// Whether the engine was cold when it took the call.
    pub is_cold: bool,
}

/// Why a call is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The engine is down after an overload.
    Down,
    /// This call is one too many for a cold engine, and brings it down.
    Overload,
}

impl Warmth {
    /// A cold engine. It bears `cold_limit` calls at once and is warm after `warm_after` good
    /// ones; an overload keeps it down for `recovery`.
    pub fn new(cold_limit: u32, warm_after: u32, recovery: Duration) -> Self {
        Self {
            cold_limit,
            warm_after,
            recovery,
            is_cold: warm_after > 0,
            generation: 0,
            running: 0,
            good: 0,
            down_until: None,
        }
    }

    /// Whether the engine is cold.
    pub fn is_cold(&self) -> bool {
        self.is_cold
    }

    /// Turns the engine cold. Calls that run already don't count against what it bears.
    pub fn chill(&mut self) {
        self.is_cold = true;
        self.generation += 1;
        self.running = 0;
        self.good = 0;
    }

    /// Takes a call or refuses it.
    ///
    /// # Errors
    ///
    /// Why the call is refused.
    pub fn admit(&mut self, now: Instant) -> Result<Admission, Refusal> {
        if self.down_until.is_some_and(|until| now < until) {
            return Err(Refusal::Down);
        }
        if self.is_cold && self.running >= self.cold_limit {
            self.down_until = Some(now + self.recovery);
            self.chill();
            return Err(Refusal::Overload);
        }
        self.running += 1;
        Ok(Admission {
            generation: self.generation,
            is_cold: self.is_cold,
        })
    }

    /// Takes back a call that ended.
    pub fn finish(&mut self, admission: Admission, is_good: bool) {
        if admission.generation != self.generation {
            return;
        }
        self.running -= 1;
        self.good += u32::from(is_good);
        if self.good >= self.warm_after {
            self.is_cold = false;
        }
    }
}
