//! The demo's result.

use std::{collections::BTreeMap, fmt};

use crate::{demo::traffic::Counts, error::Error};

/// Counts and what they mean for the promises.
pub(super) struct Table {
    counts: Counts,
    doubled: u64,
    false_not_run: u64,
    zone_runs: u64,
}

impl Table {
    /// Compares what callers saw with what the services ran.
    pub(super) fn new(counts: Counts, runs: &BTreeMap<String, u64>, zone_runs: u64) -> Self {
        let doubled = runs.values().filter(|count| **count > 1).count() as u64;
        let is_run = |key: &String| runs.get(key).is_some_and(|count| *count > 0);
        let false_not_run = counts.not_run_keys.iter().filter(|key| is_run(key)).count() as u64;
        Self {
            counts,
            doubled,
            false_not_run,
            zone_runs,
        }
    }

    /// Whether every promise was kept.
    pub(super) fn check(&self) -> Result<(), Error> {
        let broken: Vec<String> = self
            .promises()
            .into_iter()
            .filter(|(_, count)| *count > 0)
            .map(|(name, count)| format!("{count} {name}"))
            .collect();
        match broken.as_slice() {
            [] => Ok(()),
            _ => Err(Error::Broken {
                detail: format!("broken: {}", broken.join(", ")),
            }),
        }
    }

    fn promises(&self) -> [(&'static str, u64); 6] {
        let total = self.counts.total();
        [
            ("wrong answers", total.wrong),
            ("answers cut without an error", total.broken),
            ("doubled runs", self.doubled),
            ("refusals as not run of calls that ran", self.false_not_run),
            ("calls in a zone that was out", self.zone_runs),
            ("calls with neither an answer nor a proof", total.uncertain),
        ]
    }
}

impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{:<10} {:>7} {:>7} {:>8} {:>9} {:>6} {:>7} {:>9} {:>9}",
            "calls", "sent", "whole", "not-run", "uncertain", "wrong", "broken", "p50 ms", "p99 ms"
        )?;
        for (name, tally) in self.counts.rows() {
            let millis = |hundredths| tally.percentile(hundredths).as_secs_f64() * 1e3;
            writeln!(
                f,
                "{name:<10} {:>7} {:>7} {:>8} {:>9} {:>6} {:>7} {:>9.1} {:>9.1}",
                tally.calls,
                tally.whole,
                tally.not_run,
                tally.uncertain,
                tally.wrong,
                tally.broken,
                millis(50),
                millis(99),
            )?;
        }
        for (name, count) in self.promises() {
            writeln!(f, "{name}: {count}")?;
        }
        for (name, tally) in self.counts.rows() {
            for example in &tally.examples {
                writeln!(f, "{name}: {example}")?;
            }
        }
        Ok(())
    }
}
