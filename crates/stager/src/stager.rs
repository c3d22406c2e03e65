//! The agent itself: for each model the engine should serve the newest named version.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use domain::{
    artifact,
    clock::{Clock, Instant},
    digest::Digest,
    name,
    vm::{Holding, Lifecycle, Status, Upstream, Vm},
};
use peer::{chunks, connection::Dialer, uplink::Feed};
use policy::{
    listing::{self, Listing},
    loading::{Evidence, Observation, Reply, Step},
    owner::Member,
    spread::Spread,
    switch,
    view::View,
};
use slog::{Logger, info, warn};
use tokio::{sync::watch, time};

use crate::{
    bring::{Bring, Peers, Roster},
    link::Link,
    port::{Engine, Manifest, Origin, Report},
    share::Share,
    shelf::Shelf,
};

/// How often the state is looked at.
const PERIOD: Duration = Duration::from_millis(50);
/// How often the engine is asked what it serves while nothing is to be done.
const REPORT_PERIOD: Duration = Duration::from_millis(500);
/// The pause after something failed that must be tried again.
const RETRY: Duration = Duration::from_millis(200);
/// The pause before another agent is asked for a list. An agent that will have it holds the question
/// meanwhile.
const LIST_RETRY: Duration = Duration::from_millis(20);
/// How often an engine is asked for a report before chunks are staged beside it.
const ADOPT_TRIES: u32 = 5;
/// How long entries get to learn that the engine moves before it does: a feed's gathering time,
/// twice, and a link between regions.
const NOTICE: Duration = Duration::from_millis(120);
/// For how long after a version is named no agent counts on others that hold it: reading the list
/// of chunks takes about so long.
const FRESH: Duration = Duration::from_millis(500);
/// How long before its turn an engine's chunks are fetched as fast as the link bears, in hundredths
/// of the time that a copy takes on the agent's link: live requests use the
/// link too, and each chunk comes through other agents first.
const HURRY_PERCENT: u32 = 145;
/// The version of a model of which none was named.
const FIRST_VERSION: u64 = 1;

/// What an agent is given.
pub struct Given {
    /// The agent's VM.
    pub me: Member,
    /// The service of the engine beside it.
    pub service: name::Service,
    /// The clock.
    pub clock: Arc<dyn Clock>,
    /// The state.
    pub state: Rc<dyn Fn() -> Arc<Feed>>,
    /// The engine beside the agent.
    pub engine: Rc<dyn Engine>,
    /// Makes the way to the origin at an address.
    pub origin: Rc<dyn Fn(SocketAddr) -> Rc<dyn Origin>>,
    /// The way to other agents.
    pub dialer: Dialer,
    /// What the agent tells of itself: who it is at first, and from then on how its engine stands.
    pub presence: watch::Sender<Option<Arc<Vm>>>,
    /// The rate of the VM's link in each direction, in bytes per second.
    pub link_bytes_per_s: u64,
    /// How long all engines may take to serve a version once it is named.
    pub limit: Duration,
    /// Where to log.
    pub logger: Logger,
}

/// The agent beside one engine.
pub struct Stager {
    pub(crate) given: Given,
    shelf: Rc<Shelf>,
    link: Rc<Link>,
    peers: Peers,
    started_at: Instant,
    /// When each version was first seen; nothing for those that were there before the agent.
    named: RefCell<HashMap<(name::Artifact, u64), Option<Instant>>>,
    /// The version whose list was found to be wrong.
    doubted: Cell<Option<Digest>>,
    /// When the engine stops accepting requests in order to load another version, once that
    /// version is held.
    moves_at: Cell<Option<Instant>>,
    /// Whether the layers of the engine were loaded from whole chunks.
    evidence: RefCell<Evidence>,
    /// The version that the agent wanted last.
    wanted: Cell<Option<Digest>>,
}

/// What a model's engine should do next.
struct Task {
    model: name::Artifact,
    version: u64,
    layers: u32,
    origin: SocketAddr,
}

