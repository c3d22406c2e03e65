//! The exchange of sessions between replicas: each asks every other one for its own.

use std::{collections::BTreeMap, net::SocketAddr, rc::Rc, time::Duration};

use domain::record::{Batch, Cursor};
use futures::FutureExt;
use peer::{Error, connection::Dialer, control::Answer, replica::Session};
use slog::debug;
use tokio::{task::JoinHandle, time};

use crate::{core::Core, replication::Vms};

/// How long a question waits for a change.
const POLL_WAIT: Duration = Duration::from_millis(500);
/// The pause after a failed session.
const BACKOFF: Duration = Duration::from_millis(200);
/// How often the members are looked at for new replicas.
const MEMBERS_PERIOD: Duration = Duration::from_millis(500);

/// The sessions kept here, as the other replicas ask for them.
pub struct Sessions {
    core: Rc<Core>,
}

impl Sessions {
    /// The sessions in the given tables.
    pub fn new(core: Rc<Core>) -> Self {
        Self { core }
    }
}

impl Vms for Sessions {
    fn vms(&self, cursor: Cursor, wait: Duration) -> Answer<Batch> {
        let core = self.core.clone();
        async move {
            if !core.table().is_settled(core.clock.now()) {
                let detail = "the agents of this replica are not all known yet".to_owned();
                return Err(capnp::Error::failed(detail));
            }
            core.own.wait(cursor, wait).await;
            Ok(core.own_batch(cursor))
        }
        .boxed_local()
    }
}

/// Asks every other member for its sessions, for as long as it is a member.
pub async fn run(core: Rc<Core>, dialer: Dialer) {
    let mut tasks: BTreeMap<SocketAddr, JoinHandle<()>> = BTreeMap::new();
    loop {
        let peers = core.log().map(|log| log.peers()).unwrap_or_default();
        tasks.retain(|peer, task| {
            let is_member = peers.contains(peer);
            if !is_member {
                task.abort();
            }
            is_member
        });
        for peer in peers {
            tasks.entry(peer).or_insert_with(|| {
                tokio::task::spawn_local(follow(core.clone(), dialer.clone(), peer))
            });
        }
        time::sleep(MEMBERS_PERIOD).await;
    }
}

async fn follow(core: Rc<Core>, dialer: Dialer, peer: SocketAddr) {
    loop {
        if let Err(error) = follow_once(&core, &dialer, peer).await {
            debug!(core.logger, "exchange: session ended"; "reason" => %error);
        }
        time::sleep(BACKOFF).await;
    }
}

/// Starts from nothing on each connection, because what was told before may be forgotten here.
async fn follow_once(core: &Core, dialer: &Dialer, peer: SocketAddr) -> Result<(), Error> {
    let session = Session::open(dialer, peer).await?;
    let mut cursor = Cursor::default();
    loop {
        let batch = session.vms(cursor, POLL_WAIT).await?;
        cursor = batch.cursor;
        core.with_table(|table, now| table.merge(now, peer, batch));
    }
}
