//! An agent beside a stand-in, with a feed, a ledger and a spool that tests control.

#![allow(clippy::unwrap_used, dead_code, unreachable_pub, unused_imports)]

mod client;

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    path::PathBuf,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use agent::{
    daemon::{Daemon, Surroundings},
    depot::{Depot, Files, Progress, Table},
    feed::{Feed, Ledger},
    memory::Memory,
    metrics::Metrics,
};
use arc_swap::ArcSwap;
use domain::{
    artifact,
    call::Attempt,
    clock::{Clock, Instant},
    digest::Digest,
    edit::Revision,
    ledger::{Answer, Key, Reply, Write},
    lists,
    manifest::{Chunk, Manifest, Pin},
    order::Fence,
    record::{Batch, Cursor, Delta, Record},
    rollout::{Rollout, Stage},
    vm::Vm,
};
use futures::future::BoxFuture;
use http_body_util::BodyExt;
use parking_lot::Mutex;
use peer::uplink;
use policy::{age::Bound, view::View};
use tokio::{sync::watch, time};

pub use client::{Call, Client, Whole};

pub const SECRET: &str = "open-sesame";
pub const LIMIT: Duration = Duration::from_secs(20);

/// A clock that tests can move on beside real time.
#[derive(Default)]
pub struct TestClock {
    ahead_ms: AtomicU64,
}

impl TestClock {
    /// As if the VM had been paused for so long.
    pub fn sleep(&self, ms: u64) {
        self.ahead_ms.fetch_add(ms, Ordering::SeqCst);
    }
}

impl Clock for TestClock {
    fn now(&self) -> Instant {
        let ahead = Duration::from_millis(self.ahead_ms.load(Ordering::SeqCst));
        host::clock::Boot.now() + ahead
    }

    fn wall_ms(&self) -> u64 {
        host::clock::Boot.wall_ms()
    }
}

/// A feed whose state and age tests set.
pub struct TestFeed {
    feed: ArcSwap<uplink::Feed>,
    changes: watch::Sender<u64>,
    clock: Arc<TestClock>,
    is_live: AtomicBool,
}

impl TestFeed {
    pub fn new(clock: Arc<TestClock>) -> Arc<Self> {
        Arc::new(Self {
            feed: ArcSwap::from_pointee(uplink::Feed {
                view: Arc::default(),
                bound: Bound::UNKNOWN,
                targets: Arc::default(),
            }),
            changes: watch::Sender::new(0),
            clock,
            is_live: AtomicBool::new(true),
        })
    }

    /// Applies records and confirms them now.
    pub fn set(&self, records: Vec<Record>) {
        let deltas: Vec<_> = records.into_iter().map(Delta::Set).collect();
        self.apply(&deltas);
    }

    pub fn apply(&self, deltas: &[Delta]) {
        self.feed.rcu(|feed| {
            let mut view = View::clone(&feed.view);
            let commit = view.commit + 1;
            view.apply(Batch {
                is_snapshot: false,
                deltas: deltas.to_vec(),
                revision: Revision(commit),
                commit,
                cursor: Cursor::default(),
                age_ms: 0,
                held_ms: 0,
            })
            .unwrap();
            self.confirmed(Arc::new(view))
        });
        self.changes.send_modify(|n| *n += 1);
    }

    /// Stops or resumes confirming the state.
    pub fn set_live(&self, is_live: bool) {
        self.freeze_age();
        self.is_live.store(is_live, Ordering::SeqCst);
    }

    /// Confirms the state now. Agents do this while the test applies records, so it must not put
    /// back a state that it read before them.
    fn freeze_age(&self) {
        self.feed.rcu(|feed| self.confirmed(feed.view.clone()));
    }

    fn confirmed(&self, view: Arc<View>) -> uplink::Feed {
        uplink::Feed {
            view,
            bound: Bound::new(self.clock.now(), Duration::ZERO),
            targets: Arc::default(),
        }
    }
}

