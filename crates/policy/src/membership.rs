//! Which VMs are there: sessions of agents, kept by one replica each and told to the others.
//!
//! This is soft state: it isn't logged, and a fresh replica learns it from agents and from the
//! other replicas. See `docs/ARCHITECTURE.md`, "Membership".

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

/// A gap between two ticks beyond this one means that this replica itself stood still.
pub const MAX_TICK_GAP: Duration = Duration::from_secs(1);

/// How long sessions and the knowledge of other replicas last.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// How long the session of a silent VM lasts.
    pub session: Duration,
    /// How long a fresh replica waits before it answers without having heard all others.
    pub start_grace: Duration,
    /// How long agents have to announce themselves to a fresh replica before its own sessions
    /// count as complete.
    pub settle_time: Duration,
}

impl Limits {
    /// Limits that follow from the length of a session.
    pub fn new(session: Duration) -> Self {
        Self {
            session,
            start_grace: session,
            settle_time: session * 2 / 3,
        }
    }
}

/// An announcement was not taken.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum Error {
    /// A later start of the agent has announced itself.
    #[snafu(display("incarnation {offered} of {vm} is older than {known}"))]
    Stale {
        /// The VM.
        vm: name::Vm,
        /// The incarnation that announced itself.
        offered: u64,
        /// The newest one known.
        known: u64,
    },
    /// This start of the agent has said that it leaves.
    #[snafu(display("incarnation {offered} of {vm} has left"))]
    Left {
        /// The VM.
        vm: name::Vm,
        /// The incarnation that announced itself.
        offered: u64,
    },
}

#[derive(Clone, Debug)]
struct Session {
    vm: Vm,
    heard_at: Instant,
    /// The order of changes over all sources; the newest one holds when incarnations are equal.
    touched: u64,
}

/// What another replica told of its sessions.
#[derive(Debug, Default)]
struct Peer {
    sessions: BTreeMap<name::Vm, Session>,
    heard_at: Option<Instant>,
}

/// The VMs that this replica and the others know of.
#[derive(Debug)]
pub struct Table {
    limits: Limits,
    started_at: Instant,
    ticked_at: Instant,
    touches: u64,
    own: BTreeMap<name::Vm, Session>,
    peers: BTreeMap<SocketAddr, Peer>,
    dirty: BTreeSet<name::Vm>,
}

impl Table {
    /// A table of a replica that starts now.
    pub fn new(limits: Limits, now: Instant) -> Self {
        Self {
            limits,
            started_at: now,
            ticked_at: now,
            touches: 0,
            own: BTreeMap::new(),
            peers: BTreeMap::new(),
            dirty: BTreeSet::new(),
        }
    }

    /// Opens or renews a session.
    ///
    /// # Errors
    ///
    /// [`Error`] if a later start of the agent is known, or if this one has left.
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
        let vm_now = Vm {
            announcement,
            status,
        };
        let touched = self.touch();
        let touched = match self.own.get(&vm) {
            Some(session) if session.vm == vm_now => session.touched,
            _ => touched,
        };
        let session = Session {
            vm: vm_now,
            heard_at: now,
            touched,
        };
        self.dirty.insert(vm.clone());
        self.own.insert(vm, session);
        Ok(())
    }

    /// Keeps a session alive, and says whether it is known.
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

    /// Ends a session. It stays as gone until it expires, so that a copy of it at another replica
    /// can't bring it back.
    pub fn leave(&mut self, now: Instant, vm: &name::Vm, incarnation: u64) {
        let touched = self.touch();
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
            touched,
        };
        self.dirty.insert(vm.clone());
        self.own.insert(vm.clone(), session);
    }

    /// Takes what another replica tells of its sessions.
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
                    let touched = match old.get(&name) {
                        Some(session) if session.vm == *vm => session.touched,
                        _ => self.touch(),
                    };
                    let session = Session {
                        vm: *vm,
                        heard_at: now,
                        touched,
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

    /// Ends the sessions of silent VMs, and forgets what silent replicas told.
    pub fn tick(&mut self, now: Instant) {
        let gap = now.since(self.ticked_at);
        self.ticked_at = now;
        if gap > MAX_TICK_GAP {
            self.forgive(now);
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
        // Its agents need time to move to another replica before their VMs are forgotten.
        let patience = session * 2;
        for peer in self.peers.values_mut() {
            if peer.heard_at.is_some_and(|at| now.since(at) > patience) {
                dirty.extend(std::mem::take(&mut peer.sessions).into_keys());
            }
        }
    }

    /// Whether the table is complete enough to be shown to entries. Before that, an answer could
    /// take upstreams from them that merely have not announced themselves here.
    pub fn is_ready(&self, now: Instant, replicas: &[SocketAddr]) -> bool {
        let uptime = now.since(self.started_at);
        let has_all = replicas.iter().all(|replica| {
            self.peers
                .get(replica)
                .is_some_and(|p| p.heard_at.is_some())
        });
        uptime >= self.limits.start_grace || (!replicas.is_empty() && has_all)
    }

    /// Whether agents had time to announce themselves here, so that the others may rely on it.
    pub fn is_settled(&self, now: Instant) -> bool {
        now.since(self.started_at) >= self.limits.settle_time
    }

    /// The VM of the given name if this replica keeps its session, also after it left.
    pub fn own(&self, name: &name::Vm) -> Option<&Vm> {
        self.own.get(name).map(|session| &session.vm)
    }

    /// The names of VMs of which something changed since the last call.
    pub fn take_dirty(&mut self) -> BTreeSet<name::Vm> {
        std::mem::take(&mut self.dirty)
    }

    /// Every VM known to any replica, without those that left.
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

    /// The VM of the given name, if any replica knows it and it has not left.
    pub fn alive(&self, name: &name::Vm) -> Option<&Vm> {
        self.newest(name)
            .filter(|vm| vm.status.lifecycle != Lifecycle::Gone)
    }

    /// The VM of the given name, if any replica knows it.
    pub fn newest(&self, name: &name::Vm) -> Option<&Vm> {
        let own = self.own.get(name);
        let others = self.peers.values().filter_map(|p| p.sessions.get(name));
        own.into_iter()
            .chain(others)
            .max_by_key(|session| (session.vm.announcement.incarnation, session.touched))
            .map(|session| &session.vm)
    }

    /// Nobody could be heard while this replica stood still; everyone gets a new term.
    fn forgive(&mut self, now: Instant) {
        for session in self.own.values_mut() {
            session.heard_at = now;
        }
        for peer in self.peers.values_mut() {
            peer.heard_at = peer.heard_at.map(|_| now);
        }
    }

    fn touch(&mut self) -> u64 {
        self.touches += 1;
        self.touches
    }
}
