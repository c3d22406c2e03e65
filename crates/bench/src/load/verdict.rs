//! Whether the promises to callers were kept.

use std::{collections::BTreeMap, fmt};

use crate::{
    error::Error,
    fleet::Fleet,
    load::traffic::{self, Counts},
};

/// Counts of calls and what they mean for the promises.
pub struct Verdict {
    counts: Counts,
    doubled: u64,
    false_not_run: u64,
    zone_runs: u64,
}

impl Verdict {
    /// Compares what callers saw with what the services ran.
    pub fn new(counts: Counts, runs: &BTreeMap<String, u64>) -> Self {
        let doubled = runs.values().filter(|count| **count > 1).count() as u64;
        let is_run = |key: &String| runs.get(key).is_some_and(|count| *count > 0);
        let false_not_run = counts.not_run_keys.iter().filter(|key| is_run(key)).count() as u64;
        Self {
            counts,
            doubled,
            false_not_run,
            zone_runs: 0,
        }
    }

    /// Adds calls that ran in a zone after it was out.
    #[must_use]
    pub fn with_calls_in_closed_zones(mut self, calls: u64) -> Self {
        self.zone_runs = calls;
        self
    }

    /// The counts.
    pub fn counts(&self) -> &Counts {
        &self.counts
    }

    /// Whether no answer was wrong, no call ran twice, and every `not-run` was true.
    ///
    /// This holds under any fault; refusals and cut connections may come with one.
    ///
    /// # Errors
    ///
    /// What was broken.
    pub fn check_safety(&self) -> Result<(), Error> {
        let total = self.counts.total();
        let [wrong, _, doubled, false_not_run, zone, _] = self.promises();
        match [wrong, doubled, false_not_run, zone]
            .iter()
            .all(|(_, count)| *count == 0)
        {
            true => Ok(()),
            false => Err(Error::Broken {
                detail: format!("{self}{:?}", total.examples),
            }),
        }
    }

    /// Whether every promise was kept, and no call was lost.
    ///
    /// # Errors
    ///
    /// What was broken.
    pub fn check(&self) -> Result<(), Error> {
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

impl fmt::Display for Verdict {
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

/// How many calls the engines and services of a zone have run.
///
/// # Errors
///
/// If one of them could not be asked.
pub fn runs_in_zone(fleet: &Fleet, zone: &str) -> Result<u64, Error> {
    let members = fleet
        .plan()
        .upstreams
        .iter()
        .filter(|member| member.zone == zone);
    members
        .map(|member| {
            let path = if member.is_service() {
                "/attempts"
            } else {
                "/runs"
            };
            Ok(traffic::runs(member.addr, path)?.values().sum::<u64>())
        })
        .sum()
}

/// How often each key of calls that may not be repeated has run, over all services.
///
/// # Errors
///
/// If one of them could not be asked.
pub fn service_runs(fleet: &Fleet) -> Result<BTreeMap<String, u64>, Error> {
    let mut runs = BTreeMap::new();
    let services = fleet
        .plan()
        .upstreams
        .iter()
        .filter(|member| member.is_service());
    for member in services {
        for (key, count) in traffic::runs(member.addr, "/runs")? {
            // Look-ups have no key.
            if key != fakes::service::NO_KEY {
                *runs.entry(key).or_default() += count;
            }
        }
    }
    Ok(runs)
}