impl Feed for TestFeed {
    fn current(&self) -> Arc<uplink::Feed> {
        if self.is_live.load(Ordering::SeqCst) {
            self.freeze_age();
        }
        self.feed.load_full()
    }

    fn changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }
}

/// What the ledger does with the next write.
pub type Hook = Box<dyn Fn(&Write) -> Option<Fault> + Send + Sync>;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Nothing is written and nobody answers.
    Lost,
    /// It is written, but nobody answers.
    Unanswered,
}

/// The ledger as control keeps it, in memory.
#[derive(Default)]
pub struct TestLedger {
    pub entries: Mutex<BTreeMap<Key, Entry>>,
    pub writes: Mutex<Vec<Write>>,
    pub hook: Mutex<Option<Hook>>,
}

#[derive(Clone, Debug)]
pub struct Entry {
    pub body: Digest,
    pub state: State,
    pub abandoned: BTreeSet<Attempt>,
}

#[derive(Clone, Debug, PartialEq)]
pub enum State {
    Open,
    Started(Attempt, domain::ledger::Holder),
    Finished(Attempt, Answer),
}

impl TestLedger {
    pub fn on_write(&self, hook: impl Fn(&Write) -> Option<Fault> + Send + Sync + 'static) {
        *self.hook.lock() = Some(Box::new(hook));
    }

    pub fn count(&self, is_kind: impl Fn(&Write) -> bool) -> usize {
        self.writes.lock().iter().filter(|w| is_kind(w)).count()
    }

    pub fn apply(&self, write: &Write) -> Reply {
        self.writes.lock().push(write.clone());
        let mut entries = self.entries.lock();
        match write {
            Write::Start {
                key,
                attempt,
                body,
                holder,
            } => {
                let entry = entries.entry(key.clone()).or_insert_with(|| Entry {
                    body: *body,
                    state: State::Open,
                    abandoned: BTreeSet::new(),
                });
                if entry.body != *body {
                    return Reply::Mismatch;
                }
                match &entry.state {
                    State::Finished(attempt, answer) => Reply::Finished {
                        attempt: *attempt,
                        answer: answer.clone(),
                    },
                    State::Started(a, h) if a == attempt && h == holder => Reply::Granted,
                    State::Started(a, _) => Reply::Started { attempt: *a },
                    State::Open if entry.abandoned.contains(attempt) => Reply::Abandoned,
                    State::Open => {
                        entry.state = State::Started(*attempt, holder.clone());
                        Reply::Granted
                    }
                }
            }
            Write::Abandon { key, attempt, body } => {
                let entry = entries.entry(key.clone()).or_insert_with(|| Entry {
                    body: *body,
                    state: State::Open,
                    abandoned: BTreeSet::new(),
                });
                match &entry.state {
                    State::Open => {
                        entry.abandoned.insert(*attempt);
                        Reply::Abandoned
                    }
                    State::Started(a, _) => Reply::Started { attempt: *a },
                    State::Finished(a, answer) => Reply::Finished {
                        attempt: *a,
                        answer: answer.clone(),
                    },
                }
            }
            Write::Release {
                key,
                attempt,
                holder,
            } => match entries.get_mut(key) {
                Some(entry) if entry.state == State::Started(*attempt, holder.clone()) => {
                    entry.state = State::Open;
                    entry.abandoned.insert(*attempt);
                    Reply::Recorded
                }
                _ => Reply::NotHolder,
            },
            Write::Finish {
                key,
                attempt,
                holder,
                answer,
            } => match entries.get_mut(key) {
                Some(entry) if entry.state == State::Started(*attempt, holder.clone()) => {
                    entry.state = State::Finished(*attempt, answer.clone());
                    Reply::Recorded
                }
                Some(entry) if matches!(&entry.state, State::Finished(a, _) if a == attempt) => {
                    Reply::Recorded
                }
                _ => Reply::NotHolder,
            },
        }
    }
}

/// A ledger as one agent reaches it.
pub struct Shared(pub Arc<TestLedger>);

