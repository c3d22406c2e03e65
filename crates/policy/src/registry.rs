//! The registry of upstream instances. It is part of the replicated state, so that acknowledged
//! writes survive the loss of a replica.
//!
//! A report is accepted only if it is newer than the known state: reports can arrive late, an
//! instance can restart under its name, and its address can pass to an instance of another
//! service. See `docs/PLATFORM.md`, "Registry".

use std::collections::{BTreeMap, VecDeque};

use domain::{
    instance::{Instance, Write},
    name,
    record::{Delta, Key, Record},
};
use serde::{Deserialize, Serialize};

/// How many ended incarnations are remembered, so that their late reports are ignored.
pub const MAX_DEPARTED: usize = 4_096;

/// An incarnation of an instance that has ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Departed {
    id: name::Instance,
    born_ms: u64,
}

/// The known instances and the incarnations that ended.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Registry {
    live: BTreeMap<name::Instance, Instance>,
    departed: VecDeque<Departed>,
}

impl Registry {
    /// Returns the instance with the given name.
    pub fn get(&self, id: &name::Instance) -> Option<&Instance> {
        self.live.get(id)
    }

    /// Iterates over all known instances.
    pub fn all(&self) -> impl Iterator<Item = &Instance> {
        self.live.values()
    }

    /// Whether a report must be written: it is current and differs from the known state.
    pub fn is_change(&self, report: &Instance) -> bool {
        self.is_current(report)
            && self
                .live
                .get(&report.id)
                .is_none_or(|known| report.differs(known))
    }

    /// Whether the report is from an incarnation that has not ended and isn't older than the known
    /// state of the instance or of its address.
    pub fn is_current(&self, report: &Instance) -> bool {
        let is_ended = self
            .departed
            .iter()
            .any(|old| old.id == report.id && old.born_ms >= report.born_ms);
        let is_late = self.live.get(&report.id).is_some_and(|known| {
            (known.born_ms, known.sequence) > (report.born_ms, report.sequence)
        });
        let is_displaced = self
            .at_address(report)
            .any(|other| other.born_ms > report.born_ms);
        !is_ended && !is_late && !is_displaced
    }

    /// Applies a write and returns what changed.
    pub fn apply(&mut self, write: Write) -> Vec<Delta> {
        match write {
            Write::Report(report) => self.report(*report),
            Write::Leave { id, born_ms } => {
                let is_current =
                    |known: &&Instance| born_ms.is_none_or(|born| born >= known.born_ms);
                match self.live.get(&id).filter(is_current) {
                    Some(_) => self.remove(&id),
                    None => Vec::new(),
                }
            }
            Write::Expire { silent } => silent
                .into_iter()
                .filter(|(id, born_ms)| {
                    self.live
                        .get(id)
                        .is_some_and(|known| known.born_ms == *born_ms)
                })
                .collect::<Vec<_>>()
                .iter()
                .flat_map(|(id, _)| self.forget(id))
                .collect(),
            Write::Touch { .. } => Vec::new(),
        }
    }

    fn report(&mut self, report: Instance) -> Vec<Delta> {
        if !self.is_current(&report) {
            return Vec::new();
        }
        let displaced: Vec<_> = self
            .at_address(&report)
            .map(|other| other.id.clone())
            .collect();
        let mut deltas: Vec<_> = displaced.iter().flat_map(|id| self.remove(id)).collect();
        deltas.push(Delta::Set(Record::Instance(Box::new(report.clone()))));
        self.live.insert(report.id.clone(), report);
        deltas
    }

    /// Iterates over other instances that are known at the address of the report.
    fn at_address(&self, report: &Instance) -> impl Iterator<Item = &Instance> {
        let (id, address) = (report.id.clone(), report.address);
        self.live
            .values()
            .filter(move |other| other.address == address && other.id != id)
    }

    /// Removes an instance and records its incarnation as ended.
    fn remove(&mut self, id: &name::Instance) -> Vec<Delta> {
        if let Some(known) = self.live.get(id) {
            if self.departed.len() >= MAX_DEPARTED {
                self.departed.pop_front();
            }
            self.departed.push_back(Departed {
                id: id.clone(),
                born_ms: known.born_ms,
            });
        }
        self.forget(id)
    }

    /// Removes an instance whose incarnation may report again.
    fn forget(&mut self, id: &name::Instance) -> Vec<Delta> {
        match self.live.remove(id) {
            Some(_) => vec![Delta::Remove(Key::Instance(id.clone()))],
            None => Vec::new(),
        }
    }
}
