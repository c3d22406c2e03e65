//! The replicated log at work: disk, sessions with the other replicas, and time.
//!
//! The decisions are those of [`policy::replica`]; this module only carries them out, on the
//! thread of one `LocalSet`. See `docs/ARCHITECTURE.md`, "Replicated state".

mod confirm;
mod core;
mod disk;
mod error;
mod handle;
mod join;
mod link;
mod meter;
mod service;
mod submit;

use std::{cell::RefCell, net::SocketAddr, path::PathBuf, rc::Rc, sync::Arc, time::Duration};

use domain::{clock::Clock, record};
use futures::future::LocalBoxFuture;
use opentelemetry::metrics::Meter;
use peer::seeds::Seeds;
use policy::replica::{Promotion, Timing};
use slog::Logger;

pub use error::Error;

use self::core::Core;
use crate::log::{Log, Machine};

/// What a replica is made of.
pub struct Setup {
    /// The data folder.
    pub folder: PathBuf,
    /// Where the other replicas reach this one.
    pub address: SocketAddr,
    /// Addresses of replicas: those that found the group, and where an empty one asks for admission.
    pub seeds: Seeds,
    /// Whether an empty replica may help to found a group. Where disks may have been lost since
    /// the first start it must not.
    pub may_found: bool,
    /// Whether learners become voters by themselves.
    pub promotion: Promotion,
    /// Time limits.
    pub timing: Timing,
    /// Entries of the log after which a snapshot replaces them.
    pub snapshot_entries: u64,
    /// The secret that the system's processes share.
    pub secret: Arc<[u8]>,
    /// The clock, which must also count while the VM is paused.
    pub clock: Arc<dyn Clock>,
    /// Where to log.
    pub logger: Logger,
    /// Where to count.
    pub meter: Meter,
}

/// The VMs whose sessions this replica keeps, as the other replicas ask for them.
pub trait Vms {
    /// Changes since the cursor.
    fn vms(&self, cursor: record::Cursor, wait: Duration) -> peer::control::Answer<record::Batch>;
}

/// A replica at work.
pub struct Replication {
    /// The log as the rest of control uses it.
    pub log: Rc<dyn Log>,
    /// What the other replicas use.
    pub service: Rc<dyn peer::replica::Service>,
    /// The work itself. It ends only when the disk fails; the process must end then.
    pub run: LocalBoxFuture<'static, Result<(), Error>>,
}

/// Opens the data folder and restores the machine. It must be called inside a `LocalSet`.
///
/// # Errors
///
/// If the folder can't be used. A damaged file is moved aside, and the replica starts empty. On a
/// full disk it waits for room.
pub async fn open(
    setup: Setup,
    machine: Rc<RefCell<dyn Machine>>,
    vms: Rc<dyn Vms>,
) -> Result<Replication, Error> {
    let opened = core::open_store(&setup).await?;
    let (core, synced) = Core::open(setup, opened, machine)?;
    let core = Rc::new(core);
    core.pump();
    Ok(Replication {
        log: Rc::new(handle::Handle::new(core.clone())),
        service: Rc::new(service::Service::new(core.clone(), vms)),
        run: Box::pin(run(core, synced)),
    })
}

async fn run(core: Rc<Core>, synced: disk::Results) -> Result<(), Error> {
    let drive = core::drive(&core, synced);
    let join = join::run(&core);
    let confirm = confirm::run(&core);
    tokio::select! {
        result = drive => result,
        () = join => Ok(()),
        () = confirm => Ok(()),
    }
}
