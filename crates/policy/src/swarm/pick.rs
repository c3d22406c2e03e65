//! Chooses the next chunks to fetch and their sources.

use domain::{clock::Instant, digest::Digest, name};
use rand::RngExt;

use super::{
    machine::{Fetch, FetchPlan, Swarm},
    source::Source,
    version::Version,
};
use crate::owner::{key_of, origin_quota};

/// Concurrent fetches from the origin or the weight store. All owners share the origin's rate, and
/// the sooner a single chunk is complete, the sooner other agents can pass it on.
const ORIGIN_IN_FLIGHT: usize = 1;
/// Concurrent fetches from peers in other regions.
const REMOTE_IN_FLIGHT: usize = 2;
/// Concurrent fetches from one peer.
const PEER_IN_FLIGHT: usize = 2;
/// The number of refusals of a chunk after which it is requested regardless of upload budgets.
const BUDGET_REFUSALS: u32 = 3;
/// How long an agent waits for its peers' first answers before it fetches from the origin.
const FIRST_ANSWERS: std::time::Duration = std::time::Duration::from_secs(1);
/// The backlog of chunks from other regions beyond which some are fetched from the origin instead.
const SPILL_BACKLOG: std::time::Duration = std::time::Duration::from_secs(2);

/// The kinds of sources, in the order in which fetches are started.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Tier {
    /// The origin or the weight store.
    Origin,
    /// Peers in other regions.
    Remote,
    /// Peers in the own region.
    Local,
}

impl Swarm {
    /// The fetches to start now.
    pub fn poll(&mut self, now: Instant) -> Vec<Fetch> {
        let mut fetches = Vec::new();
        for tier in [Tier::Origin, Tier::Remote, Tier::Local] {
            while self.running(tier) < self.limit(tier) {
                let Some(fetch) = self.next(tier, now) else {
                    break;
                };
                fetches.push(fetch);
            }
        }
        fetches
    }

    fn limit(&self, tier: Tier) -> usize {
        match tier {
            Tier::Origin => ORIGIN_IN_FLIGHT,
            Tier::Remote => REMOTE_IN_FLIGHT,
            Tier::Local => self.config.pipeline,
        }
    }

    fn running(&self, tier: Tier) -> usize {
        self.tasks
            .values()
            .filter(|task| match (&task.source, task.is_remote) {
                (Source::Origin | Source::Store, _) => tier == Tier::Origin,
                (Source::Peer(_), true) => tier == Tier::Remote,
                (Source::Peer(_), false) => tier == Tier::Local,
            })
            .count()
    }

    /// The next fetch. Versions with the fewest fetched bytes per weight come first.
    fn next(&mut self, tier: Tier, now: Instant) -> Option<Fetch> {
        let mut order: Vec<_> = self
            .versions
            .values()
            .filter(|version| !version.held.is_full())
            .map(|version| {
                let share = version.fetched_bytes / u64::from(version.weight);
                (share, version.manifest)
            })
            .collect();
        order.sort();
        order
            .into_iter()
            .find_map(|(_, manifest)| self.next_of(&manifest, tier, now))
    }

    fn next_of(&mut self, manifest: &Digest, tier: Tier, now: Instant) -> Option<Fetch> {
        let mut candidates = self.candidates(manifest, tier, now);
        candidates.sort_unstable();
        let plan = candidates
            .into_iter()
            .find_map(|(_, _, index)| self.plan(manifest, index, tier, now))?;
        if plan.source == Source::Origin {
            self.count_origin_fetch(&plan.chunk.digest);
        }
        Some(self.start(plan, now))
    }

    /// The missing chunks that may be fetched from this tier, as (local holders, random number,
    /// index), so that sorting puts the rarest first and breaks ties at random.
    fn candidates(
        &mut self,
        manifest: &Digest,
        tier: Tier,
        now: Instant,
    ) -> Vec<(u16, u32, usize)> {
        let Some(version) = self.versions.get(manifest) else {
            return Vec::new();
        };
        let eligible: Vec<_> = version
            .held
            .missing()
            .filter(|index| !self.in_flight.contains(&version.chunks[*index].digest))
            .filter(|index| self.is_eligible(version, *index, tier, now))
            .map(|index| (version.local_holders(index), index))
            .collect();
        eligible
            .into_iter()
            .map(|(holders, index)| (holders, self.rng.random(), index))
            .collect()
    }

