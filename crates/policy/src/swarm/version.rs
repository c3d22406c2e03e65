//! The state of one version at one agent: the chunks held, the peers' offers and the agent's ranks.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use domain::{clock::Instant, digest::Digest, manifest::Chunk, name};

use super::{bitmap::Bitmap, ring};
use crate::owner::{Member, Owners, Rank};

/// The chunks of a version that a peer offers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Offer {
    /// The chunks that the peer reports as held.
    pub held: Bitmap,
    /// The bytes of the version that the peer has sent to others.
    pub sent_bytes: u64,
}

/// How long an offer of a chunk is ignored after the peer first failed to deliver it.
const MIN_REJECTION: Duration = Duration::from_secs(10);
/// How often that time doubles at most.
const MAX_DOUBLINGS: u32 = 6;

/// A peer's offer of one chunk that is ignored because the peer did not deliver the chunk.
#[derive(Clone, Copy, Debug, Default)]
struct Rejection {
    until: Instant,
    /// How often the offer was rejected.
    times: u32,
}

/// The progress of an owner with the chunks that it owns.
#[derive(Clone, Debug)]
struct Progress {
    /// The chunks for which the owner has regional rank 0.
    owned: Vec<usize>,
    /// How many of the owned chunks the owner holds.
    held: usize,
    /// When `held` last grew.
    at: Instant,
    /// Since when the session with the owner has been down.
    disconnected_at: Option<Instant>,
}

/// One version at this agent.
pub(crate) struct Version {
    pub(crate) manifest: Digest,
    pub(crate) chunks: Arc<[Chunk]>,
    pub(crate) total_bytes: u64,
    pub(crate) held: Bitmap,
    pub(crate) weight: u32,
    pub(crate) fetched_bytes: u64,
    pub(crate) offers: BTreeMap<name::Vm, Offer>,
    pub(crate) origin_fetches: Vec<u8>,
    pub(crate) started_at: Instant,
    pub(crate) progress_at: Instant,
    local_holders: Vec<u16>,
    remote_holders: Vec<u16>,
    ranks: Vec<Option<Rank>>,
    predecessors: Predecessors,
    owners: Owners,
    progress: BTreeMap<name::Vm, Progress>,
    neighbours: BTreeSet<name::Vm>,
    /// The agents of the own region.
    local: BTreeSet<name::Vm>,
    /// The peers that have answered a query or failed to.
    answered: BTreeSet<name::Vm>,
    rejections: BTreeMap<name::Vm, BTreeMap<usize, Rejection>>,
}

/// The owners ranked before this agent, for each chunk. The agent waits for no others.
#[derive(Default)]
struct Predecessors {
    regional: Vec<Vec<name::Vm>>,
    global: Vec<Vec<name::Vm>>,
}

impl Version {
    pub(crate) fn new(
        manifest: Digest,
        chunks: Arc<[Chunk]>,
        held: Bitmap,
        weight: u32,
        now: Instant,
    ) -> Self {
        let count = chunks.len();
        Self {
            manifest,
            total_bytes: chunks.iter().map(|chunk| u64::from(chunk.bytes)).sum(),
            chunks,
            held,
            weight: weight.max(1),
            fetched_bytes: 0,
            offers: BTreeMap::new(),
            origin_fetches: vec![0; count],
            started_at: now,
            progress_at: now,
            local_holders: vec![0; count],
            remote_holders: vec![0; count],
            ranks: vec![None; count],
            predecessors: Predecessors::default(),
            owners: Owners::default(),
            progress: BTreeMap::new(),
            neighbours: BTreeSet::new(),
            local: BTreeSet::new(),
            answered: BTreeSet::new(),
            rejections: BTreeMap::new(),
        }
    }

    /// Recomputes owners and neighbours, and removes peers that are no longer members.
    pub(crate) fn set_members(
        &mut self,
        me: &Member,
        members: &[Member],
        count: usize,
        now: Instant,
    ) {
        self.owners = Owners::new(&self.manifest, members);
        self.neighbours = ring::neighbours(&self.manifest, me, members, count);
        self.local = members
            .iter()
            .filter(|member| member.region == me.region)
            .map(|member| member.vm.clone())
            .collect();
        let present: BTreeSet<_> = members.iter().map(|member| &member.vm).collect();
        self.offers.retain(|vm, _| present.contains(vm));
        self.answered.retain(|vm| present.contains(vm));
        self.rejections.retain(|vm, _| present.contains(vm));
        self.set_ranks(me);
        self.set_progress(members, now);
        self.count_holders();
    }

