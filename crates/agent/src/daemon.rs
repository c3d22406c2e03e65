//! The parts of the agent put together, and their orderly end.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use domain::{
    clock::Clock,
    vm::{Announcement, Upstream, Vm},
};
use policy::{
    fair, gate as policy_gate,
    lifecycle::Event,
    orders::{Config, Reconciler},
    warmup,
};
use settings::agent::Agent as Settings;
use slog::{Logger, info, warn};
use snafu::ResultExt;
use tokio::{
    sync::watch,
    task::{JoinHandle, JoinSet},
    time,
};
use tokio_util::sync::CancellationToken;
use upstream::{engine, service};

use crate::{
    depot::Depot,
    error::{Error, ListenSnafu},
    feed::{Feed, Ledger},
    gate::Gate,
    listener::{Backend, Listener},
    memory::Memory,
    metrics::Metrics,
    model::Model,
    once::Once,
    orders::Orders,
    presence::{self, Reporter},
    service::Service,
    site::Site,
    watch::{Watched, Watcher},
};

/// Calls that wait in all, as a multiple of what one customer may have waiting.
const MAX_BUSY_CUSTOMERS: usize = 64;
/// How long control gets to learn that the upstream is gone.
const FAREWELL: Duration = Duration::from_millis(300);
/// How long idle connections get to end.
const CLOSING: Duration = Duration::from_secs(2);
/// How often the end of running calls is looked for.
const DRAIN_POLL: Duration = Duration::from_millis(20);

/// What the agent is given by its surroundings.
pub struct Surroundings {
    /// The clock.
    pub clock: Arc<dyn Clock>,
    /// The state.
    pub feed: Arc<dyn Feed>,
    /// The ledger.
    pub ledger: Arc<dyn Ledger>,
    /// The spool, if the upstream is an engine.
    pub depot: Option<Arc<dyn Depot>>,
    /// Where the agent's reports go.
    pub presence: watch::Sender<Option<Arc<Vm>>>,
    /// What it remembers over restarts.
    pub memory: Memory,
    /// The shared secret.
    pub secret: Arc<[u8]>,
    /// The metrics.
    pub metrics: Metrics,
    /// The log.
    pub log: Logger,
}

/// A running agent. Dropping it cuts everything, as a crash does.
pub struct Daemon {
    site: Arc<Site>,
    listener: Listener,
    call_addr: SocketAddr,
    presence: watch::Sender<Option<Arc<Vm>>>,
    shutdown_limit: Duration,
    close: CancellationToken,
    cut: CancellationToken,
    tasks: JoinSet<()>,
    accepting: JoinHandle<()>,
}

impl Daemon {
    /// Starts the agent.
    ///
    /// # Errors
    ///
    /// If its address can't be had.
    pub async fn start(settings: &Settings, given: Surroundings) -> Result<Self, Error> {
        let addr = settings.call_listen;
        let socket = Listener::bind(addr).await.context(ListenSnafu { addr })?;
        let call_addr = socket.local_addr().context(ListenSnafu { addr })?;
        let announcement = Announcement {
            vm: settings.place.vm.clone(),
            zone: settings.place.zone.clone(),
            region: settings.place.region.clone(),
            incarnation: given.memory.content().incarnation,
            call_addr,
            chunk_addr: settings.chunk_listen,
            upstream: settings.upstream.clone(),
        };
        let gate = Gate::new(
            gate_config(settings),
            given.clock.clone(),
            given.metrics.clone(),
        );
        let site = Site::new(
            announcement,
            Duration::from_millis(settings.max_feed_age_ms),
            given.clock,
            given.feed,
            gate,
            given.metrics,
            given.log,
        );
        let cut = CancellationToken::new();
        let close = CancellationToken::new();
        let mut tasks = JoinSet::new();
        let patience = Duration::from_millis(settings.gate.progress_timeout_ms);
        let peer = settings.upstream_addr;
        let (backend, orders) = match &settings.upstream {
            Upstream::Engine { .. } => {
                let engine = Arc::new(engine::Client::new(peer, patience));
                let watcher = Watcher::new(site.clone(), Watched::Engine(engine.clone()));
                let orders = given.depot.map(|depot| {
                    let fence = given.memory.content().fence;
                    let reconciler = Reconciler::new(orders_config(settings), fence);
                    Arc::new(Orders::new(
                        site.clone(),
                        engine.clone(),
                        depot,
                        reconciler,
                        given.memory,
                        watcher.seen(),
                        watcher.refresh(),
                    ))
                });
                tasks.spawn(watcher.run());
                let model = Model::new(site.clone(), engine, cut.clone(), patience);
                (Backend::Model(model), orders)
            }
            Upstream::Service { .. } | Upstream::Entry | Upstream::Control => {
                let client = Arc::new(service::Client::new(peer, patience));
                let watcher = Watcher::new(site.clone(), Watched::Service(client.clone()));
                tasks.spawn(watcher.run());
                let service = Service::new(site.clone(), client.clone());
                let once = Once::new(site.clone(), client, given.ledger);
                (Backend::Service(service, once), None)
            }
        };
        if let Some(orders) = orders.clone() {
            tasks.spawn(orders.run());
        }
        let reporter = Reporter::new(site.clone(), orders, given.presence.clone());
        tasks.spawn(reporter.run());
        let listener = Listener::new(site.clone(), backend, given.secret);
        let accepting = tokio::spawn(listener.clone().run(socket, close.clone()));
        info!(site.log, "agent: started"; "addr" => call_addr.to_string());
        Ok(Self {
            site,
            listener,
            call_addr,
            presence: given.presence,
            shutdown_limit: Duration::from_millis(settings.shutdown_limit_ms),
            close,
            cut,
            tasks,
            accepting,
        })
    }

