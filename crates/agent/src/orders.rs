//! Keeping the engine at what it should serve.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use domain::{artifact, manifest::Pin, order::Order, vm::Holding};
use parking_lot::Mutex;
use policy::{
    lifecycle::Event,
    orders::{Engine as State, Fenced, Inputs, Reconciler, Spooled},
    view::View,
};
use slog::{error, info, warn};
use tokio::{sync::watch, time};
use upstream::{
    Error,
    engine::{Command, Engine},
};

use crate::{
    depot::{Depot, Progress, Table},
    memory::Memory,
    site::{Served, Site},
    watch::{Refresh, Seen},
};

/// Failed orders and an outdated feed are looked at again this often.
const RETRY: Duration = Duration::from_millis(500);
/// How long an unload waits for running calls of the version.
const UNLOAD_PATIENCE: Duration = Duration::from_secs(60);
/// How often the calls under way are counted meanwhile.
const UNLOAD_POLL: Duration = Duration::from_millis(20);

/// How far this VM has come with each version.
pub type Holdings = BTreeMap<artifact::Id, Holding>;

/// Gives the engine its orders.
pub struct Orders {
    site: Arc<Site>,
    engine: Arc<dyn Engine>,
    depot: Arc<dyn Depot>,
    reconciler: Mutex<Reconciler>,
    memory: Mutex<Memory>,
    seen: watch::Receiver<Seen>,
    refresh: Refresh,
    holdings: watch::Sender<Arc<Holdings>>,
    loading: Mutex<Option<artifact::Id>>,
    asked: Mutex<Asked>,
}

/// What the spool was last asked for.
#[derive(Default)]
struct Asked {
    wanted: Option<BTreeMap<artifact::Id, Pin>>,
    in_use: Vec<artifact::Id>,
}

impl Orders {
    /// Puts the parts together. `seen` and `refresh` come from the watcher.
    pub fn new(
        site: Arc<Site>,
        engine: Arc<dyn Engine>,
        depot: Arc<dyn Depot>,
        reconciler: Reconciler,
        memory: Memory,
        seen: watch::Receiver<Seen>,
        refresh: Refresh,
    ) -> Self {
        Self {
            site,
            engine,
            depot,
            reconciler: Mutex::new(reconciler),
            memory: Mutex::new(memory),
            seen,
            refresh,
            holdings: watch::Sender::new(Arc::default()),
            loading: Mutex::new(None),
            asked: Mutex::default(),
        }
    }

    /// How far this VM has come with each version.
    pub fn holdings(&self) -> watch::Receiver<Arc<Holdings>> {
        self.holdings.subscribe()
    }

    /// The highest fencing number seen.
    pub fn fence(&self) -> domain::order::Fence {
        self.reconciler.lock().fence()
    }

    /// Gives orders for ever.
    pub async fn run(self: Arc<Self>) {
        let mut changes = self.site.feed.changes();
        let mut table = self.depot.table();
        let mut seen = self.seen.clone();
        let mut boot = None;
        loop {
            let state = seen.borrow_and_update().engine.clone();
            let spool = spooled(&table.borrow_and_update());
            changes.mark_unchanged();
            let now_boot = state.as_ref().map(|state| state.boot);
            if now_boot.is_some() && now_boot != boot {
                self.reconciler.lock().reset_failures();
                boot = now_boot;
            }
            let is_done = self.reconcile(state.as_deref(), &spool).await;
            if !is_done {
                continue;
            }
            tokio::select! {
                _ = changes.changed() => {}
                _ = table.changed() => {}
                _ = seen.changed() => {}
                () = time::sleep(RETRY) => {}
            }
        }
    }

