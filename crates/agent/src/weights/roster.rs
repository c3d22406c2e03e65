//! The agents that exchange chunks, as the feed names them.

use std::net::SocketAddr;

use domain::vm::{Lifecycle, Upstream};
use peer::uplink;
use policy::owner::Member;
use tokio::sync::watch;

/// Another agent and where to reach it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Who it is.
    pub member: Member,
    /// Where it offers chunks.
    pub chunk_addr: SocketAddr,
}

/// Who takes part in the exchange.
pub trait Roster: Send + Sync {
    /// The agents as they are now known.
    fn peers(&self) -> Vec<Peer>;
    /// Changes its value whenever they change.
    fn changes(&self) -> watch::Receiver<u64>;
}

impl Roster for uplink::Client {
    fn peers(&self) -> Vec<Peer> {
        self.feed()
            .view
            .vms
            .values()
            .filter(|vm| matches!(vm.announcement.upstream, Upstream::Engine { .. }))
            .filter(|vm| vm.status.lifecycle != Lifecycle::Gone)
            .map(|vm| Peer {
                member: Member {
                    vm: vm.announcement.vm.clone(),
                    zone: vm.announcement.zone.clone(),
                    region: vm.announcement.region.clone(),
                },
                chunk_addr: vm.announcement.chunk_addr,
            })
            .collect()
    }

    fn changes(&self) -> watch::Receiver<u64> {
        uplink::Client::changes(self)
    }
}
