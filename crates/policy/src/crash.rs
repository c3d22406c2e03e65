//! What one entry knows of crashes: which of its requests may have caused one, and which parts of
//! prompts it knows to be sound.
//!
//! A crash is the end of a process: its connections break, and its port is closed right after. A
//! request may have caused it if its answer had hardly begun. An answer that goes on acquits all
//! parts of its prompt. What remains is told to the others, see [`crate::quarantine`]. This handles
//! every rate of requests: what is kept is bounded.

use std::{
    collections::{HashMap, HashSet},
    time::Duration,
};

use domain::{
    clock::Instant,
    instance::Instance,
    name,
    quarantine::{CONTENT_PREFIX, Crash, Key, Process},
};

use crate::{quarantine, view::View};

/// How long an answer must go on before it acquits the parts of its prompt: an instance may still
/// send the first event of an answer that crashes it.
pub const SURVIVAL: Duration = Duration::from_millis(300);
/// How long a part counts as sound after an answer. A part that turns harmful is suspected this
/// much later.
const SOUND: Duration = Duration::from_millis(1_500);
/// How long a part that was in a crash makes requests with it worth no second attempt.
const CAUTION: Duration = Duration::from_secs(10);
/// How many parts are known to be sound or suspected at most. Callers write them.
const MAX_PARTS: usize = 16_384;
/// The time between two acquittals of the same part.
const ACQUIT_PERIOD: Duration = Duration::from_millis(250);
/// How long a probe takes at least until its outcome is known to all entries.
const PROBE_TIME: Duration = Duration::from_secs(1);

/// The hexadecimal digits that name the content of a request.
const CONTENT_DIGITS: usize = 32;

/// A part in quarantine, as this entry knows it.
#[derive(Clone, Copy, Debug)]
struct Term {
    probes: u32,
    /// When the entry learned of it.
    since: Instant,
    /// Whether the entry asks for the next probe.
    is_asking: bool,
}

/// What holds of a request by the parts of its prompt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It may be sent.
    Free,
    /// It is refused for at least so long.
    Refused(Duration),
    /// It may be the next probe, if control grants that.
    Due {
        /// The part.
        key: Key,
        /// How many probes were granted before.
        probes: u32,
    },
}

#[derive(Clone, Debug)]
struct Loss {
    at: Instant,
    service: name::Service,
    parts: Vec<name::Part>,
}

/// The crashes and acquittals that one entry sees.
#[derive(Clone, Debug, Default)]
pub struct Tracker {
    /// When each part was last known to be sound.
    sound: HashMap<Key, Instant>,
    /// When each part was last in a crash.
    blamed: HashMap<Key, Instant>,
    /// Requests lost at instances that may have crashed.
    lost: HashMap<Process, Loss>,
    /// The suspects of all entries.
    suspects: HashSet<Key>,
    /// Those of them that are in quarantine.
    terms: HashMap<Key, Term>,
    /// When each suspect was last acquitted by this entry.
    acquitted: HashMap<Key, Instant>,
}

fn keys<'a>(service: &'a name::Service, parts: &'a [name::Part]) -> impl Iterator<Item = Key> + 'a {
    parts.iter().map(|part| Key {
        service: service.clone(),
        part: part.clone(),
    })
}

/// The name of a request that has no prompt, by which its repeats are known: the same method, path,
/// caller and body at whichever entry.
pub fn content_of(
    method: &str,
    target: &str,
    customer: Option<&name::Customer>,
    body: &[u8],
) -> name::Part {
    let customer = customer.map_or("", name::Customer::as_str);
    let mut hasher = blake3::Hasher::new();
    for field in [method.as_bytes(), target.as_bytes(), customer.as_bytes()] {
        hasher.update(&(field.len() as u64).to_le_bytes());
        hasher.update(field);
    }
    hasher.update(body);
    let digest = hasher.finalize().to_hex();
    name::Part::from(format!("{CONTENT_PREFIX}{}", &digest[..CONTENT_DIGITS]).as_str())
}

impl Tracker {
    /// Creates a tracker that has seen nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Updates from a new view of the replicated state.
    pub fn observe(&mut self, view: &View, now: Instant) {
        self.suspects = view.suspects.keys().cloned().collect();
        let known = std::mem::take(&mut self.terms);
        let terms = view.suspects.values().filter(|case| case.is_quarantined);
        self.terms = terms
            .map(|suspect| {
                let fresh = Term {
                    probes: suspect.probes,
                    since: now,
                    is_asking: false,
                };
                let same = known.get(&suspect.key).copied();
                let same = same.filter(|term| term.probes == suspect.probes);
                (suspect.key.clone(), same.unwrap_or(fresh))
            })
            .collect();
    }

