//! `--settings`: the daemon.

use std::{path::Path, sync::Arc, time::Duration};

use domain::{clock::Clock, violation::Violation, vm::Vm};
use host::{
    clock::Boot,
    shutdown::Shutdown,
    status::{Page, Readiness},
};
use peer::{
    connection::Dialer,
    control::Scope,
    seeds::Seeds,
    uplink::{self, Client},
};
use settings::{agent::Agent as Settings, file};
use slog::{Logger, error};
use snafu::ResultExt;
use telemetry::{log::Root, metrics::Metrics as Registry};
use tokio::sync::watch;

use crate::{
    daemon::{Daemon, Surroundings},
    depot::Depot,
    error::{
        Error, MetricsSnafu, PlatformSnafu, SettingsSnafu, SpoolSnafu, ThreadSnafu, WeightsSnafu,
    },
    feed::Feed,
    memory::Memory,
    metrics::Metrics,
    site::Site,
    util, weights,
};

/// Runs the daemon until it is told to end.
///
/// # Errors
///
/// Why it could not start.
pub(super) fn run(path: &Path) -> Result<(), Error> {
    let settings = file::load::<Settings>(path).context(SettingsSnafu)?;
    util::check(&settings)?;
    let secret = file::load_secret(&settings.secret_file).context(SettingsSnafu)?;
    let log = settings.log;
    let root = Root::new("agent", settings.place.vm.as_str(), log.format, log.level);
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .worker_threads(WORKERS)
        .build()
        .context(ThreadSnafu)?;
    runtime.block_on(serve(&settings, secret.into(), &root))
}

/// The agent's slot on the upstream's VM is small.
const WORKERS: usize = 2;

async fn serve(settings: &Settings, secret: Arc<[u8]>, root: &Root) -> Result<(), Error> {
    let shutdown = Shutdown::new();
    shutdown.on_signals().context(PlatformSnafu)?;
    let clock: Arc<dyn Clock> = Arc::new(Boot);
    let registry = Registry::new().context(MetricsSnafu)?;
    let spool = settings
        .weights
        .as_ref()
        .map(|weights| weights.spool.as_path());
    let path = spool.unwrap_or(Path::new(""));
    let memory = Memory::open(spool, clock.wall_ms()).context(SpoolSnafu { path })?;
    let (presence, reports) = watch::channel(None::<Arc<Vm>>);
    let dialer = Dialer::new(secret.clone());
    let config = uplink::Config {
        vm: settings.place.vm.clone(),
        zone: settings.place.zone.clone(),
        control: Seeds::new(settings.control.clone()),
        dialer: dialer.clone(),
        scope: Scope::Agent,
        logger: root.logger.clone(),
    };
    let uplink = Client::new(config, clock.clone(), Some(reports)).context(ThreadSnafu)?;
    let depot = depot(
        settings,
        &uplink,
        dialer,
        clock.clone(),
        root.logger.clone(),
        &registry,
    )?;
    let feed: Arc<dyn Feed> = Arc::new(uplink.clone());
    let given = Surroundings {
        clock,
        feed,
        ledger: Arc::new(uplink),
        depot,
        presence,
        memory,
        secret,
        metrics: Metrics::new(&registry.meter("agent")),
        log: root.logger.clone(),
    };
    let daemon = Daemon::start(settings, given).await?;
    let readiness = Arc::new(Ready(daemon.site().clone()));
    let page = Page::new(readiness, registry, root.switch.clone());
    let addr = settings.status_listen;
    let log = root.logger.clone();
    tokio::spawn(async move {
        if let Err(error) = page.serve(addr).await {
            error!(log, "status: {error}");
        }
    });
    shutdown.drain.cancelled().await;
    daemon.shut_down(&shutdown.cut).await;
    Ok(())
}

/// The spool of an engine's agent.
fn depot(
    settings: &Settings,
    uplink: &Client,
    dialer: Dialer,
    clock: Arc<dyn Clock>,
    log: Logger,
    registry: &Registry,
) -> Result<Option<Arc<dyn Depot>>, Error> {
    let Some(weights) = &settings.weights else {
        return Ok(None);
    };
    let config = weights::Config {
        weights: weights.clone(),
        place: settings.place.clone(),
        chunk_listen: settings.chunk_listen,
    };
    let roster = Arc::new(uplink.clone());
    let depot = weights::Depot::new(config, roster, dialer, clock, log, registry);
    Ok(Some(Arc::new(depot.context(WeightsSnafu)?)))
}

/// Whether the agent acts on calls and orders.
struct Ready(Arc<Site>);

impl Readiness for Ready {
    fn obstacles(&self) -> Vec<Violation> {
        let site = &self.0;
        let now = site.clock.now();
        let feed = site.feed.current();
        let age = feed.bound.age(now).unwrap_or(Duration::MAX);
        let stale = (age > site.max_feed_age).then(|| {
            let detail = format!("no fresh state from control for {} ms", age.as_millis());
            Violation::new("feed", detail)
        });
        let lifecycle = site.lifecycle();
        let idle = (!lifecycle.is_serving())
            .then(|| Violation::new("upstream", format!("the upstream is {lifecycle}")));
        stale.into_iter().chain(idle).collect()
    }
}
