//! When an engine moves to a version that lies ready beside it.
//!
//! An engine takes nothing new while it finishes what runs and loads, so the engines move one after
//! the other, zone by zone in turn. The turns follow the time since the version was named, because
//! a report of each move's end would come later than the next one must begin. This answers a
//! switch under full load: few engines are away at a time, and in each zone as many as in the
//! others. See `docs/DECISIONS.md`, "Turns by time".

use std::{collections::BTreeMap, time::Duration};

use domain::{clock::Instant, digest::Digest};

use crate::owner::{Member, key_of, mix, text_key};

/// When the first engine moves, as a part of the time in which all must have moved, in hundredths:
/// the chunks are spread before.
const BEGIN_PERCENT: u32 = 32;
/// When the last engine moves, in the same measure. After it, what still runs on old weights ends
/// in time, or its engine gets nothing more: entries turn away from the old weights, so that an
/// engine which moves later does so at once.
const END_PERCENT: u32 = 78;

/// When the engine beside `me` may move, for a version that was named at `named_at`, lies ready
/// since `ready_at` and must serve everywhere within `limit`. `members` are all agents whose engines move.
pub fn due_at(
    me: &Member,
    members: &[Member],
    version: &Digest,
    named_at: Instant,
    ready_at: Instant,
    limit: Duration,
) -> Instant {
    let key = key_of(version);
    let mut zones = BTreeMap::<_, Vec<_>>::new();
    for member in members.iter().filter(|other| other.vm != me.vm).chain([me]) {
        let rank = mix(key, text_key(member.vm.as_str()));
        let zone = zones.entry(&member.zone).or_default();
        zone.push((rank, &member.vm));
    }
    let mut turns: Vec<_> = zones
        .into_iter()
        .flat_map(|(zone, mut ranked)| {
            ranked.sort();
            let order = mix(key, text_key(zone.as_str()));
            ranked
                .into_iter()
                .enumerate()
                .map(move |(turn, (_, vm))| (turn, order, vm))
        })
        .collect();
    turns.sort();
    let place = turns
        .iter()
        .position(|(_, _, vm)| **vm == me.vm)
        .unwrap_or_default();
    let count = turns.len().max(1);
    let begin = ready_at.max(named_at + limit * BEGIN_PERCENT / 100);
    let end = (named_at + limit * END_PERCENT / 100).max(begin);
    begin + end.since(begin).mul_f64(place as f64 / count as f64)
}
