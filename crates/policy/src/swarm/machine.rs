//! The state machine of the exchange: its inputs, its outputs and its state.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::Arc,
    time::Duration,
};

use domain::{clock::Instant, digest::Digest, manifest::Chunk, name};
use rand::rngs::StdRng;

use super::{
    bitmap::Bitmap,
    source::{Source, Sources},
    version::{Offer, Version},
};
use crate::owner::Member;

/// The time without progress after which the next owner takes over.
pub const DEFAULT_STALL_AFTER: Duration = Duration::from_secs(3);

/// The number of refusals of a chunk after which the last holder's offer of it is ignored.
const MAX_REFUSALS: u32 = 12;

/// The settings of an agent's part in the exchange.
#[derive(Clone, Debug)]
pub struct Config {
    /// The agent itself.
    pub me: Member,
    /// The number of peers of its region that the agent exchanges chunks with.
    pub neighbours: usize,
    /// The number of concurrent fetches from these peers.
    pub pipeline: usize,
    /// Whether there is a weight store.
    pub has_store: bool,
    /// The most that the origin may send in total when links between regions are slow, in
    /// hundredths of a copy.
    pub origin_percent_max: u32,
    /// The part of a version that each peer sends before other holders are preferred, in
    /// hundredths.
    pub upload_percent: u32,
    /// The time without progress after which the next owner takes over.
    pub stall_after: Duration,
    /// The rate limit of the link from other regions to this agent, in bytes per second.
    pub region_bytes_per_s: u64,
}

/// A session that should be open with a peer, to follow its holdings of one manifest.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Watch {
    /// The peer.
    pub vm: name::Vm,
    /// The manifest.
    pub manifest: Digest,
}

/// A chunk to fetch now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fetch {
    /// Identifies the fetch in [`Swarm::finish`].
    pub id: u64,
    /// The chunk.
    pub chunk: Chunk,
    /// Where to fetch it from.
    pub source: Source,
    /// Whether the fetch crosses a link between two regions.
    pub is_remote: bool,
    /// Whether the peer should answer only within its upload budget.
    pub is_spare_only: bool,
}

/// The outcome of a fetch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The chunk is verified and stored in the spool.
    Verified,
    /// The bytes do not match the chunk's digest.
    Corrupt,
    /// The source does not hold the chunk.
    NotHeld,
    /// The source is busy; retry after this time.
    Busy(Duration),
    /// The source stalled or broke off. Part of the chunk may have been received.
    Failed,
    /// The source could not be reached or refused the request. No bytes were received.
    Refused,
    /// The chunk arrived after the last version with it was dropped, and was discarded.
    Unwanted,
}

/// A version that makes no progress.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Stall {
    /// The manifest.
    pub manifest: Digest,
    /// The number of missing chunks.
    pub missing: usize,
    /// The number of missing chunks that at least one peer offers.
    pub offered: usize,
    /// The number of running fetches over all versions.
    pub in_flight: usize,
    /// The time since the last chunk.
    pub idle: Duration,
}

/// A running fetch.
pub(crate) struct Task {
    pub(crate) digest: Digest,
    pub(crate) source: Source,
    pub(crate) is_remote: bool,
    pub(crate) started_at: Instant,
}

/// The exchange of all versions of one agent.
pub struct Swarm {
    pub(crate) config: Config,
    pub(crate) rng: StdRng,
    pub(crate) versions: BTreeMap<Digest, Version>,
    pub(crate) sources: Sources,
    pub(crate) tasks: BTreeMap<u64, Task>,
    pub(crate) in_flight: BTreeSet<Digest>,
    /// How often busy holders refused each chunk that is still missing.
    pub(crate) refusals: HashMap<Digest, u32>,
    /// The longest recent fetch, decaying with each verified chunk. It lengthens the stall timeout
    /// on slow links.
    pub(crate) slowest: Duration,
    /// The random part that is added to the stall timeout, as a fraction of it.
    pub(crate) jitter: f64,
    members: Vec<Member>,
    /// For each chunk, the manifests with it and its index in each of them.
    index: HashMap<Digest, Vec<(Digest, usize)>>,
    next_id: u64,
}

impl Swarm {
    /// An agent without versions or peers.
    pub fn new(config: Config, mut rng: StdRng) -> Self {
        let jitter = rand::RngExt::random_range(&mut rng, 0.0..0.5);
        Self {
            members: vec![config.me.clone()],
            config,
            rng,
            versions: BTreeMap::new(),
            sources: Sources::default(),
            tasks: BTreeMap::new(),
            in_flight: BTreeSet::new(),
            refusals: HashMap::new(),
            slowest: Duration::ZERO,
            jitter,
            index: HashMap::new(),
            next_id: 0,
        }
    }

