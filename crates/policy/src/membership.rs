//! VM membership: each agent has a session with one replica, which shares it with the others.
//!
//! This is soft state: it isn't written to the log, and a new replica learns it from agents and
//! from the other replicas. See `docs/ARCHITECTURE.md`, "Membership".

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use domain::{
    clock::Instant,
    name,
    record::{Batch, Delta, Key, Record},
    vm::{Announcement, Lifecycle, Status, Vm},
};
use snafu::Snafu;

/// A longer gap between two ticks means that this replica itself was paused.
pub const MAX_TICK_GAP: Duration = Duration::from_secs(1);

/// The lifetimes and grace periods of the table.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// How long a session lasts without a heartbeat.
    pub session: Duration,
    /// How long a new replica waits to hear from all other replicas before it answers without them.
    pub start_grace: Duration,
    /// How long agents have to announce themselves to a new replica before its own sessions count
    /// as complete.
    pub settle_time: Duration,
}

impl Limits {
    /// Derives the limits from the length of a session.
    pub fn new(session: Duration) -> Self {
        Self {
            session,
            start_grace: session,
            settle_time: session * 2 / 3,
        }
    }
}

/// Why an announcement was rejected.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum Error {
    /// A newer incarnation of the agent is known.
    #[snafu(display("incarnation {offered} of {vm} is older than {known}"))]
    Stale {
        /// The VM.
        vm: name::Vm,
        /// The announced incarnation.
        offered: u64,
        /// The newest known incarnation.
        known: u64,
    },
    /// This incarnation of the agent has left.
    #[snafu(display("incarnation {offered} of {vm} has left"))]
    Left {
        /// The VM.
        vm: name::Vm,
        /// The announced incarnation.
        offered: u64,
    },
}

#[derive(Clone, Debug)]
struct Session {
    vm: Vm,
    heard_at: Instant,
    /// The sequence number of the last change, counted over all sources. Among equal incarnations
    /// the highest number wins.
    sequence: u64,
}

/// The sessions that another replica has shared.
#[derive(Debug, Default)]
struct Peer {
    sessions: BTreeMap<name::Vm, Session>,
    heard_at: Option<Instant>,
}

/// The sessions of this replica and of the others.
#[derive(Debug)]
pub struct Table {
    limits: Limits,
    started_at: Instant,
    ticked_at: Instant,
    last_sequence: u64,
    own: BTreeMap<name::Vm, Session>,
    peers: BTreeMap<SocketAddr, Peer>,
    dirty: BTreeSet<name::Vm>,
}

impl Table {
    /// Creates the table of a replica that starts at `now`.
    pub fn new(limits: Limits, now: Instant) -> Self {
        Self {
            limits,
            started_at: now,
            ticked_at: now,
            last_sequence: 0,
            own: BTreeMap::new(),
            peers: BTreeMap::new(),
            dirty: BTreeSet::new(),
        }
    }

    /// Opens or renews a session.
    ///
    /// # Errors
    ///
    /// [`Error`] if a newer incarnation of the agent is known, or if this one has left.
    pub fn announce(
        &mut self,
        now: Instant,
        announcement: Announcement,
        status: Status,
    ) -> Result<(), Error> {
        let vm = announcement.vm.clone();
        let offered = announcement.incarnation;
        match self.newest(&vm) {
            Some(known) if known.announcement.incarnation > offered => {
                let known = known.announcement.incarnation;
                return StaleSnafu { vm, offered, known }.fail();
            }
            Some(known)
                if known.announcement.incarnation == offered
                    && known.status.lifecycle == Lifecycle::Gone
                    && status.lifecycle != Lifecycle::Gone =>
            {
                return LeftSnafu { vm, offered }.fail();
            }
            _ => {}
        }
        let current = Vm {
            announcement,
            status,
        };
        let sequence = self.next_sequence();
        let sequence = match self.own.get(&vm) {
            Some(session) if session.vm == current => session.sequence,
            _ => sequence,
        };
        let session = Session {
            vm: current,
            heard_at: now,
            sequence,
        };
        self.dirty.insert(vm.clone());
        self.own.insert(vm, session);
        Ok(())
    }

    /// Renews a session and returns whether it exists here and is the newest one known.
    pub fn heartbeat(&mut self, now: Instant, vm: &name::Vm, incarnation: u64) -> bool {
        let is_newest = self
            .newest(vm)
            .is_some_and(|newest| newest.announcement.incarnation == incarnation);
        match self.own.get_mut(vm) {
            Some(session) if is_newest && session.vm.announcement.incarnation == incarnation => {
                session.heard_at = now;
                true
            }
            _ => false,
        }
    }

    /// Ends a session. It is kept as gone until it expires, so that a copy from another replica
    /// can't restore it.
    pub fn leave(&mut self, now: Instant, vm: &name::Vm, incarnation: u64) {
        let sequence = self.next_sequence();
        let known = self
            .newest(vm)
            .filter(|known| known.announcement.incarnation == incarnation);
        let Some(mut gone) = known.cloned() else {
            return;
        };
        gone.status.lifecycle = Lifecycle::Gone;
        let session = Session {
            vm: gone,
            heard_at: now,
            sequence,
        };
        self.dirty.insert(vm.clone());
        self.own.insert(vm.clone(), session);
    }

