//! What the thread's tasks share. No borrow is ever held across an await.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet, HashMap},
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use domain::{
    artifact,
    clock::{Clock, Instant},
    digest::Digest,
    manifest::{Chunk, Manifest, Pin},
    name,
};
use policy::{
    owner::Member,
    pacer::Pacer,
    swarm::{Config as SwarmConfig, Swarm, upload},
};
use rand::{SeedableRng, rngs::StdRng};
use slog::{Logger, info};
use tokio::{
    sync::{Notify, watch},
    task::AbortHandle,
};

use super::{
    Config,
    gauge::Traffic,
    source::{Pool, Sources},
    spool::Spool,
};
use crate::depot::{Files, Progress, Table};

/// How much of a version each agent sends before it leaves the rest to others, in hundredths.
const UPLOAD_PERCENT: u32 = 110;

/// One version that is wanted or in use.
pub(super) struct Version {
    pub(super) pin: Pin,
    pub(super) chunks: Option<Arc<[Chunk]>>,
    pub(super) is_whole: bool,
    /// What it still needs of the spool, in bytes.
    pub(super) reserved: u64,
    pub(super) admission: Option<AbortHandle>,
}

/// The links of this VM.
pub(super) struct Links {
    pub(super) up: Pacer,
    pub(super) down: Pacer,
    regions: BTreeMap<name::Region, Pacer>,
    region_bytes_per_s: u64,
    live_percent: u32,
    latency_percent: u32,
}

impl Links {
    fn new(config: &Config) -> Self {
        let weights = &config.weights;
        let pacer = || Pacer::new(weights.link_bytes_per_s, weights.live_percent);
        Self {
            up: pacer(),
            down: pacer(),
            regions: BTreeMap::new(),
            region_bytes_per_s: weights.region_link_bytes_per_s,
            live_percent: weights.live_percent,
            latency_percent: 100,
        }
    }

    /// The link from another region, of which `sharers` agents of this one use equal parts.
    pub(super) fn region(&mut self, region: &name::Region, sharers: usize) -> &mut Pacer {
        let (rate, live) = (self.region_bytes_per_s, self.live_percent);
        let latency = self.latency_percent;
        let pacer = self
            .regions
            .entry(region.clone())
            .or_insert_with(|| Pacer::new(rate, live));
        pacer.set_sharers(sharers);
        pacer.set_live_latency(latency);
        pacer
    }

    pub(super) fn set_live_latency(&mut self, percent: u32) {
        self.latency_percent = percent;
        self.up.set_live_latency(percent);
        self.down.set_live_latency(percent);
    }
}

/// The state behind the tasks.
pub(super) struct State {
    pub(super) swarm: Swarm,
    pub(super) versions: BTreeMap<artifact::Id, Version>,
    pub(super) wanted: BTreeMap<artifact::Id, Pin>,
    /// Nothing until the agent has said once what the engine uses: nothing is evicted before.
    pub(super) in_use: Option<BTreeSet<artifact::Id>>,
    pub(super) uploads: upload::Budget,
    pub(super) links: Links,
    pub(super) members: BTreeMap<name::Vm, Member>,
    pub(super) addresses: HashMap<name::Vm, SocketAddr>,
    /// Chunks verified since the start, by their length. Only those are sent to others.
    pub(super) verified: HashMap<Digest, u64>,
}

/// What the thread's tasks share.
pub(super) struct Core {
    pub(super) config: Config,
    pub(super) me: Member,
    pub(super) clock: Arc<dyn Clock>,
    pub(super) logger: Logger,
    pub(super) spool: Spool,
    pub(super) traffic: Arc<Traffic>,
    pub(super) sources: Sources,
    pub(super) pool: Pool,
    pub(super) state: RefCell<State>,
    /// Wakes the loop that starts fetches.
    pub(super) work: Notify,
    /// Grows with each change of the holdings, for those who wait for one.
    pub(super) holdings: watch::Sender<u64>,
    pub(super) is_closing: Cell<bool>,
    table: watch::Sender<Arc<Table>>,
}

impl Core {
    pub(super) fn new(parts: super::driver::Parts) -> Rc<Self> {
        let place = &parts.config.place;
        let weights = &parts.config.weights;
        let me = Member {
            vm: place.vm.clone(),
            zone: place.zone.clone(),
            region: place.region.clone(),
        };
        let swarm = Swarm::new(
            SwarmConfig {
                me: me.clone(),
                neighbours: weights.neighbours,
                pipeline: weights.pipeline,
                has_store: weights.store.is_some(),
                origin_percent_max: weights.origin_percent_max,
                upload_percent: UPLOAD_PERCENT,
                stall_after: policy::swarm::machine::DEFAULT_STALL_AFTER,
                region_bytes_per_s: weights.region_link_bytes_per_s,
            },
            StdRng::seed_from_u64(rand::random()),
        );
        let state = State {
            swarm,
            versions: BTreeMap::new(),
            wanted: BTreeMap::new(),
            in_use: None,
            uploads: upload::Budget::new(UPLOAD_PERCENT),
            links: Links::new(&parts.config),
            members: BTreeMap::new(),
            addresses: HashMap::new(),
            verified: HashMap::new(),
        };
        Rc::new(Self {
            me,
            clock: parts.clock,
            logger: parts.logger,
            spool: parts.spool,
            traffic: parts.traffic,
            sources: Sources::new(weights),
            pool: Pool::new(parts.dialer),
            state: RefCell::new(state),
            work: Notify::new(),
            holdings: watch::channel(0).0,
            is_closing: Cell::new(false),
            table: parts.table,
            config: parts.config,
        })
    }

    pub(super) fn now(&self) -> Instant {
        self.clock.now()
    }

