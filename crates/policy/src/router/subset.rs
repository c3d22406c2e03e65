//! The subset of the fleet that one entry uses for one need.
//!
//! Rendezvous hashing on the entry's name keeps the subset the same after a restart, and replaces
//! only one member when a VM joins or leaves. The size of the subset bounds the entry's
//! connections, regardless of the size of the fleet.

use std::{cmp::Reverse, sync::Arc};

use domain::vm::Vm;

use super::{Config, Need, serves};
use crate::{affinity::Point, view::View};

/// An upstream and its point in the hash space.
#[derive(Clone, Debug)]
pub(super) struct Member {
    pub(super) vm: Arc<Vm>,
    pub(super) point: Point,
}

/// Members by locality: in the entry's availability zone, in its region, elsewhere.
#[derive(Clone, Debug, Default)]
pub(super) struct Subset {
    tiers: [Vec<Member>; 3],
}

impl Subset {
    pub(super) fn new(config: &Config, view: &View, need: &Need) -> Self {
        let mut subset = Self::default();
        let eligible = view
            .vms
            .values()
            .filter(|vm| serves(vm, need) && view.is_in_service(vm));
        for vm in eligible {
            let announcement = &vm.announcement;
            let tier = match announcement {
                a if a.zone == config.zone => 0,
                a if a.region == config.region => 1,
                _ => 2,
            };
            subset.tiers[tier].push(Member {
                vm: vm.clone(),
                point: Point::of(announcement.vm.as_str().as_bytes()),
            });
        }
        subset.trim(config);
        subset
    }

    pub(super) fn tiers(&self) -> impl Iterator<Item = &[Member]> {
        self.tiers.iter().map(Vec::as_slice)
    }

    pub(super) fn members(&self) -> impl Iterator<Item = &Member> {
        self.tiers.iter().flatten()
    }

    /// Trims the subset to its size: half for the zone, a quarter for the region and a quarter for
    /// the rest. The unused part of a quota is available to the other tiers.
    fn trim(&mut self, config: &Config) {
        let size = config.subset_size;
        let own = Point::of(config.vm.as_str().as_bytes());
        let quotas = [size - size / 4 * 2, size / 4, size / 4];
        let unused: usize = self
            .tiers
            .iter()
            .zip(quotas)
            .map(|(tier, quota)| quota.saturating_sub(tier.len()))
            .sum();
        let mut spare = unused;
        for (tier, quota) in self.tiers.iter_mut().zip(quotas) {
            let extra = tier.len().saturating_sub(quota).min(spare);
            spare -= extra;
            if tier.len() > quota + extra {
                tier.sort_by_key(|member| Reverse(own.weight(member.point)));
                tier.truncate(quota + extra);
            }
        }
    }
}
