//! The quarantine: which parts of prompts crash instances, by the evidence of all entries.
//!
//! It is part of the replicated state, because an entry may see one of the crashes only, and so
//! that a restart of everything does not start the crashes anew. It handles requests that crash
//! whatever instance begins to answer them, up to one crash after the other, while plain crashes of
//! any number of instances put nothing in quarantine. See `docs/DECISIONS.md`, "Quarantine".

use std::{
    collections::{BTreeSet, VecDeque},
    time::Duration,
};

use domain::{
    quarantine::{Crash, Key, Process, Reply, Suspect, Write},
    record::{Delta, Key as RecordKey, Record},
};
use serde::{Deserialize, Serialize};

/// Crashes of as many moments put a part in quarantine, if no request with it was answered between.
pub const MOMENTS: usize = 3;
/// Fewer moments suffice where as many instances crashed: a part that many requests share would
/// have been answered meanwhile.
pub const PROCESSES: usize = 5;
/// Instances in which the content of a request is convicted, as no other request shares it, if their
/// crashes are spread over [`CONTENT_SPAN_MS`].
pub const CONTENT_PROCESSES: usize = 3;
/// What was only beside the cause is answered within this time, or not repeated, in milliseconds.
pub const CONTENT_SPAN_MS: u64 = 1_000;
/// See [`PROCESSES`].
const MIN_MOMENTS: usize = 2;
/// Crashes closer to each other than this are one moment, in milliseconds: a zone that loses power
/// takes many instances with it, and that says nothing about the requests there.
pub const MOMENT_MS: u64 = 250;
/// How long a crash speaks against a part that is not in quarantine, in milliseconds.
pub const MEMORY_MS: u64 = 30_000;
/// How many parts are suspected at most. The one with the least evidence makes room.
pub const MAX_SUSPECTS: usize = 1_024;
/// How many parts of one crash are taken in at most.
pub const MAX_PARTS: usize = 64;
/// How many crashes are kept for a part, besides the first ones of each moment.
const MAX_CRASHES: usize = 64;
/// How many crashes with a known cause are remembered.
const MAX_EXPLAINED: usize = 512;
/// The wait before the first probe.
const MIN_WAIT: Duration = Duration::from_secs(30);
/// The longest wait before a probe.
const MAX_WAIT: Duration = Duration::from_secs(3_600);

