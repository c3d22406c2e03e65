//! An agent beside a simulated engine, with an origin and an operator, in time that the tests set.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet},
    future::Future,
    ops::Range,
    rc::Rc,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use domain::{
    clock::{Clock, Instant},
    digest::Digest,
    name,
    record::Routing,
    routing::{Engine as Model, Limits, Service},
    vm::{Announcement, Lifecycle, Status, Upstream, Vm},
};
use futures::FutureExt;
use peer::{connection::Dialer, uplink::Feed};
use policy::{age::Bound, loading::Reply, owner::Member, view::View};
use stager::{
    Given, Stager,
    load::Reporter,
    port::{Answer, Engine, Error, Figures, Manifest, Origin, Report},
};
use tokio::{sync::watch, task, time};

pub(crate) const CHUNKS: usize = 12;
pub(crate) const LIMIT: Duration = Duration::from_secs(8);

pub(crate) fn chunk(version: u64, index: usize) -> Bytes {
    format!("{version}/{index}").into()
}

/// How many layers the model has.
pub(crate) const LAYERS: u32 = 2;
/// How long a VM is suspended.
pub(crate) const FREEZE: Duration = Duration::from_secs(4);
/// How long a chunk may have been spoilt when it is loaded.
pub(crate) const EXCUSE: Duration = Duration::from_secs(3);

/// Time that stands still while something is to be done. A suspended VM also loses time in which
/// timers don't run.
pub(crate) struct Paused {
    begun_at: time::Instant,
    suspended_ms: AtomicU64,
}

impl Paused {
    fn new() -> Self {
        Self {
            begun_at: time::Instant::now(),
            suspended_ms: AtomicU64::default(),
        }
    }

    fn suspend(&self, span: Duration) {
        let millis = span.as_millis() as u64;
        self.suspended_ms.fetch_add(millis, Ordering::Relaxed);
    }
}

impl Clock for Paused {
    fn now(&self) -> Instant {
        let suspended = Duration::from_millis(self.suspended_ms.load(Ordering::Relaxed));
        Instant::from_millis(60_000) + self.begun_at.elapsed() + suspended
    }

    fn wall_ms(&self) -> u64 {
        0
    }
}

/// A step of the agent during which its VM is suspended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Step {
    /// Before a chunk is read back.
    Read(usize),
    /// After the last chunk was read back.
    Notice,
    /// While the order is on its way.
    Order,
    /// After the engine accepted the order and before its answer comes.
    Answer,
    /// After the answer.
    Load,
}

/// A suspension that is still to come: staged chunks turn bad at its beginning.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Suspension {
    pub(crate) step: Step,
    /// Whether the answer to an order is lost by it.
    pub(crate) is_answer_lost: bool,
}

/// The engine, the origin and the operator.
pub(crate) struct World {
    pub(crate) clock: Arc<Paused>,
    /// Whether an order may come while a staged chunk is spoilt.
    pub(crate) may_load_spoilt: Cell<bool>,
    pub(crate) suspension: Cell<Option<Suspension>>,
    /// When staged chunks turned bad.
    pub(crate) spoilt_at: RefCell<BTreeMap<usize, Instant>>,
    /// The layers that the engine holds, and whether each was loaded from whole chunks.
    pub(crate) layers: RefCell<BTreeMap<u32, bool>>,
    /// Whether an order is in progress.
    pub(crate) is_busy: Cell<bool>,
    /// How many orders were begun.
    pub(crate) orders: Cell<u64>,
    pub(crate) presence: watch::Receiver<Option<Arc<Vm>>>,
    pub(crate) staged: RefCell<BTreeMap<usize, Bytes>>,
    pub(crate) serving: Cell<u64>,
    /// The versions that it was ordered to load.
    pub(crate) loads: RefCell<Vec<u64>>,
    pub(crate) is_origin_up: Cell<bool>,
    /// Chunks that the origin spoils once.
    pub(crate) spoils: RefCell<BTreeSet<usize>>,
    pub(crate) target: Cell<u64>,
    /// Whether the engine's service is shared by priority.
    pub(crate) is_shared: Cell<bool>,
    /// How often figures of the engine were read for load reports.
    pub(crate) reads: Cell<u32>,
    /// Whether the engine says how loaded it is.
    pub(crate) has_figures: Cell<bool>,
}