    /// Sets the agents that exchange chunks. This agent is always included.
    pub fn set_members(&mut self, members: Vec<Member>, now: Instant) {
        let me = &self.config.me;
        for gone in &self.members {
            if !members.iter().any(|member| member.vm == gone.vm) {
                self.sources.remove(&gone.vm);
            }
        }
        self.members = members;
        self.members.retain(|member| member.vm != me.vm);
        self.members.push(me.clone());
        for version in self.versions.values_mut() {
            version.set_members(me, &self.members, self.config.neighbours, now);
        }
    }

    /// Starts to fetch a version. The chunks in `held` are verified already.
    ///
    /// Versions share the links in proportion to `weight`.
    pub fn want(
        &mut self,
        manifest: Digest,
        chunks: impl Into<Arc<[Chunk]>>,
        held: Bitmap,
        weight: u32,
        now: Instant,
    ) {
        let mut version = Version::new(manifest, chunks.into(), held, weight, now);
        let Config { me, neighbours, .. } = &self.config;
        version.set_members(me, &self.members, *neighbours, now);
        for (position, chunk) in version.chunks.iter().enumerate() {
            let places = self.index.entry(chunk.digest).or_default();
            places.retain(|(other, at)| (*other, *at) != (manifest, position));
            places.push((manifest, position));
        }
        self.versions.insert(manifest, version);
    }

    /// Drops a version. The results of its running fetches are ignored.
    pub fn drop_version(&mut self, manifest: &Digest) {
        self.versions.remove(manifest);
        self.index.retain(|_, places| {
            places.retain(|(other, _)| other != manifest);
            !places.is_empty()
        });
    }

    /// Whether a version of the agent contains the chunk.
    pub fn is_wanted(&self, chunk: &Digest) -> bool {
        self.index.contains_key(chunk)
    }

    /// The version whose upload budget a chunk counts against; `None` if no version contains it.
    pub fn version_of(&self, chunk: &Digest) -> Option<Digest> {
        self.index
            .get(chunk)?
            .first()
            .map(|(manifest, _)| *manifest)
    }

    /// Whether the chunk is verified and may be sent to other agents.
    pub fn holds(&self, chunk: &Digest) -> bool {
        self.index
            .get(chunk)
            .into_iter()
            .flatten()
            .any(|(id, position)| {
                self.versions
                    .get(id)
                    .is_some_and(|version| version.held.contains(*position))
            })
    }

    /// The verified chunks of a version.
    pub fn held(&self, manifest: &Digest) -> Option<&Bitmap> {
        Some(&self.versions.get(manifest)?.held)
    }

    /// The number of chunks of a version.
    pub fn chunk_count(&self, manifest: &Digest) -> Option<usize> {
        Some(self.versions.get(manifest)?.chunks.len())
    }

    /// The incomplete versions without a new chunk for at least `patience`.
    pub fn stalls(&self, patience: Duration, now: Instant) -> Vec<Stall> {
        self.versions
            .values()
            .filter(|version| !version.held.is_full())
            .filter(|version| now.since(version.progress_at) >= patience)
            .map(|version| Stall {
                manifest: version.manifest,
                missing: version.held.missing().count(),
                offered: version
                    .held
                    .missing()
                    .filter(|index| {
                        version.local_holders(*index) > 0 || version.remote_holders(*index) > 0
                    })
                    .count(),
                in_flight: self.tasks.len(),
                idle: now.since(version.progress_at),
            })
            .collect()
    }

    /// The sessions that should be open.
    pub fn watches(&self, now: Instant) -> BTreeSet<Watch> {
        self.versions
            .values()
            .filter(|version| !version.held.is_full())
            .flat_map(|version| {
                let manifest = version.manifest;
                version
                    .watched(&self.config.me.vm, self.is_stuck(version, now))
                    .into_iter()
                    .map(move |vm| Watch { vm, manifest })
            })
            .collect()
    }

    /// Sets the chunks of a version that a peer holds; `None` if the peer does not know the
    /// manifest.
    pub fn set_offer(&mut self, watch: &Watch, offer: Option<Offer>, now: Instant) {
        let is_failing = self
            .sources
            .is_failing(&Source::Peer(watch.vm.clone()), now);
        match self.versions.get_mut(&watch.manifest) {
            Some(version) if is_failing => version.disconnect(&watch.vm, now),
            Some(version) => version.set_offer(&watch.vm, offer, now),
            None => {}
        }
    }

