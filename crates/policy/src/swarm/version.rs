//! What one agent knows of one version: its own chunks, its peers' offers and its ranks.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use domain::{clock::Instant, digest::Digest, manifest::Chunk, name};

use super::{bitmap::Bitmap, ring};
use crate::owner::{Member, Owners, Rank};

/// What a peer says it holds of a version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Offer {
    /// The chunks that it holds.
    pub held: Bitmap,
    /// How much it has sent, in bytes.
    pub sent_bytes: u64,
}

/// The shortest time for which an offer of a chunk is not believed after it proved wrong.
const MIN_DISBELIEF: Duration = Duration::from_secs(10);
/// How often that time doubles.
const MAX_DOUBLINGS: u32 = 6;

/// An offer of one chunk that proved wrong.
#[derive(Clone, Copy, Debug, Default)]
struct Disbelief {
    until: Instant,
    times: u32,
}

/// How far an owner has come with the chunks that it owns.
#[derive(Clone, Debug)]
struct Progress {
    owned: Vec<usize>,
    held: usize,
    at: Instant,
    lost_at: Option<Instant>,
}

pub(crate) struct Version {
    pub(crate) manifest: Digest,
    pub(crate) chunks: Arc<[Chunk]>,
    pub(crate) total_bytes: u64,
    pub(crate) held: Bitmap,
    pub(crate) weight: u32,
    pub(crate) fetched_bytes: u64,
    pub(crate) offers: BTreeMap<name::Vm, Offer>,
    pub(crate) draws: Vec<u8>,
    pub(crate) started_at: Instant,
    pub(crate) progress_at: Instant,
    local_holders: Vec<u16>,
    remote_holders: Vec<u16>,
    ranks: Vec<Option<Rank>>,
    orders: Orders,
    owners: Owners,
    progress: BTreeMap<name::Vm, Progress>,
    neighbours: BTreeSet<name::Vm>,
    local: BTreeSet<name::Vm>,
    answered: BTreeSet<name::Vm>,
    disbeliefs: BTreeMap<name::Vm, BTreeMap<usize, Disbelief>>,
}

/// The owners before this agent in each chunk's orders; only those are ever waited for.
#[derive(Default)]
struct Orders {
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
            draws: vec![0; count],
            started_at: now,
            progress_at: now,
            local_holders: vec![0; count],
            remote_holders: vec![0; count],
            ranks: vec![None; count],
            orders: Orders::default(),
            owners: Owners::default(),
            progress: BTreeMap::new(),
            neighbours: BTreeSet::new(),
            local: BTreeSet::new(),
            answered: BTreeSet::new(),
            disbeliefs: BTreeMap::new(),
        }
    }

    /// Works out owners and neighbours again, and forgets peers that are gone.
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
        self.disbeliefs.retain(|vm, _| present.contains(vm));
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
        self.orders = Orders::default();
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
            self.orders.regional.push(regional);
            self.orders.global.push(global);
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
                lost_at: before.and_then(|before| before.lost_at),
                owned,
            };
            self.progress.insert(member.vm.clone(), progress);
        }
    }

    /// The peers whose offers matter now.
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

    /// Whether the peers that are watched have said what they hold, or did not answer.
    pub(crate) fn has_answers(&self, watched: &BTreeSet<name::Vm>) -> bool {
        watched.iter().all(|vm| self.answered.contains(vm))
    }

    pub(crate) fn set_offer(&mut self, vm: &name::Vm, mut offer: Option<Offer>, now: Instant) {
        self.answered.insert(vm.clone());
        if let (Some(offer), Some(wrong)) = (&mut offer, self.disbeliefs.get(vm)) {
            let believed_again = |disbelief: &Disbelief| disbelief.until <= now;
            wrong
                .iter()
                .filter(|(_, disbelief)| !believed_again(disbelief))
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
            progress.lost_at = None;
        }
        self.forget_offer(vm);
        if let Some(offer) = offer {
            self.add_holder(vm, &offer.held);
            self.offers.insert(vm.clone(), offer);
        }
    }

    pub(crate) fn disconnect(&mut self, vm: &name::Vm, now: Instant) {
        self.answered.insert(vm.clone());
        if let Some(progress) = self.progress.get_mut(vm) {
            progress.lost_at = progress.lost_at.or(Some(now));
        }
        self.forget_offer(vm);
    }

    /// The peer did not give a chunk that it had offered; for a while that offer counts for
    /// nothing, so that the chunk can come another way.
    pub(crate) fn refute(&mut self, vm: &name::Vm, index: usize, now: Instant) {
        let wrong = self.disbeliefs.entry(vm.clone()).or_default();
        let disbelief = wrong.entry(index).or_default();
        let span = MIN_DISBELIEF * 2u32.pow(disbelief.times.min(MAX_DOUBLINGS));
        disbelief.until = now + span;
        disbelief.times += 1;
        let is_local = self.is_local(vm);
        let was_offered = self
            .offers
            .get_mut(vm)
            .is_some_and(|offer| offer.held.remove(index));
        if was_offered {
            self.holders_mut(is_local)[index] -= 1;
        }
    }

    fn is_refuted(&self, vm: &name::Vm, index: usize, now: Instant) -> bool {
        self.disbeliefs
            .get(vm)
            .and_then(|wrong| wrong.get(&index))
            .is_some_and(|disbelief| disbelief.until > now)
    }

    /// Whether all owners before this agent have made no progress for `patience`.
    pub(crate) fn is_acting_regional(
        &self,
        index: usize,
        patience: Duration,
        now: Instant,
    ) -> bool {
        self.are_failing(self.orders.regional.get(index), index, patience, now)
    }

    /// The same for the draw from the origin.
    pub(crate) fn is_acting_global(&self, index: usize, patience: Duration, now: Instant) -> bool {
        self.are_failing(self.orders.global.get(index), index, patience, now)
    }

    fn are_failing(
        &self,
        before: Option<&Vec<name::Vm>>,
        index: usize,
        patience: Duration,
        now: Instant,
    ) -> bool {
        let is_failing = |vm| self.is_refuted(vm, index, now) || self.is_failing(vm, patience, now);
        before.is_some_and(|before| before.iter().all(is_failing))
    }

    fn is_failing(&self, vm: &name::Vm, patience: Duration, now: Instant) -> bool {
        match self.progress.get(vm) {
            None => true,
            Some(Progress {
                lost_at: Some(lost_at),
                ..
            }) => now.since(*lost_at) > patience / 2,
            Some(progress) if progress.held == progress.owned.len() && progress.held > 0 => false,
            Some(progress) => now.since(progress.at) > patience,
        }
    }

    /// How many owners of the region still bring chunks into it, this agent included.
    pub(crate) fn active_owners(&self, me: &Member) -> usize {
        let others = self
            .progress
            .iter()
            .filter(|(vm, _)| **vm != me.vm && self.is_local(vm))
            .filter(|(_, progress)| progress.held < progress.owned.len())
            .filter(|(_, progress)| progress.lost_at.is_none())
            .count();
        others + 1
    }

    fn forget_offer(&mut self, vm: &name::Vm) {
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