    fn is_eligible(&self, version: &Version, index: usize, tier: Tier, now: Instant) -> bool {
        let has_local = version.local_holders(index) > 0;
        let has_remote = version.remote_holders(index) > 0;
        match tier {
            Tier::Local => has_local,
            Tier::Remote => has_remote && !has_local && self.should_import(version, index, now),
            Tier::Origin => !has_local && self.should_fetch_origin(version, index, has_remote, now),
        }
    }

    /// Whether this agent should fetch the chunk from another region.
    fn should_import(&self, version: &Version, index: usize, now: Instant) -> bool {
        version.is_acting_regional(index, self.patience(), now) || self.is_starved(version, now)
    }

    /// Whether the version made no progress for so long that this agent acts in place of all
    /// owners. The time differs between agents, so that they don't all start at once.
    fn is_starved(&self, version: &Version, now: Instant) -> bool {
        let place = key_of(&Digest::of(self.config.me.vm.as_str().as_bytes())) % 4;
        let turns = 3 + u32::try_from(place).unwrap_or_default();
        now.since(version.progress_at) > self.patience() * turns
    }

    /// Whether this agent should fetch the chunk from the origin or the weight store.
    fn should_fetch_origin(
        &self,
        version: &Version,
        index: usize,
        has_remote: bool,
        now: Instant,
    ) -> bool {
        let has_waited = now.since(version.started_at) > FIRST_ANSWERS;
        let watched = version.watched(&self.config.me.vm, false);
        if !has_waited && !version.has_answers(&watched) {
            return false;
        }
        match has_remote {
            true => self.should_spill(version, index, now),
            false => {
                version.is_acting_global(index, self.patience(), now)
                    || self.should_spill(version, index, now)
                    || self.is_starved(version, now)
            }
        }
    }

    /// Whether to fetch the chunk from the origin although another region's owner fetches it too,
    /// because the link between the regions is the bottleneck.
    fn should_spill(&self, version: &Version, index: usize, now: Instant) -> bool {
        let Some(rank) = version.rank(index) else {
            return false;
        };
        let extra = self.config.origin_percent_max.saturating_sub(100);
        let part = u32::try_from(key_of(&version.chunks[index].digest) % 100).unwrap_or_default();
        let is_chosen = match rank.global {
            1 => part < extra,
            2 => part + 100 < extra,
            _ => false,
        };
        is_chosen
            && rank.regional == 0
            && self.remote_backlog(version) > SPILL_BACKLOG
            && !self.has_own_missing(version, now)
    }

    /// Whether chunks are missing for which this agent has global rank 0 and no fetch is running.
    fn has_own_missing(&self, version: &Version, _now: Instant) -> bool {
        version.held.missing().any(|index| {
            version.rank(index).is_some_and(|rank| rank.global == 0)
                && !self.in_flight.contains(&version.chunks[index].digest)
        })
    }

    /// The time that the missing chunks which this agent brings from other regions take on its
    /// share of the region's link.
    fn remote_backlog(&self, version: &Version) -> std::time::Duration {
        let bytes: u64 = version
            .held
            .missing()
            .filter(|index| {
                version
                    .rank(*index)
                    .is_some_and(|rank| rank.regional == 0 && rank.global > 0)
            })
            .map(|index| u64::from(version.chunks[index].bytes))
            .sum();
        let owners = u64::try_from(version.owners().count(&self.config.me.region)).unwrap_or(1);
        let rate = (self.config.region_bytes_per_s / owners.max(1)).max(1);
        std::time::Duration::from_secs_f64(bytes as f64 / rate as f64)
    }

