//! What a replica offers to the others.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use domain::{
    command, record,
    replica::{Identity, Message},
};
use peer::{
    control::Answer,
    replica::{Confirmation, Hello},
};
use policy::replica::{JoinRequest, Refusal, Role};
use slog::warn;

use super::{Vms, core::Core, submit};

/// The service of one replica.
pub(super) struct Service {
    core: Rc<Core>,
    vms: Rc<dyn Vms>,
}

impl Service {
    pub(super) fn new(core: Rc<Core>, vms: Rc<dyn Vms>) -> Self {
        Self { core, vms }
    }
}

impl peer::replica::Service for Service {
    fn hello(&self) -> Hello {
        let replica = self.core.replica();
        let seat = replica.endpoint();
        Hello {
            identity: seat.identity,
            group: replica.group(),
            is_empty: replica.group() == 0,
            address: seat.address,
        }
    }

    fn step(&self, message: Message) {
        self.core.step(message);
    }

    fn confirm(&self) -> Answer<Confirmation> {
        let core = self.core.clone();
        Box::pin(async move {
            let confirmed = core.replica().confirmed();
            let confirmed = confirmed.ok_or_else(|| failed(&"this replica does not lead"))?;
            // The clock is read last: a frozen leader's word is as old as it is.
            let age = core.now().since(confirmed.sent_at);
            Ok(Confirmation {
                term: confirmed.term,
                commit: confirmed.commit,
                age_ms: millis_up(age),
            })
        })
    }

    fn forward(&self, command: command::Command) -> Answer<command::Reply> {
        let core = self.core.clone();
        Box::pin(async move {
            let reply = submit::submit_forwarded(core, command).await;
            reply.map_err(|error| failed(&error))
        })
    }

    fn vms(&self, cursor: record::Cursor, wait: Duration) -> Answer<record::Batch> {
        self.vms.vms(cursor, wait)
    }

    fn admit(
        &self,
        identity: Identity,
        address: SocketAddr,
        replaces: Option<Identity>,
    ) -> Answer<()> {
        let core = self.core.clone();
        Box::pin(async move { admit(&core, identity, address, replaces).await })
    }
}

/// Admits a replica, or passes the wish on to the leader.
pub(super) async fn admit(
    core: &Core,
    identity: Identity,
    address: SocketAddr,
    replaces: Option<Identity>,
) -> capnp::Result<()> {
    if core.replica().role() == Role::Leader {
        let candidate = JoinRequest {
            identity,
            address,
            replaces,
        };
        let admission = core.replica_mut().admit(core.now(), candidate);
        if admission == Err(Refusal::Full) {
            warn!(core.logger, "log: a replica was not admitted"; "address" => %address,
                "reason" => %Refusal::Full);
        }
        core.pump();
        return admission.map(|_| ()).map_err(|error| failed(&error));
    }
    let link = core
        .leader_link()
        .ok_or_else(|| failed(&"no leader is known"))?;
    link.call(async |session| session.admit(identity, address, replaces).await)
        .await
        .map_err(|error| failed(&error))
}

fn failed(error: &impl ToString) -> capnp::Error {
    capnp::Error::failed(error.to_string())
}

/// Rounded up, since an age is an upper bound.
fn millis_up(span: Duration) -> u64 {
    u64::try_from(span.as_nanos().div_ceil(1_000_000)).unwrap_or(u64::MAX)
}
