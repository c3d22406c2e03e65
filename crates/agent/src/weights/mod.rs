//! The transfer of weights: a bounded folder of verified chunks, filled by the swarm.
//!
//! One thread runs the sessions with other agents, because they are bound to a thread. Everything
//! else speaks to it through [`Depot`]. See `docs/ARCHITECTURE.md`, "Weights".

use std::{
    collections::BTreeMap,
    net::{SocketAddr, TcpListener},
    sync::Arc,
    thread,
};

use domain::{artifact, clock::Clock, manifest::Pin};
use peer::connection::Dialer;
use settings::{agent::Weights, common::Place};
use slog::Logger;
use snafu::ResultExt;
use telemetry::metrics::Metrics;
use tokio::sync::{mpsc, watch};

use crate::depot::{self, Table};

mod admit;
mod core;
mod driver;
mod error;
mod fetch;
mod gauge;
mod roster;
mod service;
mod source;
mod spool;
mod watcher;

pub use error::Error;
pub use gauge::{Traffic, Volume};
pub use roster::{Peer, Roster};

/// What the transfer needs to know.
#[derive(Clone, Debug)]
pub struct Config {
    /// The settings.
    pub weights: Weights,
    /// Where the agent runs.
    pub place: Place,
    /// Where other agents fetch chunks; port 0 takes a free one.
    pub chunk_listen: SocketAddr,
}

/// What the handle asks of the thread.
enum Command {
    Want(BTreeMap<artifact::Id, Pin>),
    SetInUse(Vec<artifact::Id>),
    SetLiveLatency(u32),
}

/// The handle of the transfer. Dropping it ends the thread.
pub struct Depot {
    commands: Option<mpsc::UnboundedSender<Command>>,
    table: watch::Receiver<Arc<Table>>,
    traffic: Arc<Traffic>,
    chunk_addr: SocketAddr,
    thread: Option<thread::JoinHandle<()>>,
}

impl Depot {
    /// Opens the spool and the listener, and starts the thread.
    ///
    /// # Errors
    ///
    /// If the folder can't be used, the address can't be listened on, or no thread can be started.
    pub fn new(
        config: Config,
        roster: Arc<dyn Roster>,
        dialer: Dialer,
        clock: Arc<dyn Clock>,
        logger: Logger,
        metrics: &Metrics,
    ) -> Result<Self, Error> {
        let addr = config.chunk_listen;
        let listener = TcpListener::bind(addr).context(error::ListenSnafu { addr })?;
        listener
            .set_nonblocking(true)
            .context(error::ListenSnafu { addr })?;
        let chunk_addr = listener.local_addr().context(error::ListenSnafu { addr })?;
        let spool = spool::Spool::open(&config.weights.spool, config.weights.spool_bytes)?;
        let (commands, queue) = mpsc::unbounded_channel();
        let (table_sender, table) = watch::channel(Arc::default());
        let traffic = Arc::new(Traffic::new(metrics));
        let parts = driver::Parts {
            config,
            roster,
            dialer,
            clock,
            logger,
            spool,
            table: table_sender,
            traffic: traffic.clone(),
        };
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .max_blocking_threads(2)
            .build()
            .context(error::ThreadSnafu)?;
        let thread = thread::Builder::new()
            .name("weights".to_owned())
            .spawn(move || {
                tokio::task::LocalSet::new()
                    .block_on(&runtime, driver::run(parts, listener, queue));
            })
            .context(error::ThreadSnafu)?;
        Ok(Self {
            commands: Some(commands),
            table,
            traffic,
            chunk_addr,
            thread: Some(thread),
        })
    }

    /// Where other agents fetch chunks.
    pub fn chunk_addr(&self) -> SocketAddr {
        self.chunk_addr
    }

    /// What was sent and received so far.
    pub fn traffic(&self) -> Arc<Traffic> {
        self.traffic.clone()
    }

    /// Tells how long live calls take now, in hundredths of what they usually take. Weights yield
    /// when it rises.
    pub fn set_live_latency(&self, percent: u32) {
        self.send(Command::SetLiveLatency(percent));
    }

    fn send(&self, command: Command) {
        if let Some(commands) = &self.commands {
            // The thread ends only after this handle.
            let _ = commands.send(command);
        }
    }
}

impl depot::Depot for Depot {
    fn want(&self, wanted: BTreeMap<artifact::Id, Pin>) {
        self.send(Command::Want(wanted));
    }

    fn set_in_use(&self, in_use: Vec<artifact::Id>) {
        self.send(Command::SetInUse(in_use));
    }

    fn table(&self) -> watch::Receiver<Arc<Table>> {
        self.table.clone()
    }
}

impl Drop for Depot {
    fn drop(&mut self) {
        self.commands = None;
        if let Some(thread) = self.thread.take() {
            // A panic of the thread was reported when it happened.
            let _ = thread.join();
        }
    }
}