    fn set_ranks(&mut self, me: &Member) {
        let is_owner = self.owners.contains(&me.vm);
        let before = |order: Vec<&name::Vm>| -> Vec<name::Vm> {
            order
                .into_iter()
                .take_while(|vm| **vm != me.vm)
                .cloned()
                .collect()
        };
        self.predecessors = Predecessors::default();
        self.ranks = vec![None; self.chunks.len()];
        if !is_owner {
            return;
        }
        for (index, chunk) in self.chunks.iter().enumerate() {
            let regional = before(self.owners.regional(&me.region, &chunk.digest));
            let global = before(self.owners.global(&chunk.digest));
            self.ranks[index] = Some(Rank {
                regional: regional.len(),
                global: global.len(),
            });
            self.predecessors.regional.push(regional);
            self.predecessors.global.push(global);
        }
    }

    fn set_progress(&mut self, members: &[Member], now: Instant) {
        let mut old = std::mem::take(&mut self.progress);
        for member in members {
            if !self.owners.contains(&member.vm) {
                continue;
            }
            let first = |chunk: &Chunk| {
                self.owners
                    .regional(&member.region, &chunk.digest)
                    .first()
                    .is_some_and(|vm| **vm == member.vm)
            };
            let owned: Vec<_> = (0..self.chunks.len())
                .filter(|index| first(&self.chunks[*index]))
                .collect();
            let before = old.remove(&member.vm);
            let progress = Progress {
                held: before.as_ref().map_or(0, |before| before.held),
                at: before.as_ref().map_or(now, |before| before.at),
                disconnected_at: before.and_then(|before| before.disconnected_at),
                owned,
            };
            self.progress.insert(member.vm.clone(), progress);
        }
    }

    /// The peers whose offers this agent should follow.
    pub(crate) fn watched(&self, me: &name::Vm, is_stuck: bool) -> BTreeSet<name::Vm> {
        let mut watched = self.neighbours.clone();
        if is_stuck || self.owners.contains(me) {
            watched.extend(self.owners.all().cloned());
        }
        watched.remove(me);
        watched
    }

    pub(crate) fn owners(&self) -> &Owners {
        &self.owners
    }

    pub(crate) fn rank(&self, index: usize) -> Option<Rank> {
        self.ranks.get(index).copied().flatten()
    }

    pub(crate) fn is_local(&self, vm: &name::Vm) -> bool {
        self.local.contains(vm)
    }

    pub(crate) fn local_holders(&self, index: usize) -> u16 {
        self.local_holders[index]
    }

    pub(crate) fn remote_holders(&self, index: usize) -> u16 {
        self.remote_holders[index]
    }

    /// Whether every watched peer has reported its holdings or failed to.
    pub(crate) fn has_answers(&self, watched: &BTreeSet<name::Vm>) -> bool {
        watched.iter().all(|vm| self.answered.contains(vm))
    }

    pub(crate) fn set_offer(&mut self, vm: &name::Vm, mut offer: Option<Offer>, now: Instant) {
        self.answered.insert(vm.clone());
        if let (Some(offer), Some(rejected)) = (&mut offer, self.rejections.get(vm)) {
            let has_expired = |rejection: &Rejection| rejection.until <= now;
            rejected
                .iter()
                .filter(|(_, rejection)| !has_expired(rejection))
                .for_each(|(index, _)| {
                    offer.held.remove(*index);
                });
        }
        if let Some(progress) = self.progress.get_mut(vm) {
            let held = match &offer {
                Some(offer) => progress
                    .owned
                    .iter()
                    .filter(|index| offer.held.contains(**index))
                    .count(),
                None => 0,
            };
            if held > progress.held {
                progress.at = now;
            }
            progress.held = held;
            progress.disconnected_at = None;
        }
        self.remove_offer(vm);
        if let Some(offer) = offer {
            self.add_holder(vm, &offer.held);
            self.offers.insert(vm.clone(), offer);
        }
    }

    pub(crate) fn disconnect(&mut self, vm: &name::Vm, now: Instant) {
        self.answered.insert(vm.clone());
        if let Some(progress) = self.progress.get_mut(vm) {
            progress.disconnected_at = progress.disconnected_at.or(Some(now));
        }
        self.remove_offer(vm);
    }