impl Stager {
    /// An agent that knows nothing yet.
    pub fn new(given: Given) -> Rc<Self> {
        let started_at = given.clock.now();
        Rc::new(Self {
            peers: Peers::new(given.dialer.clone()),
            shelf: Rc::default(),
            link: Rc::new(Link::new(given.link_bytes_per_s, given.clock.clone())),
            named: RefCell::default(),
            doubted: Cell::default(),
            moves_at: Cell::default(),
            evidence: RefCell::default(),
            wanted: Cell::default(),
            started_at,
            given,
        })
    }

    /// What the agent offers to others.
    pub fn service(&self) -> Rc<dyn chunks::Service> {
        Rc::new(Share {
            shelf: self.shelf.clone(),
            link: self.link.clone(),
        })
    }

    /// Brings, stages and orders for as long as it is polled.
    pub async fn run(self: Rc<Self>) {
        loop {
            let task = self.observe();
            match task {
                Some(task) => self.serve(&task).await,
                None => time::sleep(PERIOD).await,
            }
        }
    }

    /// The time until the engine stops accepting requests in order to load another version, if
    /// that is scheduled.
    pub fn moves_in(&self, now: Instant) -> Option<Duration> {
        self.moves_at.get().map(|at| at.since(now))
    }

    /// Takes in the state, and says which version the engine should serve.
    fn observe(&self) -> Option<Task> {
        let feed = (self.given.state)();
        let view = &feed.view;
        let service = view.services.get(&self.given.service)?;
        let engine = service.engine.as_ref()?;
        let origin = view.services.values().find_map(|service| service.origin)?;
        let model = engine.models.first()?.clone();
        let version = view.targets.get(&model).copied().unwrap_or(FIRST_VERSION);
        self.note(&model, version);
        Some(Task {
            model,
            version,
            layers: engine.layers,
            origin,
        })
    }

    /// Notes when a version appeared. What is there when the first state comes was named before.
    fn note(&self, model: &name::Artifact, version: u64) {
        let mut named = self.named.borrow_mut();
        let is_first = !named.keys().any(|(known, _)| known == model);
        let now = self.given.clock.now();
        named
            .entry((model.clone(), version))
            .or_insert((!is_first).then_some(now));
    }

    /// When the version was named, if the agent saw that.
    fn named_at(&self, task: &Task) -> Option<Instant> {
        let named = self.named.borrow();
        named
            .get(&(task.model.clone(), task.version))
            .copied()
            .flatten()
    }

    /// See [`HURRY_PERCENT`].
    fn hurry(&self, manifest: &Manifest) -> Duration {
        let bytes = manifest.chunk_bytes.saturating_mul(manifest.digests.len());
        let copy =
            Duration::from_secs_f64(bytes as f64 / self.given.link_bytes_per_s.max(1) as f64);
        copy * HURRY_PERCENT / 100
    }

    fn is_current(&self, task: &Task) -> bool {
        self.observe().is_some_and(|now| {
            now.model == task.model && now.version == task.version && now.origin == task.origin
        })
    }

