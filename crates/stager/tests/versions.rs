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
    name,
    routing::{Engine as Model, Service},
};
use futures::FutureExt;
use peer::{connection::Dialer, uplink::Feed};
use policy::{age::Bound, owner::Member, view::View};
use stager::{
    Given, Stager,
    port::{Answer, Engine, Error, Manifest, Origin, Report},
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
    fn report(&self, _: u32) -> Answer<'_, Report> {
        async move {
            Ok(Report {
                serving: vec![("m".into(), self.0.serving.get())],
                is_busy: false,
                figures: None,
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

fn view(target: u64) -> View {
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
    view
}

/// Runs a test with an agent beside an engine that serves version 1.
fn run<F: Future<Output = ()>>(test: impl FnOnce(Rc<World>) -> F) {
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
                    view: Arc::new(view(operator.target.get())),
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
        task::spawn_local(stager.run());
        world.after(1_000).await;
        test(world).await;
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
