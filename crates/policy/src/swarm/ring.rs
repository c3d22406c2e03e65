//! Neighbours: the few agents of a region with which an agent exchanges chunks.
//!
//! The members of each zone and of each region form a ring, ordered by rendezvous hash. An agent's
//! neighbours are at fixed distances on both sides, so the relation is mutual, every agent has
//! about the same number of neighbours, and any other agent is reached in few hops.

use std::collections::BTreeSet;

use domain::{digest::Digest, name};

use crate::owner::{Member, key_of, mix, text_key};

/// How many of an agent's neighbours are chosen from the whole region, so that zones are connected.
const REGION_NEIGHBOURS: usize = 2;

/// The neighbours of `me` for a manifest, about `count` of them.
pub fn neighbours(
    manifest: &Digest,
    me: &Member,
    members: &[Member],
    count: usize,
) -> BTreeSet<name::Vm> {
    let region = |member: &&Member| member.region == me.region;
    let zone = |member: &&Member| region(member) && member.zone == me.zone;
    let of_region = count.min(REGION_NEIGHBOURS);
    let mut found = pick(manifest, me, members.iter().filter(zone), count - of_region);
    let missing = count.saturating_sub(found.len());
    found.extend(pick(
        manifest,
        me,
        members.iter().filter(region),
        missing.max(of_region),
    ));
    found
}

fn pick<'a>(
    manifest: &Digest,
    me: &Member,
    members: impl Iterator<Item = &'a Member>,
    count: usize,
) -> BTreeSet<name::Vm> {
    let manifest = key_of(manifest);
    let mut ring: Vec<_> = members
        .map(|member| (mix(manifest, text_key(member.vm.as_str())), &member.vm))
        .collect();
    ring.sort();
    let Some(place) = ring.iter().position(|(_, vm)| **vm == me.vm) else {
        return BTreeSet::new();
    };
    distances(ring.len(), count)
        .into_iter()
        .flat_map(|distance| {
            [
                (place + distance) % ring.len(),
                (place + ring.len() - distance) % ring.len(),
            ]
        })
        .filter(|other| *other != place)
        .map(|other| ring[other].1.clone())
        .collect()
}

/// The distances of neighbours on one side of a ring: from 1 in geometric steps, up to half the
/// ring.
fn distances(ring: usize, count: usize) -> BTreeSet<usize> {
    if ring <= count + 1 {
        return (1..ring).collect();
    }
    let side = count.div_ceil(2);
    let half = ring as f64 / 2.0;
    (0..side)
        .map(|step| half.powf(step as f64 / side as f64).round() as usize)
        .map(|distance| distance.clamp(1, ring / 2))
        .collect()
}
