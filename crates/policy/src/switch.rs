//! When an engine switches to a new version that its agent already holds.
//!
//! An engine accepts no new requests while it finishes the running ones and loads the new version,
//! so the engines switch one after the other, alternating between zones. The turns are scheduled by
//! the time since the version became the target, because a report that one switch has ended would
//! arrive after the next one has to begin. This handles a switch under full load: few engines are
//! unavailable at a time, and equally many in each zone. See `docs/DECISIONS.md`, "Turns by time".

use std::{collections::BTreeMap, time::Duration};

use domain::{clock::Instant, digest::Digest};

use crate::owner::{Member, key_of, mix, text_key};

/// When the first engine switches, as a percentage of the time limit for all switches. The chunks
/// are distributed before that.
const BEGIN_PERCENT: u32 = 32;
/// Upper bound for the turn of the last engine, as a percentage of the time limit for all switches.
/// The rest is for requests that still run on the old weights. Entries stop using the old weights,
/// so an engine that switches later has no running requests and does so immediately.
const END_PERCENT: u32 = 78;

/// Returns when the engine of `me` may switch to a version that became the target at `named_at`,
/// has been held since `ready_at` and must be served everywhere within `limit` of `named_at`.
/// `members` are all agents whose engines switch.
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
    let position = turns
        .iter()
        .position(|(_, _, vm)| **vm == me.vm)
        .unwrap_or_default();
    let count = turns.len().max(1);
    let begin = ready_at.max(named_at + limit * BEGIN_PERCENT / 100);
    let end = (named_at + limit * END_PERCENT / 100).max(begin);
    begin + end.since(begin).mul_f64(position as f64 / count as f64)
}
