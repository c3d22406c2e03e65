//! The records of the feed that follow from the state, and the deltas of a change of the lists.

use std::collections::BTreeMap;

use domain::{
    lists::Lists,
    record::{Delta, Key, Record, Target},
};

use super::State;

pub(super) fn records(state: &State) -> Vec<Record> {
    list_records(&state.lists)
        .chain(state.rollouts.values().cloned().map(Record::Rollout))
        .chain(state.zones_out.iter().cloned().map(Record::ZoneOut))
        .chain(state.drains.iter().cloned().map(Record::Drain))
        .chain(state.targets.iter().map(|(model, version)| {
            Record::Target(Target {
                model: model.clone(),
                version: *version,
            })
        }))
        .chain(
            state
                .registry
                .all()
                .cloned()
                .map(|instance| Record::Instance(Box::new(instance))),
        )
        .chain(state.quarantine.records())
        .collect()
}

pub(super) fn lists(old: &Lists, new: &Lists) -> Vec<Delta> {
    let old: BTreeMap<Key, Record> = keyed(old);
    let new: BTreeMap<Key, Record> = keyed(new);
    let removed = old
        .keys()
        .filter(|key| !new.contains_key(key))
        .cloned()
        .map(Delta::Remove);
    let set = new
        .iter()
        .filter(|(key, record)| old.get(key) != Some(record))
        .map(|(_, record)| Delta::Set(record.clone()));
    removed.chain(set).collect()
}

fn keyed(lists: &Lists) -> BTreeMap<Key, Record> {
    list_records(lists)
        .map(|record| (record.key(), record))
        .collect()
}

fn list_records(lists: &Lists) -> impl Iterator<Item = Record> {
    let customers = lists.customers.iter().cloned().map(Record::Customer);
    customers.chain(lists.plans.iter().cloned().map(Record::Plan))
}
