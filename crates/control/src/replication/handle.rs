//! The log as the rest of control uses it.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use domain::{
    command::{Command, Reply},
    replica::Identity,
};
use futures::future::LocalBoxFuture;
use policy::replica;

use super::{core::Core, service, submit};
use crate::log::{Error, Log, Role, Standing};

/// How long a swap of members may take: a snapshot over a slow link, and two commits.
const REPLACE_LIMIT: Duration = Duration::from_secs(60);

/// A handle on a replica.
pub(super) struct Handle {
    core: Rc<Core>,
}

impl Handle {
    pub(super) fn new(core: Rc<Core>) -> Self {
        Self { core }
    }
}

impl Log for Handle {
    fn submit(&self, command: Command) -> LocalBoxFuture<'static, Result<Reply, Error>> {
        Box::pin(submit::submit(self.core.clone(), command))
    }

    fn age(&self) -> Option<Duration> {
        self.core.age()
    }

    fn standing(&self) -> Standing {
        let replica = self.core.replica();
        let identity = replica.endpoint().identity;
        let members = replica.members().clone();
        let role = match replica.role() {
            _ if replica.group() == 0 => Role::Forming,
            _ if !members.is_voter(identity) => Role::Learner,
            replica::Role::Follower => Role::Follower,
            replica::Role::Candidate => Role::Candidate,
            replica::Role::Leader => Role::Leader,
        };
        Standing {
            identity,
            term: replica.term(),
            leader: replica.leader(),
            commit: replica.commit(),
            applied: replica.applied(),
            members,
            role,
        }
    }

    fn peers(&self) -> Vec<SocketAddr> {
        let replica = self.core.replica();
        let members = replica.members().addresses();
        let own = replica.endpoint().address;
        let known: Vec<SocketAddr> = match members.is_empty() {
            true => self.core.seeds.all(),
            false => members.into_values().collect(),
        };
        known.into_iter().filter(|other| *other != own).collect()
    }

    fn replace(
        &self,
        old: Identity,
        address: SocketAddr,
    ) -> LocalBoxFuture<'static, Result<(), Error>> {
        let core = self.core.clone();
        Box::pin(async move {
            let limit = tokio::time::timeout(REPLACE_LIMIT, replace(&core, old, address));
            let millis = u64::try_from(REPLACE_LIMIT.as_millis()).unwrap_or(u64::MAX);
            limit.await.map_err(|_| Error::NoQuorum { millis })
        })
    }
}

/// Asks for the swap until it is committed.
async fn replace(core: &Core, old: Identity, address: SocketAddr) {
    loop {
        let link = core.link(address);
        let hello = link.call(async |session| session.hello().await).await;
        if let Ok(hello) = hello {
            let _ = service::admit(core, hello.identity, address, Some(old)).await;
            let replica = core.replica();
            if replica.is_settled() && replica.members().voters.contains_key(&hello.identity) {
                return;
            }
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}
