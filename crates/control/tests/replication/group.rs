//! A group of replicas in folders of their own.

use std::{
    fs,
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};

use control::log::Role;
use peer::server::Server;
use policy::replica::Promotion;
use tempfile::TempDir;

use crate::node::{Node, Seat, View};

/// Generous: the machine may be busy with other tests.
const LIMIT: Duration = Duration::from_secs(30);

/// The replicas of one group; those that are down are `None`.
pub(crate) struct Group {
    folder: TempDir,
    addresses: Vec<SocketAddr>,
    snapshot_entries: u64,
    pub(crate) nodes: Vec<Option<Node>>,
}

impl Group {
    /// A group of `size` replicas at `127.subnet.1.n`, all running.
    pub(crate) fn new(subnet: [u8; 2], size: u8, snapshot_entries: u64) -> Self {
        let address = |number| SocketAddr::from(([127, subnet[0], subnet[1], number], 4_700));
        let mut group = Self {
            folder: TempDir::new().unwrap(),
            addresses: (1..=size).map(address).collect(),
            snapshot_entries,
            nodes: (0..size).map(|_| None).collect(),
        };
        (0..group.nodes.len()).for_each(|place| group.start(place));
        group
    }

    /// The same with one more address at which a process without a disk stands in for control.
    pub(crate) fn with_bystander(subnet: [u8; 2], size: u8) -> Self {
        let address = SocketAddr::from(([127, subnet[0], subnet[1], size + 1], 4_700));
        stand_by(address);
        let mut group = Self::new(subnet, 0, 1_000);
        let replicas =
            (1..=size).map(|n| SocketAddr::from(([127, subnet[0], subnet[1], n], 4_700)));
        group.addresses = replicas.chain([address]).collect();
        group.nodes = (0..size).map(|_| None).collect();
        (0..group.nodes.len()).for_each(|place| group.start(place));
        group
    }

    pub(crate) fn address(&self, place: usize) -> SocketAddr {
        self.addresses[place]
    }

    pub(crate) fn folder(&self, place: usize) -> std::path::PathBuf {
        self.folder.path().join(place.to_string())
    }

    pub(crate) fn start(&mut self, place: usize) {
        self.nodes[place] = Some(Node::new(Seat {
            folder: self.folder(place),
            address: self.addresses[place],
            replicas: self.addresses.clone(),
            snapshot_entries: self.snapshot_entries,
            promotion: Promotion::Manual,
        }));
    }

    /// Starts one more replica at the next address, and returns its place.
    pub(crate) fn add(&mut self) -> usize {
        let mut address = self.addresses[self.addresses.len() - 1];
        address.set_port(address.port() + 1);
        self.addresses.push(address);
        self.nodes.push(None);
        let place = self.nodes.len() - 1;
        self.start(place);
        place
    }

    pub(crate) fn kill(&mut self, place: usize) {
        self.nodes[place] = None;
    }

    /// Kills a replica and removes what it had on its disk.
    pub(crate) fn lose_disk(&mut self, place: usize) {
        self.kill(place);
        fs::remove_dir_all(self.folder(place)).unwrap();
    }

    pub(crate) fn node(&self, place: usize) -> &Node {
        self.nodes[place].as_ref().unwrap()
    }

    pub(crate) fn view(&self, place: usize) -> View {
        self.node(place).view()
    }

    pub(crate) fn running(&self) -> Vec<usize> {
        let places = 0..self.nodes.len();
        places
            .filter(|place| self.nodes[*place].is_some())
            .collect()
    }

    /// Waits for a leader that has the answer of a quorum, and returns its place.
    pub(crate) fn leader(&self) -> usize {
        wait("a leader", || {
            self.running().into_iter().find(|place| {
                let view = self.view(*place);
                view.standing.role == Role::Leader && view.age.is_some()
            })
        })
    }

    /// Waits until all running replicas hold exactly these numbers.
    pub(crate) fn wait_for(&self, numbers: &[u64]) {
        for place in self.running() {
            wait("the numbers", || {
                (self.view(place).numbers == numbers).then_some(())
            });
        }
    }

    /// Waits until the replica at a place is a voter, and its admission is committed everywhere.
    pub(crate) fn wait_for_voter(&self, place: usize) {
        wait("a voter", || {
            let identity = self.view(place).standing.identity;
            let is_voter = |other: usize| {
                let members = self.view(other).standing.members;
                members.voters.contains_key(&identity) && members.outgoing.is_empty()
            };
            self.running().into_iter().all(is_voter).then_some(())
        });
    }
}

/// Waits until `seen` returns something.
pub(crate) fn wait<T>(what: &str, seen: impl Fn() -> Option<T>) -> T {
    let started = Instant::now();
    loop {
        if let Some(value) = seen() {
            return value;
        }
        assert!(started.elapsed() < LIMIT, "waited {LIMIT:?} for {what}");
        thread::sleep(Duration::from_millis(20));
    }
}

/// Listens at an address for as long as the test runs, and offers no replica there.
fn stand_by(address: SocketAddr) {
    thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .unwrap();
        tokio::task::LocalSet::new().block_on(&runtime, async {
            let listener = tokio::net::TcpListener::bind(address).await.unwrap();
            Server::new(*b"secret").run(listener).await.unwrap();
        });
    });
}
