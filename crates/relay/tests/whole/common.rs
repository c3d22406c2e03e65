//! A relay over a fixed state, and instances that answer by a script.

use std::{
    cell::{Cell, RefCell},
    collections::{HashMap, VecDeque},
    future::Future,
    net::SocketAddr,
    rc::Rc,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use domain::{
    clock::{Clock, Instant},
    instance::{Instance, Layers, Phase},
    name,
    quarantine::{self, Write},
    record::{Batch, Cursor, Delta, Record, Routing, Target},
    routing::{Engine, Kind, Limits, Route, Service, Share},
    vm::{self, Announcement, Lifecycle, Status, Vm},
};
use futures::{
    FutureExt,
    future::{self, LocalBoxFuture},
};
use http::{HeaderMap, HeaderValue, request, response};
use opentelemetry::metrics::{MeterProvider, noop::NoopMeterProvider};
use peer::uplink::Feed;
use policy::{
    age::Bound,
    naming,
    notice::{Limit, Notice},
    placement::{Grace, Placer},
    quarantine::Table,
    view::View,
};
use rand::{SeedableRng, rngs::StdRng};
use relay::{
    dialect::{Ask, Dialect, Order, Reply},
    front::Front,
    site::{Bounds, Given, Site, State},
    witness::Reports,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::watch,
    task::{LocalSet, spawn_local},
};

/// The memory budget of a relay, in bytes: that of the smallest machine, rounded down.
pub(crate) const MEMORY: usize = 48_000_000;

/// How long an instance that leaves may still be used.
pub(crate) const DRAIN: Duration = Duration::from_millis(300);
/// How long requests are sent for an old version after a newer one was named.
const GRACE: Duration = Duration::from_millis(300);
/// How long after that they may begin.
const VERSION_MARGIN: Duration = Duration::from_millis(400);

/// How long a relay that is to end takes new connections.
pub(crate) const NOTICE: Duration = Duration::from_millis(100);

/// Runs a test on one thread.
pub(crate) fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    LocalSet::new().block_on(&runtime, test);
}

/// Headers as short as can be.
struct Plain;

impl Dialect for Plain {
    fn ask(&self, head: &request::Parts) -> Ask {
        let text = |name: &str| head.headers.get(name).and_then(|value| value.to_str().ok());
        Ask {
            id: text("id").map(Arc::from),
            patience: Some(Duration::from_secs(5)),
            parts: text("parts")
                .map(|parts| parts.split(',').map(name::Part::from).collect())
                .unwrap_or_default(),
            model: text("model").map(name::Artifact::from),
            last_event: text("last").and_then(|last| last.parse().ok()),
            prompt_tokens: text("prompt").and_then(|n| n.parse().ok()).unwrap_or(0),
            ..Ask::default()
        }
    }

    fn order(&self, headers: &mut HeaderMap, order: &Order<'_>) {
        if let Some(last) = order.last_event {
            headers.insert("last", HeaderValue::from(last));
        }
        if let Some(urgency) = order.urgency {
            headers.insert("urgency", HeaderValue::from(u16::from(urgency)));
        }
    }

    fn reply(&self, head: &response::Parts) -> Reply {
        let text = |name: &str| head.headers.get(name).and_then(|value| value.to_str().ok());
        Reply {
            id: text("id").map(Arc::from),
            is_not_run: head.headers.contains_key("not-run"),
            is_sealed: head.headers.contains_key("seal"),
            version: None,
            notice: Notice {
                is_leaving: head.headers.contains_key("leaving"),
                pause: text("pause")
                    .and_then(|ms| ms.parse().ok())
                    .map(Duration::from_millis),
                limit: Some(
                    text("limit")
                        .and_then(|limit| limit.parse::<u64>().ok())
                        .map_or(Limit::NONE, Limit::from),
                ),
            },
        }
    }
}

/// An instance: it answers each request with the next bytes of its script and keeps the heads.
pub(crate) struct Upstream {
    pub(crate) address: SocketAddr,
    pub(crate) heads: Rc<RefCell<Vec<String>>>,
}

impl Upstream {
    pub(crate) async fn start(answers: &[&str]) -> Self {
        let heads = Rc::new(RefCell::new(Vec::new()));
        let script: VecDeque<String> = answers.iter().map(|answer| (*answer).to_owned()).collect();
        let (kept, script) = (heads.clone(), Rc::new(RefCell::new(script)));
        let address = listen(move |stream| answer(stream, script.clone(), kept.clone())).await;
        Self { address, heads }
    }
}

