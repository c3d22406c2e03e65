//! What control offers to entries and agents over the wire.

use std::{rc::Rc, time::Duration};

use domain::{
    command::{Command, Reply},
    ledger, name, quarantine,
    record::Batch,
    vm::{Announcement, Lifecycle, Status},
};
use futures::FutureExt;
use peer::control::{Answer, Poll, Service as PeerService};
use slog::{info, warn};
use tokio::time;

use crate::core::Core;

/// How often a held subscriber's replica is asked for a quorum: a fraction of an election.
const QUORUM_PERIOD: Duration = Duration::from_millis(25);

/// Serves feed, sessions and ledger from the tables of this replica.
pub struct Service {
    core: Rc<Core>,
}

impl Service {
    /// A service over the given tables.
    pub fn new(core: Rc<Core>) -> Rc<Self> {
        Rc::new(Self { core })
    }
}

impl PeerService for Service {
    fn poll(&self, poll: Poll) -> Answer<Batch> {
        let core = self.core.clone();
        async move {
            let received_at = core.clock.now();
            await_quorum(&core, poll.wait).await;
            check_feed(&core)?;
            core.lane(poll.scope).wait(poll.cursor, poll.wait).await;
            // The state may have grown old during the wait.
            check_feed(&core)?;
            let held = core.clock.now().since(received_at);
            let batch = Batch {
                held_ms: u64::try_from(held.as_millis()).unwrap_or(u64::MAX),
                ..core.batch(poll.scope, poll.cursor)
            };
            let kind = match (batch.is_snapshot, batch.deltas.is_empty()) {
                (true, _) => "snapshot",
                (false, false) => "delta",
                (false, true) => "idle",
            };
            core.metrics.polled(kind, batch.deltas.len());
            Ok(batch)
        }
        .boxed_local()
    }

    fn announce(&self, announcement: Announcement, status: Status) -> Answer<()> {
        let core = self.core.clone();
        async move {
            check_state(&core)?;
            announce(&core, announcement, status)
        }
        .boxed_local()
    }

    fn heartbeat(&self, vm: name::Vm, incarnation: u64) -> Answer<bool> {
        let core = self.core.clone();
        async move {
            check_state(&core)?;
            Ok(core.with_table(|table, now| table.heartbeat(now, &vm, incarnation)))
        }
        .boxed_local()
    }

    fn leave(&self, vm: name::Vm, incarnation: u64) -> Answer<()> {
        let core = self.core.clone();
        async move {
            info!(core.logger, "membership: a VM leaves";
                "vm" => vm.as_str(), "incarnation" => incarnation);
            core.with_table(|table, now| table.leave(now, &vm, incarnation));
            Ok(())
        }
        .boxed_local()
    }

    fn ledger(&self, write: ledger::Write) -> Answer<ledger::Reply> {
        let core = self.core.clone();
        async move {
            let command = Command::Ledger {
                write,
                max_entries: core.settings.ledger_entries,
                at_ms: core.clock.wall_ms(),
            };
            match core.submit(command).await {
                Ok(Reply::Ledger(reply)) => Ok(reply),
                Ok(reply) => Err(failed(format!("a ledger write got {reply:?}"))),
                Err(error) => Err(failed(error.to_string())),
            }
        }
        .boxed_local()
    }

    fn quarantine(&self, write: quarantine::Write) -> Answer<quarantine::Reply> {
        let core = self.core.clone();
        async move {
            info!(core.logger, "quarantine: evidence"; "write" => ?write);
            let at_ms = core.clock.wall_ms();
            match core.submit(Command::Quarantine { write, at_ms }).await {
                Ok(Reply::Quarantine(reply)) => Ok(reply),
                Ok(reply) => Err(failed(format!("a quarantine write got {reply:?}"))),
                Err(error) => Err(failed(error.to_string())),
            }
        }
        .boxed_local()
    }
}

fn announce(core: &Core, announcement: Announcement, status: Status) -> capnp::Result<()> {
    let (vm, incarnation) = (announcement.vm.clone(), announcement.incarnation);
    if status.lifecycle == Lifecycle::Gone {
        core.with_table(|table, now| table.leave(now, &vm, incarnation));
        return Ok(());
    }
    let is_new = core
        .table()
        .alive(&vm)
        .is_none_or(|known| known.announcement.incarnation != incarnation);
    let zone = announcement.zone.clone();
    core.with_table(|table, now| table.announce(now, announcement, status))
        .map_err(|refusal| {
            warn!(core.logger, "membership: announcement refused"; "reason" => %refusal);
            failed(refusal.to_string())
        })?;
    if is_new {
        info!(core.logger, "membership: a VM announced itself";
            "vm" => vm.as_str(), "zone" => zone.as_str(), "incarnation" => incarnation);
    }
    Ok(())
}

/// Holds a subscriber of a replica that has just started, at most for `limit`. Sent away at once,
/// all would come back a pause too late after every replica has started anew.
async fn await_quorum(core: &Core, limit: Duration) {
    let until = core.clock.now() + limit;
    while core.age().is_none() && core.clock.now() < until {
        time::sleep(QUORUM_PERIOD).await;
    }
}

fn check_feed(core: &Core) -> capnp::Result<()> {
    match core.obstacles().into_iter().next() {
        Some(obstacle) => {
            core.metrics.polled("refused", 0);
            Err(failed(obstacle))
        }
        None => Ok(()),
    }
}

/// A replica that is cut off sends its agents away, or the others would miss their VMs.
fn check_state(core: &Core) -> capnp::Result<()> {
    match core.staleness() {
        Some(staleness) => Err(failed(staleness)),
        None => Ok(()),
    }
}

fn failed(detail: String) -> capnp::Error {
    capnp::Error::failed(detail)
}
