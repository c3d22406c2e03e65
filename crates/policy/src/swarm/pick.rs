//! Which chunk to fetch next, and from whom.

use domain::{clock::Instant, digest::Digest, name};
use rand::RngExt;

use super::{
    machine::{Fetch, FetchPlan, Swarm},
    source::Source,
    version::Version,
};
use crate::owner::{key_of, origin_quota};

/// How many chunks an agent draws from the origin at once. The origin's rate is shared by all
/// owners, and the sooner a single chunk is whole, the sooner others can pass it on.
const DRAWS_IN_FLIGHT: usize = 1;
/// How many chunks an agent brings from other regions at once.
const REMOTE_IN_FLIGHT: usize = 2;
/// How many chunks an agent asks of one peer at once.
const PEER_IN_FLIGHT: usize = 2;
/// How often a chunk is refused for budget before it is asked for beyond the budget.
const BUDGET_REFUSALS: u32 = 3;
/// How long an agent waits for its peers' first answers before it draws from the origin.
const FIRST_ANSWERS: std::time::Duration = std::time::Duration::from_secs(1);
/// The backlog of chunks from other regions beyond which some come straight from the origin.
const SPILL_BACKLOG: std::time::Duration = std::time::Duration::from_secs(2);

/// Ways for a chunk to come, in the order in which they are filled.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Way {
    Draw,
    Remote,
    Local,
}

impl Swarm {
    /// The fetches to start now.
    pub fn poll(&mut self, now: Instant) -> Vec<Fetch> {
        let mut fetches = Vec::new();
        for way in [Way::Draw, Way::Remote, Way::Local] {
            while self.running(way) < self.limit(way) {
                let Some(fetch) = self.next(way, now) else {
                    break;
                };
                fetches.push(fetch);
            }
        }
        fetches
    }

    fn limit(&self, way: Way) -> usize {
        match way {
            Way::Draw => DRAWS_IN_FLIGHT,
            Way::Remote => REMOTE_IN_FLIGHT,
            Way::Local => self.config.pipeline,
        }
    }

    fn running(&self, way: Way) -> usize {
        self.tasks
            .values()
            .filter(|task| match (&task.source, task.is_remote) {
                (Source::Origin | Source::Store, _) => way == Way::Draw,
                (Source::Peer(_), true) => way == Way::Remote,
                (Source::Peer(_), false) => way == Way::Local,
            })
            .count()
    }

    /// The next fetch of the version that has had the least for its weight.
    fn next(&mut self, way: Way, now: Instant) -> Option<Fetch> {
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
            .find_map(|(_, manifest)| self.next_of(&manifest, way, now))
    }

    fn next_of(&mut self, manifest: &Digest, way: Way, now: Instant) -> Option<Fetch> {
        let mut candidates = self.candidates(manifest, way, now);
        candidates.sort_unstable();
        let plan = candidates
            .into_iter()
            .find_map(|(_, _, index)| self.plan(manifest, index, way, now))?;
        if plan.source == Source::Origin {
            self.book_draw(&plan.chunk.digest);
        }
        Some(self.start(plan, now))
    }

    /// Missing chunks that may come this way: rarest first, ties in random order.
    fn candidates(&mut self, manifest: &Digest, way: Way, now: Instant) -> Vec<(u16, u32, usize)> {
        let Some(version) = self.versions.get(manifest) else {
            return Vec::new();
        };
        let fits: Vec<_> = version
            .held
            .missing()
            .filter(|index| !self.in_flight.contains(&version.chunks[*index].digest))
            .filter(|index| self.fits(version, *index, way, now))
            .map(|index| (version.local_holders(index), index))
            .collect();
        fits.into_iter()
            .map(|(holders, index)| (holders, self.rng.random(), index))
            .collect()
    }

    fn fits(&self, version: &Version, index: usize, way: Way, now: Instant) -> bool {
        let is_known_here = version.local_holders(index) > 0;
        let is_known_there = version.remote_holders(index) > 0;
        match way {
            Way::Local => is_known_here,
            Way::Remote => {
                is_known_there && !is_known_here && self.is_bringing(version, index, now)
            }
            Way::Draw => !is_known_here && self.is_drawing(version, index, is_known_there, now),
        }
    }

    /// Whether this agent is the one that brings the chunk into the region.
    fn is_bringing(&self, version: &Version, index: usize, now: Instant) -> bool {
        version.is_acting_regional(index, self.patience(), now) || self.is_desperate(version, now)
    }