/// How long a part is in quarantine before the next probe. Each failed probe crashes an instance
/// and cuts what else runs there, so that the wait doubles.
pub fn wait(probes: u32) -> Duration {
    let factor = 1_u32.checked_shl(probes).unwrap_or(u32::MAX);
    MIN_WAIT.saturating_mul(factor).min(MAX_WAIT)
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Seen {
    process: Process,
    /// When it crashed, in milliseconds since the Unix epoch.
    at_ms: u64,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Case {
    /// The crashes that speak against the part, the oldest first.
    crashes: Vec<Seen>,
    is_quarantined: bool,
    probes: u32,
}

impl Case {
    /// How many moments the crashes fall into.
    fn moments(&self) -> usize {
        let mut last = None;
        let counts = |seen: &&Seen| {
            let is_apart = last.is_none_or(|last| seen.at_ms >= last + MOMENT_MS);
            if is_apart {
                last = Some(seen.at_ms);
            }
            is_apart
        };
        self.crashes.iter().filter(counts).count()
    }

    /// The time from the first to the last crash, in milliseconds.
    fn span_ms(&self) -> u64 {
        let times = self.crashes.first().zip(self.crashes.last());
        times.map_or(0, |(first, last)| last.at_ms - first.at_ms)
    }

    fn is_convincing(&self, key: &Key) -> bool {
        let (moments, processes) = (self.moments(), self.crashes.len());
        match () {
            () if moments >= MOMENTS => true,
            () if key.is_content() => {
                processes >= CONTENT_PROCESSES && self.span_ms() >= CONTENT_SPAN_MS
            }
            () => moments >= MIN_MOMENTS && processes >= PROCESSES,
        }
    }

    fn add(&mut self, seen: &Seen) {
        let is_known = |known: &Seen| known.process == seen.process;
        let is_near = |known: &Seen| known.at_ms.abs_diff(seen.at_ms) < MOMENT_MS;
        let is_full = self.crashes.len() >= MAX_CRASHES && self.crashes.iter().any(is_near);
        if is_full || self.crashes.iter().any(is_known) {
            return;
        }
        let place = self
            .crashes
            .partition_point(|known| known.at_ms <= seen.at_ms);
        self.crashes.insert(place, seen.clone());
    }

    fn record(&self, key: &Key) -> Record {
        Record::Suspect(Suspect {
            key: key.clone(),
            crashes: u32::try_from(self.moments()).unwrap_or(u32::MAX),
            is_quarantined: self.is_quarantined,
            probes: self.probes,
        })
    }
}

/// The suspected parts.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Table {
    cases: Vec<(Key, Case)>,
    /// Crashes that a part in quarantine has caused.
    explained: VecDeque<Process>,
    /// The parts whose cases the write that is being applied has changed.
    #[serde(skip)]
    changed: BTreeSet<Key>,
}

impl Table {
    /// The records of all suspected parts.
    pub fn records(&self) -> impl Iterator<Item = Record> {
        self.cases.iter().map(|(key, case)| case.record(key))
    }

    /// How many parts are in quarantine.
    pub fn quarantined(&self) -> usize {
        let cases = self.cases.iter();
        cases.filter(|(_, case)| case.is_quarantined).count()
    }

    /// Applies a write that was taken at the given time, in milliseconds since the Unix epoch, and
    /// returns the reply and what changed.
    pub fn apply(&mut self, write: Write, at_ms: u64) -> (Reply, Vec<Delta>) {
        let reply = match write {
            Write::Crashes(crashes) => {
                self.expire(at_ms);
                for crash in crashes {
                    self.blame(crash, at_ms);
                }
                Reply::Recorded
            }
            Write::Acquit(keys) => {
                self.release(|key| keys.contains(key));
                Reply::Recorded
            }
            Write::Probe { key, probes } => self.probe(&key, probes),
        };
        (reply, self.take_changes())
    }

    /// Closes cases.
    fn release(&mut self, is_released: impl Fn(&Key) -> bool) {
        let released = self.cases.extract_if(.., |(key, _)| is_released(key));
        self.changed.extend(released.map(|(key, _)| key));
    }

    fn get_mut(&mut self, key: &Key) -> Option<&mut Case> {
        let case = self.cases.iter_mut().find(|(known, _)| known == key);
        case.map(|(_, case)| case)
    }

    /// Only the first of the entries that know of equally many probes gets the next one.
    fn probe(&mut self, key: &Key, probes: u32) -> Reply {
        match self.get_mut(key) {
            Some(case) if case.is_quarantined && case.probes == probes => {
                case.probes += 1;
                self.changed.insert(key.clone());
                Reply::Granted
            }
            _ => Reply::Denied,
        }
    }

    fn blame(&mut self, crash: Crash, at_ms: u64) {
        let Crash {
            process,
            service,
            age_ms,
            parts,
        } = crash;
        let keys: Vec<_> = parts
            .into_iter()
            .take(MAX_PARTS)
            .map(|part| Key {
                service: service.clone(),
                part,
            })
            .collect();
        let seen = Seen {
            process,
            at_ms: at_ms.saturating_sub(age_ms.into()),
        };
        let is_guilty = |(key, case): &(Key, Case)| case.is_quarantined && keys.contains(key);
        if self.cases.iter().any(is_guilty) {
            self.explain(&seen.process);
        }
        if self.explained.contains(&seen.process) {
            return;
        }
        for key in &keys {
            self.suspect(key).add(&seen);
        }
        // Of the parts of one crash, those with the most evidence explain it.
        let most = keys.iter().map(|key| self.evidence(key)).max();
        let guilty: Vec<_> = keys
            .iter()
            .filter(|key| Some(self.evidence(key)) == most)
            .filter(|key| self.get(key).is_some_and(|case| case.is_convincing(key)))
            .cloned()
            .collect();
        if !guilty.is_empty() {
            self.convict(&guilty);
        }
    }

    fn get(&self, key: &Key) -> Option<&Case> {
        let case = self.cases.iter().find(|(known, _)| known == key);
        case.map(|(_, case)| case)
    }

    /// How much speaks against a part.
    fn evidence(&self, key: &Key) -> (usize, usize) {
        let case = self.get(key);
        case.map_or((0, 0), |case| (case.moments(), case.crashes.len()))
    }

    /// The case of a part, which is opened if there is none.
    fn suspect(&mut self, key: &Key) -> &mut Case {
        let place = self.cases.iter().position(|(known, _)| known == key);
        let place = place.unwrap_or_else(|| {
            if self.cases.len() >= MAX_SUSPECTS {
                self.evict();
            }
            self.cases.push((key.clone(), Case::default()));
            self.cases.len() - 1
        });
        self.changed.insert(key.clone());
        &mut self.cases[place].1
    }

    /// Drops the case with the least evidence, the oldest of several.
    fn evict(&mut self) {
        let cases = self.cases.iter().enumerate();
        let least = cases.min_by_key(|(_, (_, case))| (case.is_quarantined, case.moments()));
        if let Some(place) = least.map(|(place, _)| place) {
            let (key, _) = self.cases.remove(place);
            self.changed.insert(key);
        }
    }

    /// Puts parts in quarantine. The crashes that they explain speak against no other part.
    fn convict(&mut self, guilty: &[Key]) {
        let mut explained = Vec::new();
        for (_, case) in self
            .cases
            .iter_mut()
            .filter(|(key, _)| guilty.contains(key))
        {
            case.is_quarantined = true;
            explained.extend(case.crashes.iter().map(|seen| seen.process.clone()));
        }
        self.changed.extend(guilty.iter().cloned());
        for process in &explained {
            self.explain(process);
        }
    }

    fn explain(&mut self, process: &Process) {
        if self.explained.contains(process) {
            return;
        }
        if self.explained.len() >= MAX_EXPLAINED {
            self.explained.pop_front();
        }
        self.explained.push_back(process.clone());
        self.forget(|seen| seen.process == *process);
    }

    fn expire(&mut self, at_ms: u64) {
        self.forget(|seen| seen.at_ms + MEMORY_MS < at_ms);
    }

    /// Drops crashes from all cases that are still open.
    fn forget(&mut self, is_dropped: impl Fn(&Seen) -> bool) {
        for (key, case) in &mut self.cases {
            let before = case.crashes.len();
            if !case.is_quarantined {
                case.crashes.retain(|seen| !is_dropped(seen));
            }
            if case.crashes.len() < before {
                self.changed.insert(key.clone());
            }
        }
        self.cases.retain(|(_, case)| !case.crashes.is_empty());
    }

    fn take_changes(&mut self) -> Vec<Delta> {
        std::mem::take(&mut self.changed)
            .into_iter()
            .map(|key| match self.get(&key) {
                Some(case) => Delta::Set(case.record(&key)),
                None => Delta::Remove(RecordKey::Suspect(key)),
            })
            .collect()
    }
}