    /// Where it takes calls.
    pub fn call_addr(&self) -> SocketAddr {
        self.call_addr
    }

    /// What its parts share.
    pub fn site(&self) -> &Arc<Site> {
        &self.site
    }

    /// Takes nothing new, lets running calls end, says good-bye and ends. When `cut` fires or the
    /// time limit is over, running calls are cut. Returns how many were.
    pub async fn shut_down(mut self, cut: &CancellationToken) -> u32 {
        let log = self.site.log.clone();
        info!(log, "agent: draining"; "calls" => self.site.gate.load().running);
        self.site.handle(Event::Drain);
        self.site.gate.drain();
        let left = tokio::select! {
            () = self.drained() => 0,
            () = cut.cancelled() => self.site.gate.load().running,
            () = time::sleep(self.shutdown_limit) => self.site.gate.load().running,
        };
        if left > 0 {
            warn!(log, "agent: cut running calls"; "calls" => left);
            self.cut.cancel();
        }
        self.site.handle(Event::Drained);
        self.tasks.abort_all();
        presence::farewell(&self.presence);
        time::sleep(FAREWELL).await;
        self.close.cancel();
        self.listener.connections().close();
        let closed = time::timeout(CLOSING, self.listener.connections().wait()).await;
        if closed.is_err() {
            info!(log, "agent: connections did not end in time");
        }
        info!(log, "agent: ended");
        left
    }

    async fn drained(&self) {
        while self.site.gate.load().running > 0 {
            time::sleep(DRAIN_POLL).await;
        }
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.accepting.abort();
        self.cut.cancel();
        self.close.cancel();
    }
}

fn gate_config(settings: &Settings) -> policy_gate::Config {
    let gate = &settings.gate;
    let per_customer = gate.queue_calls as usize;
    // Only engines show a first token; a service's first sign of life is its whole answer.
    let unconfirmed = match settings.upstream {
        Upstream::Engine { .. } => gate.cold_limit,
        Upstream::Service { .. } | Upstream::Entry | Upstream::Control => gate.warm_limit,
    };
    policy_gate::Config {
        limit: warmup::Config {
            cold: gate.cold_limit,
            warm: gate.warm_limit.max(gate.cold_limit),
            unconfirmed,
        },
        queue: fair::Config {
            per_customer,
            total: per_customer * MAX_BUSY_CUSTOMERS,
        },
    }
}

fn orders_config(settings: &Settings) -> Config {
    let weights = settings.weights.as_ref();
    let artifacts = weights.and_then(|weights| weights.artifacts.clone());
    Config {
        vm: settings.place.vm.clone(),
        slots: weights.map_or(0, |weights| weights.slots),
        artifacts: artifacts.map(|names| names.into_iter().collect()),
    }
}
