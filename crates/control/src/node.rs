//! A replica with all that runs on its thread, for whatever daemon it is part of.

use std::{cell::RefCell, net::SocketAddr, rc::Rc, sync::Arc, time::Duration};

use domain::{
    clock::Clock,
    name,
    routing::Format,
    vm::{Announcement, Lifecycle, Status, Upstream},
};
use futures::future::LocalBoxFuture;
use opentelemetry::metrics::Meter;
use peer::{connection::Dialer, seeds::Seeds, server::Server};
use policy::replica::{Promotion, Timing};
use settings::control::Control;
use slog::{Logger, info, warn};
use snafu::ResultExt;
use tokio::{task, time};

use crate::{
    core::Core,
    daemon::listen,
    error::{Error, ReplicationSnafu, ServeSnafu},
    exchange, leader,
    machine::Machine,
    metrics::{Metrics, Reading},
    registrar,
    replication::{self, Setup},
    service::Service,
};

/// How often sessions are looked at and readings are taken.
pub const TICK: Duration = Duration::from_millis(200);
/// How often the replica renews its own session: several times within the shortest one.
const PRESENCE_PERIOD: Duration = Duration::from_secs(1);

/// What a replica is given by its daemon.
pub struct Surroundings {
    /// The secret that the system's processes share.
    pub secret: Arc<[u8]>,
    /// The clock, which must also count while the VM is paused.
    pub clock: Arc<dyn Clock>,
    /// Where others reach this replica, if that is not where it listens: behind a forwarder.
    pub advertised: Option<SocketAddr>,
    /// Where to log.
    pub logger: Logger,
    /// Where to count.
    pub meter: Meter,
    /// See [`Setup::seeds`].
    pub seeds: Seeds,
    /// See [`Setup::may_found`].
    pub may_found: bool,
    /// See [`Setup::promotion`].
    pub promotion: Promotion,
    /// How routings are read, if this control takes any.
    pub format: Option<Arc<dyn Format>>,
    /// Whether feeds wait until the VMs of all replicas are known. They must where upstreams are
    /// reached through agents, or a fresh replica would take those from entries.
    pub waits_for_vms: bool,
}

/// A replica at work.
pub struct Node {
    /// Its tables.
    pub core: Rc<Core>,
    /// The work itself. It ends only when something fails.
    pub run: LocalBoxFuture<'static, Result<(), Error>>,
}

/// Opens the data folder and the listener for the system's processes. It must be called inside a
/// `LocalSet`.
///
/// # Errors
///
/// If either can't be had.
pub async fn open(settings: Control, given: Surroundings) -> Result<Node, Error> {
    let address = given.advertised.unwrap_or(settings.peer_listen);
    let setup = Setup {
        folder: settings.data.clone(),
        address,
        seeds: given.seeds,
        may_found: given.may_found,
        promotion: given.promotion,
        timing: Timing::new(
            Duration::from_millis(settings.heartbeat_ms),
            Duration::from_millis(settings.election_ms),
        ),
        snapshot_entries: settings.snapshot_entries,
        secret: given.secret.clone(),
        clock: given.clock.clone(),
        logger: given.logger.clone(),
        meter: given.meter.clone(),
    };
    let listener = listen(settings.peer_listen).await?;
    let instruments = Metrics::new(&given.meter);
    let logger = given.logger;
    let core = Core::new(settings, given.clock, logger.clone(), instruments);
    if let Some(format) = given.format {
        core.read_routing_by(format);
    }
    if !given.waits_for_vms {
        core.serve_without_vms();
    }
    let machine = Rc::new(RefCell::new(Machine::new(core.clone())));
    let sessions = Rc::new(exchange::Sessions::new(core.clone()));
    let replica = replication::open(setup, machine, sessions)
        .await
        .context(ReplicationSnafu)?;
    core.bind(replica.log);
    let dialer = Dialer::new(given.secret.clone());
    let server = Server::new(given.secret)
        .with_control(Service::new(core.clone()))
        .with_replica(replica.service);
    task::spawn_local(exchange::run(core.clone(), dialer));
    task::spawn_local(leader::run(core.clone()));
    task::spawn_local(core.clone().follow_routing());
    task::spawn_local(registrar::run(core.clone()));
    task::spawn_local(watch(core.clone()));
    task::spawn_local(announce(core.clone(), address));
    info!(logger, "control: started"; "peers" => %address);
    let run = Box::pin(async move {
        tokio::select! {
            served = server.run(listener) => served.context(ServeSnafu { part: "peers" }),
            ended = replica.run => ended.context(ReplicationSnafu),
        }
    });
    Ok(Node { core, run })
}

/// Ends silent sessions and takes readings.
async fn watch(core: Rc<Core>) {
    loop {
        time::sleep(TICK).await;
        // While no quorum confirms the state, agents are sent away and can't be missed.
        if core.staleness().is_none() {
            core.with_table(|table, now| table.tick(now));
        }
        let reading = {
            let state = core.state();
            Reading {
                revision: state.revision().0,
                age: core.age(),
                vms: core.vm_count(),
                ledger_entries: state.ledger().len(),
                ledger_started: state.ledger().started(),
                quarantined: state.quarantine().quarantined(),
            }
        };
        core.metrics.show(reading);
    }
}

/// Keeps a session of the replica's own VM, so that entries and agents learn where control runs.
async fn announce(core: Rc<Core>, address: SocketAddr) {
    let settings = &core.settings;
    let announcement = Announcement {
        vm: name::Vm::new(format!("control.{}", settings.place.vm)),
        zone: settings.place.zone.clone(),
        region: settings.place.region.clone(),
        incarnation: core.clock.wall_ms(),
        call_addr: settings.operator_listen,
        chunk_addr: address,
        upstream: Upstream::Control,
    };
    let status = Status {
        lifecycle: Lifecycle::Announced,
        holdings: Default::default(),
        fence: Default::default(),
        limit: 0,
    };
    loop {
        let (who, how) = (announcement.clone(), status.clone());
        if let Err(refusal) = core.with_table(|table, now| table.announce(now, who, how)) {
            warn!(core.logger, "membership: own announcement refused"; "reason" => %refusal);
        }
        time::sleep(PRESENCE_PERIOD).await;
    }
}
