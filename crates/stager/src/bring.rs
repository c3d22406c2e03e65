//! Bringing the chunks of one version: from other agents, from the origin, or from what the engine
//! still has staged.

use std::{
    cell::RefCell,
    collections::{BTreeSet, HashMap},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use domain::{clock::Instant, digest::Digest, name};
use futures::{StreamExt, stream::FuturesUnordered};
use peer::{
    chunks::{Fetched, Holdings, Session},
    connection::Dialer,
    pack,
};
use policy::spread::{Fetch, Miss, Source, Spread};
use slog::{Logger, debug, info, warn};
use tokio::{
    task::{JoinHandle, spawn_local},
    time,
};

use crate::{
    port::{Engine, Manifest, Origin},
    shelf::Shelf,
};

/// How long a chunk may take on its way, beyond a step of a session: others are sent before it.
const TRANSFER_LIMIT: Duration = Duration::from_millis(700);
/// How often new fetches are looked for while none ends.
const PERIOD: Duration = Duration::from_millis(20);
/// How long a question about another agent's holdings waits for news.
const WATCH_WAIT: Duration = Duration::from_millis(400);
/// The pause between two such questions, which bounds their number.
const WATCH_PAUSE: Duration = Duration::from_millis(20);
/// The pause after one that failed.
const WATCH_RETRY: Duration = Duration::from_millis(300);
/// The pause before the engine is asked again for what it has staged.
const STAGED_RETRY: Duration = Duration::from_millis(200);
/// How often it is asked, if it does not answer: a machine's processes start side by side.
const STAGED_TRIES: u32 = 25;
/// After so many spoilt chunks the list of the chunks itself is doubted.
const MAX_SPOILT: u32 = 6;

/// Sessions with other agents, one for each.
#[derive(Clone)]
pub(crate) struct Peers {
    dialer: Dialer,
    sessions: Rc<RefCell<HashMap<SocketAddr, Rc<Session>>>>,
}

impl Peers {
    pub(crate) fn new(dialer: Dialer) -> Self {
        Self {
            dialer,
            sessions: Rc::default(),
        }
    }

    async fn session(&self, address: SocketAddr) -> Result<Rc<Session>, String> {
        let known = self.sessions.borrow().get(&address).cloned();
        match known.filter(|session| !session.connection().is_closed()) {
            Some(session) => Ok(session),
            None => {
                let opened = Session::open(&self.dialer, address).await;
                let session = Rc::new(opened.map_err(|error| error.to_string())?);
                let kept = session.clone();
                self.sessions.borrow_mut().insert(address, kept);
                Ok(session)
            }
        }
    }

    async fn fetch(
        &self,
        address: SocketAddr,
        digest: Digest,
        is_urgent: bool,
    ) -> Result<Fetched, String> {
        let session = self.session(address).await?;
        let fetched = session.fetch(digest, !is_urgent, TRANSFER_LIMIT).await;
        fetched.map_err(|error| self.lose(address, &error))
    }

    /// What an agent holds of a version with `count` chunks, once it is news.
    async fn holdings(
        &self,
        address: SocketAddr,
        version: Digest,
        known: u64,
    ) -> Result<Holdings, String> {
        let session = self.session(address).await?;
        let holdings = session.holdings(version, known, WATCH_WAIT).await;
        holdings.map_err(|error| self.lose(address, &error))
    }

    /// An agent's list of a version's chunks, if it has one.
    pub(crate) async fn manifest(
        &self,
        address: SocketAddr,
        version: Digest,
    ) -> Result<Option<Manifest>, String> {
        let session = self.session(address).await?;
        let listed = session.manifest(version).await;
        let listed = listed.map_err(|error| self.lose(address, &error))?;
        let decoded = listed.map(|bytes| pack::decode(&bytes)).transpose();
        decoded.map_err(|error| error.to_string())
    }

    /// Forgets a session: a connection can be silent for good while new ones work.
    fn lose(&self, address: SocketAddr, error: &peer::Error) -> String {
        self.sessions.borrow_mut().remove(&address);
        error.to_string()
    }
}

/// The agents that take part, with their addresses.
pub(crate) type Roster = Vec<(policy::owner::Member, SocketAddr)>;

/// The bringing of one version of one model.
pub(crate) struct Bring {
    pub(crate) model: name::Artifact,
    pub(crate) manifest: Manifest,
    pub(crate) engine: Rc<dyn Engine>,
    pub(crate) origin: Rc<dyn Origin>,
    pub(crate) shelf: Rc<Shelf>,
    pub(crate) peers: Peers,
    pub(crate) spread: Spread,
    /// The key under which agents speak of the version.
    pub(crate) version: Digest,
    /// From where the chunks came.
    pub(crate) tally: Tally,
    /// When every chunk lay staged.
    pub(crate) ready_at: Instant,
    pub(crate) logger: Logger,
    pub(crate) now: Rc<dyn Fn() -> Instant>,
    pub(crate) roster: Rc<dyn Fn() -> Roster>,
}

/// What is heard of an agent's holdings.
enum Report {
    /// It is asked.
    Asked,
    /// What it holds; nothing if it can't be asked.
    Told(Option<BTreeSet<usize>>),
}

/// Reports about agents, with their times.
type Reports = Rc<RefCell<Vec<(name::Vm, Instant, Report)>>>;

/// The tasks that follow what agents hold. They end with it.
#[derive(Default)]
struct Watches(HashMap<name::Vm, JoinHandle<()>>);

impl Drop for Watches {
    fn drop(&mut self) {
        self.0.values().for_each(JoinHandle::abort);
    }
}

/// Follows what one agent holds of a version.
async fn follow(peers: Peers, address: SocketAddr, version: Digest, report: impl Fn(Report)) {
    let mut known = u64::MAX;
    loop {
        report(Report::Asked);
        match peers.holdings(address, version, known).await {
            Ok(holdings) => {
                known = holdings.version;
                let held = holdings.is_known.then(|| indices(&holdings.bitmap));
                report(Report::Told(held));
                time::sleep(WATCH_PAUSE).await;
            }
            Err(_) => {
                report(Report::Told(None));
                time::sleep(WATCH_RETRY).await;
            }
        }
    }
}

fn indices(bitmap: &[u8]) -> BTreeSet<usize> {
    let is_set = |index: &usize| bitmap[index / 8] & (1 << (index % 8)) != 0;
    (0..bitmap.len() * 8).filter(is_set).collect()
}

/// From where the chunks of a version came.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Tally {
    pub(crate) origin: u32,
    pub(crate) region: u32,
    pub(crate) elsewhere: u32,
}