impl World {
    pub(crate) fn failed<T>() -> Result<T, Error> {
        Err(Error {
            step: "reach the origin",
            reason: "down".to_owned(),
        })
    }

    pub(crate) async fn after(&self, millis: u64) {
        time::sleep(Duration::from_millis(millis)).await;
    }

    /// Suspends the VM if that is due at this step. Returns whether the answer to an order is lost.
    pub(crate) fn reach(&self, step: Step) -> bool {
        let Some(suspension) = self.suspension.get().filter(|next| next.step == step) else {
            return false;
        };
        self.suspension.set(None);
        self.rot(3);
        self.clock.suspend(FREEZE);
        suspension.is_answer_lost
    }

    /// A staged chunk turns bad.
    pub(crate) fn rot(&self, index: usize) {
        let bad = Bytes::from_static(b"rot");
        self.staged.borrow_mut().insert(index, bad);
        self.spoilt_at.borrow_mut().insert(index, self.clock.now());
    }

    /// Whether a chunk is whole, or has not been spoilt for long.
    pub(crate) fn is_whole(&self, version: u64, index: usize) -> bool {
        let spoilt_at = self.spoilt_at.borrow().get(&index).copied();
        let is_excused = spoilt_at.is_some_and(|at| self.clock.now().since(at) <= EXCUSE);
        is_excused || self.staged.borrow().get(&index) == Some(&chunk(version, index))
    }

    /// Loads layers from what is staged now, and gives the others up.
    pub(crate) fn load(&self, version: u64, wanted: Range<u32>) -> Reply {
        for index in (0..CHUNKS).filter(|_| !self.may_load_spoilt.get()) {
            let staged = self.staged.borrow().get(&index).cloned();
            assert_eq!(staged, Some(chunk(version, index)), "version {version}");
        }
        let is_same = self.serving.get() == version;
        let old = match is_same {
            true => self.layers.take(),
            false => BTreeMap::new(),
        };
        let kept = old
            .clone()
            .into_iter()
            .filter(|(layer, _)| wanted.contains(layer));
        let mut layers: BTreeMap<u32, bool> = kept.collect();
        let share = CHUNKS / LAYERS as usize;
        for layer in wanted.clone() {
            let chunks = layer as usize * share..(layer as usize + 1) * share;
            let is_whole = || chunks.clone().all(|index| self.is_whole(version, index));
            layers.entry(layer).or_insert_with(is_whole);
        }
        let reply = match layers == old {
            true => Reply::InEffect,
            false => Reply::Begun,
        };
        self.layers.replace(layers);
        self.serving.set(version);
        let begun = u64::from(reply == Reply::Begun);
        self.orders.set(self.orders.get() + begun);
        reply
    }

    /// Whether the engine serves whole layers, or entries are told not to use it.
    pub(crate) fn is_sound(&self) -> bool {
        !self.is_used() || self.layers.borrow().values().all(|is_whole| *is_whole)
    }

    /// Whether the engine holds every layer.
    pub(crate) fn is_complete(&self) -> bool {
        self.layers.borrow().len() == LAYERS as usize
    }

    /// Whether the engine holds every layer, and entries are told to use it.
    pub(crate) fn is_used(&self) -> bool {
        let presence = self.presence.borrow();
        let is_warm = presence
            .as_ref()
            .is_some_and(|vm| vm.status.lifecycle == Lifecycle::Warm);
        is_warm && self.is_complete()
    }

    /// Whether the engine serves a version and is used.
    pub(crate) fn is_in_use(&self, version: u64) -> bool {
        self.is_used() && self.serving.get() == version
    }
}

pub(crate) struct Side(Rc<World>);

