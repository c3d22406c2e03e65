//! How a replica finds its place: it helps to form a group, or asks an existing one to admit it.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use futures::future::join_all;
use peer::replica::Hello;
use policy::replica::formation::{self, Census, Step};
use slog::{debug, info};
use tokio::time;

use super::core::Core;

const PERIOD: Duration = Duration::from_millis(250);

/// Watches over this replica's place in its group.
pub(super) async fn run(core: &Core) {
    loop {
        time::sleep(PERIOD).await;
        let (group, is_lost) = {
            let replica = core.replica();
            let members = replica.members().addresses();
            let is_member = members.contains_key(&replica.seat().identity);
            // A replica that hears no leader may have been replaced without knowing.
            (replica.group(), !is_member || replica.leader().is_none())
        };
        match group {
            0 => form(core).await,
            _ if is_lost => ask(core).await,
            _ => {}
        }
    }
}

async fn form(core: &Core) {
    let answers = census(core).await;
    let identity = core.replica().seat().identity;
    match formation::found(identity, &core.replicas, &answers) {
        Step::Wait => {}
        Step::Join => ask(core).await,
        Step::Found(members) => {
            info!(core.logger, "log: founding the group"; "group" => members.group);
            core.replica_mut().found(*members);
            core.pump();
        }
    }
}

/// Asks every configured address who it is.
async fn census(core: &Core) -> BTreeMap<SocketAddr, Census> {
    let seat = core.replica().seat();
    let others = core.replicas.iter().filter(|other| **other != seat.address);
    let hellos = join_all(others.map(|other| hello(core, *other))).await;
    let group = core.replica().group();
    let identity = seat.identity;
    let own = (seat.address, Census { identity, group });
    hellos.into_iter().flatten().chain([own]).collect()
}

async fn hello(core: &Core, address: SocketAddr) -> Option<(SocketAddr, Census)> {
    let link = core.link(address);
    let answer = link.call(async |session| session.hello().await).await;
    let Hello {
        identity,
        group,
        is_empty,
        ..
    } = answer.ok()?;
    // A replica that holds anything counts as a member of some group.
    let group = match is_empty {
        true => group,
        false => group.max(1),
    };
    Some((address, Census { identity, group }))
}

/// Asks the first replica that knows a leader to admit this one.
async fn ask(core: &Core) {
    let seat = core.replica().seat();
    let members = core.replica().members().addresses().into_values();
    let known: BTreeSet<SocketAddr> = members.chain(core.replicas.iter().copied()).collect();
    for other in known.into_iter().filter(|other| *other != seat.address) {
        let link = core.link(other);
        let answer = link
            .call(async |session| session.admit(seat.identity, seat.address, None).await)
            .await;
        match answer {
            Ok(()) => return,
            Err(error) => debug!(core.logger, "log: not admitted yet"; "error" => %error),
        }
    }
}