/// Listens, and answers each connection so.
pub(crate) async fn listen<F: Future<Output = ()> + 'static>(
    answer: impl Fn(TcpStream) -> F + 'static,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            spawn_local(answer(stream));
        }
    });
    address
}

/// Answers requests on one connection for as long as an answer says that it is kept.
async fn answer(
    mut stream: TcpStream,
    script: Rc<RefCell<VecDeque<String>>>,
    heads: Rc<RefCell<Vec<String>>>,
) {
    loop {
        let Some(head) = read_head(&mut stream).await else {
            return;
        };
        heads.borrow_mut().push(head);
        let answer = script.borrow_mut().pop_front().unwrap_or_default();
        let is_written = stream.write_all(answer.as_bytes()).await.is_ok();
        if !is_written || !answer.contains("keep: 1") {
            return;
        }
    }
}

pub(crate) async fn read_head(stream: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.ok()?);
    }
    String::from_utf8(head).ok()
}

/// Time since the start of the test.
#[derive(Clone, Copy)]
struct Steady(std::time::Instant);

impl Clock for Steady {
    fn now(&self) -> Instant {
        Instant::from_millis(60_000) + self.0.elapsed()
    }

    fn wall_ms(&self) -> u64 {
        0
    }
}

/// Time that passes only when a test says so, and doesn't depend on the load of the machine.
pub(crate) struct Manual(AtomicU64);

impl Manual {
    pub(crate) fn advance(&self, span: Duration) {
        let nanos = u64::try_from(span.as_nanos()).unwrap();
        self.0.fetch_add(nanos, Ordering::Relaxed);
    }
}

impl Clock for Manual {
    fn now(&self) -> Instant {
        Instant::from_millis(60_000) + Duration::from_nanos(self.0.load(Ordering::Relaxed))
    }

    fn wall_ms(&self) -> u64 {
        0
    }
}

/// Control as relays see it: a state that only the quarantine changes.
pub(crate) struct Control {
    view: RefCell<Arc<View>>,
    bound: Cell<Bound>,
    targets: RefCell<Arc<naming::Table>>,
    changes: watch::Sender<u64>,
    table: RefCell<Table>,
    clock: Arc<dyn Clock>,
}

impl State for Control {
    fn feed(&self) -> Arc<Feed> {
        Arc::new(Feed {
            view: self.view.borrow().clone(),
            bound: self.bound.get(),
            targets: self.targets.borrow().clone(),
        })
    }
}

impl Reports for Control {
    fn send(&self, write: Write) -> LocalBoxFuture<'static, Result<quarantine::Reply, String>> {
        let at_ms = 1_000_000 + self.clock.now().as_nanos() / 1_000_000;
        let (reply, deltas) = self.table.borrow_mut().apply(write, at_ms);
        let mut view = View::clone(&self.view.borrow());
        let commit = view.commit + 1;
        view.apply(batch(false, commit, deltas)).unwrap();
        *self.view.borrow_mut() = Arc::new(view);
        self.changes.send_modify(|n| *n += 1);
        future::ready(Ok(reply)).boxed_local()
    }
}

impl Control {
    /// Names a version of the model.
    pub(crate) fn name_version(&self, version: u64) {
        let mut view = View::clone(&self.view.borrow());
        let target = Record::Target(Target {
            model: "m".into(),
            version,
        });
        let commit = view.commit + 1;
        view.apply(batch(false, commit, vec![Delta::Set(target)]))
            .unwrap();
        let mut targets = naming::Table::clone(&self.targets.borrow());
        targets.observe(&view, Bound::new(self.clock.now(), Duration::ZERO));
        *self.targets.borrow_mut() = Arc::new(targets);
        *self.view.borrow_mut() = Arc::new(view);
        self.changes.send_modify(|n| *n += 1);
    }

    /// The parts that are suspected.
    pub(crate) fn suspected(&self) -> Vec<String> {
        let view = self.view.borrow();
        let keys = view.suspects.keys();
        keys.map(|key| key.part.to_string()).collect()
    }

    /// The parts that are in quarantine.
    pub(crate) fn quarantined(&self) -> Vec<String> {
        let view = self.view.borrow();
        let quarantined = view.suspects.values().filter(|case| case.is_quarantined);
        quarantined
            .map(|suspect| suspect.key.part.to_string())
            .collect()
    }
}

fn batch(is_snapshot: bool, commit: u64, deltas: Vec<Delta>) -> Batch {
    Batch {
        is_snapshot,
        deltas,
        revision: Default::default(),
        commit,
        cursor: Cursor::default(),
        age_ms: 0,
        held_ms: 0,
    }
}