    /// Brings the engine to one version, until another one is named.
    async fn serve(self: &Rc<Self>, task: &Task) {
        // A version that was overtaken is loaded no more.
        self.moves_at.set(None);
        if self.wanted.replace(Some(key(task))) != Some(key(task)) {
            self.evidence.borrow_mut().retarget();
        }
        let origin = (self.given.origin)(task.origin);
        let Some(manifest) = self.manifest(task, &origin).await else {
            return;
        };
        let me = self.given.me.clone();
        let now = self.given.clock.now();
        let spread = Spread::new(me, &manifest.digests, now);
        let spread = match self.named_at(task) {
            Some(named_at) if now.since(named_at) < FRESH => {
                let turn = self.turn(&key(task), named_at, now);
                spread
                    .with_fresh_version()
                    .with_reduced_window(turn - self.hurry(&manifest))
            }
            _ => spread,
        };
        let shared = self.clone();
        let roster = self.clone();
        let mut bring = Bring {
            ready_at: self.given.clock.now(),
            tally: Default::default(),
            spread,
            version: key(task),
            model: task.model.clone(),
            manifest,
            engine: self.given.engine.clone(),
            origin,
            shelf: self.shelf.clone(),
            peers: self.peers.clone(),
            logger: self.given.logger.clone(),
            now: Rc::new(move || shared.given.clock.now()),
            roster: Rc::new(move || roster.roster()),
        };
        self.adopt(task).await;
        // What is staged from here on says nothing of what the engine loaded before.
        self.evidence.borrow_mut().restage();
        let begun = self.given.clock.now();
        tokio::select! {
            brought = bring.run() => match brought {
                Ok(()) => {}
                Err(_) => {
                    warn!(self.given.logger, "weights: the list of chunks is doubtful";
                        "model" => task.model.as_str(), "version" => task.version);
                    self.doubted.set(Some(key(task)));
                    self.shelf.forget(&key(task));
                    return time::sleep(RETRY).await;
                }
            },
            () = self.overtaken(task) => return,
        }
        let took = self.given.clock.now().since(begun);
        info!(self.given.logger, "weights: every chunk is verified and staged";
            "model" => task.model.as_str(), "version" => task.version,
            "took_ms" => took.as_millis() as u64, "from_origin" => bring.tally.origin,
            "from_region" => bring.tally.region, "from_elsewhere" => bring.tally.elsewhere);
        self.shelf.keep(&key(task));
        bring.ready_at = self.given.clock.now();
        while self.is_current(task) {
            if !self.reconcile(task, &mut bring).await {
                time::sleep(RETRY).await;
            }
        }
    }

    async fn overtaken(&self, task: &Task) {
        while self.is_current(task) {
            time::sleep(PERIOD).await;
        }
        info!(self.given.logger, "weights: overtaken"; "model" => task.model.as_str(),
            "version" => task.version);
    }

    /// The list of the version's chunks, from the origin or from an agent that has it.
    async fn manifest(&self, task: &Task, origin: &Rc<dyn Origin>) -> Option<Manifest> {
        let version = key(task);
        let roster = self.roster();
        let is_doubted = self.doubted.get() == Some(version);
        let members: Vec<_> = match is_doubted {
            // The other agents may have the same list.
            true => Vec::new(),
            false => roster.iter().map(|(member, _)| member.clone()).collect(),
        };
        let now = self.given.clock.now();
        let mut listing = Listing::new(&self.given.me, &members, &version, now);
        loop {
            let source = listing.next_source(self.given.clock.now());
            let asked = match &source {
                listing::Source::Origin => origin
                    .manifest(&task.model, task.version)
                    .await
                    .map(Some)
                    .map_err(|error| error.to_string()),
                listing::Source::Agent(vm) => match address_of(&roster, vm) {
                    Some(address) => self.peers.manifest(address, version).await,
                    None => Ok(None),
                },
            };
            let reason = match asked {
                Ok(Some(manifest)) if manifest.version == task.version => return Some(manifest),
                Ok(Some(manifest)) => format!("it is of version {}", manifest.version),
                Ok(None) => "the agent has none".to_owned(),
                Err(reason) => reason,
            };
            info!(self.given.logger, "weights: no list of chunks"; "model" => task.model.as_str(),
                "version" => task.version, "source" => %source, "reason" => reason);
            let pause = match source {
                listing::Source::Origin => RETRY,
                listing::Source::Agent(_) => LIST_RETRY,
            };
            time::sleep(pause).await;
            if !self.is_current(task) {
                return None;
            }
        }
    }

    /// Looks at the engine before anything is staged beside it, because it may still be loading what
    /// an earlier agent ordered.
    async fn adopt(&self, task: &Task) {
        for _ in 0..ADOPT_TRIES {
            match self.given.engine.report(task.layers).await {
                Ok(report) => return self.observe_engine(task, &report),
                Err(_) => time::sleep(RETRY).await,
            }
        }
    }