impl Ledger for Shared {
    fn write(
        &self,
        write: Write,
        deadline: Duration,
    ) -> BoxFuture<'static, Result<Reply, peer::Error>> {
        let ledger = self.0.clone();
        Box::pin(async move {
            let fault = ledger.hook.lock().as_ref().and_then(|hook| hook(&write));
            let reply = match fault {
                None => return Ok(ledger.apply(&write)),
                Some(Fault::Unanswered) => Some(ledger.apply(&write)),
                Some(Fault::Lost) => None,
            };
            drop(reply);
            time::sleep(deadline.min(Duration::from_millis(100))).await;
            Err(peer::Error::Unreachable {
                step: peer::error::Step::Call("ledger"),
                millis: 100,
            })
        })
    }
}

/// A spool that holds what tests put there.
pub struct TestDepot {
    pub table: watch::Sender<Arc<Table>>,
    pub wanted: Mutex<BTreeMap<artifact::Id, Pin>>,
    pub in_use: Mutex<Vec<artifact::Id>>,
}

impl TestDepot {
    pub fn new() -> Arc<Self> {
        Arc::new(Self {
            table: watch::Sender::default(),
            wanted: Mutex::default(),
            in_use: Mutex::default(),
        })
    }

    pub fn hold(&self, version: &Version) {
        self.table.send_modify(|table| {
            let mut next = Table::clone(table);
            next.insert(
                version.id.clone(),
                Progress::Held(Arc::new(version.files.clone())),
            );
            *table = Arc::new(next);
        });
    }
}

impl Depot for TestDepot {
    fn want(&self, wanted: BTreeMap<artifact::Id, Pin>) {
        *self.wanted.lock() = wanted;
    }

    fn set_in_use(&self, in_use: Vec<artifact::Id>) {
        *self.in_use.lock() = in_use;
    }

    fn table(&self) -> watch::Receiver<Arc<Table>> {
        self.table.subscribe()
    }
}

/// A version with its files.
pub struct Version {
    pub id: artifact::Id,
    pub files: Files,
    pub pin: Pin,
    _folder: tempfile::TempDir,
}

impl Version {
    pub fn new(name: &str, version: &str) -> Self {
        let folder = tempfile::tempdir().unwrap();
        let id = artifact::Id::new(name, version);
        let contents: Vec<Vec<u8>> = (0..3u8)
            .map(|i| format!("{id}/{i}").repeat(100).into_bytes())
            .collect();
        let chunks: Vec<_> = contents
            .iter()
            .map(|content| Chunk {
                digest: Digest::of(content),
                bytes: u32::try_from(content.len()).unwrap(),
            })
            .collect();
        let paths: Vec<PathBuf> = contents
            .iter()
            .enumerate()
            .map(|(i, content)| {
                let path = folder.path().join(i.to_string());
                std::fs::write(&path, content).unwrap();
                path
            })
            .collect();
        let manifest = Manifest {
            artifact: id.clone(),
            chunks,
        };
        let bytes = serde_json::to_vec(&manifest).unwrap();
        let path = folder.path().join("manifest");
        std::fs::write(&path, &bytes).unwrap();
        Self {
            pin: Pin {
                digest: Digest::of(&bytes),
                total_bytes: manifest.total_bytes(),
                chunks: 3,
            },
            files: Files {
                manifest: path,
                chunks: paths,
            },
            id,
            _folder: folder,
        }
    }

    pub fn rollout(&self, stage: Stage, index: u64) -> Record {
        Record::Rollout(Rollout {
            artifact: self.id.clone(),
            pin: self.pin,
            stage,
            fence: Fence { term: 1, index },
        })
    }
}

/// An agent with all that surrounds it.
pub struct Agent {
    pub daemon: Option<Daemon>,
    pub clock: Arc<TestClock>,
    pub feed: Arc<TestFeed>,
    pub ledger: Arc<TestLedger>,
    pub depot: Arc<TestDepot>,
    pub presence: watch::Receiver<Option<Arc<Vm>>>,
}

