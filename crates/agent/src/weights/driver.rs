//! The thread: takes commands, follows the members, and starts what the swarm decides.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet},
    net::TcpListener,
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use domain::{
    artifact,
    clock::{Clock, Instant},
    manifest::Pin,
};
use peer::{connection::Dialer, server::Server};
use policy::swarm::Watch;
use slog::{Logger, error, info, warn};
use tokio::{
    sync::{mpsc, watch},
    task::{AbortHandle, spawn_local},
    time,
};

use super::{
    Command, Config, admit,
    core::{Core, Version},
    fetch,
    gauge::Traffic,
    roster::Roster,
    service::Service,
    spool::Spool,
    watcher,
};
use crate::depot::Table;

/// The time between two looks at what time alone changes.
const TICK: Duration = Duration::from_millis(100);

/// How long a version may go without a chunk before that is logged, each time.
const STALL_WARNING: Duration = Duration::from_secs(10);

/// What the thread is made of.
pub(super) struct Parts {
    pub(super) config: Config,
    pub(super) roster: Arc<dyn Roster>,
    pub(super) dialer: Dialer,
    pub(super) clock: Arc<dyn Clock>,
    pub(super) logger: Logger,
    pub(super) spool: Spool,
    pub(super) table: watch::Sender<Arc<Table>>,
    pub(super) traffic: Arc<Traffic>,
}

/// Runs until the handle is dropped.
pub(super) async fn run(
    parts: Parts,
    listener: TcpListener,
    mut commands: mpsc::UnboundedReceiver<Command>,
) {
    let roster = parts.roster.clone();
    let secret = parts.dialer.secret().to_vec();
    let core = Core::new(parts);
    let serving = spawn_local(serve(core.clone(), listener, secret));
    let driver = Rc::new(Driver {
        core,
        watches: RefCell::default(),
        warned_at: Cell::default(),
    });
    driver.take_members(&*roster);
    let mut changes = roster.changes();
    let mut tick = time::interval(TICK);
    let mut is_roster_open = true;
    loop {
        tokio::select! {
            command = commands.recv() => match command {
                Some(command) => driver.take(command),
                None => break,
            },
            changed = changes.changed(), if is_roster_open => {
                is_roster_open = changed.is_ok();
                driver.take_members(&*roster);
            }
            () = driver.core.work.notified() => {}
            _ = tick.tick() => {}
        }
        driver.step();
    }
    driver.core.is_closing.set(true);
    serving.abort();
}

async fn serve(core: Rc<Core>, listener: TcpListener, secret: Vec<u8>) {
    let listener = match tokio::net::TcpListener::from_std(listener) {
        Ok(listener) => listener,
        Err(error) => return error!(core.logger, "weights: could not listen: {}", error),
    };
    let service = Rc::new(Service::new(core.clone()));
    let server = Server::new(secret).with_chunks(service);
    if let Err(error) = server.run(listener).await {
        error!(
            core.logger,
            "weights: could not accept connections: {}", error
        );
    }
}

struct Driver {
    core: Rc<Core>,
    watches: RefCell<BTreeMap<Watch, AbortHandle>>,
    warned_at: Cell<Instant>,
}

impl Driver {
    fn take(&self, command: Command) {
        match command {
            Command::Want(wanted) => self.want(wanted),
            Command::SetInUse(in_use) => {
                self.core.state.borrow_mut().in_use = Some(in_use.into_iter().collect());
                self.drop_versions();
            }
            Command::SetLiveLatency(percent) => {
                let mut state = self.core.state.borrow_mut();
                state.links.set_live_latency(percent);
            }
        }
    }

    fn take_members(&self, roster: &dyn Roster) {
        let peers = roster.peers();
        let now = self.core.now();
        let mut state = self.core.state.borrow_mut();
        state.addresses = peers
            .iter()
            .map(|peer| (peer.member.vm.clone(), peer.chunk_addr))
            .collect();
        let members: Vec<_> = peers.into_iter().map(|peer| peer.member).collect();
        let by_name: BTreeMap<_, _> = members
            .iter()
            .map(|member| (member.vm.clone(), member.clone()))
            .collect();
        // A heartbeat's news about load or progress changes no member.
        if by_name != state.members {
            state.members = by_name;
            state.swarm.set_members(members, now);
        }
    }

