//! The order in which the agents of each region come for each chunk.

use std::collections::BTreeMap;

use domain::name;

use crate::owner::{Member, mix, text_key};

/// The agents of each region, ordered in a ring. Chunks are assigned round-robin, so that all
/// agents own about the same number: the agent with the most chunks determines when the last one
/// arrives.
pub(super) struct Rings<'a> {
    regions: BTreeMap<&'a name::Region, Vec<&'a name::Vm>>,
    chunks: usize,
}

impl<'a> Rings<'a> {
    /// The rings of these agents for chunks with these keys.
    pub(super) fn new(members: &'a [Member], keys: &[u64]) -> Self {
        // Rings differ between versions, so that no agent always comes first.
        let seed = keys.first().copied().unwrap_or_default();
        let mut regions = BTreeMap::<_, Vec<_>>::new();
        for member in members {
            regions.entry(&member.region).or_default().push(&member.vm);
        }
        for ring in regions.values_mut() {
            ring.sort_by_key(|vm| (mix(seed, text_key(vm.as_str())), *vm));
        }
        Self {
            regions,
            chunks: keys.len(),
        }
    }

    /// The agents of a region in their order for a chunk, starting with its owner in that region.
    pub(super) fn of(&self, index: usize, region: &name::Region) -> Vec<&'a name::Vm> {
        let Some(ring) = self.regions.get(region) else {
            return Vec::new();
        };
        let count = self.regions.len();
        let turn = index / count + index % count * self.chunks.div_ceil(count);
        let place = turn % ring.len();
        ring[place..]
            .iter()
            .chain(&ring[..place])
            .copied()
            .collect()
    }

    /// The owners of a chunk in the regions that precede the given one. The owner in the first
    /// region fetches the chunk from the origin.
    pub(super) fn owners_before(&self, index: usize, region: &name::Region) -> Vec<&'a name::Vm> {
        let names: Vec<_> = self.regions.keys().copied().collect();
        let first = index % names.len().max(1);
        let order = names[first..].iter().chain(&names[..first]);
        order
            .take_while(|other| **other != region)
            .filter_map(|other| self.of(index, other).into_iter().next())
            .collect()
    }
}
