//! The reconciler that derives the next order for an engine from the difference between the
//! versions that it should serve and those that it does serve.
//!
//! It is level-triggered: of past orders it remembers only the highest fencing number and the
//! failures. See `docs/ARCHITECTURE.md`, "Orders".

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use domain::{
    artifact,
    clock::Instant,
    digest::Digest,
    manifest::Pin,
    name,
    order::{Fence, Order},
    rollout::{self, Rollout, Stage},
    vm::Holding,
};

use crate::view::View;

/// Pause after the first failed order. It doubles with each further one.
const MIN_BACKOFF: Duration = Duration::from_millis(200);
/// Longest pause after consecutive failed orders.
const MAX_BACKOFF: Duration = Duration::from_secs(30);

/// Configuration of the reconciler.
#[derive(Clone, Debug)]
pub struct Config {
    /// The VM of the engine.
    pub vm: name::Vm,
    /// Maximum number of versions that the engine serves at once.
    pub slots: usize,
    /// The models and adapters for this VM, or `None` for all of them.
    pub artifacts: Option<BTreeSet<name::Artifact>>,
}

/// The state of a version in the spool.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Spooled {
    /// Some chunks are verified.
    Fetching {
        /// The number of verified chunks.
        chunks: u32,
    },
    /// Every chunk is verified.
    Held,
    /// The version can't be fetched.
    Failed {
        /// The cause.
        reason: Arc<str>,
    },
}

/// The state reported by the engine.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Engine {
    /// A number that changes at each start of the engine.
    pub boot: u64,
    /// The served versions with the digests of their manifests.
    pub serving: BTreeMap<artifact::Id, Digest>,
    /// The highest fencing number that it has seen.
    pub fence: Fence,
}

/// An order with its fencing number.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fenced {
    /// The fencing number.
    pub fence: Fence,
    /// The order.
    pub order: Order,
}

/// The observed state from which orders are derived.
#[derive(Clone, Copy, Debug)]
pub struct Inputs<'a> {
    /// The replicated state, if it is fresh enough to act on.
    pub view: Option<&'a View>,
    /// The versions in the spool.
    pub spool: &'a BTreeMap<artifact::Id, Spooled>,
    /// The engine's state, if it was read since both the agent and the engine last started.
    pub engine: Option<&'a Engine>,
}

/// Derives orders and tracks fencing numbers and failures.
#[derive(Debug)]
pub struct Reconciler {
    config: Config,
    fence: Fence,
    failures: BTreeMap<artifact::Id, Failure>,
}

/// The last failure to load a version.
#[derive(Debug)]
struct Failure {
    reason: String,
    retry_at: Instant,
    backoff: Duration,
}

impl Reconciler {
    /// Creates a reconciler. `fence` is the highest fencing number from before this start.
    pub fn new(config: Config, fence: Fence) -> Self {
        Self {
            config,
            fence,
            failures: BTreeMap::new(),
        }
    }

    /// The highest fencing number seen so far.
    pub fn fence(&self) -> Fence {
        self.fence
    }

    /// The versions that the spool should hold.
    pub fn wanted(&self, view: &View) -> BTreeMap<artifact::Id, Pin> {
        self.relevant(view)
            .map(|rollout| (rollout.artifact.clone(), rollout.pin))
            .collect()
    }

    /// The versions that the engine should serve, with the digests of their manifests.
    pub fn desired(&self, view: &View) -> BTreeMap<artifact::Id, Digest> {
        let mut rollouts: Vec<_> = self
            .relevant(view)
            .filter(|rollout| {
                rollout::rank(&self.config.vm, &rollout.artifact) < rollout.stage.width()
            })
            .collect();
        // Versions in the ready stage come first, then the newest ones.
        rollouts.sort_by_key(|rollout| {
            (
                rollout.stage != Stage::Ready,
                std::cmp::Reverse(rollout.fence),
            )
        });
        rollouts
            .into_iter()
            .take(self.config.slots)
            .map(|rollout| (rollout.artifact.clone(), rollout.pin.digest))
            .collect()
    }

    /// Returns the next order, or `None` if nothing is to be done or the observed state is
    /// incomplete.
    pub fn next(&self, now: Instant, inputs: Inputs<'_>) -> Option<Fenced> {
        let (view, engine) = (inputs.view?, inputs.engine?);
        let fence = self.fence_of(view, engine)?;
        let desired = self.desired(view);
        self.unload(&desired, view, engine)
            .or_else(|| self.load(now, &desired, inputs.spool, engine))
            .map(|order| Fenced { fence, order })
    }

    /// Records the fencing number of an order before it is sent.
    pub fn record(&mut self, order: &Fenced) {
        self.fence = self.fence.max(order.fence);
    }

    /// Records a fencing number seen elsewhere.
    pub fn observe(&mut self, fence: Fence) {
        self.fence = self.fence.max(fence);
    }