    fn observe_engine(&self, task: &Task, report: &Report) {
        let observation = Observation {
            is_loading: report.is_busy,
            is_served: report.version_of(&task.model) == Some(task.version),
            orders: report.orders,
        };
        let mut evidence = self.evidence.borrow_mut();
        let before = evidence.step();
        evidence.observe(observation, self.given.clock.now());
        if evidence.step() != before {
            info!(self.given.logger, "engine: evidence on its layers changed";
                "model" => task.model.as_str(), "version" => task.version,
                "before" => ?before, "after" => ?evidence.step());
        }
    }

    /// One look at the engine: waits if all is well, orders it to load if it is time. Returns
    /// whether nothing went wrong.
    async fn reconcile(&self, task: &Task, bring: &mut Bring) -> bool {
        let report = match self.given.engine.report(task.layers).await {
            Ok(report) => report,
            Err(error) => {
                info!(self.given.logger, "engine: no report"; "reason" => %error);
                return false;
            }
        };
        self.observe_engine(task, &report);
        let step = self.evidence.borrow().step();
        let served = report.version_of(&task.model);
        let is_served = served == Some(task.version);
        let is_moving = report.is_busy || served.is_none() || step != Step::Serve;
        self.tell(&task.model, served, is_moving);
        if report.is_busy {
            self.moves_at.set(Some(self.given.clock.now()));
        } else if is_served {
            self.moves_at.set(None);
        }
        match step {
            _ if report.is_busy => {}
            Step::Serve if is_served => {}
            Step::Inspect if is_served => return self.inspect(task, bring).await,
            _ => return self.advance(task, bring, served, step).await,
        }
        let period = match is_moving {
            true => PERIOD,
            false => REPORT_PERIOD,
        };
        self.pause(task, period).await;
        true
    }

    /// Reads the staged chunks, and stages again what is spoilt or gone. Returns `false` if the list
    /// of chunks is doubtful.
    async fn inspect(&self, task: &Task, bring: &mut Bring) -> bool {
        let begun_at = self.given.clock.now();
        let bad = bring.find_bad_chunks().await;
        if bad.is_empty() {
            self.evidence.borrow_mut().pass(begun_at);
            return true;
        }
        let before = self.evidence.borrow().step();
        self.evidence.borrow_mut().restage();
        if before == Step::Inspect {
            warn!(self.given.logger, "engine: may have loaded spoilt chunks and is not used";
                "model" => task.model.as_str(), "version" => task.version);
        }
        bring.restage(bad).await;
        // What is missing is brought again before the next look.
        bring.run().await.is_ok()
    }

    /// Orders the engine to load the version, if it is time.
    async fn advance(
        &self,
        task: &Task,
        bring: &mut Bring,
        served: Option<u64>,
        step: Step,
    ) -> bool {
        // An engine that serves nothing loses nothing by loading at once.
        let due_at = match served {
            Some(served) if step == Step::Serve => self.due_at(task, served, bring),
            _ => self.started_at,
        };
        self.moves_at.set(served.map(|_| due_at));
        let now = self.given.clock.now();
        if now < due_at {
            self.pause(task, due_at.since(now).min(REPORT_PERIOD)).await;
            return true;
        }
        if !self.inspect(task, bring).await {
            return false;
        }
        // Without an age, a chunk was staged again since, and all are read once more.
        if self.evidence.borrow().age(now).is_none() {
            return true;
        }
        // Entries turn away first, so that nothing is sent to an engine that takes nothing.
        self.tell(&task.model, served, true);
        time::sleep(NOTICE).await;
        self.order(task, served).await
    }