impl Engine for Side {
    fn report(&self, layers: u32) -> Answer<'_, Report> {
        async move {
            // Only the reader of figures does not ask which version is served.
            self.0
                .reads
                .set(self.0.reads.get() + u32::from(layers == 0));
            let serving = self
                .0
                .is_complete()
                .then(|| ("m".into(), self.0.serving.get()));
            Ok(Report {
                serving: serving.into_iter().collect(),
                is_busy: self.0.is_busy.get(),
                orders: Some(self.0.orders.get()),
                figures: self.0.has_figures.get().then_some(Figures {
                    active: 5,
                    queued: 2,
                    kv_used: 30,
                    kv_total: 40,
                    pace: 1.25,
                }),
            })
        }
        .boxed_local()
    }

    fn staged<'a>(&'a self, _: &'a name::Artifact) -> Answer<'a, Vec<usize>> {
        async move { Ok(self.0.staged.borrow().keys().copied().collect()) }.boxed_local()
    }

    fn read<'a>(&'a self, _: &'a name::Artifact, index: usize) -> Answer<'a, Option<Bytes>> {
        async move {
            self.0.reach(Step::Read(index));
            let read = self.0.staged.borrow().get(&index).cloned();
            if index == CHUNKS - 1 {
                self.0.reach(Step::Notice);
            }
            Ok(read)
        }
        .boxed_local()
    }

    fn write<'a>(&'a self, _: &'a name::Artifact, index: usize, chunk: Bytes) -> Answer<'a, ()> {
        async move {
            self.0.spoilt_at.borrow_mut().remove(&index);
            self.0.staged.borrow_mut().insert(index, chunk);
            Ok(())
        }
        .boxed_local()
    }

    fn load<'a>(
        &'a self,
        _: &'a name::Artifact,
        version: u64,
        layers: Range<u32>,
        count: u32,
    ) -> Answer<'a, Reply> {
        async move {
            assert_eq!(count, LAYERS);
            // The order is on its way for a while, and takes what lies staged when it arrives.
            self.0.after(30).await;
            let mut is_lost = self.0.reach(Step::Order);
            let reply = self.0.load(version, layers.clone());
            if layers == (0..count) && reply == Reply::Begun {
                self.0.loads.borrow_mut().push(version);
            }
            is_lost |= self.0.reach(Step::Answer);
            match is_lost {
                true => World::failed(),
                false => Ok(reply),
            }
        }
        .boxed_local()
    }
}

impl Origin for Side {
    fn manifest<'a>(&'a self, _: &'a name::Artifact, version: u64) -> Answer<'a, Manifest> {
        async move {
            self.0.after(20).await;
            match self.0.is_origin_up.get() {
                false => World::failed(),
                true => Ok(Manifest {
                    version,
                    chunk_bytes: 8,
                    digests: (0..CHUNKS)
                        .map(|i| Digest::of(&chunk(version, i)))
                        .collect(),
                }),
            }
        }
        .boxed_local()
    }

    fn chunk<'a>(&'a self, _: &'a name::Artifact, version: u64, index: usize) -> Answer<'a, Bytes> {
        async move {
            self.0.after(80).await;
            let is_spoilt = self.0.spoils.borrow_mut().remove(&index);
            match (self.0.is_origin_up.get(), is_spoilt) {
                (false, _) => World::failed(),
                (true, true) => Ok(Bytes::from_static(b"spoilt")),
                (true, false) => Ok(chunk(version, index)),
            }
        }
        .boxed_local()
    }

    fn digest(&self, bytes: &[u8]) -> Digest {
        Digest::of(bytes)
    }
}

pub(crate) fn view(target: u64, is_shared: bool) -> View {
    let service = |name: &str, engine, origin| Service {
        name: name.into(),
        max_connections: 8,
        cold: None,
        engine,
        origin,
    };
    let model = Model {
        models: vec!["m".into()],
        slots: 2,
        stride: 1,
        step_us: 1,
        sequence_ns: 1,
        context_ns: 1,
        read_per_s: 1_000,
        read_chunk: 1,
        memory_tokens: 1,
        usual_prompt: 1,
        usual_answer: 1,
        layers: LAYERS,
        chunks: CHUNKS as u32,
        chunk_bytes: 8,
        load_ms: 1,
    };
    let services = [
        service("engines", Some(model), None),
        service("origin", None, Some(([127, 0, 0, 1], 1).into())),
    ];
    let mut view = View::default();
    for service in services {
        view.services
            .insert(service.name.clone(), Arc::new(service));
    }
    view.targets.insert("m".into(), target);
    view.routing = Some(Routing {
        version: 1,
        limits: Limits::default(),
        has_callers: false,
        shared: is_shared.then(|| "engines".into()).into_iter().collect(),
    });
    view.vms.insert("entry".into(), Arc::new(entry()));
    view
}