    /// The source for a fetch of the chunk from the given tier, if any can be used now.
    fn plan(&self, manifest: &Digest, index: usize, tier: Tier, now: Instant) -> Option<FetchPlan> {
        let version = self.versions.get(manifest)?;
        let chunk = version.chunks[index];
        match tier {
            Tier::Origin => Some(FetchPlan {
                chunk,
                source: self.origin_or_store(version, index, now)?,
                is_remote: false,
                is_spare_only: false,
            }),
            Tier::Remote | Tier::Local => {
                let is_remote = tier == Tier::Remote;
                let vm = self.holder(version, index, is_remote, now)?;
                Some(FetchPlan {
                    chunk,
                    is_spare_only: self.has_spare_holder(version, index, is_remote, now),
                    source: Source::Peer(vm),
                    is_remote,
                })
            }
        }
    }

    /// The weight store or the origin. The first fetch of a chunk by its first owner goes to the
    /// origin; all other fetches prefer the weight store.
    fn origin_or_store(&self, version: &Version, index: usize, now: Instant) -> Option<Source> {
        let rank = version.rank(index).map_or(usize::MAX, |rank| rank.global);
        let fetched = u32::from(version.origin_fetches[index]);
        let is_first = rank == 0 && fetched == 0;
        let may_store = self.config.has_store && self.sources.is_usable(&Source::Store, now);
        let may_origin =
            fetched < origin_quota(rank) && self.sources.is_usable(&Source::Origin, now);
        match (is_first, may_store, may_origin) {
            (true, _, true) | (false, false, true) => Some(Source::Origin),
            (_, true, _) => Some(Source::Store),
            (_, false, false) => None,
        }
    }

    /// The holders that a fetch of the chunk may start from now, with the bytes that each has sent.
    fn usable_holders<'a>(
        &'a self,
        version: &'a Version,
        index: usize,
        is_remote: bool,
        now: Instant,
    ) -> impl Iterator<Item = (&'a name::Vm, u64)> {
        version
            .offers
            .iter()
            .filter(move |(_, offer)| offer.held.contains(index))
            .filter(move |(vm, _)| version.is_local(vm) != is_remote)
            .map(|(vm, offer)| (vm, offer.sent_bytes))
            .filter(move |(vm, _)| {
                let source = Source::Peer(name::Vm::clone(vm));
                self.sources.is_usable(&source, now)
                    && self.sources.in_flight(&source) < PEER_IN_FLIGHT
            })
    }

    /// The usable holder to fetch the chunk from: one with upload budget left if there is any, then
    /// the one with the fewest running fetches, then the one that has sent the least.
    fn holder(
        &self,
        version: &Version,
        index: usize,
        is_remote: bool,
        now: Instant,
    ) -> Option<name::Vm> {
        let bytes = u64::from(version.chunks[index].bytes);
        self.usable_holders(version, index, is_remote, now)
            .min_by_key(|(vm, sent)| {
                let source = Source::Peer(name::Vm::clone(vm));
                let is_spent = *sent + bytes > self.budget(version);
                (is_spent, self.sources.in_flight(&source), *sent)
            })
            .map(|(vm, _)| vm.clone())
    }

    /// Whether a usable holder has upload budget left for the chunk.
    ///
    /// A chunk that was refused [`BUDGET_REFUSALS`] times is requested regardless of the budget,
    /// because the holders' reports may be outdated.
    fn has_spare_holder(
        &self,
        version: &Version,
        index: usize,
        is_remote: bool,
        now: Instant,
    ) -> bool {
        let chunk = &version.chunks[index];
        let refusals = self
            .refusals
            .get(&chunk.digest)
            .copied()
            .unwrap_or_default();
        refusals < BUDGET_REFUSALS
            && self
                .usable_holders(version, index, is_remote, now)
                .any(|(_, sent)| sent + u64::from(chunk.bytes) <= self.budget(version))
    }

    /// The upload budget of each peer for the version, in bytes.
    fn budget(&self, version: &Version) -> u64 {
        version.total_bytes * u64::from(self.config.upload_percent) / 100
    }

    /// Counts a fetch from the origin in every version with the chunk.
    fn count_origin_fetch(&mut self, digest: &Digest) {
        for version in self.versions.values_mut() {
            let positions: Vec<_> = (0..version.chunks.len())
                .filter(|index| version.chunks[*index].digest == *digest)
                .collect();
            for position in positions {
                version.origin_fetches[position] =
                    version.origin_fetches[position].saturating_add(1);
            }
        }
    }
}