    /// Records that a version was loaded.
    pub fn succeed(&mut self, artifact: &artifact::Id) {
        self.failures.remove(artifact);
    }

    /// Records that a version could not be loaded.
    pub fn fail(&mut self, now: Instant, artifact: &artifact::Id, reason: impl Into<String>) {
        let backoff = self.failures.get(artifact).map_or(MIN_BACKOFF, |failure| {
            (failure.backoff * 2).min(MAX_BACKOFF)
        });
        self.failures.insert(
            artifact.clone(),
            Failure {
                reason: reason.into(),
                retry_at: now + backoff,
                backoff,
            },
        );
    }

    /// Clears all failures, because the engine has restarted.
    pub fn reset_failures(&mut self) {
        self.failures.clear();
    }

    /// The holding of each version that is meant for this VM.
    pub fn holdings(
        &self,
        view: &View,
        spool: &BTreeMap<artifact::Id, Spooled>,
        engine: Option<&Engine>,
        loading: Option<&artifact::Id>,
    ) -> BTreeMap<artifact::Id, Holding> {
        self.relevant(view)
            .map(|rollout| {
                let holding = self.holding(rollout, spool, engine, loading);
                (rollout.artifact.clone(), holding)
            })
            .collect()
    }

    fn holding(
        &self,
        rollout: &Rollout,
        spool: &BTreeMap<artifact::Id, Spooled>,
        engine: Option<&Engine>,
        loading: Option<&artifact::Id>,
    ) -> Holding {
        let id = &rollout.artifact;
        let is_served = engine
            .and_then(|engine| engine.serving.get(id))
            .is_some_and(|digest| *digest == rollout.pin.digest);
        match (spool.get(id), self.failures.get(id)) {
            _ if is_served => Holding::Serving,
            _ if loading == Some(id) => Holding::Loading,
            (_, Some(failure)) => Holding::Failed {
                reason: failure.reason.clone(),
            },
            (Some(Spooled::Held), None) => Holding::Held,
            (Some(Spooled::Failed { reason }), None) => Holding::Failed {
                reason: reason.to_string(),
            },
            (Some(Spooled::Fetching { chunks }), None) => Holding::Fetching { chunks: *chunks },
            (None, None) => Holding::Fetching { chunks: 0 },
        }
    }

    /// The rollouts of models and adapters that are meant for this VM.
    fn relevant<'a>(&'a self, view: &'a View) -> impl Iterator<Item = &'a Rollout> + 'a {
        view.rollouts
            .values()
            .map(AsRef::as_ref)
            .filter(|rollout| match &self.config.artifacts {
                Some(artifacts) => artifacts.contains(&rollout.artifact.name),
                None => true,
            })
    }

    /// Returns the fencing number for orders derived from this state, or `None` if a newer state
    /// has already been acted on.
    fn fence_of(&self, view: &View, engine: &Engine) -> Option<Fence> {
        let known = self.fence.max(engine.fence);
        let rollouts = view.rollouts.values();
        let newest = rollouts
            .map(|rollout| rollout.fence)
            .max()
            .unwrap_or_default();
        let fence = Fence {
            // Terms never decrease along the log, so the state at this commit has at least this
            // term.
            term: newest.term.max(known.term),
            index: view.commit.max(newest.index),
        };
        (fence.index >= known.index).then_some(fence)
    }

    /// Unloads a served version that is no longer listed, has another manifest than the pinned one,
    /// or occupies a slot that another version needs.
    fn unload(
        &self,
        desired: &BTreeMap<artifact::Id, Digest>,
        view: &View,
        engine: &Engine,
    ) -> Option<Order> {
        let is_missing = |id: &&artifact::Id| !engine.serving.contains_key(*id);
        let missing = desired.keys().filter(is_missing).count();
        let needs_room = engine.serving.len() + missing > self.config.slots;
        let is_unwanted = |id: &artifact::Id, digest: &Digest| match desired.get(id) {
            Some(pinned) => pinned != digest,
            // A version whose rollout wave doesn't include this VM stays while there are free
            // slots.
            None => !view.rollouts.contains_key(id) || needs_room,
        };
        engine
            .serving
            .iter()
            .find(|(id, digest)| is_unwanted(id, digest))
            .map(|(id, _)| Order::Unload(id.clone()))
    }

    /// Loads a desired version that is in the spool and not waiting for a retry.
    fn load(
        &self,
        now: Instant,
        desired: &BTreeMap<artifact::Id, Digest>,
        spool: &BTreeMap<artifact::Id, Spooled>,
        engine: &Engine,
    ) -> Option<Order> {
        let is_due = |id: &artifact::Id| {
            self.failures
                .get(id)
                .is_none_or(|failure| now >= failure.retry_at)
        };
        desired
            .keys()
            .filter(|id| !engine.serving.contains_key(*id))
            .filter(|id| spool.get(*id) == Some(&Spooled::Held))
            .find(|id| is_due(id))
            .map(|id| Order::Load(id.clone()))
    }
}
