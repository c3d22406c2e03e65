//! One agent beside one engine, with an origin that goes down and spoils chunks, in time that the
//! tests set.

#![allow(clippy::unwrap_used)]

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet},
    future::Future,
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use bytes::Bytes;
use domain::{
    clock::{Clock, Instant},
    digest::Digest,
    load::{self, Content},
    name,
    record::Routing,
    routing::{Engine as Model, Limits, Service},
    vm::{Announcement, Lifecycle, Status, Upstream, Vm},
};
use futures::FutureExt;
use peer::{connection::Dialer, load::Node, uplink::Feed};
use policy::{age::Bound, owner::Member, view::View};
use stager::{
    Given, Stager,
    load::Reporter,
    port::{Answer, Engine, Error, Figures, Manifest, Origin, Report},
};
use tokio::{sync::watch, task, time};

const CHUNKS: usize = 12;
const LIMIT: Duration = Duration::from_secs(8);

fn chunk(version: u64, index: usize) -> Bytes {
    format!("{version}/{index}").into()
}

/// Time that stands still while something is to be done.
struct Paused(time::Instant);

impl Clock for Paused {
    fn now(&self) -> Instant {
        Instant::from_millis(60_000) + self.0.elapsed()
    }

    fn wall_ms(&self) -> u64 {
        0
    }
}

/// The engine, the origin and the operator.
struct World {
    staged: RefCell<BTreeMap<usize, Bytes>>,
    serving: Cell<u64>,
    /// The versions that it was ordered to load.
    loads: RefCell<Vec<u64>>,
    is_origin_up: Cell<bool>,
    /// Chunks that the origin spoils once.
    spoils: RefCell<BTreeSet<usize>>,
    target: Cell<u64>,
    /// Whether the engine's service is shared by priority.
    is_shared: Cell<bool>,
    /// How often figures of the engine were read for load reports.
    reads: Cell<u32>,
    /// Whether the engine says how loaded it is.
    has_figures: Cell<bool>,
}

impl World {
    fn failed<T>() -> Result<T, Error> {
        Err(Error {
            step: "reach the origin",
            reason: "down".to_owned(),
        })
    }

    async fn after(&self, millis: u64) {
        time::sleep(Duration::from_millis(millis)).await;
    }
}

struct Side(Rc<World>);

