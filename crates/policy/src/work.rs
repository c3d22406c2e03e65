//! Estimates how much of an engine's time a request takes.
//!
//! Admission and placement compare requests by this work and not by their number, because the
//! prompts and answers of one route differ in length by a factor of ten. See `docs/LOAD.md`,
//! "Work of a request".

use std::time::Duration;

use domain::routing::Engine;

/// Nanoseconds of a microsecond.
const NANOS_PER_MICRO: u64 = 1_000;
/// Nanoseconds of a second.
const NANOS_PER_SECOND: u64 = 1_000_000_000;

/// The size of a request, in tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Size {
    /// The length of the prompt.
    pub prompt: u32,
    /// The caller's estimate of the length of the answer, if it gave one.
    pub answer_hint: Option<u32>,
    /// The maximum length of the answer, if the caller set one.
    pub answer_limit: Option<u32>,
}

impl Size {
    /// The expected length of the answer: the caller's estimate, or else the length that is usual
    /// for the engine, up to the limit.
    pub fn answer(&self, engine: &Engine) -> u32 {
        let expected = self.answer_hint.unwrap_or(engine.usual_answer).max(1);
        expected.min(self.answer_limit.unwrap_or(u32::MAX).max(1))
    }

    /// The time that an engine spends on the request: all of the time in which it reads the prompt,
    /// and an equal share of each step in which a full batch writes.
    pub fn work(&self, engine: &Engine) -> Duration {
        let slots = u64::from(engine.slots.max(1));
        let writing = step(engine, engine.slots) * self.answer(engine);
        reading(engine, self.prompt) + writing / u32::try_from(slots).unwrap_or(u32::MAX)
    }

    /// The time from the first token of the answer to the last one in a full batch.
    pub fn writing(&self, engine: &Engine) -> Duration {
        step(engine, engine.slots) * self.answer(engine)
    }
}

/// The time that an engine needs to read a prompt.
pub fn reading(engine: &Engine, tokens: u32) -> Duration {
    let rate = u64::from(engine.read_per_s.max(1));
    Duration::from_nanos(u64::from(tokens) * NANOS_PER_SECOND / rate)
}

/// The duration of a step in which so many requests write. Their context is taken to be of the
/// usual length.
pub fn step(engine: &Engine, writers: u32) -> Duration {
    let context = u64::from(engine.usual_prompt) + u64::from(engine.usual_answer) / 2;
    let each = u64::from(engine.sequence_ns) + u64::from(engine.context_ns) * context / 1_000;
    let base = u64::from(engine.step_us) * NANOS_PER_MICRO;
    Duration::from_nanos(base + each * u64::from(writers))
}
