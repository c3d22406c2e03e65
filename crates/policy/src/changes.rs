//! An ordered change log of a set of records, which sends each subscriber only what it lacks.
//!
//! Only the last change of each record is kept. Removed records stay as tombstones until there are
//! too many. A subscriber that is too far behind, or whose cursor another replica issued, gets all
//! records.
//!
//! See `docs/ARCHITECTURE.md`, "Feed".

use std::collections::{BTreeMap, BTreeSet, HashSet};

use domain::{
    record::{Cursor, Delta, Key, Record},
    vm::{Holding, Lifecycle, Status, Vm},
};

/// The maximum number of tombstones. The oldest ones are dropped first.
pub const MAX_TOMBSTONES: usize = 1_024;

/// The changes that a subscriber lacks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Update {
    /// Whether the update holds all records, so that the subscriber must discard the ones it has.
    pub is_snapshot: bool,
    /// The changes, at most one for each record.
    pub deltas: Vec<Delta>,
    /// The position of the subscriber after this update.
    pub cursor: Cursor,
}

struct Slot {
    sequence: u64,
    record: Option<Record>,
}

/// A set of records, ordered by their last changes.
pub struct Changes {
    epoch: u64,
    sequence: u64,
    /// The sequence number of the last dropped tombstone. A subscriber with a lower cursor may have
    /// missed a removal and needs all records.
    floor: u64,
    slots: BTreeMap<Key, Slot>,
    order: BTreeMap<u64, Key>,
    /// The sequence numbers of the tombstones.
    tombstones: BTreeSet<u64>,
}

impl Changes {
    /// Creates an empty set. `epoch` must be a new random number for each process, so that cursors
    /// issued by another process are recognised as such.
    pub fn new(epoch: u64) -> Self {
        Self {
            epoch,
            sequence: 0,
            floor: 0,
            slots: BTreeMap::new(),
            order: BTreeMap::new(),
            tombstones: BTreeSet::new(),
        }
    }

    /// The position after the last change.
    pub fn cursor(&self) -> Cursor {
        Cursor {
            epoch: self.epoch,
            sequence: self.sequence,
        }
    }

    /// Applies a delta. Returns whether it changed anything.
    pub fn apply(&mut self, delta: Delta) -> bool {
        let (key, record) = match delta {
            Delta::Set(record) => (record.key(), Some(record)),
            Delta::Remove(key) => (key, None),
        };
        let old = self.slots.get(&key);
        if old.and_then(|slot| slot.record.as_ref()) == record.as_ref() {
            return false;
        }
        if let Some(slot) = old {
            self.order.remove(&slot.sequence);
            self.tombstones.remove(&slot.sequence);
        }
        self.sequence += 1;
        let sequence = self.sequence;
        if record.is_none() {
            self.tombstones.insert(sequence);
        }
        self.order.insert(sequence, key.clone());
        self.slots.insert(key, Slot { sequence, record });
        self.prune();
        true
    }

    /// Replaces all records whose key satisfies `is_covered`. Returns whether anything changed.
    pub fn replace(&mut self, records: Vec<Record>, is_covered: impl Fn(&Key) -> bool) -> bool {
        let kept: HashSet<Key> = records.iter().map(Record::key).collect();
        let removed: Vec<Key> = self
            .slots
            .iter()
            .filter(|(key, slot)| slot.record.is_some() && is_covered(key) && !kept.contains(key))
            .map(|(key, _)| key.clone())
            .collect();
        let deltas = removed
            .into_iter()
            .map(Delta::Remove)
            .chain(records.into_iter().map(Delta::Set));
        deltas.fold(false, |is_changed, delta| self.apply(delta) | is_changed)
    }

    /// The changes that a subscriber at `cursor` lacks.
    pub fn since(&self, cursor: Cursor) -> Update {
        let is_known =
            cursor.epoch == self.epoch && (self.floor..=self.sequence).contains(&cursor.sequence);
        let deltas = match is_known {
            true => self
                .order
                .range(cursor.sequence + 1..)
                .map(|(_, key)| self.delta(key))
                .collect(),
            false => self
                .slots
                .values()
                .filter_map(|slot| slot.record.clone())
                .map(Delta::Set)
                .collect(),
        };
        Update {
            is_snapshot: !is_known,
            deltas,
            cursor: self.cursor(),
        }
    }

    fn delta(&self, key: &Key) -> Delta {
        match self.slots.get(key).and_then(|slot| slot.record.clone()) {
            Some(record) => Delta::Set(record),
            None => Delta::Remove(key.clone()),
        }
    }

    fn prune(&mut self) {
        if self.tombstones.len() <= MAX_TOMBSTONES {
            return;
        }
        if let Some(sequence) = self.tombstones.pop_first() {
            let key = self.order.remove(&sequence);
            key.and_then(|key| self.slots.remove(&key));
            self.floor = sequence;
        }
    }
}

/// The VM as the feed sends it to entries: only with the versions that it serves, and with its
/// limit rounded down to a power of two. The limit grows in small steps while an upstream warms up.
/// Entries learn the exact limit from each answer of the agent, so the feed can omit the steps.
#[must_use]
pub fn for_entry(vm: &Vm) -> Vm {
    let serving = vm
        .status
        .holdings
        .iter()
        .filter(|(_, holding)| **holding == Holding::Serving);
    Vm {
        announcement: vm.announcement.clone(),
        status: Status {
            holdings: serving
                .map(|(id, held)| (id.clone(), held.clone()))
                .collect(),
            fence: Default::default(),
            limit: vm.status.limit.checked_ilog2().map_or(0, |log| 1 << log),
            lifecycle: vm.status.lifecycle,
        },
    }
}

/// The VM as the feed sends it to other agents: only its announcement and whether it is leaving.
#[must_use]
pub fn for_agent(vm: &Vm) -> Vm {
    let lifecycle = match vm.status.lifecycle {
        lifecycle @ (Lifecycle::Draining | Lifecycle::Gone) => lifecycle,
        Lifecycle::Announced | Lifecycle::Loading | Lifecycle::Cold | Lifecycle::Warm => {
            Lifecycle::Announced
        }
    };
    Vm {
        announcement: vm.announcement.clone(),
        status: Status {
            lifecycle,
            holdings: Default::default(),
            fence: Default::default(),
            limit: 0,
        },
    }
}