    /// How long a chunk may take, whichever peer sends it.
    pub(super) fn patience(&self, bytes: u32) -> Duration {
        let rate = self.config.weights.link_bytes_per_s.max(1);
        Duration::from_secs_f64(f64::from(bytes) * 16.0 / rate as f64)
    }

    /// Reports how far a version has come.
    pub(super) fn report(&self, artifact: &artifact::Id, progress: Progress) {
        self.table.send_if_modified(|table| {
            if table.get(artifact) == Some(&progress) {
                return false;
            }
            let mut next = Table::clone(table);
            next.insert(artifact.clone(), progress);
            *table = Arc::new(next);
            true
        });
    }

    /// Leaves only the versions that are wanted or in use in the report.
    pub(super) fn prune_report(&self) {
        let state = self.state.borrow();
        self.table.send_if_modified(|table| {
            let is_known = |artifact: &artifact::Id| state.versions.contains_key(artifact);
            if table.keys().all(is_known) {
                return false;
            }
            let mut next = Table::clone(table);
            next.retain(|artifact, _| is_known(artifact));
            *table = Arc::new(next);
            true
        });
    }

    /// Tells those who wait that the holdings changed.
    pub(super) fn announce(&self) {
        self.holdings.send_modify(|count| *count += 1);
        self.work.notify_one();
    }

    /// Reports every version with its chunks, and finishes those that became whole.
    pub(super) fn progress(&self) {
        let mut finished = Vec::new();
        {
            let mut state = self.state.borrow_mut();
            let State {
                swarm, versions, ..
            } = &mut *state;
            for (artifact, version) in versions.iter_mut() {
                let Some(chunks) = &version.chunks else {
                    continue;
                };
                let Some(held) = swarm.held(&version.pin.digest) else {
                    continue;
                };
                if version.is_whole {
                    continue;
                }
                if held.is_full() {
                    version.is_whole = true;
                    version.reserved = 0;
                    finished.push((artifact.clone(), version.pin, chunks.clone()));
                } else {
                    let chunks = u32::try_from(held.count()).unwrap_or(u32::MAX);
                    self.report(artifact, Progress::Fetching { chunks });
                }
            }
        }
        for (artifact, pin, chunks) in finished {
            self.finish(&artifact, &pin, &chunks);
        }
    }

    /// Every chunk is verified; the names are synced, and then the version counts as held.
    fn finish(&self, artifact: &artifact::Id, pin: &Pin, chunks: &[Chunk]) {
        if let Err(error) = self.spool.sync() {
            let reason = error.to_string().into();
            return self.report(artifact, Progress::Failed { reason });
        }
        let files = Files {
            manifest: self.spool.manifest_path(&pin.digest),
            chunks: chunks
                .iter()
                .map(|chunk| self.spool.chunk_path(&chunk.digest))
                .collect(),
        };
        info!(self.logger, "weights: every chunk of {} is verified", artifact;
            "chunks" => chunks.len(), "bytes" => pin.total_bytes);
        self.report(artifact, Progress::Held(Arc::new(files)));
    }

    /// The chunks that must stay: those of versions wanted or in use.
    pub(super) fn kept(&self) -> BTreeSet<Digest> {
        let state = self.state.borrow();
        let known = state
            .versions
            .values()
            .filter_map(|version| version.chunks.as_ref())
            .flat_map(|chunks| chunks.iter().map(|chunk| chunk.digest));
        // After a restart the engine may use a version that is no longer wanted.
        let is_used = |manifest: &Manifest| {
            let in_use = state.in_use.as_ref();
            in_use.is_some_and(|in_use| in_use.contains(&manifest.artifact))
                && !state.versions.contains_key(&manifest.artifact)
        };
        let used = self
            .spool
            .read_manifests()
            .into_iter()
            .filter_map(|bytes| Manifest::from_json(&bytes).ok())
            .filter(is_used)
            .flat_map(|manifest| manifest.chunks.into_iter().map(|chunk| chunk.digest));
        known.chain(used).collect()
    }
}

/// Checks a manifest's bytes against the pin.
pub(super) fn check(
    artifact: &artifact::Id,
    pin: &Pin,
    bytes: &[u8],
) -> Result<Arc<[Chunk]>, super::Error> {
    let seen = Digest::of(bytes);
    if seen != pin.digest {
        return super::error::SwappedSnafu {
            artifact: artifact.clone(),
            seen,
            pinned: pin.digest,
        }
        .fail();
    }
    let malformed = |detail: String| super::Error::Malformed {
        artifact: artifact.clone(),
        detail,
    };
    let manifest = Manifest::from_json(bytes).map_err(|error| malformed(error.to_string()))?;
    let fits = |chunk: &&Chunk| (1..=domain::manifest::MAX_CHUNK_BYTES).contains(&chunk.bytes);
    let detail = match &manifest {
        Manifest { artifact: id, .. } if id != artifact => Some(format!("it is of {id}")),
        Manifest { chunks, .. } if chunks.is_empty() => Some("it has no chunk".to_owned()),
        Manifest { chunks, .. } if chunks.len() != pin.chunks as usize => Some(format!(
            "it has {} chunks, not the pinned {}",
            chunks.len(),
            pin.chunks
        )),
        Manifest { chunks, .. } if !chunks.iter().all(|chunk| fits(&chunk)) => {
            Some("a chunk is empty or too large".to_owned())
        }
        whole if whole.total_bytes() != pin.total_bytes => Some(format!(
            "it has {} bytes, not the pinned {}",
            whole.total_bytes(),
            pin.total_bytes
        )),
        _ => None,
    };
    match detail {
        Some(detail) => Err(malformed(detail)),
        None => Ok(manifest.chunks.into()),
    }
}
