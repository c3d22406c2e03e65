//! The changes of a set of records in order, so that a subscriber gets only what it lacks.
//!
//! A record keeps the place of its last change only; a removed one stays as a tombstone for a
//! while. A subscriber that is too far behind, or that comes from another replica, gets all
//! records. See `docs/ARCHITECTURE.md`, "Feed".

use std::collections::{BTreeMap, HashSet};

use domain::{
    record::{Cursor, Delta, Key, Record},
    vm::{Holding, Lifecycle, Status, Vm},
};

/// Tombstones beyond this many are dropped, the oldest first.
pub const MAX_TOMBSTONES: usize = 1_024;

/// What a subscriber lacks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Update {
    /// Whether the subscriber must forget all that it had.
    pub is_snapshot: bool,
    /// What changed, each record once.
    pub deltas: Vec<Delta>,
    /// How far the subscriber has come with this.
    pub cursor: Cursor,
}

struct Slot {
    sequence: u64,
    record: Option<Record>,
}

/// A set of records with the order of their last changes.
pub struct Changes {
    epoch: u64,
    sequence: u64,
    /// Cursors below this may miss a removal.
    floor: u64,
    slots: BTreeMap<Key, Slot>,
    order: BTreeMap<u64, Key>,
    tombstones: usize,
}

impl Changes {
    /// An empty set. `epoch` is drawn at random at each start, so that no cursor of another
    /// replica or start is taken for one of this set.
    pub fn new(epoch: u64) -> Self {
        Self {
            epoch,
            sequence: 0,
            floor: 0,
            slots: BTreeMap::new(),
            order: BTreeMap::new(),
            tombstones: 0,
        }
    }

    /// The place after the last change.
    pub fn cursor(&self) -> Cursor {
        Cursor {
            epoch: self.epoch,
            sequence: self.sequence,
        }
    }

    /// Takes a change and says whether it was one.
    pub fn apply(&mut self, delta: Delta) -> bool {
        let (key, record) = match delta {
            Delta::Set(record) => (record.key(), Some(record)),
            Delta::Remove(key) => (key, None),
        };
        let old = self.slots.get(&key);
        if old.and_then(|slot| slot.record.as_ref()) == record.as_ref() {
            return false;
        }
        let was_tombstone = old.is_some_and(|slot| slot.record.is_none());
        if let Some(slot) = old {
            self.order.remove(&slot.sequence);
        }
        self.tombstones =
            self.tombstones - usize::from(was_tombstone) + usize::from(record.is_none());
        self.sequence += 1;
        let sequence = self.sequence;
        self.order.insert(sequence, key.clone());
        self.slots.insert(key, Slot { sequence, record });
        self.prune();
        true
    }

    /// Replaces all records for whose key `is_covered` holds, and says whether any changed.
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

    /// What a subscriber at `cursor` lacks.
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
        if self.tombstones <= MAX_TOMBSTONES {
            return;
        }
        let is_tombstone = |key: &Key| {
            let slot = self.slots.get(key);
            slot.is_some_and(|slot| slot.record.is_none())
        };
        let oldest = self.order.iter().find(|(_, key)| is_tombstone(key));
        if let Some((&sequence, key)) = oldest {
            let key = key.clone();
            self.order.remove(&sequence);
            self.slots.remove(&key);
            self.tombstones -= 1;
            self.floor = sequence;
        }
    }
}

/// A VM as entries need it: without the progress of what it does not serve yet, and with its limit
/// rounded down to a power of two. A limit grows step by step while an upstream warms up; entries
/// learn it exactly from each answer, so the feed need not tell every step.
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

/// A VM as other agents need it: who it is, and whether it leaves.
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