    /// Orders the engine to load what is staged, unless it was read too long ago.
    async fn order(&self, task: &Task, served: Option<u64>) -> bool {
        let now = self.given.clock.now();
        let age = self.evidence.borrow().age(now).unwrap_or_default();
        if !self.evidence.borrow().may_order(now) || !self.is_current(task) {
            info!(self.given.logger, "engine: order put off"; "model" => task.model.as_str(),
                "version" => task.version, "read_age_ms" => age.as_millis() as u64);
            return true;
        }
        let layers = self.evidence.borrow().part(task.layers);
        let engine = &self.given.engine;
        let ordered = engine
            .load(&task.model, task.version, layers.clone(), task.layers)
            .await;
        let now = self.given.clock.now();
        let age = self.evidence.borrow().age(now).unwrap_or_default();
        self.evidence
            .borrow_mut()
            .answer(ordered.as_ref().ok(), now);
        let reason = match &ordered {
            Ok(Reply::Refused(reason)) => Some(reason.clone()),
            Ok(Reply::Begun | Reply::InEffect) => None,
            Err(error) => Some(error.to_string()),
        };
        match &reason {
            None => info!(self.given.logger, "engine: ordered to load";
                "model" => task.model.as_str(), "version" => task.version, "serves" => served,
                "layers" => ?layers, "read_age_ms" => age.as_millis() as u64, "reply" => ?ordered.ok()),
            Some(reason) => warn!(self.given.logger, "engine: order failed";
                "model" => task.model.as_str(), "version" => task.version, "reason" => reason,
                "layers" => ?layers, "read_age_ms" => age.as_millis() as u64),
        }
        reason.is_none()
    }

    /// Tells entries which version the engine serves and whether it takes new requests.
    fn tell(&self, model: &name::Artifact, served: Option<u64>, is_moving: bool) {
        let holdings = served.map(|version| {
            let version = name::Version::new(version.to_string());
            (artifact::Id::new(model.clone(), version), Holding::Serving)
        });
        let lifecycle = match is_moving {
            true => Lifecycle::Loading,
            false => Lifecycle::Warm,
        };
        self.given.presence.send_if_modified(|presence| {
            let Some(vm) = presence else {
                return false;
            };
            let status = Status {
                lifecycle,
                holdings: holdings.into_iter().collect(),
                ..vm.status.clone()
            };
            let is_news = vm.status != status;
            if is_news {
                let announcement = vm.announcement.clone();
                *presence = Some(Arc::new(Vm {
                    announcement,
                    status,
                }));
            }
            is_news
        });
    }

    async fn pause(&self, task: &Task, span: Duration) {
        tokio::select! {
            () = time::sleep(span) => {}
            () = self.overtaken(task) => {}
        }
    }

    fn due_at(&self, task: &Task, served: u64, bring: &Bring) -> Instant {
        // A version that was overtaken before it came was still to be served in its time.
        let named_at = {
            let named = self.named.borrow();
            let later = named
                .iter()
                .filter(|((model, version), _)| *model == task.model && *version > served);
            let first = later.min_by_key(|((_, version), _)| *version);
            first.and_then(|(_, at)| *at)
        };
        let Some(named_at) = named_at else {
            return self.started_at;
        };
        self.turn(&bring.version, named_at, bring.ready_at)
    }

    /// When the engine's turn to move is, if everything is ready by then.
    fn turn(&self, version: &Digest, named_at: Instant, ready_at: Instant) -> Instant {
        let (me, limit) = (&self.given.me, self.given.limit);
        let roster = self.roster();
        let members: Vec<_> = roster.into_iter().map(|(member, _)| member).collect();
        switch::due_at(me, &members, version, named_at, ready_at, limit)
    }

    fn roster(&self) -> Roster {
        agents(&(self.given.state)().view)
    }
}

/// The key under which agents speak of a version.
fn key(task: &Task) -> Digest {
    Digest::of(format!("{}@{}", task.model, task.version).as_bytes())
}

fn address_of(roster: &Roster, vm: &name::Vm) -> Option<SocketAddr> {
    let known = roster.iter().find(|(member, _)| member.vm == *vm);
    known.map(|(_, address)| *address)
}

/// The agents beside engines that are known.
fn agents(view: &View) -> Roster {
    view.vms
        .values()
        .map(|vm| &vm.announcement)
        .filter(|who| matches!(who.upstream, Upstream::Engine { .. }))
        .map(|who| {
            let member = Member {
                vm: who.vm.clone(),
                zone: who.zone.clone(),
                region: who.region.clone(),
            };
            (member, who.chunk_addr)
        })
        .collect()
}
