//! A feed whose age and records the test sets, and a ledger in memory.

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use domain::{
    artifact,
    call::Attempt,
    clock::Clock,
    digest::Digest,
    edit::Revision,
    ledger::{Answer, Key, Reply, Write},
    lists, manifest, name,
    order::Fence,
    record::{Batch, Cursor, Delta, Record},
    rollout::{Rollout, Stage},
    vm::{Announcement, Holding, Lifecycle, Status, Upstream, Vm},
};
use entry::control::Control;
use futures::future::BoxFuture;
use host::clock::Boot;
use parking_lot::Mutex;
use peer::uplink::Feed;
use policy::{age::Bound, view::View};

use super::KEY;

pub struct Fake {
    view: Mutex<Arc<View>>,
    age: Mutex<Option<Duration>>,
    is_ledger_up: AtomicBool,
    ledger: Mutex<HashMap<Key, Call>>,
    change: Mutex<Option<Change>>,
}

/// Something that happens between two reads of the feed.
struct Change {
    reads_left: usize,
    apply: Box<dyn FnOnce(&Fake) + Send>,
}

#[derive(Clone, Debug, Default)]
struct Call {
    body: Option<Digest>,
    abandoned: HashSet<Attempt>,
    started: Option<Attempt>,
    answer: Option<Answer>,
}

impl Fake {
    /// One customer on the plan `clerks`, which may use `tide@2`, `tide@1` and the service
    /// `booking`; both versions are ready.
    pub fn new() -> Arc<Self> {
        let fake = Arc::new(Self {
            view: Mutex::default(),
            age: Mutex::new(Some(Duration::ZERO)),
            is_ledger_up: AtomicBool::new(true),
            ledger: Mutex::default(),
            change: Mutex::new(None),
        });
        fake.set(Record::Customer(lists::Customer {
            name: name::Customer::new("vaalkop"),
            plan: name::Plan::new("clerks"),
            key_digests: vec![Digest::of(KEY.as_bytes())],
        }));
        fake.set_versions(&["2", "1"]);
        for version in ["1", "2"] {
            fake.set(Record::Rollout(Rollout {
                artifact: artifact::Id::new("tide", version),
                pin: manifest::Pin {
                    digest: Digest::of(b""),
                    total_bytes: 0,
                    chunks: 0,
                },
                stage: Stage::Ready,
                fence: Fence::default(),
            }));
        }
        fake
    }

    pub fn set_versions(&self, versions: &[&str]) {
        self.set(Record::Plan(lists::Plan {
            name: name::Plan::new("clerks"),
            share: 1,
            models: vec![lists::Grant {
                model: name::Artifact::new("tide"),
                versions: versions.iter().map(|v| name::Version::new(*v)).collect(),
                adapters: Vec::new(),
            }],
            services: vec![name::Service::new("booking")],
        }));
    }

    pub fn set(&self, record: Record) {
        self.apply(Delta::Set(record));
    }

    pub fn apply(&self, delta: Delta) {
        let mut slot = self.view.lock();
        let mut view = View::clone(&slot);
        view.apply(Batch {
            is_snapshot: false,
            deltas: vec![delta],
            revision: Revision(view.revision.0 + 1),
            commit: view.commit + 1,
            cursor: Cursor::default(),
            age_ms: 0,
            held_ms: 0,
        })
        .unwrap();
        *slot = Arc::new(view);
    }

    /// Announces an engine that serves both versions.
    pub fn add_engine(&self, vm: &str, zone: &str, addr: SocketAddr) {
        self.add_engine_with(vm, zone, addr, &["1", "2"]);
    }

    pub fn add_engine_with(&self, vm: &str, zone: &str, addr: SocketAddr, versions: &[&str]) {
        let engine = Upstream::Engine {
            checks_fencing: true,
        };
        let served = versions.iter().map(|v| artifact::Id::new("tide", *v));
        let holdings = served.map(|id| (id, Holding::Serving)).collect();
        self.add(vm, zone, addr, engine, holdings);
    }

    pub fn add_service(&self, vm: &str, zone: &str, addr: SocketAddr) {
        let service = Upstream::Service {
            name: name::Service::new("booking"),
        };
        self.add(vm, zone, addr, service, BTreeMap::new());
    }