    /// Records that an answer has gone on for [`SURVIVAL`] or is whole, so that the parts of its
    /// prompt are sound.
    pub fn acquit(&mut self, service: &name::Service, parts: &[name::Part], now: Instant) {
        for key in keys(service, parts) {
            self.blamed.remove(&key);
            if self.sound.len() < MAX_PARTS || self.sound.contains_key(&key) {
                self.sound.insert(key, now);
            }
        }
    }

    /// The suspects of others that this entry knows to be sound and has not acquitted just now.
    pub fn take_acquittals(&mut self, now: Instant) -> Vec<Key> {
        let suspects = self.suspects.iter();
        let sound: Vec<_> = suspects
            .filter(|key| self.is_sound(key, now))
            .filter(|key| {
                let last = self.acquitted.get(*key);
                last.is_none_or(|at| now.since(*at) >= ACQUIT_PERIOD)
            })
            .cloned()
            .collect();
        for key in &sound {
            self.acquitted.insert(key.clone(), now);
        }
        sound
    }

    /// Records that a request was lost at an instance before its answer had gone on for
    /// [`SURVIVAL`]. It counts once the instance is known to have crashed.
    pub fn lose(&mut self, instance: &Instance, parts: &[name::Part], now: Instant) {
        let process = Process {
            instance: instance.id.clone(),
            born_ms: instance.born_ms,
        };
        let loss = self.lost.entry(process).or_insert_with(|| Loss {
            at: now,
            service: instance.service.clone(),
            parts: Vec::new(),
        });
        let room = quarantine::MAX_PARTS.saturating_sub(loss.parts.len());
        let fresh: Vec<_> = parts
            .iter()
            .filter(|part| !loss.parts.contains(part))
            .take(room)
            .cloned()
            .collect();
        loss.parts.extend(fresh);
    }

    /// The processes that may have crashed.
    pub fn doubtful(&self) -> Vec<Process> {
        self.lost.keys().cloned().collect()
    }

    /// Settles whether a process has crashed. Returns what the others should know of it.
    pub fn settle(&mut self, process: &Process, has_crashed: bool, now: Instant) -> Option<Crash> {
        let loss = self.lost.remove(process).filter(|_| has_crashed)?;
        let doubtful: Vec<_> = keys(&loss.service, &loss.parts)
            .filter(|key| !self.is_sound(key, now))
            .collect();
        let parts = doubtful.iter().map(|key| key.part.clone()).collect();
        for key in doubtful {
            if self.blamed.len() < MAX_PARTS {
                self.blamed.insert(key, now);
            }
        }
        Some(Crash {
            process: process.clone(),
            service: loss.service,
            age_ms: u32::try_from(now.since(loss.at).as_millis()).unwrap_or(u32::MAX),
            parts,
        })
    }

    /// Whether a request may have caused an earlier crash, so that it is worth no second attempt.
    pub fn is_suspected(
        &self,
        service: &name::Service,
        parts: &[name::Part],
        now: Instant,
    ) -> bool {
        keys(service, parts).any(|key| {
            let blamed = self.blamed.get(&key);
            let is_blamed = blamed.is_some_and(|at| now.since(*at) < CAUTION);
            !self.is_sound(&key, now) && (is_blamed || self.suspects.contains(&key))
        })
    }

    /// What holds of a request with these parts.
    pub fn judge(&self, service: &name::Service, parts: &[name::Part], now: Instant) -> Verdict {
        if self.terms.is_empty() {
            return Verdict::Free;
        }
        let mut verdict = Verdict::Free;
        for key in keys(service, parts) {
            let Some(term) = self.terms.get(&key) else {
                continue;
            };
            let left = quarantine::wait(term.probes).saturating_sub(now.since(term.since));
            verdict = match verdict {
                Verdict::Refused(longest) => Verdict::Refused(longest.max(left)),
                // Two parts in quarantine can't be told apart by one probe.
                Verdict::Due { .. } => Verdict::Refused(left.max(PROBE_TIME)),
                Verdict::Free if left.is_zero() && !term.is_asking => Verdict::Due {
                    key,
                    probes: term.probes,
                },
                Verdict::Free => Verdict::Refused(left.max(PROBE_TIME)),
            };
        }
        verdict
    }

    /// Records that this entry asks for a probe, or has its answer.
    pub fn ask(&mut self, key: &Key, is_asking: bool) {
        if let Some(term) = self.terms.get_mut(key) {
            term.is_asking = is_asking;
        }
    }

    /// Forgets what no longer counts.
    pub fn sweep(&mut self, now: Instant) {
        self.sound.retain(|_, at| now.since(*at) < SOUND);
        self.blamed.retain(|_, at| now.since(*at) < CAUTION);
        self.acquitted
            .retain(|_, at| now.since(*at) < ACQUIT_PERIOD);
    }

    fn is_sound(&self, key: &Key, now: Instant) -> bool {
        let sound = self.sound.get(key);
        sound.is_some_and(|at| now.since(*at) < SOUND)
    }
}