    fn want(&self, wanted: BTreeMap<artifact::Id, Pin>) {
        self.core.state.borrow_mut().wanted.clone_from(&wanted);
        self.drop_versions();
        for (artifact, pin) in wanted {
            let is_known = self
                .core
                .state
                .borrow()
                .versions
                .get(&artifact)
                .is_some_and(|version| version.pin == pin);
            if is_known {
                continue;
            }
            let admission = spawn_local(admit::run(self.core.clone(), artifact.clone(), pin));
            let version = Version {
                pin,
                chunks: None,
                is_whole: false,
                reserved: 0,
                admission: Some(admission.abort_handle()),
            };
            self.core
                .state
                .borrow_mut()
                .versions
                .insert(artifact, version);
        }
    }

    /// Drops the versions that are neither wanted, with the pin that they have, nor in use.
    fn drop_versions(&self) {
        let dropped: Vec<_> = {
            let state = self.core.state.borrow();
            let is_kept = |artifact: &artifact::Id, version: &Version| {
                let is_wanted = state.wanted.get(artifact) == Some(&version.pin);
                let is_in_use = state
                    .in_use
                    .as_ref()
                    .is_some_and(|in_use| in_use.contains(artifact));
                is_wanted || (is_in_use && version.is_whole)
            };
            state
                .versions
                .iter()
                .filter(|(artifact, version)| !is_kept(artifact, version))
                .map(|(artifact, _)| artifact.clone())
                .collect()
        };
        for artifact in dropped {
            self.drop_version(&artifact);
        }
        self.core.prune_report();
    }

    fn drop_version(&self, artifact: &artifact::Id) {
        let Some(version) = self.core.state.borrow_mut().versions.remove(artifact) else {
            return;
        };
        if let Some(admission) = version.admission {
            admission.abort();
        }
        {
            let mut state = self.core.state.borrow_mut();
            state.swarm.drop_version(&version.pin.digest);
            state.uploads.close(&version.pin.digest);
        }
        info!(self.core.logger, "weights: dropped {}", artifact);
        match version.chunks {
            // A whole version stays as a cache until its space is needed.
            Some(chunks) if !version.is_whole => self.discard(&chunks, &version.pin),
            _ => {}
        }
    }

    fn discard(&self, chunks: &[domain::manifest::Chunk], pin: &Pin) {
        let kept = self.core.kept();
        {
            let mut state = self.core.state.borrow_mut();
            for chunk in chunks {
                if !kept.contains(&chunk.digest) {
                    state.verified.remove(&chunk.digest);
                }
            }
        }
        let removed = self
            .core
            .spool
            .discard(chunks, &kept)
            .and_then(|()| self.core.spool.remove_manifest(&pin.digest));
        if let Err(error) = removed {
            warn!(self.core.logger, "weights: {}", error);
        }
    }

    fn step(self: &Rc<Self>) {
        let now = self.core.now();
        self.core.progress();
        let (fetches, watches) = {
            let mut state = self.core.state.borrow_mut();
            (state.swarm.poll(now), state.swarm.watches(now))
        };
        for fetch in fetches {
            spawn_local(fetch::run(self.core.clone(), fetch));
        }
        self.watch(watches);
        self.warn(now);
    }

    /// Logs versions that make no progress, so that an operator sees them before a caller does.
    fn warn(&self, now: Instant) {
        if now.since(self.warned_at.get()) < STALL_WARNING {
            return;
        }
        self.warned_at.set(now);
        let state = self.core.state.borrow();
        for stall in state.swarm.stalls(STALL_WARNING, now) {
            warn!(self.core.logger, "weights: no chunk for {} s", stall.idle.as_secs();
                "manifest" => %stall.manifest, "missing" => stall.missing,
                "offered" => stall.offered, "in_flight" => stall.in_flight);
        }
    }

    fn watch(&self, wanted: BTreeSet<Watch>) {
        let mut watches = self.watches.borrow_mut();
        watches.retain(|watch, task| {
            let is_wanted = wanted.contains(watch);
            if !is_wanted {
                task.abort();
            }
            is_wanted
        });
        for watch in wanted {
            watches.entry(watch.clone()).or_insert_with(|| {
                spawn_local(watcher::run(self.core.clone(), watch)).abort_handle()
            });
        }
    }
}
