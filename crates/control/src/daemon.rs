//! The daemon: one thread for the replica and its sessions, others for HTTP.

use std::{cell::RefCell, net::SocketAddr, rc::Rc, sync::Arc, thread, time::Duration};

use domain::clock::Clock;
use opentelemetry::metrics::Meter;
use operator::access::{Access, Operator};
use peer::{connection::Dialer, server::Server};
use platform::{clock::Boot, shutdown::Shutdown, status::Page};
use policy::replica::Timing;
use settings::control::Control;
use slog::{Logger, error, info};
use snafu::ResultExt;
use telemetry::{log::Root, metrics};
use tokio::{
    net::TcpListener,
    runtime::Builder,
    task::{self, LocalSet},
    time,
};

use crate::{
    core::Core,
    desk::{self, Desk, Inbox},
    error::{
        Error, ListenSnafu, MetricsSnafu, PlatformSnafu, ReplicationSnafu, ServeSnafu, StartSnafu,
    },
    exchange,
    health::Health,
    leader,
    machine::Machine,
    metrics::{Metrics, Reading},
    replication::{self, Setup},
    service::Service,
};

/// How often sessions are looked at and readings are taken.
const TICK: Duration = Duration::from_millis(200);
/// Threads that serve operators and the status page.
const HTTP_THREADS: usize = 2;

/// Runs the daemon until it is told to stop.
///
/// # Errors
///
/// If something it needs can't be opened.
pub fn run(settings: Control, secret: Vec<u8>) -> Result<(), Error> {
    let root = Root::new(
        "gypsum-control",
        &settings.place.vm,
        settings.log.format,
        settings.log.level,
    );
    let logger = root.logger.clone();
    let clock: Arc<dyn Clock> = Arc::new(Boot);
    let metrics = metrics::Metrics::new().context(MetricsSnafu)?;
    let health = Arc::new(Health::new(clock.clone()));
    let page = Page::new(health.clone(), metrics.clone(), root.switch.clone());
    let (desk, inbox) = desk::pair(origin::Client::new(settings.origin));
    let shutdown = Shutdown::new();
    let http = Http {
        operator_listen: settings.operator_listen,
        status_listen: settings.status_listen,
        access: access(&settings),
        desk,
        page,
        shutdown: shutdown.clone(),
        logger: logger.clone(),
    };
    let http = http.spawn()?;
    let meter = metrics.meter("control");
    let replica = Replica {
        settings,
        secret: secret.into(),
        clock,
        logger: logger.clone(),
        health,
        inbox,
        meter,
    };
    let runtime = Builder::new_current_thread()
        .enable_all()
        .build()
        .context(StartSnafu {
            part: "the runtime",
        })?;
    let result = LocalSet::new().block_on(&runtime, replica.run(&shutdown));
    shutdown.drain.cancel();
    // The thread's own failure was logged there.
    let _ = http.join();
    info!(logger, "control: stopped");
    result
}

fn access(settings: &Control) -> Access {
    let operators = settings.operators.iter().map(|operator| Operator {
        name: operator.name.as_str().into(),
        key_digest: operator.key_digest,
    });
    Access::new(operators.collect::<Vec<_>>())
}

async fn listen(addr: SocketAddr) -> Result<TcpListener, Error> {
    TcpListener::bind(addr).await.context(ListenSnafu { addr })
}

/// The part on the HTTP threads.
struct Http {
    operator_listen: SocketAddr,
    status_listen: SocketAddr,
    access: Access,
    desk: Desk,
    page: Page,
    shutdown: Shutdown,
    logger: Logger,
}

impl Http {
    fn spawn(self) -> Result<thread::JoinHandle<()>, Error> {
        let runtime = Builder::new_multi_thread()
            .worker_threads(HTTP_THREADS)
            .enable_all()
            .build()
            .context(StartSnafu {
                part: "the HTTP runtime",
            })?;
        let spawned = thread::Builder::new()
            .name("http".to_owned())
            .spawn(move || {
                let logger = self.logger.clone();
                let shutdown = self.shutdown.clone();
                if let Err(failure) = runtime.block_on(self.run()) {
                    error!(logger, "http: failed"; "reason" => %failure);
                    shutdown.drain.cancel();
                }
            });
        spawned.context(StartSnafu {
            part: "the HTTP thread",
        })
    }

    async fn run(self) -> Result<(), Error> {
        self.shutdown.on_signals().context(PlatformSnafu)?;
        let listener = listen(self.operator_listen).await?;
        let router = operator::router::router(Arc::new(self.desk), self.access);
        let drain = self.shutdown.drain.clone();
        let page = self.page.serve(self.status_listen);
        tokio::select! {
            served = operator::server::run(listener, router, drain) => {
                served.context(ServeSnafu { part: "operators" })
            }
            served = page => served.context(PlatformSnafu),
            () = self.shutdown.cut.cancelled() => Ok(()),
        }
    }
}

/// The part on the replica's thread.
struct Replica {
    settings: Control,
    secret: Arc<[u8]>,
    clock: Arc<dyn Clock>,
    logger: Logger,
    health: Arc<Health>,
    inbox: Inbox,
    meter: Meter,
}

impl Replica {
    async fn run(self, shutdown: &Shutdown) -> Result<(), Error> {
        let setup = self.setup();
        let address = self.settings.peer_listen;
        let listener = listen(address).await?;
        let instruments = Metrics::new(&self.meter);
        let core = Core::new(self.settings, self.clock, self.logger.clone(), instruments);
        let machine = Rc::new(RefCell::new(Machine::new(core.clone())));
        let sessions = Rc::new(exchange::Sessions::new(core.clone()));
        let replica = replication::open(setup, machine, sessions).context(ReplicationSnafu)?;
        core.bind(replica.log);
        let dialer = Dialer::new(self.secret.clone());
        let server = Server::new(self.secret)
            .with_control(Service::new(core.clone()))
            .with_replica(replica.service);
        task::spawn_local(self.inbox.run(core.clone()));
        task::spawn_local(exchange::run(core.clone(), dialer));
        task::spawn_local(leader::run(core.clone()));
        task::spawn_local(watch(core, self.health));
        info!(self.logger, "control: started"; "peers" => %address);
        tokio::select! {
            served = server.run(listener) => served.context(ServeSnafu { part: "peers" }),
            ended = replica.run => ended.context(ReplicationSnafu),
            () = shutdown.drain.cancelled() => Ok(()),
        }
    }

    fn setup(&self) -> Setup {
        let settings = &self.settings;
        let heartbeat = Duration::from_millis(settings.heartbeat_ms);
        let election = Duration::from_millis(settings.election_ms);
        Setup {
            folder: settings.data.clone(),
            address: settings.peer_listen,
            replicas: settings.replicas.clone(),
            timing: Timing::new(heartbeat, election),
            snapshot_entries: settings.snapshot_entries,
            secret: self.secret.clone(),
            clock: self.clock.clone(),
            logger: self.logger.clone(),
            meter: self.meter.clone(),
        }
    }
}

/// Ends silent sessions and takes readings.
async fn watch(core: Rc<Core>, health: Arc<Health>) {
    loop {
        time::sleep(TICK).await;
        // While no quorum confirms the state, agents are sent away and can't be missed.
        if core.staleness().is_none() {
            core.with_table(|table, now| table.tick(now));
        }
        health.set(core.obstacles());
        let reading = {
            let state = core.state();
            Reading {
                revision: state.revision().0,
                age: core.age(),
                vms: core.vm_count(),
                ledger_entries: state.ledger().len(),
                ledger_started: state.ledger().started(),
            }
        };
        core.metrics.show(reading);
    }
}