/// Settings of an agent beside an engine.
pub fn engine_settings(upstream: SocketAddr) -> serde_json::Value {
    serde_json::json!({
        "place": {"vm": "upstream-1", "zone": "saldanha", "region": "western-cape"},
        "secret_file": "secret",
        "control": ["127.0.0.1:1"],
        "call_listen": "127.51.0.1:0",
        "chunk_listen": "127.51.0.1:1",
        "status_listen": "127.51.0.1:2",
        "upstream": {"engine": {"checks_fencing": false}},
        "upstream_addr": upstream,
        "gate": {"progress_timeout_ms": 500},
        "weights": {"spool": "spool", "origin": "127.0.0.1:1"},
    })
}

/// Settings of an agent beside a plain service.
pub fn service_settings(upstream: SocketAddr) -> serde_json::Value {
    let mut value = engine_settings(upstream);
    value["upstream"] = serde_json::json!({"service": {"name": "booking"}});
    value["weights"] = serde_json::Value::Null;
    value
}

impl Agent {
    pub async fn start(settings: serde_json::Value) -> Self {
        Self::start_with(settings, Arc::default(), Memory::open(None, 1).unwrap()).await
    }

    pub async fn start_with(
        settings: serde_json::Value,
        ledger: Arc<TestLedger>,
        memory: Memory,
    ) -> Self {
        let settings = settings::file::check(settings).unwrap();
        let clock = Arc::new(TestClock::default());
        let feed = TestFeed::new(clock.clone());
        let depot = TestDepot::new();
        let (presence, reports) = watch::channel(None);
        let registry = telemetry::metrics::Metrics::new().unwrap();
        let daemon = Daemon::start(
            &settings,
            Surroundings {
                clock: clock.clone(),
                feed: feed.clone(),
                ledger: Arc::new(Shared(ledger.clone())),
                depot: Some(depot.clone()),
                presence,
                memory,
                secret: SECRET.as_bytes().into(),
                metrics: Metrics::new(&registry.meter("agent")),
                log: telemetry::log::discard(),
            },
        )
        .await
        .unwrap();
        feed.set(vec![customer("vaalkop", "large"), plan("large", 100)]);
        Self {
            daemon: Some(daemon),
            clock,
            feed,
            ledger,
            depot,
            presence: reports,
        }
    }

    pub fn daemon(&self) -> &Daemon {
        self.daemon.as_ref().unwrap()
    }

    pub fn addr(&self) -> SocketAddr {
        self.daemon().call_addr()
    }

    /// Puts a version into the spool and rolls it out, then waits until it is served.
    pub async fn serve(&self, version: &Version) {
        self.depot.hold(version);
        self.feed.set(vec![version.rollout(Stage::Ready, 1)]);
        self.wait_served(&version.id).await;
    }

    pub async fn wait_served(&self, id: &artifact::Id) {
        let site = self.daemon().site();
        wait(|| site.served.load().contains_key(id)).await;
        wait(|| site.lifecycle().is_serving()).await;
    }

    /// Waits until the service beside the agent answers.
    pub async fn wait_alive(&self) {
        let site = self.daemon().site();
        wait(|| site.lifecycle().is_serving()).await;
    }

    pub async fn client(&self) -> Client {
        Client::open(self.addr()).await
    }
}

pub fn customer(name: &str, plan: &str) -> Record {
    Record::Customer(lists::Customer {
        name: name.into(),
        plan: plan.into(),
        key_digests: Vec::new(),
    })
}

pub fn plan(name: &str, share: u32) -> Record {
    Record::Plan(lists::Plan {
        name: name.into(),
        share,
        models: Vec::new(),
        services: Vec::new(),
    })
}

/// Waits for a condition.
pub async fn wait(is_done: impl Fn() -> bool) {
    let begin = time::Instant::now();
    while !is_done() {
        assert!(begin.elapsed() < LIMIT, "not so after {LIMIT:?}");
        time::sleep(Duration::from_millis(2)).await;
    }
}