    fn add(
        &self,
        vm: &str,
        zone: &str,
        addr: SocketAddr,
        upstream: Upstream,
        holdings: BTreeMap<artifact::Id, Holding>,
    ) {
        self.set(Record::Vm(Box::new(Vm {
            announcement: Announcement {
                vm: name::Vm::new(vm),
                zone: name::AvailabilityZone::new(zone),
                region: name::Region::new("western-cape"),
                incarnation: 1,
                call_addr: addr,
                chunk_addr: addr,
                upstream,
            },
            status: Status {
                lifecycle: Lifecycle::Warm,
                holdings,
                fence: Fence::default(),
                limit: 8,
            },
        })));
    }

    pub fn zone_out(&self, zone: &str) {
        self.set(Record::ZoneOut(name::AvailabilityZone::new(zone)));
    }

    pub fn drain(&self, vm: &str) {
        self.set(Record::Drain(name::Vm::new(vm)));
    }

    pub fn zone_in(&self, zone: &str) {
        let zone = name::AvailabilityZone::new(zone);
        self.apply(Delta::Remove(domain::record::Key::ZoneOut(zone)));
    }

    pub fn set_age(&self, age: Option<Duration>) {
        *self.age.lock() = age;
    }

    /// Applies a change after so many further reads of the feed: at exactly that step of a call.
    pub fn after_reads(&self, reads: usize, apply: impl FnOnce(&Self) + Send + 'static) {
        *self.change.lock() = Some(Change {
            reads_left: reads,
            apply: Box::new(apply),
        });
    }

    fn count_read(&self) {
        let due = {
            let mut slot = self.change.lock();
            match slot.as_mut() {
                Some(change) if change.reads_left > 0 => {
                    change.reads_left -= 1;
                    None
                }
                _ => slot.take(),
            }
        };
        if let Some(change) = due {
            (change.apply)(self);
        }
    }

    pub fn set_ledger_up(&self, is_up: bool) {
        self.is_ledger_up.store(is_up, Ordering::SeqCst);
    }

    /// What an agent asks of the ledger. Only the rules that matter to the entry are kept.
    pub fn write(&self, write: Write) -> Reply {
        let mut ledger = self.ledger.lock();
        match write {
            Write::Start {
                key, attempt, body, ..
            } => {
                let call = ledger.entry(key).or_default();
                match (&call.answer, call.started) {
                    _ if call.body.is_some_and(|known| known != body) => Reply::Mismatch,
                    (Some(answer), Some(attempt)) => Reply::Finished {
                        attempt,
                        answer: answer.clone(),
                    },
                    (_, Some(attempt)) => Reply::Started { attempt },
                    _ if call.abandoned.contains(&attempt) => Reply::Abandoned,
                    _ => {
                        call.body = Some(body);
                        call.started = Some(attempt);
                        Reply::Granted
                    }
                }
            }
            Write::Abandon { key, attempt, body } => {
                let call = ledger.entry(key).or_default();
                match (&call.answer, call.started) {
                    _ if call.body.is_some_and(|known| known != body) => Reply::Mismatch,
                    (Some(answer), Some(attempt)) => Reply::Finished {
                        attempt,
                        answer: answer.clone(),
                    },
                    (_, Some(attempt)) => Reply::Started { attempt },
                    _ => {
                        call.body = Some(body);
                        call.abandoned.insert(attempt);
                        Reply::Recorded
                    }
                }
            }
            Write::Finish { key, answer, .. } => {
                ledger.entry(key).or_default().answer = Some(answer);
                Reply::Recorded
            }
            Write::Release { .. } => Reply::NotHolder,
        }
    }
}

impl Control for Fake {
    fn feed(&self) -> Arc<Feed> {
        self.count_read();
        let now = Boot.now();
        let bound = match *self.age.lock() {
            Some(age) => Bound::new(now, age),
            None => Bound::UNKNOWN,
        };
        Arc::new(Feed {
            view: self.view.lock().clone(),
            bound,
            targets: Arc::default(),
        })
    }

    fn ledger(
        &self,
        write: Write,
        deadline: Duration,
    ) -> BoxFuture<'_, Result<Reply, peer::Error>> {
        Box::pin(async move {
            if self.is_ledger_up.load(Ordering::SeqCst) {
                return Ok(self.write(write));
            }
            tokio::time::sleep(deadline).await;
            Err(peer::Error::Unreachable {
                step: peer::error::Step::Call("ledger"),
                millis: 0,
            })
        })
    }
}
