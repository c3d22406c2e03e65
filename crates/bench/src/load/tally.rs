//! What became of many calls.

use std::time::Duration;

use domain::call::Outcome;
use serde::Serialize;

use crate::load::client::Answer;

/// Counts of calls and the latencies of the whole ones.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Tally {
    /// Calls sent.
    pub calls: u64,
    /// Calls with a whole and right answer.
    pub whole: u64,
    /// Calls refused as not run.
    pub not_run: u64,
    /// Calls refused as run or unknown.
    pub uncertain: u64,
    /// Calls whose answer was whole but not the right one.
    pub wrong: u64,
    /// Calls without a whole answer or a problem body.
    pub broken: u64,
    /// Calls answered from an earlier run.
    pub replays: u64,
    /// What was seen, for the first few calls that were wrong or broken.
    pub examples: Vec<String>,
    #[serde(skip)]
    latencies: Vec<Duration>,
}

/// How many examples are kept.
const MAX_EXAMPLES: usize = 5;

impl Tally {
    /// Counts one call. `is_right` judges the text and the model of a whole answer.
    pub fn add(&mut self, answer: &Answer, is_right: impl FnOnce(&str, Option<&str>) -> bool) {
        self.calls += 1;
        match answer {
            Answer::Whole(content) if is_right(&content.text, content.model.as_deref()) => {
                self.whole += 1;
                self.replays += u64::from(content.is_replay);
                self.latencies.push(content.total);
            }
            Answer::Whole(content) => {
                self.wrong += 1;
                self.note(format!("wrong: {:?} {}", content.model, content.text));
            }
            Answer::Refused(problem) if problem.outcome == Outcome::NotRun => {
                self.not_run += 1;
                self.note(format!("refused: {problem}"));
            }
            Answer::Refused(problem) => {
                self.uncertain += 1;
                self.note(format!("refused: {problem}"));
            }
            Answer::Broken(detail) => {
                self.broken += 1;
                self.note(format!("broken: {detail}"));
            }
        }
    }

    /// Adds the counts of another tally.
    pub fn merge(&mut self, other: Self) {
        self.calls += other.calls;
        self.whole += other.whole;
        self.not_run += other.not_run;
        self.uncertain += other.uncertain;
        self.wrong += other.wrong;
        self.broken += other.broken;
        self.replays += other.replays;
        self.latencies.extend(other.latencies);
        other
            .examples
            .into_iter()
            .for_each(|example| self.note(example));
    }

    /// The latency that so many hundredths of the whole calls did not pass.
    pub fn percentile(&self, hundredths: usize) -> Duration {
        percentile(&self.latencies, hundredths)
    }

    fn note(&mut self, example: String) {
        if self.examples.len() < MAX_EXAMPLES {
            self.examples.push(example);
        }
    }
}

/// The value that so many hundredths of the samples do not pass, or zero without samples.
pub fn percentile(samples: &[Duration], hundredths: usize) -> Duration {
    let mut sorted = samples.to_vec();
    sorted.sort_unstable();
    let rank = (sorted.len() * hundredths).div_ceil(100).max(1) - 1;
    sorted.get(rank).copied().unwrap_or_default()
}
