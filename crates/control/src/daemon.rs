//! The daemon: one thread for the replica and its sessions, others for HTTP.

use std::{net::SocketAddr, rc::Rc, sync::Arc, thread};

use domain::clock::Clock;
use host::{clock::Boot, shutdown::Shutdown, status::Page};
use operator::access::{Access, Operator};
use peer::seeds::Seeds;
use policy::replica::Promotion;
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
    desk::{self, Desk},
    error::{Error, ListenSnafu, MetricsSnafu, PlatformSnafu, ServeSnafu, StartSnafu},
    health::Health,
    node::{self, Surroundings},
};

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
    let seeds = Seeds::new(settings.replicas.clone());
    let given = Surroundings {
        secret: secret.into(),
        clock,
        advertised: None,
        logger: logger.clone(),
        meter,
        seeds,
        // Disks of all replicas are lost together only where the group is set up anew.
        may_found: true,
        promotion: Promotion::Manual,
        format: None,
        waits_for_vms: true,
    };
    let runtime = Builder::new_current_thread()
        .enable_all()
        .build()
        .context(StartSnafu {
            part: "the runtime",
        })?;
    let result = LocalSet::new().block_on(&runtime, async {
        let node = node::open(settings, given).await?;
        task::spawn_local(inbox.run(node.core.clone()));
        task::spawn_local(show(node.core.clone(), health));
        tokio::select! {
            ended = node.run => ended,
            () = shutdown.drain.cancelled() => Ok(()),
        }
    });
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

pub(crate) async fn listen(addr: SocketAddr) -> Result<TcpListener, Error> {
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

/// Keeps the status page's reading current.
async fn show(core: Rc<Core>, health: Arc<Health>) {
    loop {
        health.set(core.obstacles());
        time::sleep(node::TICK).await;
    }
}
