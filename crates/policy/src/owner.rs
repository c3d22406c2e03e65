//! Chunk owners: the agents that fetch a chunk from the origin and across the links between
//! regions.
//!
//! Owners are chosen by rendezvous hashing over the members, so agents with the same member list
//! agree without coordination. See `docs/ARCHITECTURE.md`, "Weights".

use std::collections::BTreeMap;

use domain::{digest::Digest, name};

/// The number of owners in each region for one version.
///
/// It bounds the sessions of an owner and, together with the region's link rate, the rate of each
/// owner.
pub const OWNERS_PER_REGION: usize = 4;
/// The number of agents that may fetch one chunk from the origin.
pub const ORIGIN_FETCHERS: usize = 3;
/// How often the first of these agents may fetch the chunk, failed fetches included.
const FIRST_QUOTA: u32 = 2;

/// An agent that exchanges chunks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// The agent's VM.
    pub vm: name::Vm,
    /// The VM's availability zone.
    pub zone: name::AvailabilityZone,
    /// The zone's region.
    pub region: name::Region,
}

/// How often the agent with the given global rank may fetch one chunk from the origin.
///
/// The sum over all ranks is four, so the origin never sends more than four copies.
pub fn origin_quota(global_rank: usize) -> u32 {
    match global_rank {
        0 => FIRST_QUOTA,
        1..ORIGIN_FETCHERS => 1,
        _ => 0,
    }
}

/// The ranks of an agent among the owners of one chunk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rank {
    /// The rank among the region's owners; rank 0 brings the chunk into the region.
    pub regional: usize,
    /// The rank among the owners of all regions; rank 0 fetches the chunk from the origin.
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
    /// Chooses the owners of a manifest's chunks among the members.
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

    /// The owners of all regions.
    pub fn all(&self) -> impl Iterator<Item = &name::Vm> {
        self.regions
            .values()
            .flatten()
            .map(|candidate| &candidate.vm)
    }

    /// The number of owners in a region.
    pub fn count(&self, region: &name::Region) -> usize {
        self.regions.get(region).map_or(0, Vec::len)
    }

    /// Whether the agent is an owner.
    pub fn contains(&self, vm: &name::Vm) -> bool {
        self.all().any(|owner| owner == vm)
    }

    /// The owners of a chunk in one region by rank, the one that brings it into the region first.
    pub fn regional(&self, region: &name::Region, chunk: &Digest) -> Vec<&name::Vm> {
        self.ranked(region, chunk)
            .into_iter()
            .map(|(_, vm)| vm)
            .collect()
    }

    /// All owners of a chunk by rank, the one that fetches it from the origin first.
    ///
    /// The first owners of all regions come before the second of any, so that the few agents that
    /// may fetch a chunk from the origin are in different regions. A region that is cut off from
    /// the others then still gets the chunk.
    pub fn global(&self, chunk: &Digest) -> Vec<&name::Vm> {
        let mut order: Vec<_> = self
            .regions
            .keys()
            .flat_map(|region| self.ranked(region, chunk).into_iter().enumerate())
            .collect();
        order.sort();
        order.into_iter().map(|(_, (_, vm))| vm).collect()
    }

    /// The ranks of an agent for a chunk; `None` if it is not an owner.
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

/// The key of a digest in rendezvous hashes.
pub fn key_of(digest: &Digest) -> u64 {
    let [a, b, c, d, e, f, g, h, ..] = *digest.as_bytes();
    u64::from_le_bytes([a, b, c, d, e, f, g, h])
}

/// The key of a name in rendezvous hashes.
pub fn text_key(text: &str) -> u64 {
    key_of(&Digest::of(text.as_bytes()))
}

/// Combines two keys so that every bit of both affects the result (the finaliser of SplitMix64).
pub fn mix(a: u64, b: u64) -> u64 {
    let mut z = (a ^ b.rotate_left(32)).wrapping_add(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}
