//! The replica with everything that it drives.

use std::{
    cell::{Cell, Ref, RefCell, RefMut},
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use domain::{
    clock::{Clock, Instant},
    command::{Command, Reply},
    replica::{Entry, Identity, Message, Payload, Position, Snapshot},
};
use peer::{connection::Dialer, seeds::Seeds};
use policy::{
    age::Bound,
    replica::{Endpoint, Replica, Role, Synced, Timing},
};
use rand::{Rng, SeedableRng, rngs::StdRng};
use slog::{Logger, error, info, warn};
use snafu::ResultExt;
use store::{Opened, Store};
use tokio::{
    sync::{Notify, oneshot},
    time,
};

use super::{
    Setup,
    disk::{Disk, Event, Results},
    error::{Error, StoreSnafu},
    link::Link,
    meter::Instruments,
};
use crate::log::{self, Machine};

/// How long one call to another replica may take.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);
/// The pause before a log on a full disk is opened again.
const OPEN_RETRY: Duration = Duration::from_millis(200);
/// Heartbeats are checked this often within their period.
const TICKS_PER_HEARTBEAT: u32 = 2;

type Waiter = oneshot::Sender<Result<Reply, log::Error>>;

/// Somebody waits for the entry with this term at its index.
struct Waiting {
    term: u64,
    waiter: Waiter,
}

/// The replica with everything that it drives.
pub(super) struct Core {
    pub(super) seeds: Seeds,
    pub(super) may_found: bool,
    pub(super) logger: Logger,
    pub(super) instruments: Instruments,
    /// Told after each change of the leader, the members or the applied state.
    pub(super) changed: Notify,
    clock: Arc<dyn Clock>,
    timing: Timing,
    snapshot_entries: u64,
    dialer: Dialer,
    machine: Rc<RefCell<dyn Machine>>,
    replica: RefCell<Replica>,
    disk: Disk,
    waiting: RefCell<BTreeMap<u64, Waiting>>,
    links: RefCell<BTreeMap<SocketAddr, Rc<Link>>>,
    directory: RefCell<BTreeMap<Identity, SocketAddr>>,
    bound: RefCell<Bound>,
    last: RefCell<(Role, Option<Identity>)>,
    /// Since when the disk is full.
    full_since: Cell<Option<Instant>>,
}

impl Core {
    pub(super) fn open(
        setup: Setup,
        opened: Opened,
        machine: Rc<RefCell<dyn Machine>>,
    ) -> Result<(Self, Results), Error> {
        let Opened {
            store,
            identity,
            saved,
        } = opened;
        let instruments = Instruments::new(&setup.meter);
        let (disk, results) = Disk::new(store, instruments.write_seconds.clone())?;
        let seat = Endpoint {
            identity,
            address: setup.address,
        };
        info!(setup.logger, "log: opened";
            "identity" => %identity, "group" => saved.hard.group, "entries" => saved.entries.len());
        let rng = StdRng::from_rng(&mut rand::rng());
        let replica = Replica::new(seat, setup.timing, saved, rng, setup.clock.now())
            .with_promotion(setup.promotion);
        let core = Self {
            seeds: setup.seeds,
            may_found: setup.may_found,
            logger: setup.logger,
            instruments,
            changed: Notify::new(),
            clock: setup.clock,
            timing: setup.timing,
            snapshot_entries: setup.snapshot_entries,
            dialer: Dialer::new(setup.secret).with_timeout(CALL_TIMEOUT),
            machine,
            replica: RefCell::new(replica),
            disk,
            waiting: RefCell::default(),
            links: RefCell::default(),
            directory: RefCell::default(),
            bound: RefCell::new(Bound::UNKNOWN),
            last: RefCell::new((Role::Follower, None)),
            full_since: Cell::new(None),
        };
        Ok((core, results))
    }

    pub(super) fn now(&self) -> Instant {
        self.clock.now()
    }

    pub(super) fn replica(&self) -> Ref<'_, Replica> {
        self.replica.borrow()
    }

    pub(super) fn replica_mut(&self) -> RefMut<'_, Replica> {
        self.replica.borrow_mut()
    }

    /// Takes a message of another replica.
    pub(super) fn step(&self, message: Message) {
        self.directory
            .borrow_mut()
            .insert(message.from, message.address);
        self.replica.borrow_mut().step(self.now(), message);
        self.pump();
    }

    /// Proposes a command, and returns where to wait for the reply.
    pub(super) fn propose(
        &self,
        command: &Command,
    ) -> Option<oneshot::Receiver<Result<Reply, log::Error>>> {
        let bytes = peer::pack::encode(command).ok()?;
        let mark = self.replica.borrow_mut().propose(self.now(), bytes).ok()?;
        let (waiter, reply) = oneshot::channel();
        let term = mark.term;
        self.waiting
            .borrow_mut()
            .insert(mark.index, Waiting { term, waiter });
        self.pump();
        Some(reply)
    }

    /// The way to the leader, unless it is this replica or unknown.
    pub(super) fn leader_link(&self) -> Option<Rc<Link>> {
        let leader = self.replica().leader()?;
        let is_own = leader == self.replica().endpoint().identity;
        let address = self.address_of(leader).filter(|_| !is_own)?;
        Some(self.link(address))
    }

    /// The way to an address.
    pub(super) fn link(&self, address: SocketAddr) -> Rc<Link> {
        let mut links = self.links.borrow_mut();
        let link = links.entry(address).or_insert_with(|| {
            let logger = self.logger.clone();
            Rc::new(Link::new(address, self.dialer.clone(), logger))
        });
        link.clone()
    }

    /// Notes how old the applied state is at most, by the word of a leader.
    pub(super) fn confirm(&self, bound: Bound) {
        let tightest = self.bound.borrow().tightest(bound);
        *self.bound.borrow_mut() = tightest;
    }

    /// See [`log::Log::age`].
    pub(super) fn age(&self) -> Option<Duration> {
        let now = self.now();
        let own = self.replica().age(now);
        let told = self.bound.borrow().age(now);
        own.into_iter().chain(told).min()
    }

    /// Does everything that the replica asks for, until it asks for nothing more.
    pub(super) fn pump(&self) {
        loop {
            let ready = self.replica.borrow_mut().ready();
            if ready.is_empty() {
                break;
            }
            if let Some(write) = ready.write {
                self.disk.write(write);
            }
            for message in ready.messages {
                self.send(message);
            }
            if let Some(snapshot) = ready.restore {
                self.restore(&snapshot);
            }
            for entry in ready.committed {
                self.apply(entry);
            }
            self.compact();
        }
        self.watch();
    }

    fn send(&self, message: Message) {
        let Some(address) = self.address_of(message.to) else {
            return;
        };
        if !self.link(address).send(message) {
            self.instruments.dropped.add(1, &[]);
        }
    }

    /// Counts the members after a change, and drops the links to addresses at which no member or
    /// seed is any more: a link that is kept dials its address again and again.
    fn follow_members(&self) {
        let members = self.replica().members().addresses();
        let count = u64::try_from(members.len()).unwrap_or(u64::MAX);
        self.instruments.members.record(count, &[]);
        let known: BTreeSet<_> = members.values().copied().chain(self.seeds.all()).collect();
        self.links
            .borrow_mut()
            .retain(|address, _| known.contains(address));
        self.directory
            .borrow_mut()
            .retain(|identity, _| members.contains_key(identity));
    }

    fn address_of(&self, identity: Identity) -> Option<SocketAddr> {
        let members = self.replica().members().addresses();
        let known = members.get(&identity).copied();
        known.or_else(|| self.directory.borrow().get(&identity).copied())
    }

    fn restore(&self, snapshot: &Snapshot) {
        let Position { index, .. } = snapshot.mark;
        let result = self.machine.borrow_mut().restore(index, &snapshot.state);
        if let Err(error) = result {
            // The checksum held, so another version of the program wrote it.
            error!(self.logger, "log: could not read the snapshot"; "error" => %error);
        }
        let later = self.waiting.borrow_mut().split_off(&(index + 1));
        let skipped = self.waiting.replace(later);
        fail(skipped);
        self.follow_members();
    }

    fn apply(&self, entry: Entry) {
        let reply = match entry.payload {
            Payload::Noop => Ok(Reply::Done),
            Payload::Members(_) => {
                self.follow_members();
                Ok(Reply::Done)
            }
            Payload::Command(bytes) => match peer::pack::decode(&bytes) {
                Ok(command) => {
                    let mut machine = self.machine.borrow_mut();
                    Ok(machine.apply(entry.term, entry.index, command))
                }
                Err(error) => {
                    error!(self.logger, "log: could not read a command";
                        "index" => entry.index, "error" => %error);
                    let detail = error.to_string();
                    Err(log::Error::Disk { detail })
                }
            },
        };
        let waiting = self.waiting.borrow_mut().remove(&entry.index);
        match waiting {
            Some(waiting) if waiting.term == entry.term => drop(waiting.waiter.send(reply)),
            Some(waiting) => drop(waiting.waiter.send(Err(log::Error::LeadershipLost))),
            None => {}
        }
    }

    fn compact(&self) {
        let age = {
            let replica = self.replica();
            replica.applied().saturating_sub(replica.snapshot_index())
        };
        if age < self.snapshot_entries {
            return;
        }
        let state = self.machine.borrow().snapshot();
        info!(self.logger, "log: snapshot taken"; "bytes" => state.len());
        self.instruments.snapshots.add(1, &[]);
        self.replica.borrow_mut().compact(state);
    }

    /// The disk has no room for the batch that is being written. The replica neither leads nor votes
    /// until there is some, because it could promise nothing.
    fn stall(&self, reason: &str) {
        let now = self.now();
        self.full_since.set(Some(now));
        self.instruments.disk_full.record(1, &[]);
        warn!(self.logger, "log: the disk is full, writes wait"; "reason" => reason,
            "role" => ?self.replica().role(), "commit" => self.replica().commit());
        self.replica.borrow_mut().stall(now);
    }

    /// The batch is durable.
    fn advance(&self, synced: Synced) {
        let now = self.now();
        if let Some(since) = self.full_since.take() {
            self.instruments.disk_full.record(0, &[]);
            info!(self.logger, "log: the disk has room again";
                "full_ms" => now.since(since).as_millis() as u64);
        }
        self.replica.borrow_mut().advance(now, synced);
    }

    /// Tells about changes, and lets go of those who wait for a lead that is over.
    fn watch(&self) {
        let (part, leader, term, commit) = {
            let replica = self.replica();
            (
                replica.role(),
                replica.leader(),
                replica.term(),
                replica.commit(),
            )
        };
        if part != Role::Leader {
            fail(self.waiting.take());
        }
        self.instruments.commit.record(commit, &[]);
        self.instruments.term.record(term, &[]);
        let is_leader = u64::from(part == Role::Leader);
        self.instruments.is_leader.record(is_leader, &[]);
        if self.last.replace((part, leader)) != (part, leader) {
            info!(self.logger, "log: leader changed";
                "part" => ?part, "term" => term, "leader" => leader.map(|id| id.to_string()));
        }
        self.changed.notify_waiters();
    }
}

