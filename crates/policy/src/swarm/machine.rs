//! The inputs and outputs of the state machine.

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

/// The time without progress after which the next in order takes over.
pub const DEFAULT_STALL_AFTER: Duration = Duration::from_secs(3);

/// After how many refusals of a chunk the offer of the last holder counts for nothing.
const MAX_REFUSALS: u32 = 12;

/// How an agent takes part.
#[derive(Clone, Debug)]
pub struct Config {
    /// The agent itself.
    pub me: Member,
    /// How many peers of its region it exchanges chunks with.
    pub neighbours: usize,
    /// How many chunks it asks those peers for at once.
    pub pipeline: usize,
    /// Whether there is a weight store.
    pub has_store: bool,
    /// How much the origin may send in all when links between regions are slow, in hundredths of
    /// a copy.
    pub origin_percent_max: u32,
    /// How much of a version each peer sends before others are asked instead, in hundredths.
    pub upload_percent: u32,
    /// The time without progress after which the next in order takes over.
    pub stall_after: Duration,
    /// The most that comes from other regions to this agent, in bytes per second.
    pub region_bytes_per_s: u64,
}

/// A session that should be open: with this peer, about this manifest.
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
    /// The number under which the outcome is reported.
    pub id: u64,
    /// The chunk.
    pub chunk: Chunk,
    /// From where.
    pub source: Source,
    /// Whether it crosses a link between two regions.
    pub is_remote: bool,
    /// Whether the peer should answer only within its upload budget.
    pub is_spare_only: bool,
}

/// How a fetch ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The chunk is verified and lies in the spool.
    Verified,
    /// The bytes are not the chunk's.
    Corrupt,
    /// The source does not hold it.
    NotHeld,
    /// The source asked to come back later.
    Busy(Duration),
    /// The source stalled or broke off. Bytes may have come.
    Failed,
    /// The source could not be reached or refused. No bytes came.
    Refused,
    /// No version had the chunk any more when it came, and it was not kept.
    Unwanted,
}

/// A version that makes no progress.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Stall {
    /// The manifest.
    pub manifest: Digest,
    /// How many chunks are missing.
    pub missing: usize,
    /// How many of those some peer offers.
    pub offered: usize,
    /// How many fetches of any version are running.
    pub in_flight: usize,
    /// The time since the last chunk.
    pub idle: Duration,
}

pub(crate) struct Task {
    pub(crate) digest: Digest,
    pub(crate) source: Source,
    pub(crate) is_remote: bool,
    pub(crate) started_at: Instant,
}

/// One agent's part in the exchange of all its versions.
pub struct Swarm {
    pub(crate) config: Config,
    pub(crate) rng: StdRng,
    pub(crate) versions: BTreeMap<Digest, Version>,
    pub(crate) sources: Sources,
    pub(crate) tasks: BTreeMap<u64, Task>,
    pub(crate) in_flight: BTreeSet<Digest>,
    /// How often busy holders refused a chunk that is still missing.
    pub(crate) refusals: HashMap<Digest, u32>,
    /// The longest that a chunk took lately; patience follows it when links are slow.
    pub(crate) slowest: Duration,
    pub(crate) jitter: f64,
    members: Vec<Member>,
    index: HashMap<Digest, Vec<(Digest, usize)>>,
    next_id: u64,
}

impl Swarm {
    /// An agent that wants nothing yet and knows nobody.
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

    /// Sets the agents that exchange chunks. The agent itself is always among them.
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

