//! The ledger of calls that must not be repeated, a part of the replicated state.
//!
//! For each attempt, the first of Start and Abandon to commit wins. All writes are idempotent, so
//! they can be resent over a new connection.
//!
//! See `docs/ARCHITECTURE.md`, "Calls that may not be repeated".

use std::collections::BTreeMap;

use domain::{
    call::Attempt,
    digest::Digest,
    ledger::{Answer, Holder, Key, MAX_ANSWER_BYTES, Reply, Write},
};
use serde::{Deserialize, Serialize};

/// The number of closed attempts of one call from which on further attempts are refused, which
/// bounds the size of an entry.
pub const MAX_CLOSED_ATTEMPTS: usize = 64;
/// The maximum total size of the stored answer bodies, in bytes. Answers that would exceed it are
/// stored without their bodies.
pub const MAX_KEPT_BYTES: u64 = 32 * 1024 * 1024;

/// The phase of a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum Phase {
    /// No attempt holds a grant.
    Open,
    /// An attempt holds the grant and has not finished.
    Started { attempt: Attempt, holder: Holder },
    /// An attempt has run and its answer is stored.
    Finished {
        attempt: Attempt,
        holder: Holder,
        answer: Answer,
    },
}

/// The reason why an attempt must never start.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum CloseReason {
    /// The entry gave up the attempt.
    Abandoned,
    /// The agent gave its grant back, or stopped asking for one.
    Released(Holder),
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Entry {
    /// The digest of the request body. `None` until the first write that has it.
    body: Option<Digest>,
    phase: Phase,
    closed: BTreeMap<Attempt, CloseReason>,
    /// The time of the last write that changed the entry, in milliseconds since the Unix epoch.
    at_ms: u64,
}

/// The calls that must not be repeated, each with its state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    entries: BTreeMap<Key, Entry>,
    kept_bytes: u64,
}

impl Ledger {
    /// The number of recorded calls.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no call is recorded.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// The number of calls that have started and not finished.
    pub fn started(&self) -> usize {
        self.entries
            .values()
            .filter(|entry| matches!(entry.phase, Phase::Started { .. }))
            .count()
    }

    /// Applies a write made at `at_ms` milliseconds since the Unix epoch. New calls are refused
    /// while `max_entries` calls or more are recorded.
    pub fn apply(&mut self, write: Write, max_entries: u64, at_ms: u64) -> Reply {
        let key = match &write {
            Write::Start { key, .. }
            | Write::Abandon { key, .. }
            | Write::Release { key, .. }
            | Write::Finish { key, .. } => key.clone(),
        };
        let is_full = self.entries.len() as u64 >= max_entries;
        match (self.entries.get_mut(&key), write) {
            (Some(entry), write) => entry.apply(write, &mut self.kept_bytes, at_ms),
            // An unknown call has no grant, so no attempt of it can finish.
            (None, Write::Finish { .. }) => Reply::NotHolder,
            (None, _) if is_full => Reply::Full,
            (None, write) => {
                let mut entry = Entry::new(at_ms);
                let reply = entry.apply(write, &mut self.kept_bytes, at_ms);
                self.entries.insert(key, entry);
                reply
            }
        }
    }

    /// Removes calls whose last change is older than `before_ms`. A started call stays until it
    /// finishes, because removing it would permit a second run.
    pub fn expire(&mut self, before_ms: u64) {
        let kept_bytes = &mut self.kept_bytes;
        self.entries.retain(|_, entry| {
            let is_kept = entry.at_ms >= before_ms || matches!(entry.phase, Phase::Started { .. });
            if !is_kept {
                *kept_bytes = kept_bytes.saturating_sub(entry.kept_bytes());
            }
            is_kept
        });
    }
}

impl Entry {
    fn new(at_ms: u64) -> Self {
        Self {
            body: None,
            phase: Phase::Open,
            closed: BTreeMap::new(),
            at_ms,
        }
    }

    fn apply(&mut self, write: Write, kept_bytes: &mut u64, at_ms: u64) -> Reply {
        let before = (self.phase.clone(), self.closed.len());
        let reply = match write {
            Write::Start {
                attempt,
                body,
                holder,
                ..
            } => self.start(attempt, body, holder),
            Write::Abandon { attempt, body, .. } => self.abandon(attempt, body),
            Write::Release {
                attempt, holder, ..
            } => self.release(attempt, holder),
            Write::Finish {
                attempt,
                holder,
                answer,
                ..
            } => self.finish(attempt, holder, answer, kept_bytes),
        };
        if before != (self.phase.clone(), self.closed.len()) {
            self.at_ms = self.at_ms.max(at_ms);
        }
        reply
    }

