//! A group of replicas on loopback.

use std::{
    net::SocketAddr,
    path::PathBuf,
    sync::{Arc, atomic::Ordering},
    thread,
    time::{Duration, Instant},
};

use policy::replica::Timing;
use tempfile::TempDir;

use super::{
    node::{Node, Seat, View},
    relay::Count,
};
use crate::error::Error;

const LIMIT: Duration = Duration::from_secs(60);
const POLL: Duration = Duration::from_millis(2);
/// As in the daemons' settings.
const HEARTBEAT: Duration = Duration::from_millis(100);
const ELECTION: Duration = Duration::from_millis(500);

/// How to build a [`Group`].
#[derive(Clone, Copy, Debug)]
pub struct Shape {
    /// Replicas, all of which vote.
    pub voters: u8,
    /// Entries after which a snapshot is taken.
    pub snapshot_entries: u64,
    /// Whether the bytes between the replicas are counted.
    pub is_counted: bool,
}

/// The replicas; those that are down are `None`.
pub struct Group {
    shape: Shape,
    folder: TempDir,
    addresses: Vec<SocketAddr>,
    nodes: Vec<Option<Node>>,
    count: Count,
    next: u64,
}

impl Group {
    /// Starts a group and waits for its leader.
    ///
    /// # Errors
    ///
    /// If it does not form.
    pub fn new(shape: Shape) -> Result<Self, Error> {
        let folder = TempDir::new().map_err(Error::step("make a temporary folder"))?;
        let subnet = rand::random_range(12..20);
        let third = rand::random_range(0..250);
        let address = |number| SocketAddr::from(([127, subnet, third, number], 4_700));
        let mut group = Self {
            shape,
            folder,
            addresses: (1..=shape.voters).map(address).collect(),
            nodes: (0..shape.voters).map(|_| None).collect(),
            count: Count::default(),
            next: 0,
        };
        group.start_all();
        group.leader()?;
        Ok(group)
    }

    /// Starts the replicas that are down.
    pub fn start_all(&mut self) {
        for place in 0..self.nodes.len() {
            if self.nodes[place].is_none() {
                self.nodes[place] = Some(Node::new(self.seat(place)));
            }
        }
    }

    /// Kills a replica.
    pub fn kill(&mut self, place: usize) {
        self.nodes[place] = None;
    }

    /// Kills all replicas.
    pub fn kill_all(&mut self) {
        self.nodes.iter_mut().for_each(|node| *node = None);
    }

    /// Freezes a replica for a while.
    pub fn freeze(&self, place: usize, span: Duration) {
        if let Some(node) = &self.nodes[place] {
            node.freeze(span);
        }
    }

    /// Waits for a leader that a quorum confirmed, and returns its place.
    ///
    /// # Errors
    ///
    /// If there is none.
    pub fn leader(&self) -> Result<usize, Error> {
        let is_leader = |view: View| view.is_leader && view.age.is_some();
        wait("no leader", || {
            let mut places = 0..self.nodes.len();
            places.find(|place| self.view(*place).is_some_and(is_leader))
        })
    }

    /// Waits until all running replicas have applied everything.
    ///
    /// # Errors
    ///
    /// If they have not.
    pub fn settle(&self) -> Result<(), Error> {
        let count = usize::try_from(self.next).unwrap_or(usize::MAX);
        wait("not all applied", || {
            let mut views = (0..self.nodes.len()).filter_map(|place| self.view(place));
            views.all(|view| view.applied >= count).then_some(())
        })
    }

    /// Submits commands through a replica, so many at a time, and returns the latency of each.
    ///
    /// # Errors
    ///
    /// If one is not accepted.
    pub fn submit(
        &mut self,
        place: usize,
        count: u64,
        at_once: u64,
    ) -> Result<Vec<Duration>, Error> {
        let Some(node) = &self.nodes[place] else {
            let detail = format!("replica {place} is down");
            return Err(Error::Broken { detail });
        };
        let mut latencies = Vec::new();
        for first in (0..count).step_by(usize::try_from(at_once).unwrap_or(1)) {
            let sent_at = Instant::now();
            let numbers = first..count.min(first + at_once);
            let replies: Vec<_> = numbers
                .map(|number| node.submit(self.next + number))
                .collect();
            for reply in replies {
                reply
                    .blocking_recv()
                    .map_err(Error::step("wait for a reply"))?
                    .map_err(Error::step("submit a command"))?;
                latencies.push(sent_at.elapsed());
            }
        }
        self.next += count;
        Ok(latencies)
    }

    /// Bytes between the replicas so far, if they are counted.
    pub fn bytes(&self) -> u64 {
        self.count.load(Ordering::Relaxed)
    }

    /// Bytes of a replica's data file.
    ///
    /// # Errors
    ///
    /// If it could not be read.
    pub fn file_bytes(&self, place: usize) -> Result<u64, Error> {
        let path = self.data(place).join("replica.redb");
        let data = std::fs::metadata(path).map_err(Error::step("read the data file's size"))?;
        Ok(data.len())
    }

    fn data(&self, place: usize) -> PathBuf {
        self.folder.path().join(place.to_string())
    }

    fn seat(&self, place: usize) -> Seat {
        Seat {
            folder: self.data(place),
            address: self.addresses[place],
            replicas: self.addresses.clone(),
            snapshot_entries: self.shape.snapshot_entries,
            timing: Timing::new(HEARTBEAT, ELECTION),
            count: self.shape.is_counted.then(|| Arc::clone(&self.count)),
        }
    }

    fn view(&self, place: usize) -> Option<View> {
        self.nodes[place].as_ref().and_then(Node::view)
    }
}

fn wait<T>(what: &str, mut seen: impl FnMut() -> Option<T>) -> Result<T, Error> {
    let started = Instant::now();
    loop {
        match seen() {
            Some(value) => return Ok(value),
            None if started.elapsed() > LIMIT => {
                let detail = format!("{what} for {LIMIT:?}");
                return Err(Error::Broken { detail });
            }
            None => thread::sleep(POLL),
        }
    }
}
