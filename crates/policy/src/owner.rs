//! Owners: which agents bring a chunk from the origin and across the links between regions.
//!
//! A rendezvous hash over the members names them, so agents that see the same members agree
//! without a message. See `docs/ARCHITECTURE.md`, "Weights".

use std::collections::BTreeMap;

use domain::{digest::Digest, name};

/// How many agents of a region share the work of its owners for one version.
///
/// It bounds the sessions of an owner, and with the region's link rate the rate of each.
pub const OWNERS_PER_REGION: usize = 4;
/// How many agents may ever draw one chunk from the origin.
pub const ORIGIN_FETCHERS: usize = 3;
/// How often the first of them may draw it, failed draws included.
const FIRST_QUOTA: u32 = 2;

/// An agent that exchanges chunks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Its VM.
    pub vm: name::Vm,
    /// The VM's availability zone.
    pub zone: name::AvailabilityZone,
    /// The zone's region.
    pub region: name::Region,
}

/// How often the agent of the given rank may draw one chunk from the origin.
///
/// The sum over all ranks is four, so the origin never sends more than four copies.
pub fn origin_quota(global_rank: usize) -> u32 {
    match global_rank {
        0 => FIRST_QUOTA,
        1..ORIGIN_FETCHERS => 1,
        _ => 0,
    }
}

/// The part of an agent in one chunk's way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rank {
    /// Its place among the region's owners; 0 brings the chunk into the region.
    pub regional: usize,
    /// Its place among all owners; 0 draws the chunk from the origin.
    pub global: usize,
}

#[derive(Clone, Debug)]
struct Candidate {
    vm: name::Vm,
    key: u64,
}

/// The owners of one version's chunks.
#[derive(Clone, Debug, Default)]
pub struct Owners {
    regions: BTreeMap<name::Region, Vec<Candidate>>,
}

impl Owners {
    /// Names the owners of a manifest's chunks.
    pub fn new<'a>(manifest: &Digest, members: impl IntoIterator<Item = &'a Member>) -> Self {
        let mut regions = BTreeMap::<name::Region, Vec<Candidate>>::new();
        for member in members {
            regions
                .entry(member.region.clone())
                .or_default()
                .push(Candidate {
                    key: mix(key_of(manifest), text_key(member.vm.as_str())),
                    vm: member.vm.clone(),
                });
        }
        for candidates in regions.values_mut() {
            candidates.sort_by(|a, b| (a.key, &a.vm).cmp(&(b.key, &b.vm)));
            candidates.truncate(OWNERS_PER_REGION);
        }
        Self { regions }
    }

    /// Every owner of some chunk.
    pub fn all(&self) -> impl Iterator<Item = &name::Vm> {
        self.regions
            .values()
            .flatten()
            .map(|candidate| &candidate.vm)
    }

    /// How many agents own chunks in a region.
    pub fn count(&self, region: &name::Region) -> usize {
        self.regions.get(region).map_or(0, Vec::len)
    }

    /// Whether the agent owns any chunk.
    pub fn contains(&self, vm: &name::Vm) -> bool {
        self.all().any(|owner| owner == vm)
    }

    /// The owners of a chunk in one region, the acting one first.
    pub fn regional(&self, region: &name::Region, chunk: &Digest) -> Vec<&name::Vm> {
        self.ranked(region, chunk)
            .into_iter()
            .map(|(_, vm)| vm)
            .collect()
    }

    /// All owners of a chunk, the one that draws it from the origin first.
    ///
    /// The first of each region stand before the second of any, so that the few that may draw a
    /// chunk stand in different regions: then a region that is cut off still gets it.
    pub fn global(&self, chunk: &Digest) -> Vec<&name::Vm> {
        let mut order: Vec<_> = self
            .regions
            .keys()
            .flat_map(|region| self.ranked(region, chunk).into_iter().enumerate())
            .collect();
        order.sort();
        order.into_iter().map(|(_, (_, vm))| vm).collect()
    }

    /// The part of an agent in a chunk's way, if it has one.
    pub fn rank(&self, vm: &name::Vm, region: &name::Region, chunk: &Digest) -> Option<Rank> {
        let place = |order: Vec<&name::Vm>| order.into_iter().position(|owner| owner == vm);
        Some(Rank {
            regional: place(self.regional(region, chunk))?,
            global: place(self.global(chunk))?,
        })
    }

    fn ranked(&self, region: &name::Region, chunk: &Digest) -> Vec<(u64, &name::Vm)> {
        let chunk = key_of(chunk);
        let mut order: Vec<_> = self
            .regions
            .get(region)
            .into_iter()
            .flatten()
            .map(|candidate| (mix(chunk, candidate.key), &candidate.vm))
            .collect();
        order.sort();
        order
    }
}

/// A number that stands for a digest in rendezvous hashes.
pub fn key_of(digest: &Digest) -> u64 {
    let [a, b, c, d, e, f, g, h, ..] = *digest.as_bytes();
    u64::from_le_bytes([a, b, c, d, e, f, g, h])
}

/// A number that stands for a name in rendezvous hashes.
pub fn text_key(text: &str) -> u64 {
    key_of(&Digest::of(text.as_bytes()))
}

/// Joins two keys so that each bit of both counts (the finaliser of SplitMix64).
pub fn mix(a: u64, b: u64) -> u64 {
    let mut z = (a ^ b.rotate_left(32)).wrapping_add(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}