    fn start(&mut self, attempt: Attempt, body: Digest, holder: Holder) -> Reply {
        if !self.is_same_body(body) {
            return Reply::Mismatch;
        }
        match &self.phase {
            Phase::Finished {
                attempt, answer, ..
            } => Reply::Finished {
                attempt: *attempt,
                answer: answer.clone(),
            },
            Phase::Started {
                attempt: granted,
                holder: owner,
            } if (*granted, owner) == (attempt, &holder) => Reply::Granted,
            Phase::Started { attempt, .. } => Reply::Started { attempt: *attempt },
            Phase::Open if self.closed.contains_key(&attempt) => Reply::Abandoned,
            Phase::Open if self.closed.len() >= MAX_CLOSED_ATTEMPTS => Reply::Full,
            Phase::Open => {
                self.phase = Phase::Started { attempt, holder };
                Reply::Granted
            }
        }
    }

    fn abandon(&mut self, attempt: Attempt, body: Digest) -> Reply {
        if !self.is_same_body(body) {
            return Reply::Mismatch;
        }
        match &self.phase {
            Phase::Finished {
                attempt, answer, ..
            } => Reply::Finished {
                attempt: *attempt,
                answer: answer.clone(),
            },
            Phase::Started {
                attempt: granted, ..
            } => {
                let granted = *granted;
                // Close the abandoned attempt, or it could start once the granted one is released.
                if granted != attempt {
                    self.close(attempt, CloseReason::Abandoned);
                }
                Reply::Started { attempt: granted }
            }
            Phase::Open => match self.close(attempt, CloseReason::Abandoned) {
                true => Reply::Recorded,
                false => Reply::Full,
            },
        }
    }

    fn release(&mut self, attempt: Attempt, holder: Holder) -> Reply {
        let is_released = self.closed.get(&attempt) == Some(&CloseReason::Released(holder.clone()));
        match &self.phase {
            _ if is_released => Reply::Recorded,
            Phase::Started {
                attempt: granted,
                holder: owner,
            } if (*granted, owner) == (attempt, &holder) => {
                self.phase = Phase::Open;
                self.closed.insert(attempt, CloseReason::Released(holder));
                Reply::Recorded
            }
            // The Start of this attempt may still arrive, and must then find the attempt closed.
            Phase::Open if !self.closed.contains_key(&attempt) => {
                match self.close(attempt, CloseReason::Released(holder)) {
                    true => Reply::Recorded,
                    false => Reply::Full,
                }
            }
            _ => Reply::NotHolder,
        }
    }

    fn finish(
        &mut self,
        attempt: Attempt,
        holder: Holder,
        mut answer: Answer,
        kept_bytes: &mut u64,
    ) -> Reply {
        match &self.phase {
            Phase::Started {
                attempt: granted,
                holder: owner,
            } if (*granted, owner) == (attempt, &holder) => {
                let bytes = answer.body.as_ref().map_or(0, Vec::len);
                match bytes as u64 + *kept_bytes {
                    sum if bytes <= MAX_ANSWER_BYTES && sum <= MAX_KEPT_BYTES => *kept_bytes = sum,
                    _ => answer.body = None,
                }
                self.phase = Phase::Finished {
                    attempt,
                    holder,
                    answer,
                };
                Reply::Recorded
            }
            Phase::Finished {
                attempt: ran,
                holder: owner,
                ..
            } if (*ran, owner) == (attempt, &holder) => Reply::Recorded,
            _ => Reply::NotHolder,
        }
    }

    fn is_same_body(&mut self, body: Digest) -> bool {
        *self.body.get_or_insert(body) == body
    }

    /// Closes an attempt, so that it can never start. Returns `false` if the entry is full.
    fn close(&mut self, attempt: Attempt, reason: CloseReason) -> bool {
        let has_room = self.closed.len() < MAX_CLOSED_ATTEMPTS;
        if has_room {
            self.closed.entry(attempt).or_insert(reason);
        }
        has_room || self.closed.contains_key(&attempt)
    }

    fn kept_bytes(&self) -> u64 {
        match &self.phase {
            Phase::Finished { answer, .. } => answer.body.as_ref().map_or(0, Vec::len) as u64,
            Phase::Open | Phase::Started { .. } => 0,
        }
    }
}