fn fail(waiting: BTreeMap<u64, Waiting>) {
    for waiting in waiting.into_values() {
        let _ = waiting.waiter.send(Err(log::Error::LeadershipLost));
    }
}

/// Opens the store of the data folder, and waits for room where the disk is full.
pub(super) async fn open_store(setup: &Setup) -> Result<Opened, Error> {
    let mut is_told = false;
    loop {
        match try_open(setup) {
            Err(error) if error.is_full() => {
                if !std::mem::replace(&mut is_told, true) {
                    warn!(setup.logger, "log: the disk is full, waiting to open the log";
                        "reason" => %error);
                }
                time::sleep(OPEN_RETRY).await;
            }
            opened => return opened.context(StoreSnafu),
        }
    }
}

fn try_open(setup: &Setup) -> Result<Opened, store::Error> {
    let fresh = || Identity(rand::rng().next_u64().max(1));
    match Store::open(&setup.folder, fresh()) {
        Err(damage @ store::Error::Damaged { .. }) => {
            error!(setup.logger, "log: {}", damage);
            let path = Store::set_aside(&setup.folder)?;
            warn!(setup.logger, "log: starting empty"; "moved" => %path.display());
            Store::open(&setup.folder, fresh())
        }
        opened => opened,
    }
}

/// Lets time pass and takes what became durable, until the disk fails.
pub(super) async fn drive(core: &Core, mut results: Results) -> Result<(), Error> {
    let mut ticks = time::interval(core.timing.heartbeat() / TICKS_PER_HEARTBEAT);
    ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = ticks.tick() => {
                let now = core.now();
                core.replica.borrow_mut().tick(now);
            }
            result = results.recv() => {
                match result.ok_or(Error::Writer)?? {
                    Event::Synced(synced) => core.advance(synced),
                    Event::Full { reason } => core.stall(&reason),
                }
            }
        }
        core.pump();
    }
}