    /// Merges the sessions shared by another replica.
    pub fn merge(&mut self, now: Instant, from: SocketAddr, batch: Batch) {
        let mut peer = self.peers.remove(&from).unwrap_or_default();
        let old = match batch.is_snapshot {
            true => std::mem::take(&mut peer.sessions),
            false => BTreeMap::new(),
        };
        self.dirty.extend(old.keys().cloned());
        for delta in batch.deltas {
            match delta {
                Delta::Set(Record::Vm(vm)) => {
                    let name = vm.announcement.vm.clone();
                    let sequence = match old.get(&name) {
                        Some(session) if session.vm == *vm => session.sequence,
                        _ => self.next_sequence(),
                    };
                    let session = Session {
                        vm: *vm,
                        heard_at: now,
                        sequence,
                    };
                    self.dirty.insert(name.clone());
                    peer.sessions.insert(name, session);
                }
                Delta::Remove(Key::Vm(name)) => {
                    peer.sessions.remove(&name);
                    self.dirty.insert(name);
                }
                // Other records come from the replicated log only.
                Delta::Set(_) | Delta::Remove(_) => {}
            }
        }
        peer.heard_at = Some(now);
        self.peers.insert(from, peer);
    }

    /// Expires sessions without heartbeats, and removes the sessions of silent replicas.
    pub fn tick(&mut self, now: Instant) {
        let gap = now.since(self.ticked_at);
        self.ticked_at = now;
        if gap > MAX_TICK_GAP {
            self.restart_timeouts(now);
        }
        let session = self.limits.session;
        let dirty = &mut self.dirty;
        self.own.retain(|name, held| {
            let is_alive = now.since(held.heard_at) <= session;
            if !is_alive {
                dirty.insert(name.clone());
            }
            is_alive
        });
        // The agents of a lost replica need time to move to another one before their VMs expire.
        let timeout = session * 2;
        for peer in self.peers.values_mut() {
            if peer.heard_at.is_some_and(|at| now.since(at) > timeout) {
                dirty.extend(std::mem::take(&mut peer.sessions).into_keys());
            }
        }
    }

    /// Whether the table is complete enough to be sent to entries. An earlier answer could remove
    /// upstreams from entries only because they have not announced themselves here yet.
    pub fn is_ready(&self, now: Instant, replicas: &[SocketAddr]) -> bool {
        let uptime = now.since(self.started_at);
        let has_all = replicas.iter().all(|replica| {
            self.peers
                .get(replica)
                .is_some_and(|p| p.heard_at.is_some())
        });
        uptime >= self.limits.start_grace || (!replicas.is_empty() && has_all)
    }

    /// Whether agents had time to announce themselves here, so that other replicas may rely on this
    /// replica's sessions.
    pub fn is_settled(&self, now: Instant) -> bool {
        now.since(self.started_at) >= self.limits.settle_time
    }

    /// Returns the VM if this replica keeps its session, even if it has left.
    pub fn own(&self, name: &name::Vm) -> Option<&Vm> {
        self.own.get(name).map(|session| &session.vm)
    }

    /// Returns and clears the names of the VMs that changed since the last call.
    pub fn take_dirty(&mut self) -> BTreeSet<name::Vm> {
        std::mem::take(&mut self.dirty)
    }

    /// Returns the VMs known to any replica, except those that left.
    pub fn all(&self) -> Vec<&Vm> {
        let names: BTreeSet<&name::Vm> = self
            .own
            .keys()
            .chain(self.peers.values().flat_map(|peer| peer.sessions.keys()))
            .collect();
        names
            .into_iter()
            .filter_map(|name| self.alive(name))
            .collect()
    }

    /// Returns the VM if any replica knows it and it has not left.
    pub fn alive(&self, name: &name::Vm) -> Option<&Vm> {
        self.newest(name)
            .filter(|vm| vm.status.lifecycle != Lifecycle::Gone)
    }

    /// Returns the newest known state of the VM, even if it has left.
    pub fn newest(&self, name: &name::Vm) -> Option<&Vm> {
        let own = self.own.get(name);
        let others = self.peers.values().filter_map(|p| p.sessions.get(name));
        own.into_iter()
            .chain(others)
            .max_by_key(|session| (session.vm.announcement.incarnation, session.sequence))
            .map(|session| &session.vm)
    }

    /// Restarts all timeouts: no heartbeat could be received while this replica was paused.
    fn restart_timeouts(&mut self, now: Instant) {
        for session in self.own.values_mut() {
            session.heard_at = now;
        }
        for peer in self.peers.values_mut() {
            peer.heard_at = peer.heard_at.map(|_| now);
        }
    }

    fn next_sequence(&mut self) -> u64 {
        self.last_sequence += 1;
        self.last_sequence
    }
}
