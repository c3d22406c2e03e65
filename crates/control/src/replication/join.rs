//! How a replica finds its place: it helps to form a group, or asks an existing one to admit it.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use futures::{StreamExt, future::join_all, stream::FuturesUnordered};
use peer::replica::Hello;
use policy::replica::bootstrap::{self, Probe, Step};
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
            let is_member = members.contains_key(&replica.endpoint().identity);
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
    let (replicas, answers) = census(core).await;
    let identity = core.replica().endpoint().identity;
    match bootstrap::decide(identity, &replicas, &answers) {
        Step::Wait => {}
        Step::Bootstrap(_) if !core.may_found => {
            debug!(
                core.logger,
                "log: every replica is empty, but none may found a group"
            );
        }
        Step::Join => ask(core).await,
        Step::Bootstrap(members) => {
            info!(core.logger, "log: founding the group"; "group" => members.group);
            core.replica_mut().bootstrap(*members);
            core.pump();
        }
    }
}

/// Asks every configured address who it is, and returns those at which replicas are expected with
/// what was answered. Processes without a disk stand in for control too, and can't be members.
async fn census(core: &Core) -> (Vec<SocketAddr>, BTreeMap<SocketAddr, Probe>) {
    let seat = core.replica().endpoint();
    let seeds = core.seeds.all();
    let others = seeds.iter().filter(|other| **other != seat.address);
    let hellos = join_all(others.map(|other| hello(core, *other))).await;
    let group = core.replica().group();
    let identity = seat.identity;
    let mut replicas = seeds.clone();
    let mut answers = BTreeMap::from([(seat.address, Probe { identity, group })]);
    for (address, answer) in hellos {
        match answer {
            Ok(census) => drop(answers.insert(address, census)),
            Err(error) if error.is_not_offered() => replicas.retain(|other| *other != address),
            Err(error) => debug!(core.logger, "log: a replica does not answer"; "error" => %error),
        }
    }
    (replicas, answers)
}

async fn hello(core: &Core, address: SocketAddr) -> (SocketAddr, Result<Probe, peer::Error>) {
    let link = core.link(address);
    let answer = link.call(async |session| session.hello().await).await;
    let census = answer.map(|hello| {
        let Hello {
            identity,
            group,
            is_empty,
            ..
        } = hello;
        // A replica that holds anything counts as a member of some group.
        let group = match is_empty {
            true => group,
            false => group.max(1),
        };
        Probe { identity, group }
    });
    (address, census)
}

/// Asks every known replica at once to admit this one: some of them may be gone.
async fn ask(core: &Core) {
    let seat = core.replica().endpoint();
    let members = core.replica().members().addresses().into_values();
    let known: BTreeSet<SocketAddr> = members.chain(core.seeds.all()).collect();
    let others = known.into_iter().filter(|other| *other != seat.address);
    let mut answers: FuturesUnordered<_> = others
        .map(|other| async move {
            let link = core.link(other);
            link.call(async |session| session.admit(seat.identity, seat.address, None).await)
                .await
        })
        .collect();
    while let Some(answer) = answers.next().await {
        match answer {
            Ok(()) => return,
            Err(error) => debug!(core.logger, "log: not admitted yet"; "error" => %error),
        }
    }
}
