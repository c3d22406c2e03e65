//! Which order the engine gets next: the difference between what it should serve and what it does.
//!
//! Level-triggered: nothing is remembered of past orders but the highest fencing number and the
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

/// The first pause after a failed order.
const MIN_BACKOFF: Duration = Duration::from_millis(200);
/// The longest pause after failed orders in a row.
const MAX_BACKOFF: Duration = Duration::from_secs(30);

/// What this VM may hold.
#[derive(Clone, Debug)]
pub struct Config {
    /// The VM.
    pub vm: name::Vm,
    /// How many versions the engine serves at once.
    pub slots: usize,
    /// The models and adapters for this VM; all when nothing is said.
    pub artifacts: Option<BTreeSet<name::Artifact>>,
}

/// How far the spool has come with a version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Spooled {
    /// Some chunks are verified.
    Fetching {
        /// How many.
        chunks: u32,
    },
    /// Every chunk is verified.
    Held,
    /// The version can't be fetched.
    Failed {
        /// What was seen.
        reason: Arc<str>,
    },
}

/// What the engine says of itself.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Engine {
    /// Changes at each start.
    pub boot: u64,
    /// The versions that it serves, with the digests of their manifests.
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

/// What the orders follow from.
#[derive(Clone, Copy, Debug)]
pub struct Inputs<'a> {
    /// The state, if it is fresh enough to act on.
    pub view: Option<&'a View>,
    /// The spool.
    pub spool: &'a BTreeMap<artifact::Id, Spooled>,
    /// The engine, as read since the agent's start and the engine's last start.
    pub engine: Option<&'a Engine>,
}

/// Decides on orders.
#[derive(Debug)]
pub struct Reconciler {
    config: Config,
    fence: Fence,
    failures: BTreeMap<artifact::Id, Failure>,
}

#[derive(Debug)]
struct Failure {
    reason: String,
    retry_at: Instant,
    backoff: Duration,
}

impl Reconciler {
    /// A reconciler that remembers the highest fencing number of earlier starts.
    pub fn new(config: Config, fence: Fence) -> Self {
        Self {
            config,
            fence,
            failures: BTreeMap::new(),
        }
    }

    /// The highest fencing number seen.
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
        // What serves everywhere goes first, then the newest.
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

    /// The next order, or nothing when all is as it should be or can't be known.
    pub fn next(&self, now: Instant, inputs: Inputs<'_>) -> Option<Fenced> {
        let (view, engine) = (inputs.view?, inputs.engine?);
        let fence = self.fence_of(view, engine)?;
        let desired = self.desired(view);
        self.unload(&desired, view, engine)
            .or_else(|| self.load(now, &desired, inputs.spool, engine))
            .map(|order| Fenced { fence, order })
    }

    /// Takes in that an order is about to be given.
    pub fn record(&mut self, order: &Fenced) {
        self.fence = self.fence.max(order.fence);
    }

    /// Takes in a fencing number seen elsewhere.
    pub fn observe(&mut self, fence: Fence) {
        self.fence = self.fence.max(fence);
    }

    /// Takes in that a version was loaded.
    pub fn succeed(&mut self, artifact: &artifact::Id) {
        self.failures.remove(artifact);
    }

    /// Takes in that a version could not be loaded.
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

    /// Forgets failures, because the engine is a new one.
    pub fn reset_failures(&mut self) {
        self.failures.clear();
    }

    /// How far this VM has come with each version that it wants or holds.
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

    fn relevant<'a>(&'a self, view: &'a View) -> impl Iterator<Item = &'a Rollout> + 'a {
        view.rollouts
            .values()
            .map(AsRef::as_ref)
            .filter(|rollout| match &self.config.artifacts {
                Some(artifacts) => artifacts.contains(&rollout.artifact.name),
                None => true,
            })
    }

    /// The fencing number of orders that follow from this state, or nothing if newer state has
    /// already been acted on.
    fn fence_of(&self, view: &View, engine: &Engine) -> Option<Fence> {
        let known = self.fence.max(engine.fence);
        let rollouts = view.rollouts.values();
        let newest = rollouts
            .map(|rollout| rollout.fence)
            .max()
            .unwrap_or_default();
        let fence = Fence {
            // Terms never fall along the log, so the state at this commit has at least this term.
            term: newest.term.max(known.term),
            index: view.commit.max(newest.index),
        };
        (fence.index >= known.index).then_some(fence)
    }

    /// A served version that is not listed any more or has another manifest than the pinned one.
    fn unload(
        &self,
        desired: &BTreeMap<artifact::Id, Digest>,
        view: &View,
        engine: &Engine,
    ) -> Option<Order> {
        let is_missing = |id: &&artifact::Id| !engine.serving.contains_key(*id);
        let missing = desired.keys().filter(is_missing).count();
        let needs_room = engine.serving.len() + missing > self.config.slots;
        let is_foreign = |id: &artifact::Id, digest: &Digest| match desired.get(id) {
            Some(pinned) => pinned != digest,
            // A version whose wave does not include this VM stays while there is room.
            None => !view.rollouts.contains_key(id) || needs_room,
        };
        engine
            .serving
            .iter()
            .find(|(id, digest)| is_foreign(id, digest))
            .map(|(id, _)| Order::Unload(id.clone()))
    }

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
