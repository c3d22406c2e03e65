//! The entries that share the instances, as far as one of them knows.
//!
//! Bounds that hold for the sum over all entries depend on their number, so that a list which is
//! too short lets too much through. Such a list is seen when everything restarts, because entries
//! and replicas of control then learn of each other one by one, and when replicas lose their memory
//! of sessions. So entries that vanish are counted for a while, and an entry that has just started
//! assumes that there are as many entries as instances, which the replicated state knows.

use std::{collections::HashMap, time::Duration};

use domain::{clock::Instant, name};

use crate::owner::{mix, text_key};

/// How long an entry that is no longer listed is counted: a replica that restarts hears of all
/// others again in a few seconds.
const HOLD: Duration = Duration::from_secs(10);
/// How long after its first list an entry may still miss others that started with it.
const SETTLE: Duration = Duration::from_millis(2_500);
/// The part of the places at an instance that go to entries in the instance's own zone, in
/// hundredths. The others serve zones that have no instances of their own.
const LOCAL_PERCENT: usize = 60;

#[derive(Clone, Debug)]
struct Entry {
    zone: name::AvailabilityZone,
    key: u64,
    /// When it vanished from the list.
    gone_at: Option<Instant>,
}

/// The known entries.
#[derive(Clone, Debug)]
pub struct Roster {
    me: name::Vm,
    zone: name::AvailabilityZone,
    entries: HashMap<name::Vm, Entry>,
    instances: usize,
    /// When the first list came.
    listed_at: Option<Instant>,
    changes: u64,
}

impl Roster {
    /// Creates the roster of an entry that knows no other one.
    pub fn new(me: name::Vm, zone: name::AvailabilityZone) -> Self {
        Self {
            me,
            zone,
            entries: HashMap::new(),
            instances: 0,
            listed_at: None,
            changes: 0,
        }
    }

    /// Takes in a list of entries with their zones, and how many instances there are.
    pub fn observe<'a>(
        &mut self,
        listed: impl Iterator<Item = (&'a name::Vm, &'a name::AvailabilityZone)>,
        instances: usize,
        now: Instant,
    ) {
        let listed: HashMap<_, _> = listed.collect();
        if self.listed_at.is_none() && (instances > 0 || !listed.is_empty()) {
            self.listed_at = Some(now);
            self.changes += 1;
        }
        for (vm, entry) in &mut self.entries {
            entry.gone_at = match listed.contains_key(vm) {
                true => None,
                false => entry.gone_at.or(Some(now)),
            };
        }
        let is_over = |entry: &Entry| entry.gone_at.is_some_and(|at| now.since(at) >= HOLD);
        let dropped = self.entries.extract_if(|_, entry| is_over(entry)).count();
        let known = self.entries.len();
        for (vm, zone) in listed {
            let fresh = || Entry {
                zone: zone.clone(),
                key: text_key(vm.as_str()),
                gone_at: None,
            };
            self.entries.entry(vm.clone()).or_insert_with(fresh);
        }
        let has_changed = dropped > 0 || known != self.entries.len();
        if has_changed || self.instances != instances {
            self.changes += 1;
        }
        self.instances = instances;
    }

    /// The number of known entries, this one included.
    pub fn count(&self) -> u32 {
        u32::try_from(self.entries.len()).unwrap_or(u32::MAX).max(1)
    }

    /// A number that the entries don't exceed: the known ones, or as many as there are instances
    /// while others may be missing from the list.
    pub fn most(&self, now: Instant) -> u32 {
        match self.is_settled(now) {
            true => self.count(),
            false => {
                let instances = u32::try_from(self.instances).unwrap_or(u32::MAX);
                self.count().max(instances)
            }
        }
    }

    /// A number that changes whenever [`Roster::has_place`] may change.
    pub fn epoch(&self, now: Instant) -> u64 {
        self.changes * 2 + u64::from(self.is_settled(now))
    }

    /// Whether this entry has one of so many places at an instance. Entries with equal lists agree
    /// on the holders without talking to each other; an entry that may miss others draws for
    /// itself, with so small a chance that the places suffice for all.
    pub fn has_place(
        &self,
        instance: &name::Instance,
        zone: &name::AvailabilityZone,
        places: u32,
        now: Instant,
    ) -> bool {
        let most = self.most(now);
        if self.listed_at.is_none() || places >= most {
            return self.listed_at.is_some();
        }
        let instance = text_key(instance.as_str());
        let own = mix(instance, text_key(self.me.as_str()));
        if !self.is_settled(now) {
            let chance = f64::from(places) / f64::from(most);
            return (own as f64) < chance * u64::MAX as f64;
        }
        let others = self.entries.iter().filter(|(vm, _)| **vm != self.me);
        let ahead = others.map(|(_, entry)| (mix(instance, entry.key), &entry.zone));
        let ahead: Vec<_> = ahead.filter(|(key, _)| *key < own).collect();
        let here = self.entries.values().filter(|entry| entry.zone == *zone);
        let local = (places as usize * LOCAL_PERCENT / 100)
            .max(1)
            .min(here.count());
        let ahead_here = ahead.iter().filter(|(_, other)| *other == zone).count();
        let has_local = self.zone == *zone && ahead_here < local;
        // The other places go to those that have none by their zone.
        let ahead_free = ahead.len() - ahead_here.min(local);
        has_local || ahead_free < places as usize - local
    }

    /// The number of other entries that come before this one at an instance.
    pub fn rank(&self, instance: &name::Instance) -> u32 {
        let instance = text_key(instance.as_str());
        let own = mix(instance, text_key(self.me.as_str()));
        let others = self.entries.iter().filter(|(vm, _)| **vm != self.me);
        let ahead = others.filter(|(_, entry)| mix(instance, entry.key) < own);
        u32::try_from(ahead.count()).unwrap_or(u32::MAX)
    }

    fn is_settled(&self, now: Instant) -> bool {
        self.listed_at.is_some_and(|at| now.since(at) >= SETTLE)
    }
}