    /// Ignores a peer's offer of a chunk for a while because the peer did not deliver the chunk, so
    /// that it can be fetched from another source.
    pub(crate) fn reject_offer(&mut self, vm: &name::Vm, index: usize, now: Instant) {
        let rejected = self.rejections.entry(vm.clone()).or_default();
        let rejection = rejected.entry(index).or_default();
        let span = MIN_REJECTION * 2u32.pow(rejection.times.min(MAX_DOUBLINGS));
        rejection.until = now + span;
        rejection.times += 1;
        let is_local = self.is_local(vm);
        let was_offered = self
            .offers
            .get_mut(vm)
            .is_some_and(|offer| offer.held.remove(index));
        if was_offered {
            self.holders_mut(is_local)[index] -= 1;
        }
    }

    fn is_rejected(&self, vm: &name::Vm, index: usize, now: Instant) -> bool {
        self.rejections
            .get(vm)
            .and_then(|rejected| rejected.get(&index))
            .is_some_and(|rejection| rejection.until > now)
    }

    /// Whether this agent acts as the chunk's first owner in its region: it is an owner, and all
    /// owners ranked before it have failed for `patience`.
    pub(crate) fn is_acting_regional(
        &self,
        index: usize,
        patience: Duration,
        now: Instant,
    ) -> bool {
        self.are_failing(self.predecessors.regional.get(index), index, patience, now)
    }

    /// Whether this agent acts as the first owner of the chunk over all regions, which fetches it
    /// from the origin.
    pub(crate) fn is_acting_global(&self, index: usize, patience: Duration, now: Instant) -> bool {
        self.are_failing(self.predecessors.global.get(index), index, patience, now)
    }

    /// Whether every given owner is failing or did not deliver the chunk that it offered.
    fn are_failing(
        &self,
        before: Option<&Vec<name::Vm>>,
        index: usize,
        patience: Duration,
        now: Instant,
    ) -> bool {
        let is_failing =
            |vm| self.is_rejected(vm, index, now) || self.is_failing(vm, patience, now);
        before.is_some_and(|before| before.iter().all(is_failing))
    }

    /// Whether an owner has been disconnected for more than half of `patience`, or has made no
    /// progress for `patience` without holding all chunks that it owns. Agents that are not owners
    /// count as failing.
    fn is_failing(&self, vm: &name::Vm, patience: Duration, now: Instant) -> bool {
        match self.progress.get(vm) {
            None => true,
            Some(Progress {
                disconnected_at: Some(disconnected_at),
                ..
            }) => now.since(*disconnected_at) > patience / 2,
            Some(progress) if progress.held == progress.owned.len() && progress.held > 0 => false,
            Some(progress) => now.since(progress.at) > patience,
        }
    }

    /// The number of owners of the region that are still bringing chunks into it, this agent
    /// included.
    pub(crate) fn active_owners(&self, me: &Member) -> usize {
        let others = self
            .progress
            .iter()
            .filter(|(vm, _)| **vm != me.vm && self.is_local(vm))
            .filter(|(_, progress)| progress.held < progress.owned.len())
            .filter(|(_, progress)| progress.disconnected_at.is_none())
            .count();
        others + 1
    }

    fn remove_offer(&mut self, vm: &name::Vm) {
        let Some(offer) = self.offers.remove(vm) else {
            return;
        };
        let is_local = self.is_local(vm);
        let holders = self.holders_mut(is_local);
        offer.held.iter().for_each(|index| holders[index] -= 1);
    }

    fn add_holder(&mut self, vm: &name::Vm, held: &Bitmap) {
        let is_local = self.is_local(vm);
        let holders = self.holders_mut(is_local);
        held.iter().for_each(|index| holders[index] += 1);
    }

    fn holders_mut(&mut self, is_local: bool) -> &mut Vec<u16> {
        match is_local {
            true => &mut self.local_holders,
            false => &mut self.remote_holders,
        }
    }

    fn count_holders(&mut self) {
        self.local_holders.fill(0);
        self.remote_holders.fill(0);
        let offers = std::mem::take(&mut self.offers);
        for (vm, offer) in &offers {
            self.add_holder(vm, &offer.held);
        }
        self.offers = offers;
    }
}