    /// Compares and gives at most one order. Says whether nothing is left to do.
    async fn reconcile(
        &self,
        state: Option<&State>,
        spool: &BTreeMap<artifact::Id, Spooled>,
    ) -> bool {
        let feed = self.site.feed.current();
        let now = self.site.clock.now();
        let is_fresh = feed.is_fresh(now, self.site.max_feed_age);
        let view = &feed.view;
        if is_fresh {
            self.want(self.reconciler.lock().wanted(view));
        }
        self.publish(view, spool, state);
        let facts = Inputs {
            view: is_fresh.then_some(view.as_ref()),
            spool,
            engine: state,
        };
        let next = self.reconciler.lock().next(now, facts);
        match next {
            Some(order) => {
                self.give(order, view, spool).await;
                false
            }
            None => true,
        }
    }

    /// Tells the others what is served and held.
    fn publish(&self, view: &View, spool: &BTreeMap<artifact::Id, Spooled>, state: Option<&State>) {
        let served = state.map(|state| verified(view, state)).unwrap_or_default();
        let mut in_use: Vec<_> = served.keys().cloned().collect();
        let loading = self.loading.lock().clone();
        in_use.extend(loading.clone());
        self.use_versions(in_use);
        let event = match served.is_empty() {
            true => Event::Unloaded,
            false => Event::Serving,
        };
        self.site.served.store(Arc::new(served));
        self.site.handle(event);
        let reconciler = self.reconciler.lock();
        let holdings = reconciler.holdings(view, spool, state, loading.as_ref());
        drop(reconciler);
        self.holdings.send_if_modified(|current| {
            let is_new = **current != holdings;
            if is_new {
                *current = Arc::new(holdings);
            }
            is_new
        });
    }

    /// Tells the spool what to hold, when that changes.
    fn want(&self, wanted: BTreeMap<artifact::Id, Pin>) {
        let mut asked = self.asked.lock();
        if asked.wanted.as_ref() != Some(&wanted) {
            self.depot.want(wanted.clone());
            asked.wanted = Some(wanted);
        }
    }

    /// Tells the spool what must stay, when that changes.
    fn use_versions(&self, in_use: Vec<artifact::Id>) {
        let mut asked = self.asked.lock();
        if asked.in_use != in_use {
            self.depot.set_in_use(in_use.clone());
            asked.in_use = in_use;
        }
    }

    async fn give(&self, order: Fenced, view: &View, spool: &BTreeMap<artifact::Id, Spooled>) {
        let log = &self.site.log;
        let remembered = self.memory.lock().remember(order.fence);
        if let Err(error) = remembered {
            error!(
                log,
                "orders: could not remember the fencing number: {error}"
            );
            time::sleep(RETRY).await;
            return;
        }
        self.reconciler.lock().record(&order);
        let (kind, id) = match &order.order {
            Order::Load(id) => ("load", id.clone()),
            Order::Unload(id) => ("unload", id.clone()),
            Order::Role(_) => return,
        };
        info!(log, "orders: {kind} {id}"; "fence" => order.fence.to_string());
        let result = match &order.order {
            Order::Load(_) => self.load(&id, order.clone(), view, spool).await,
            _ => self.unload(&id, order.clone()).await,
        };
        let outcome = match &result {
            Ok(()) => "done",
            Err(_) => "failed",
        };
        self.site.metrics.order(kind, outcome);
        match result {
            Ok(()) => self.reconciler.lock().succeed(&id),
            Err(reason) => {
                warn!(log, "orders: could not {kind} {id}: {reason}");
                let now = self.site.clock.now();
                self.reconciler.lock().fail(now, &id, reason);
                time::sleep(UNLOAD_POLL).await;
            }
        }
    }