    /// Starts to fetch a version of which the chunks in `held` are verified already.
    ///
    /// Versions share the links by `weight`.
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
        for (place, chunk) in version.chunks.iter().enumerate() {
            let places = self.index.entry(chunk.digest).or_default();
            places.retain(|(other, at)| (*other, *at) != (manifest, place));
            places.push((manifest, place));
        }
        self.versions.insert(manifest, version);
    }

    /// Drops a version. What still comes for it is ignored.
    pub fn drop_version(&mut self, manifest: &Digest) {
        self.versions.remove(manifest);
        self.index.retain(|_, places| {
            places.retain(|(other, _)| other != manifest);
            !places.is_empty()
        });
    }

    /// Whether some version of the agent has the chunk.
    pub fn is_wanted(&self, chunk: &Digest) -> bool {
        self.index.contains_key(chunk)
    }

    /// A version with the chunk, whose upload budget pays for it.
    pub fn version_of(&self, chunk: &Digest) -> Option<Digest> {
        self.index
            .get(chunk)?
            .first()
            .map(|(manifest, _)| *manifest)
    }

    /// Whether the chunk is verified, so that it may be sent to others.
    pub fn holds(&self, chunk: &Digest) -> bool {
        self.index
            .get(chunk)
            .into_iter()
            .flatten()
            .any(|(id, place)| {
                self.versions
                    .get(id)
                    .is_some_and(|version| version.held.contains(*place))
            })
    }

    /// The verified chunks of a version.
    pub fn held(&self, manifest: &Digest) -> Option<&Bitmap> {
        Some(&self.versions.get(manifest)?.held)
    }

    /// How many chunks a version has.
    pub fn chunk_count(&self, manifest: &Digest) -> Option<usize> {
        Some(self.versions.get(manifest)?.chunks.len())
    }

    /// The versions that got no chunk for `patience`.
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

    /// What a peer holds of a version; nothing if it does not know the manifest.
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

    /// The session with a peer failed.
    pub fn disconnect(&mut self, vm: &name::Vm, now: Instant) {
        for version in self.versions.values_mut() {
            version.disconnect(vm, now);
        }
    }

    /// A fetch ended. Its number may belong to a version that was dropped meanwhile.
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
                self.refute(&task, now);
            }
            Outcome::NotHeld | Outcome::Failed => {
                self.sources.record_failure(&task.source, now);
                self.refute(&task, now);
            }
            Outcome::Busy(retry) => {
                self.sources.record_busy(&task.source, retry, now);
                let refusals = self.refusals.entry(task.digest).or_default();
                *refusals += 1;
                if refusals.is_multiple_of(MAX_REFUSALS) {
                    self.refute(&task, now);
                }
                self.give_back(&task);
            }
            Outcome::Unwanted => {}
            Outcome::Refused => {
                self.sources.record_failure(&task.source, now);
                self.give_back(&task);
            }
        }
    }

    /// A chunk is verified, from wherever it came.
    pub fn mark_held(&mut self, chunk: &Digest, now: Instant) {
        self.refusals.remove(chunk);
        for (manifest, place) in self.index.get(chunk).into_iter().flatten() {
            let Some(version) = self.versions.get_mut(manifest) else {
                continue;
            };
            if version.held.insert(*place) {
                version.progress_at = now;
                version.fetched_bytes += u64::from(version.chunks[*place].bytes);
            }
        }
    }

    /// How many owners of this region bring chunks into it, over all versions.
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

    /// The time without progress after which the next in order takes over.
    pub(crate) fn patience(&self) -> Duration {
        let least = self.config.stall_after.max(self.slowest * 4);
        least.mul_f64(1.0 + self.jitter)
    }

    pub(crate) fn is_stuck(&self, version: &Version, now: Instant) -> bool {
        now.since(version.progress_at) > self.patience() * 2
    }

    fn refute(&mut self, task: &Task, now: Instant) {
        let Source::Peer(vm) = &task.source else {
            return;
        };
        for (manifest, place) in self.index.get(&task.digest).into_iter().flatten() {
            if let Some(version) = self.versions.get_mut(manifest) {
                version.refute(vm, *place, now);
            }
        }
    }

    /// A draw that brought no bytes does not count.
    fn give_back(&mut self, task: &Task) {
        if task.source != Source::Origin {
            return;
        }
        for (manifest, place) in self.index.get(&task.digest).into_iter().flatten() {
            if let Some(version) = self.versions.get_mut(manifest) {
                version.draws[*place] = version.draws[*place].saturating_sub(1);
            }
        }
    }
}

/// A fetch before it has a number.
pub(crate) struct FetchPlan {
    pub(crate) chunk: Chunk,
    pub(crate) source: Source,
    pub(crate) is_remote: bool,
    pub(crate) is_spare_only: bool,
}