    /// Whether nothing came for so long that this agent acts for all owners.
    fn is_desperate(&self, version: &Version, now: Instant) -> bool {
        let place = key_of(&Digest::of(self.config.me.vm.as_str().as_bytes())) % 4;
        let turns = 3 + u32::try_from(place).unwrap_or_default();
        now.since(version.progress_at) > self.patience() * turns
    }

    fn is_drawing(
        &self,
        version: &Version,
        index: usize,
        is_known_there: bool,
        now: Instant,
    ) -> bool {
        let has_waited = now.since(version.started_at) > FIRST_ANSWERS;
        let watched = version.watched(&self.config.me.vm, false);
        if !has_waited && !version.has_answers(&watched) {
            return false;
        }
        match is_known_there {
            true => self.is_spilling(version, index, now),
            false => {
                version.is_acting_global(index, self.patience(), now)
                    || self.is_spilling(version, index, now)
                    || self.is_desperate(version, now)
            }
        }
    }

    /// Whether the chunk may come from the origin although another region brings it too, because
    /// the link between the regions decides the finish.
    fn is_spilling(&self, version: &Version, index: usize, now: Instant) -> bool {
        let Some(duty) = version.rank(index) else {
            return false;
        };
        let extra = self.config.origin_percent_max.saturating_sub(100);
        let part = u32::try_from(key_of(&version.chunks[index].digest) % 100).unwrap_or_default();
        let is_chosen = match duty.global {
            1 => part < extra,
            2 => part + 100 < extra,
            _ => false,
        };
        is_chosen
            && duty.regional == 0
            && self.remote_backlog(version) > SPILL_BACKLOG
            && !self.has_own_draws(version, now)
    }

    /// Whether chunks are left that only this agent draws.
    fn has_own_draws(&self, version: &Version, _now: Instant) -> bool {
        version.held.missing().any(|index| {
            version.rank(index).is_some_and(|duty| duty.global == 0)
                && !self.in_flight.contains(&version.chunks[index].digest)
        })
    }

    /// How long the chunks that this agent brings from other regions take on its part of the link.
    fn remote_backlog(&self, version: &Version) -> std::time::Duration {
        let bytes: u64 = version
            .held
            .missing()
            .filter(|index| {
                version
                    .rank(*index)
                    .is_some_and(|duty| duty.regional == 0 && duty.global > 0)
            })
            .map(|index| u64::from(version.chunks[index].bytes))
            .sum();
        let owners = u64::try_from(version.owners().count(&self.config.me.region)).unwrap_or(1);
        let rate = (self.config.region_bytes_per_s / owners.max(1)).max(1);
        std::time::Duration::from_secs_f64(bytes as f64 / rate as f64)
    }

    fn plan(&self, manifest: &Digest, index: usize, way: Way, now: Instant) -> Option<FetchPlan> {
        let version = self.versions.get(manifest)?;
        let chunk = version.chunks[index];
        match way {
            Way::Draw => Some(FetchPlan {
                chunk,
                source: self.drawn_from(version, index, now)?,
                is_remote: false,
                is_spare_only: false,
            }),
            Way::Remote | Way::Local => {
                let is_remote = way == Way::Remote;
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

    /// The first draw of a chunk is the origin's; others ask the weight store before.
    fn drawn_from(&self, version: &Version, index: usize, now: Instant) -> Option<Source> {
        let rank = version.rank(index).map_or(usize::MAX, |duty| duty.global);
        let drawn = u32::from(version.draws[index]);
        let is_first = rank == 0 && drawn == 0;
        let may_store = self.config.has_store && self.sources.is_usable(&Source::Store, now);
        let may_draw = drawn < origin_quota(rank) && self.sources.is_usable(&Source::Origin, now);
        match (is_first, may_store, may_draw) {
            (true, _, true) | (false, false, true) => Some(Source::Origin),
            (_, true, _) => Some(Source::Store),
            (_, false, false) => None,
        }
    }

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

    /// The holder that has the fewest fetches running, and among those the one that sent least.
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

    /// Whether some holder still has budget for the chunk.
    ///
    /// A chunk that was refused a few times is asked for without regard to the budget, because
    /// what holders said of it may be old.
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

    fn budget(&self, version: &Version) -> u64 {
        version.total_bytes * u64::from(self.config.upload_percent) / 100
    }

    fn book_draw(&mut self, digest: &Digest) {
        for version in self.versions.values_mut() {
            let places: Vec<_> = (0..version.chunks.len())
                .filter(|index| version.chunks[*index].digest == *digest)
                .collect();
            for place in places {
                version.draws[place] = version.draws[place].saturating_add(1);
            }
        }
    }
}
