//! Starting, running and stopping the daemon.

use std::{
    path::{Path, PathBuf},
    sync::Arc,
    time::Duration,
};

use caller::listener::{Limits, Listener};
use clap::ArgMatches;
use host::{clock::Boot, shutdown::Shutdown, status::Page};
use peer::{
    connection::Dialer,
    control::Scope,
    seeds::Seeds,
    uplink::{self, Client},
};
use policy::router;
use settings::{
    entry::Entry,
    file::{load, load_secret, schema},
};
use slog::Logger;
use snafu::ResultExt;
use telemetry::{log::Root, metrics::Metrics};
use tokio::{net::TcpListener, time};

use crate::{
    api, args,
    error::{Error, ListenSnafu, SchemaSnafu, StartSnafu},
    meters::Meters,
    readiness::State,
    shared::{Config, Parts, Shared},
    util::millis,
};

/// How long the head of a request may take to come.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// How many connections of callers may be open for each call that may run.
const CONNECTIONS_PER_CALL: usize = 2;

/// Does what the command line says.
///
/// # Errors
///
/// If the settings are wrong, or the daemon could not start.
pub fn run(matches: &ArgMatches) -> Result<(), Error> {
    if matches.get_flag(args::PRINT_SCHEMA) {
        let schema = serde_json::to_string_pretty(&schema::<Entry>()).context(SchemaSnafu)?;
        println!("{schema}");
        return Ok(());
    }
    if let Some(path) = matches.get_one::<PathBuf>(args::CHECK_SETTINGS) {
        return Ok(load::<Entry>(path).map(|_| ())?);
    }
    let path = matches.get_one::<PathBuf>(args::SETTINGS);
    let path = path.map_or(Path::new(""), PathBuf::as_path);
    let settings: Entry = load(path)?;
    let secret = load_secret(&settings.secret_file)?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .context(StartSnafu {
            what: "the worker threads",
        })?;
    runtime.block_on(serve(settings, secret))
}

async fn serve(settings: Entry, secret: Vec<u8>) -> Result<(), Error> {
    let place = &settings.place;
    let root = Root::new(
        "entry",
        place.vm.as_str(),
        settings.log.format,
        settings.log.level,
    );
    let logger = root.logger.clone();
    let metrics = Metrics::new()?;
    let shutdown = Shutdown::new();
    shutdown.on_signals()?;
    let clock = Arc::new(Boot);
    let uplink = uplink::Config {
        vm: place.vm.clone(),
        zone: place.zone.clone(),
        control: Seeds::new(settings.control.clone()),
        dialer: Dialer::new(secret.as_slice()),
        scope: Scope::Entry,
        logger: logger.clone(),
    };
    let client = Client::new(uplink, clock.clone(), None).context(StartSnafu {
        what: "the link to control",
    })?;
    let control = Arc::new(client);
    let max_feed_age = Duration::from_millis(settings.max_feed_age_ms);
    let readiness = State::new(
        control.clone(),
        clock.clone(),
        max_feed_age,
        shutdown.drain.clone(),
    );
    let page = Page::new(Arc::new(readiness), metrics.clone(), root.switch.clone());
    let status = tokio::spawn(page.serve(settings.status_listen));
    let shared = Shared::new(Parts {
        control,
        clock,
        config: config(&settings),
        router: router::Config {
            vm: place.vm.clone(),
            zone: place.zone.clone(),
            region: place.region.clone(),
            subset_size: settings.subset_size,
        },
        retry_percent: settings.retry_percent,
        max_calls: settings.max_calls,
        secret,
        meters: Meters::new(&metrics.meter("entry")),
        logger: logger.clone(),
        seed: rand::random(),
    });
    let shared = shared.ok_or(Error::Secret)?;
    let listener = listen(&settings, &shared).await?;
    slog::info!(
        logger,
        "listener: callers are served on {}",
        settings.caller_listen
    );
    let running = carry(&shared, listener, &settings, &shutdown);
    tokio::select! {
        () = running => Ok(()),
        ended = status => match ended {
            Ok(result) => result.map_err(Error::from),
            Err(_) => Ok(()),
        },
    }
}

fn config(settings: &Entry) -> Config {
    Config {
        max_feed_age: Duration::from_millis(settings.max_feed_age_ms),
        max_call: Duration::from_millis(settings.max_call_ms),
        progress_timeout: Duration::from_millis(settings.progress_timeout_ms),
        max_body_bytes: settings.max_body_bytes,
        services: settings.services.clone(),
    }
}

async fn listen(settings: &Entry, shared: &Arc<Shared>) -> Result<Listener, Error> {
    let addr = settings.caller_listen;
    let socket = TcpListener::bind(addr)
        .await
        .context(ListenSnafu { addr })?;
    let limits = Limits {
        head: HEAD_TIMEOUT,
        stall: Duration::from_millis(settings.progress_timeout_ms),
        connections: settings.max_calls.saturating_mul(CONNECTIONS_PER_CALL),
    };
    Ok(Listener::new(socket, api::router(shared.clone()), limits))
}

/// Serves until a shutdown: the balancer gets its grace, the listener closes, running calls end.
async fn carry(shared: &Arc<Shared>, listener: Listener, settings: &Entry, shutdown: &Shutdown) {
    let close = tokio_util::sync::CancellationToken::new();
    let steps = async {
        shutdown.drain.cancelled().await;
        let grace = Duration::from_millis(settings.shutdown_grace_ms);
        slog::info!(
            shared.logger,
            "shutdown: the balancer gets {} ms",
            millis(grace)
        );
        wait(grace, shutdown).await;
        close.cancel();
        slog::info!(shared.logger, "shutdown: the listener is closed";
            "running" => shared.calls.running().len());
        let limit = Duration::from_millis(settings.shutdown_limit_ms);
        tokio::select! {
            () = shared.calls.ended() => {}
            () = wait(limit, shutdown) => {
                log_cut(&shared.logger, shared);
                shutdown.cut.cancel();
            }
        }
    };
    let serving = listener.run(close.clone(), shutdown.cut.clone());
    tokio::join!(serving, steps);
    slog::info!(shared.logger, "shutdown: done");
}

async fn wait(span: Duration, shutdown: &Shutdown) {
    tokio::select! {
        () = time::sleep(span) => {}
        () = shutdown.cut.cancelled() => {}
    }
}

fn log_cut(logger: &Logger, shared: &Shared) {
    for call in shared.calls.running() {
        slog::warn!(logger, "shutdown: cut a running call"; "id" => %call.id,
            "customer" => %call.customer, "path" => %call.path);
    }
}