impl Tally {
    fn count(&mut self, fetch: &Fetch, is_remote: bool) {
        match (&fetch.source, is_remote) {
            (Source::Origin, _) => self.origin += 1,
            (Source::Peer(_), true) => self.elsewhere += 1,
            (Source::Peer(_), false) => self.region += 1,
        }
    }
}

/// Why the version can't be brought as it is listed.
pub(crate) struct Doubt;

impl Bring {
    /// Brings every chunk, verified and staged.
    ///
    /// # Errors
    ///
    /// [`Doubt`] if chunk after chunk differs from its listed digest.
    pub(crate) async fn run(&mut self) -> Result<(), Doubt> {
        self.shelf.open(self.version, self.manifest.clone());
        self.take_staged().await;
        let reports = Reports::default();
        let mut watches = Watches::default();
        let mut running = FuturesUnordered::new();
        let mut spoilt = 0;
        while !self.spread.is_complete() {
            let roster = (self.roster)();
            self.spread
                .set_members(roster.iter().map(|(member, _)| member.clone()));
            let now = (self.now)();
            self.watch(&mut watches, &roster, &reports);
            for (vm, at, report) in reports.borrow_mut().drain(..) {
                match report {
                    Report::Asked => self.spread.record_query(&vm, at),
                    Report::Told(held) => self.spread.set_offer(&vm, held, at),
                }
            }
            for fetch in self.spread.poll(now) {
                running.push(self.fetch(fetch, &roster));
            }
            if running.is_empty() {
                time::sleep(PERIOD).await;
                continue;
            }
            let Ok(Some((fetch, is_urgent, result))) = time::timeout(PERIOD, running.next()).await
            else {
                continue;
            };
            match result {
                Ok(Fetched::Bytes(bytes)) if self.is_whole(fetch.index, &bytes) => {
                    self.tally.count(&fetch, is_urgent);
                    self.place(fetch.index, bytes).await;
                }
                Ok(Fetched::Bytes(_)) => {
                    spoilt += 1;
                    warn!(self.logger, "weights: spoilt chunk"; "model" => self.model.as_str(),
                        "version" => self.manifest.version, "index" => fetch.index,
                        "source" => %fetch.source);
                    self.spread.miss(&fetch, Miss::Fault, (self.now)());
                }
                Ok(Fetched::NotHeld) => {
                    self.spread.miss(&fetch, Miss::NotHeld, (self.now)());
                }
                Ok(Fetched::Busy { retry }) => {
                    self.spread.miss(&fetch, Miss::Busy(retry), (self.now)());
                }
                Err(reason) => {
                    info!(self.logger, "weights: fetch failed"; "index" => fetch.index,
                        "source" => %fetch.source, "reason" => reason);
                    self.spread.miss(&fetch, Miss::Fault, (self.now)());
                }
            }
            if spoilt >= MAX_SPOILT {
                return Err(Doubt);
            }
        }
        Ok(())
    }