/// The entry to which the agent reports.
pub(crate) fn entry() -> Vm {
    let address = ([127, 0, 0, 1], 2).into();
    Vm {
        announcement: Announcement {
            vm: "entry".into(),
            zone: "z".into(),
            region: "r".into(),
            incarnation: 1,
            call_addr: address,
            chunk_addr: address,
            upstream: Upstream::Entry,
        },
        status: Status {
            lifecycle: Lifecycle::Announced,
            holdings: Default::default(),
            fence: Default::default(),
            limit: 0,
        },
    }
}

/// The agent beside the engine.
pub(crate) fn agent() -> Vm {
    let mut agent = entry();
    agent.announcement.vm = "agent".into();
    agent.announcement.upstream = Upstream::Engine {
        checks_fencing: false,
    };
    agent
}

/// Runs a test with an agent beside an engine that serves version 1.
pub(crate) fn run<F: Future<Output = ()>>(test: impl FnOnce(Rc<World>) -> F) {
    run_with_load(async |world, _| test(world).await);
}

/// The same, with the agent's load reports.
pub(crate) fn run_with_load<F: Future<Output = ()>>(
    test: impl FnOnce(Rc<World>, Rc<Reporter>) -> F,
) {
    run_beside(false, test);
}

/// The same, beside an engine that is or is not still loading what an earlier agent ordered.
pub(crate) fn run_beside<F: Future<Output = ()>>(
    is_busy: bool,
    test: impl FnOnce(Rc<World>, Rc<Reporter>) -> F,
) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build()
        .unwrap();
    task::LocalSet::new().block_on(&runtime, async {
        let clock = Arc::new(Paused::new());
        let (sender, presence) = watch::channel(Some(Arc::new(agent())));
        let world = Rc::new(World {
            clock: clock.clone(),
            may_load_spoilt: Cell::new(is_busy),
            suspension: Cell::default(),
            spoilt_at: RefCell::default(),
            layers: RefCell::new((0..LAYERS).map(|layer| (layer, true)).collect()),
            is_busy: Cell::new(is_busy),
            orders: Cell::default(),
            presence,
            staged: RefCell::new((0..CHUNKS).map(|i| (i, chunk(1, i))).collect()),
            serving: Cell::new(1),
            loads: RefCell::default(),
            is_origin_up: Cell::new(true),
            spoils: RefCell::default(),
            target: Cell::new(1),
            is_shared: Cell::new(false),
            reads: Cell::new(0),
            has_figures: Cell::new(true),
        });
        let (operator, origin, now) = (world.clone(), world.clone(), clock.clone());
        let stager = Stager::new(Given {
            me: Member {
                vm: "agent".into(),
                zone: "z".into(),
                region: "r".into(),
            },
            service: "engines".into(),
            clock,
            state: Rc::new(move || {
                Arc::new(Feed {
                    view: Arc::new(view(operator.target.get(), operator.is_shared.get())),
                    bound: Bound::new(now.now(), Duration::ZERO),
                    targets: Arc::default(),
                })
            }),
            engine: Rc::new(Side(world.clone())),
            origin: Rc::new(move |_| Rc::new(Side(origin.clone()))),
            dialer: Dialer::new(b"secret".as_slice()),
            presence: sender,
            link_bytes_per_s: 1_000_000,
            limit: LIMIT,
            logger: telemetry::log::discard(),
        });
        let reporter = Reporter::new(stager.clone(), ([127, 0, 0, 1], 3).into(), 1);
        task::spawn_local(stager.run());
        task::spawn_local(reporter.clone().run());
        world.after(1_000).await;
        test(world, reporter).await;
    });
}