impl Engine for Side {
    fn report(&self, layers: u32) -> Answer<'_, Report> {
        async move {
            // Only the reader of figures does not ask which version is served.
            self.0
                .reads
                .set(self.0.reads.get() + u32::from(layers == 0));
            Ok(Report {
                serving: vec![("m".into(), self.0.serving.get())],
                is_busy: false,
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
        async move { Ok(self.0.staged.borrow().get(&index).cloned()) }.boxed_local()
    }

    fn write<'a>(&'a self, _: &'a name::Artifact, index: usize, chunk: Bytes) -> Answer<'a, ()> {
        async move {
            self.0.staged.borrow_mut().insert(index, chunk);
            Ok(())
        }
        .boxed_local()
    }

    fn load<'a>(&'a self, _: &'a name::Artifact, version: u64) -> Answer<'a, ()> {
        async move {
            // The order is on its way for a while, and takes what lies staged when it arrives.
            self.0.after(30).await;
            for index in 0..CHUNKS {
                let staged = self.0.staged.borrow().get(&index).cloned();
                assert_eq!(staged, Some(chunk(version, index)), "version {version}");
            }
            self.0.loads.borrow_mut().push(version);
            self.0.serving.set(version);
            Ok(())
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

fn view(target: u64, is_shared: bool) -> View {
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
        layers: 1,
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
fn entry() -> Vm {
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

/// Runs a test with an agent beside an engine that serves version 1.
fn run<F: Future<Output = ()>>(test: impl FnOnce(Rc<World>) -> F) {
    run_with_load(async |world, _| test(world).await);
}

/// The same, with the agent's load reports.
fn run_with_load<F: Future<Output = ()>>(test: impl FnOnce(Rc<World>, Rc<Reporter>) -> F) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build()
        .unwrap();
    task::LocalSet::new().block_on(&runtime, async {
        let world = Rc::new(World {
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
        let clock = Arc::new(Paused(time::Instant::now()));
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
                })
            }),
            engine: Rc::new(Side(world.clone())),
            origin: Rc::new(move |_| Rc::new(Side(origin.clone()))),
            dialer: Dialer::new(b"secret".as_slice()),
            presence: watch::channel(None).0,
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

#[test]
fn a_version_that_is_named_is_served_in_time() {
    run(async |world| {
        world.target.set(2);
        time::sleep(LIMIT).await;
        assert_eq!(*world.loads.borrow(), [2]);
    });
}

#[test]
fn an_overtaken_version_is_passed_over_when_the_next_one_comes_in_time() {
    run(async |world| {
        world.target.set(2);
        world.after(800).await;
        world.target.set(3);
        time::sleep(LIMIT).await;
        assert_eq!(*world.loads.borrow(), [3]);
    });
}

#[test]
fn chunks_that_turn_bad_beside_the_engine_are_staged_again() {
    run(async |world| {
        world.target.set(2);
        world.after(2_000).await;
        for index in 0..CHUNKS {
            world
                .staged
                .borrow_mut()
                .insert(index, Bytes::from_static(b"rot"));
        }
        // Its turn comes 2.56 s after it was named.
        world.after(1_300).await;
        assert_eq!(*world.loads.borrow(), [2]);
    });
}

#[test]
fn chunks_that_the_origin_spoils_are_drawn_again() {
    run(async |world| {
        world.spoils.borrow_mut().extend([0, 3, 7]);
        world.target.set(2);
        time::sleep(LIMIT).await;
        assert_eq!(*world.loads.borrow(), [2]);
    });
}

#[test]
fn an_origin_that_is_back_is_asked_soon() {
    run(async |world| {
        world.target.set(2);
        world.after(300).await;
        world.is_origin_up.set(false);
        world.after(4_350).await;
        world.is_origin_up.set(true);
        world.after(1_600).await;
        assert_eq!(*world.loads.borrow(), [2]);
    });
}

/// The newest report that the agent would send now.
fn reported(reporter: &Reporter) -> Option<load::Engine> {
    let sent = reporter.take().pop()?;
    assert_eq!(sent.receivers, [entry().announcement.chunk_addr]);
    match sent.report.content {
        Content::Engine(engine) => Some(engine),
        other => panic!("{other:?}"),
    }
}

/// Guards against reads of the engine and reports in deployments that don't share by priority, and
/// against reports of old figures while the engine can't be read.
#[test]
fn engine_is_read_and_reported_only_while_its_service_is_shared() {
    run_with_load(async |world, reporter| {
        assert_eq!((world.reads.get(), reported(&reporter)), (0, None));
        world.is_shared.set(true);
        world.after(1_000).await;
        let expected = load::Engine {
            address: ([127, 0, 0, 1], 3).into(),
            active: 5,
            queued: 2,
            pace_percent: 125,
            memory_percent: 75,
            moves_in_ms: None,
        };
        assert_eq!(reported(&reporter), Some(expected));
        assert_eq!(reported(&reporter), None, "it is not due yet");
        world.has_figures.set(false);
        world.after(1_000).await;
        assert_eq!(reported(&reporter), None, "there are no figures");
        world.is_shared.set(false);
        let reads = world.reads.get();
        world.after(1_000).await;
        assert!(world.reads.get() <= reads + 1);
    });
}

/// Guards against entries that learn of a switch of versions only when the engine refuses.
#[test]
fn switch_of_versions_is_announced_before_it_comes() {
    run_with_load(async |world, reporter| {
        world.is_shared.set(true);
        world.target.set(2);
        let mut announced = Vec::new();
        while world.loads.borrow().is_empty() {
            world.after(100).await;
            let engine = reported(&reporter);
            announced.extend(engine.and_then(|engine| engine.moves_in_ms));
        }
        assert!(announced.len() > 5, "{announced:?}");
        assert!(announced.is_sorted_by(|a, b| a >= b), "{announced:?}");
        assert_eq!(announced.last(), Some(&0));
        world.after(1_000).await;
        let engine = reported(&reporter).unwrap();
        assert_eq!(engine.moves_in_ms, None, "it is over");
    });
}