    /// Reads back what is staged, and returns the chunks that are spoilt or gone.
    pub(crate) async fn find_bad_chunks(&self) -> Vec<usize> {
        let mut bad = Vec::new();
        for index in 0..self.manifest.digests.len() {
            let read = self.engine.read(&self.model, index).await;
            if matches!(&read, Ok(Some(bytes)) if self.is_whole(index, bytes)) {
                continue;
            }
            warn!(self.logger, "weights: staged chunk is spoilt or gone";
                "model" => self.model.as_str(), "index" => index);
            bad.push(index);
        }
        bad
    }

    /// Stages chunks again. Those that are not held here any more must be brought again.
    pub(crate) async fn restage(&mut self, bad: impl IntoIterator<Item = usize>) {
        for index in bad {
            match self.shelf.get(&self.manifest.digests[index]) {
                Some(bytes) => self.place(index, bytes).await,
                None => self.spread.mark_missing(index, (self.now)()),
            }
        }
    }

    /// Follows what the agents that matter hold.
    fn watch(&mut self, watches: &mut Watches, roster: &Roster, reports: &Reports) {
        let wanted = self.spread.watched((self.now)());
        for (vm, task) in watches.0.extract_if(|vm, _| !wanted.contains(vm)) {
            task.abort();
            self.spread.unwatch(&vm);
        }
        for (member, address) in roster
            .iter()
            .filter(|(member, _)| wanted.contains(&member.vm))
        {
            watches.0.entry(member.vm.clone()).or_insert_with(|| {
                let (vm, reports, now) = (member.vm.clone(), reports.clone(), self.now.clone());
                let report = move |news| reports.borrow_mut().push((vm.clone(), now(), news));
                let (peers, address, version) = (self.peers.clone(), *address, self.version);
                spawn_local(follow(peers, address, version, report))
            });
        }
    }

    /// Takes over what the engine has staged of this version already.
    async fn take_staged(&mut self) {
        let mut tries = 0;
        let staged = loop {
            match self.engine.staged(&self.model).await {
                Ok(staged) => break staged,
                Err(error) if tries == STAGED_TRIES => {
                    info!(self.logger, "weights: could not list what is staged";
                        "reason" => %error);
                    return;
                }
                Err(_) => time::sleep(STAGED_RETRY).await,
            }
            tries += 1;
        };
        for index in staged
            .into_iter()
            .filter(|index| *index < self.manifest.digests.len())
        {
            let Ok(Some(bytes)) = self.engine.read(&self.model, index).await else {
                continue;
            };
            if self.is_whole(index, &bytes) {
                self.shelf.put(self.manifest.digests[index], bytes);
                self.spread.mark_held(index, (self.now)());
            }
        }
        debug!(self.logger, "weights: taken over"; "chunks" => self.spread.held_count());
    }

    fn fetch(
        &self,
        fetch: Fetch,
        roster: &Roster,
    ) -> impl Future<Output = (Fetch, bool, Result<Fetched, String>)> + use<> {
        let digest = self.manifest.digests[fetch.index];
        let is_urgent = self.spread.is_urgent(&fetch);
        let address = match &fetch.source {
            Source::Peer(vm) => roster
                .iter()
                .find(|(member, _)| member.vm == *vm)
                .map(|(_, address)| *address),
            Source::Origin => None,
        };
        // A chunk that could not be staged is here all the same.
        let held = self.shelf.get(&digest);
        let (origin, peers) = (self.origin.clone(), self.peers.clone());
        let (model, version) = (self.model.clone(), self.manifest.version);
        async move {
            if let Some(bytes) = held {
                return (fetch, is_urgent, Ok(Fetched::Bytes(bytes)));
            }
            let result = match (&fetch.source, address) {
                (Source::Origin, _) => origin
                    .chunk(&model, version, fetch.index)
                    .await
                    .map(Fetched::Bytes)
                    .map_err(|error| error.to_string()),
                (Source::Peer(_), Some(address)) => peers.fetch(address, digest, is_urgent).await,
                (Source::Peer(vm), None) => Err(format!("{vm} has no address")),
            };
            (fetch, is_urgent, result)
        }
    }

    fn is_whole(&self, index: usize, bytes: &Bytes) -> bool {
        self.origin.digest(bytes) == self.manifest.digests[index]
    }

    /// Holds a verified chunk for the others, and stages it.
    async fn place(&mut self, index: usize, bytes: Bytes) {
        self.shelf.put(self.manifest.digests[index], bytes.clone());
        match self.engine.write(&self.model, index, bytes).await {
            Ok(()) => self.spread.mark_held(index, (self.now)()),
            Err(error) => {
                warn!(self.logger, "weights: could not stage a chunk"; "index" => index,
                    "reason" => %error);
                self.spread.mark_missing(index, (self.now)());
            }
        }
    }
}