    /// Removes the offers of a peer after the session with it failed.
    pub fn disconnect(&mut self, vm: &name::Vm, now: Instant) {
        for version in self.versions.values_mut() {
            version.disconnect(vm, now);
        }
    }

    /// Handles the end of a fetch. Its version may have been dropped in the meantime.
    pub fn finish(&mut self, id: u64, outcome: Outcome, now: Instant) {
        let Some(task) = self.tasks.remove(&id) else {
            return;
        };
        self.in_flight.remove(&task.digest);
        self.sources.end(&task.source);
        match outcome {
            Outcome::Verified => {
                self.sources.record_success(&task.source);
                let took = now.since(task.started_at);
                self.slowest = took.max(self.slowest.mul_f64(0.9));
                self.mark_held(&task.digest, now);
            }
            Outcome::Corrupt => {
                self.sources.record_corruption(&task.source, now);
                self.reject_offer(&task, now);
            }
            Outcome::NotHeld | Outcome::Failed => {
                self.sources.record_failure(&task.source, now);
                self.reject_offer(&task, now);
            }
            Outcome::Busy(retry) => {
                self.sources.record_busy(&task.source, retry, now);
                let refusals = self.refusals.entry(task.digest).or_default();
                *refusals += 1;
                if refusals.is_multiple_of(MAX_REFUSALS) {
                    self.reject_offer(&task, now);
                }
                self.undo_origin_fetch(&task);
            }
            Outcome::Unwanted => {}
            Outcome::Refused => {
                self.sources.record_failure(&task.source, now);
                self.undo_origin_fetch(&task);
            }
        }
    }

    /// Marks a chunk as verified in all versions, whatever its source.
    pub fn mark_held(&mut self, chunk: &Digest, now: Instant) {
        self.refusals.remove(chunk);
        for (manifest, position) in self.index.get(chunk).into_iter().flatten() {
            let Some(version) = self.versions.get_mut(manifest) else {
                continue;
            };
            if version.held.insert(*position) {
                version.progress_at = now;
                version.fetched_bytes += u64::from(version.chunks[*position].bytes);
            }
        }
    }

    /// The number of owners of this region that are still bringing chunks into it: the largest over
    /// all incomplete versions.
    pub fn active_owners(&self) -> usize {
        self.versions
            .values()
            .filter(|version| !version.held.is_full())
            .map(|version| version.active_owners(&self.config.me))
            .max()
            .unwrap_or(1)
    }

    pub(crate) fn start(&mut self, fetch: FetchPlan, now: Instant) -> Fetch {
        self.next_id += 1;
        let id = self.next_id;
        let FetchPlan {
            chunk,
            source,
            is_remote,
            is_spare_only,
        } = fetch;
        self.sources.start(&source);
        self.in_flight.insert(chunk.digest);
        self.tasks.insert(
            id,
            Task {
                digest: chunk.digest,
                source: source.clone(),
                is_remote,
                started_at: now,
            },
        );
        Fetch {
            id,
            chunk,
            source,
            is_remote,
            is_spare_only,
        }
    }

    /// The stall timeout of this agent: the time without progress after which the next owner takes
    /// over.
    pub(crate) fn patience(&self) -> Duration {
        let least = self.config.stall_after.max(self.slowest * 4);
        least.mul_f64(1.0 + self.jitter)
    }

    pub(crate) fn is_stuck(&self, version: &Version, now: Instant) -> bool {
        now.since(version.progress_at) > self.patience() * 2
    }

    /// Ignores a peer's offer of the task's chunk for a while.
    fn reject_offer(&mut self, task: &Task, now: Instant) {
        let Source::Peer(vm) = &task.source else {
            return;
        };
        for (manifest, position) in self.index.get(&task.digest).into_iter().flatten() {
            if let Some(version) = self.versions.get_mut(manifest) {
                version.reject_offer(vm, *position, now);
            }
        }
    }

    /// Uncounts a fetch from the origin that received no bytes.
    fn undo_origin_fetch(&mut self, task: &Task) {
        if task.source != Source::Origin {
            return;
        }
        for (manifest, position) in self.index.get(&task.digest).into_iter().flatten() {
            if let Some(version) = self.versions.get_mut(manifest) {
                version.origin_fetches[*position] =
                    version.origin_fetches[*position].saturating_sub(1);
            }
        }
    }
}

/// A fetch without an ID yet.
pub(crate) struct FetchPlan {
    pub(crate) chunk: Chunk,
    pub(crate) source: Source,
    pub(crate) is_remote: bool,
    pub(crate) is_spare_only: bool,
}