fn route(prefix: &str, kind: Kind) -> Record {
    prioritized(prefix, kind, 0)
}

fn prioritized(prefix: &str, kind: Kind, priority: u8) -> Record {
    Record::Route(Route {
        name: prefix.into(),
        host: "h".into(),
        prefix: prefix.into(),
        kind,
        timeout_ms: 3_000,
        target_ms: 400,
        pause_ms: None,
        priority,
        attempts: 2,
        is_public: true,
        shares: vec![Share {
            service: "s".into(),
            weight: 1,
        }],
        regions: Vec::new(),
    })
}

fn instance(n: usize, address: SocketAddr, version: u64) -> Record {
    Record::Instance(Box::new(Instance {
        id: format!("i-{n}").as_str().into(),
        born_ms: 1,
        service: "s".into(),
        address,
        zone: "z".into(),
        slots: 2,
        phase: Phase::Ready,
        cold_ms: 0,
        layers: vec![Layers {
            model: "m".into(),
            version,
            begin: 0,
            end: None,
        }],
        sequence: 1,
    }))
}

fn entry(n: u16) -> Record {
    Record::Vm(Box::new(Vm {
        announcement: Announcement {
            vm: format!("entry-{n}").as_str().into(),
            zone: "z".into(),
            region: "r".into(),
            incarnation: 1,
            call_addr: ([127, 0, 0, 1], n + 1).into(),
            chunk_addr: ([127, 0, 0, 1], n + 1).into(),
            upstream: vm::Upstream::Entry,
        },
        status: Status {
            lifecycle: Lifecycle::Warm,
            holdings: Default::default(),
            fence: Default::default(),
            limit: 0,
        },
    }))
}

fn engine() -> Engine {
    Engine {
        models: ["m", "m-0", "m-1", "m-2"].map(name::Artifact::from).into(),
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
        chunks: 1,
        chunk_bytes: 1,
        load_ms: 1,
    }
}

/// A control that knows these instances, which serve the first version.
pub(crate) fn control(upstreams: &[SocketAddr]) -> Rc<Control> {
    let upstreams: Vec<_> = upstreams.iter().map(|address| (*address, 1)).collect();
    control_of(&upstreams)
}

/// A control that knows these instances with the versions that they serve.
pub(crate) fn control_of(upstreams: &[(SocketAddr, u64)]) -> Rc<Control> {
    let routes = vec![
        route("/again/", Kind::Idempotent),
        route("/once/", Kind::Once),
        route("/stream/", Kind::Stream { is_resumable: true }),
    ];
    let instances = upstreams.iter().enumerate();
    let instances = instances.map(|(n, (address, version))| instance(n, *address, *version));
    let clock = Arc::new(Steady(std::time::Instant::now()));
    control_with(
        routes.into_iter().chain(instances).collect(),
        Vec::new(),
        clock,
    )
}

/// A control whose routes differ in priority, and whose instances serve a model of their own each:
/// `m-0`, `m-1` and so on. It knows so many entries.
pub(crate) fn shared_control(upstreams: &[SocketAddr], entries: u16) -> (Rc<Control>, Arc<Manual>) {
    let kind = Kind::Stream { is_resumable: true };
    let routes = (0..3).map(|n| prioritized(&format!("/{n}/"), kind, n));
    let instances = upstreams.iter().enumerate();
    let instances = instances.map(|(n, address)| match instance(n, *address, 1) {
        Record::Instance(mut instance) => {
            instance.layers[0].model = format!("m-{n}").as_str().into();
            Record::Instance(instance)
        }
        other => other,
    });
    let clock = Arc::new(Manual(AtomicU64::new(0)));
    let entries = (0..entries).map(entry);
    let records = routes.chain(instances).chain(entries).collect();
    (
        control_with(records, vec!["s".into()], clock.clone()),
        clock,
    )
}

/// A control that knows so many entries before one instance, with a clock that a test moves.
pub(crate) fn control_of_entries(upstream: SocketAddr, entries: u16) -> (Rc<Control>, Arc<Manual>) {
    let routes = [
        route("/again/", Kind::Idempotent),
        route("/stream/", Kind::Stream { is_resumable: true }),
    ];
    let clock = Arc::new(Manual(AtomicU64::new(0)));
    let records = routes.into_iter().chain([instance(0, upstream, 1)]);
    let records = records.chain((0..entries).map(entry)).collect();
    (control_with(records, Vec::new(), clock.clone()), clock)
}