    async fn load(
        &self,
        id: &artifact::Id,
        order: Fenced,
        view: &View,
        spool: &BTreeMap<artifact::Id, Spooled>,
    ) -> Result<(), String> {
        let files = match self.depot.table().borrow().get(id) {
            Some(Progress::Held(files)) => files.clone(),
            _ => return Err("the spool does not hold it any more".to_owned()),
        };
        *self.loading.lock() = Some(id.clone());
        self.site.handle(Event::LoadOrdered);
        let state = self.seen.borrow().engine.clone();
        self.publish(view, spool, state.as_deref());
        let command = Command {
            fence: order.fence,
            order: order.order,
            manifest: Some(files.manifest.clone()),
            chunks: files.chunks.clone(),
        };
        let result = self.carry_out(command).await;
        let result = match result {
            Ok(()) => self.confirm(id, view, spool).await,
            Err(reason) => Err(reason),
        };
        *self.loading.lock() = None;
        result
    }

    /// Asks the engine what it serves after a load; only that makes the version served.
    async fn confirm(
        &self,
        id: &artifact::Id,
        view: &View,
        spool: &BTreeMap<artifact::Id, Spooled>,
    ) -> Result<(), String> {
        let state = self.refresh.state(self.seen.clone()).await;
        let state = state.ok_or("the engine was lost meanwhile")?;
        let pinned = view.rollouts.get(id).map(|rollout| rollout.pin.digest);
        match state.serving.get(id) {
            Some(digest) if Some(*digest) == pinned => {
                *self.loading.lock() = None;
                self.publish(view, spool, Some(&state));
                Ok(())
            }
            Some(digest) => Err(format!("the engine serves another manifest: {digest}")),
            None => Err("the engine does not serve it after the load".to_owned()),
        }
    }

    async fn unload(&self, id: &artifact::Id, order: Fenced) -> Result<(), String> {
        // No new call finds the version from here on; those under way may finish.
        self.site.served.rcu(|served| {
            let mut served = Served::clone(served);
            served.remove(id);
            served
        });
        let idle = async {
            while self.site.in_flight.count(id) > 0 {
                time::sleep(UNLOAD_POLL).await;
            }
        };
        time::timeout(UNLOAD_PATIENCE, idle)
            .await
            .map_err(|_| format!("calls still run after {} s", UNLOAD_PATIENCE.as_secs()))?;
        let command = Command {
            fence: order.fence,
            order: order.order,
            manifest: None,
            chunks: Vec::new(),
        };
        self.carry_out(command).await?;
        let state = self.refresh.state(self.seen.clone()).await;
        match state {
            Some(state) if state.serving.contains_key(id) => {
                Err("the engine still serves it after the unload".to_owned())
            }
            _ => Ok(()),
        }
    }

    /// Gives an order and waits, unless the engine is lost meanwhile.
    async fn carry_out(&self, command: Command) -> Result<(), String> {
        let mut seen = self.seen.clone();
        let lost = async {
            // The watcher lives as long as the agent.
            let _ = seen.wait_for(|seen| seen.engine.is_none()).await;
        };
        tokio::select! {
            result = self.engine.order(command) => match result {
                Err(Error::Fenced { fence, .. }) => {
                    self.reconciler.lock().observe(fence);
                    Err(format!("the engine has seen {fence}"))
                }
                result => result.map_err(|error| error.to_string()),
            },
            () = lost => Err("the engine was lost meanwhile".to_owned()),
        }
    }
}

/// The versions that the engine serves with the pinned manifest.
fn verified(view: &View, state: &State) -> Served {
    state
        .serving
        .iter()
        .filter(|(id, digest)| {
            view.rollouts
                .get(*id)
                .is_some_and(|rollout| rollout.pin.digest == **digest)
        })
        .map(|(id, digest)| (id.clone(), *digest))
        .collect()
}

fn spooled(table: &Table) -> BTreeMap<artifact::Id, Spooled> {
    table
        .iter()
        .map(|(id, progress)| {
            let spooled = match progress {
                Progress::Fetching { chunks } => Spooled::Fetching { chunks: *chunks },
                Progress::Held(_) => Spooled::Held,
                Progress::Failed { reason } => Spooled::Failed {
                    reason: reason.clone(),
                },
            };
            (id.clone(), spooled)
        })
        .collect()
}