fn control_with(
    records: Vec<Record>,
    shared: Vec<name::Service>,
    clock: Arc<dyn Clock>,
) -> Rc<Control> {
    let head = [
        Record::Routing(Routing {
            shared,
            version: 1,
            limits: Limits::default(),
            has_callers: false,
        }),
        Record::Service(Box::new(Service {
            name: "s".into(),
            max_connections: 10,
            cold: None,
            engine: Some(engine()),
            origin: None,
        })),
    ];
    let records = head.into_iter().chain(records).map(Delta::Set);
    let mut view = View::default();
    view.apply(batch(true, 1, records.collect())).unwrap();
    Rc::new(Control {
        view: RefCell::new(Arc::new(view)),
        bound: Cell::new(Bound::new(clock.now(), Duration::ZERO)),
        targets: RefCell::default(),
        changes: watch::Sender::new(0),
        table: RefCell::default(),
        clock,
    })
}

/// A relay that takes connections.
pub(crate) struct Relay {
    pub(crate) site: Rc<Site>,
    pub(crate) address: SocketAddr,
    pub(crate) control: Rc<Control>,
}

impl Relay {
    /// A relay before these instances, which it chooses in turn.
    pub(crate) fn start(upstreams: &[SocketAddr]) -> Self {
        Self::join(control(upstreams))
    }

    /// One more relay before the instances that this control knows.
    pub(crate) fn join(control: Rc<Control>) -> Self {
        Self::join_until(control, future::pending(), Duration::from_secs(1))
    }

    /// The relay on the VM of the entry with this number.
    pub(crate) fn join_as(control: Rc<Control>, n: u16) -> Self {
        let vm = format!("entry-{n}").as_str().into();
        Self::join_as_until(control, vm, future::pending(), Duration::from_secs(1))
    }

    /// A relay that is to end after `leave`, within `limit`.
    pub(crate) fn join_until(
        control: Rc<Control>,
        leave: impl Future<Output = ()> + 'static,
        limit: Duration,
    ) -> Self {
        Self::join_as_until(control, "".into(), leave, limit)
    }

    fn join_as_until(
        control: Rc<Control>,
        vm: name::Vm,
        leave: impl Future<Output = ()> + 'static,
        limit: Duration,
    ) -> Self {
        let clock = control.clock.clone();
        let grace = Grace {
            seen: GRACE,
            unseen: GRACE,
        };
        let regions = HashMap::from([("z".into(), "r".into())]);
        let rng = StdRng::seed_from_u64(1);
        let placer = Placer::new("z".into(), regions, grace, rng, Instant::ZERO)
            .with_vm(vm)
            .with_version_margin(VERSION_MARGIN)
            .with_drain(DRAIN);
        let site = Site::new(Given {
            placer,
            clock,
            state: control.clone(),
            reports: control.clone(),
            dialect: Rc::new(Plain),
            bounds: Bounds {
                max_age: Duration::from_secs(60),
                ready_age: Duration::from_secs(60),
                retry_percent: 20,
                retry_slack: 100,
                memory: MEMORY,
            },
            logger: telemetry::log::discard(),
            meter: NoopMeterProvider::new().meter("test"),
        });
        let front = Front::bind("127.0.0.1:0".parse().unwrap(), site.clone()).unwrap();
        let address = front.address().unwrap();
        spawn_local(front.run(leave, NOTICE, limit));
        spawn_local(site.clone().follow(control.changes.subscribe()));
        Self {
            site,
            address,
            control,
        }
    }

    /// Lets nobody vouch for the state any more.
    pub(crate) fn forget(&self) {
        self.control.bound.set(Bound::UNKNOWN);
    }

    /// Sends a request on a connection of its own, and returns all that comes back.
    pub(crate) async fn send(&self, path: &str) -> String {
        let request =
            format!("GET {path} HTTP/1.1\r\nhost: h:80\r\nid: q\r\nconnection: close\r\n\r\n");
        self.send_raw(&request).await
    }

    /// Sends these bytes on a connection of their own, and returns all that comes back.
    pub(crate) async fn send_raw(&self, request: &str) -> String {
        let mut stream = TcpStream::connect(self.address).await.unwrap();
        // The relay may refuse a request before it has read all of it.
        let _ = stream.write_all(request.as_bytes()).await;
        let mut answer = Vec::new();
        let read = tokio::time::timeout(Duration::from_secs(10), stream.read_to_end(&mut answer));
        // A connection that is reset ends the answer too.
        let _ = read.await.unwrap();
        String::from_utf8(answer).unwrap()
    }
}
