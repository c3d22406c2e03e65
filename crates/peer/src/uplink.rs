//! The link of an entry or an agent to control: feed, heartbeats and ledger writes.
//!
//! One thread keeps a session with one home replica and moves to the next one when it fails. The
//! handle may be used from any thread.

use std::{
    cell::RefCell, collections::HashMap, net::SocketAddr, rc::Rc, sync::Arc, thread, time::Duration,
};

use arc_swap::ArcSwap;
use domain::{
    clock::{Clock, Instant},
    digest::Digest,
    ledger, name, quarantine, vm,
};
use policy::{age::Bound, naming, view::View};
use slog::{Logger, info, warn};
use tokio::{
    sync::{mpsc, oneshot, watch},
    task::LocalSet,
    time,
};

use crate::{
    connection::Dialer,
    control::{Poll, Scope, Session},
    error::{Error, Step},
    seeds::Seeds,
};

/// How long a replica that failed is tried after all others.
const AVOIDANCE: Duration = Duration::from_secs(5);
/// How long a poll waits for a change.
const POLL_WAIT: Duration = Duration::from_millis(500);
/// The time between two heartbeats of an agent.
const HEARTBEAT_PERIOD: Duration = Duration::from_secs(1);
/// The shortest pause after a failed session.
const MIN_BACKOFF: Duration = Duration::from_millis(50);
/// The longest pause after a failed session.
const MAX_BACKOFF: Duration = Duration::from_secs(1);
/// Ledger writes beyond this many wait for their turn.
const MAX_QUEUED_WRITES: usize = 1_024;

/// How the link is set up.
#[derive(Clone)]
pub struct Config {
    /// The name of this VM; it decides the order in which replicas are tried.
    pub vm: name::Vm,
    /// Its availability zone; replicas there are tried first.
    pub zone: name::AvailabilityZone,
    /// Addresses of control replicas. More are learnt from the feed.
    pub control: Seeds,
    /// How to reach them.
    pub dialer: Dialer,
    /// How much of the state is needed.
    pub scope: Scope,
    /// Where to log.
    pub logger: Logger,
}

/// What an agent tells control, kept current by the agent.
pub type Presence = watch::Receiver<Option<Arc<vm::Vm>>>;

/// The state of the feed at one moment.
#[derive(Clone, Debug)]
pub struct Feed {
    /// The records.
    pub view: Arc<View>,
    /// The age of the committed part.
    pub bound: Bound,
    /// When the target versions were set.
    pub targets: Arc<naming::Table>,
}

impl Feed {
    /// Whether the state may be acted on.
    pub fn is_fresh(&self, now: Instant, max_age: Duration) -> bool {
        self.bound.is_fresh(now, max_age)
    }
}

/// The handle of the link.
#[derive(Clone)]
pub struct Client {
    feed: Arc<ArcSwap<Feed>>,
    changes: watch::Receiver<u64>,
    writes: mpsc::Sender<Write>,
}

/// A write that waits for its reply.
struct Write {
    deadline: Duration,
    body: Body,
}

enum Body {
    Ledger(ledger::Write, oneshot::Sender<ledger::Reply>),
    Quarantine(quarantine::Write, oneshot::Sender<quarantine::Reply>),
}

impl Client {
    /// Starts the link's thread. It ends when the last handle is dropped.
    ///
    /// # Errors
    ///
    /// If the thread could not be started.
    pub fn new(
        config: Config,
        clock: Arc<dyn Clock>,
        presence: Option<Presence>,
    ) -> std::io::Result<Self> {
        let feed = Arc::new(ArcSwap::from_pointee(Feed {
            view: Arc::default(),
            bound: Bound::UNKNOWN,
            targets: Arc::default(),
        }));
        let (changed, changes) = watch::channel(0);
        let (writes, queue) = mpsc::channel(MAX_QUEUED_WRITES);
        let link = Link {
            config,
            clock,
            feed: feed.clone(),
            changed,
            presence,
            failed: RefCell::default(),
        };
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        thread::Builder::new()
            .name("uplink".to_owned())
            .spawn(move || {
                LocalSet::new().block_on(&runtime, Rc::new(link).run(queue));
            })?;
        Ok(Self {
            feed,
            changes,
            writes,
        })
    }

    /// The state as it is now known.
    pub fn feed(&self) -> Arc<Feed> {
        self.feed.load_full()
    }

    /// Changes its value whenever the records change.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changes.clone()
    }

    /// Writes to the ledger through any replica, and tries again until the deadline.
    ///
    /// A write is idempotent, so a resend after a lost answer gets the same reply.
    ///
    /// # Errors
    ///
    /// [`Error::Unreachable`] if no replica answered in time. The write may still take effect.
    pub async fn ledger(
        &self,
        write: ledger::Write,
        deadline: Duration,
    ) -> Result<ledger::Reply, Error> {
        self.send("ledger", deadline, |reply| Body::Ledger(write, reply))
            .await
    }

    /// Writes to the quarantine through any replica, and tries again until the deadline.
    ///
    /// A write may take effect twice, which changes nothing but the number of probes.
    ///
    /// # Errors
    ///
    /// [`Error::Unreachable`] if no replica answered in time. The write may still take effect.
    pub async fn quarantine(
        &self,
        write: quarantine::Write,
        deadline: Duration,
    ) -> Result<quarantine::Reply, Error> {
        self.send("quarantine", deadline, |reply| {
            Body::Quarantine(write, reply)
        })
        .await
    }

    async fn send<T>(
        &self,
        name: &'static str,
        deadline: Duration,
        body: impl FnOnce(oneshot::Sender<T>) -> Body,
    ) -> Result<T, Error> {
        let (reply, answer) = oneshot::channel();
        let body = body(reply);
        let exchange = async {
            self.writes.send(Write { deadline, body }).await.ok()?;
            answer.await.ok()
        };
        match time::timeout(deadline, exchange).await {
            Ok(Some(answer)) => Ok(answer),
            Ok(None) | Err(_) => Err(Error::Unreachable {
                step: Step::Call(name),
                millis: u64::try_from(deadline.as_millis()).unwrap_or(u64::MAX),
            }),
        }
    }
}

struct Link {
    config: Config,
    clock: Arc<dyn Clock>,
    feed: Arc<ArcSwap<Feed>>,
    changed: watch::Sender<u64>,
    presence: Option<Presence>,
    /// When replicas last failed.
    failed: RefCell<HashMap<SocketAddr, Instant>>,
}

impl Link {
    async fn run(self: Rc<Self>, queue: mpsc::Receiver<Write>) {
        let subscription = tokio::task::spawn_local(self.clone().subscribe());
        let announcing = tokio::task::spawn_local(self.clone().announce());
        self.write(queue).await;
        subscription.abort();
        announcing.abort();
    }

    /// The replica to try now: one that did not fail of late, in the own zone if there is one.
    fn replica(&self) -> Option<SocketAddr> {
        let now = self.clock.now();
        let feed = self.feed.load();
        let known: HashMap<SocketAddr, &name::AvailabilityZone> = feed
            .view
            .vms
            .values()
            .map(|vm| &vm.announcement)
            .filter(|who| who.upstream == vm::Upstream::Control)
            .map(|who| (who.chunk_addr, &who.zone))
            .collect();
        let mut replicas = self.config.control.all();
        replicas.extend(known.keys());
        let failed = self.failed.borrow();
        replicas.into_iter().min_by_key(|addr| {
            let failed_at = failed.get(addr).copied();
            let is_avoided = failed_at.is_some_and(|at| now.since(at) < AVOIDANCE);
            let is_remote = known.get(addr) != Some(&&self.config.zone);
            let digest = Digest::of(format!("{}/{addr}", self.config.vm).as_bytes());
            // Of those that failed, the one that failed longest ago.
            let rank = (is_avoided, failed_at.filter(|_| is_avoided));
            (rank, is_remote, *digest.as_bytes())
        })
    }

    fn fail(&self, replica: SocketAddr) {
        self.failed.borrow_mut().insert(replica, self.clock.now());
    }

    async fn subscribe(self: Rc<Self>) {
        let mut pause = Pause::new();
        loop {
            if let Some(replica) = self.replica() {
                let followed = match Session::open(&self.config.dialer, replica).await {
                    Ok(session) => self.follow(&session, &mut pause).await,
                    Err(error) => Err(error),
                };
                match followed {
                    // A nearer replica is known.
                    Ok(()) => continue,
                    Err(error) => {
                        warn!(self.config.logger, "control: feed lost";
                            "replica" => %replica, "reason" => %error);
                        self.fail(replica);
                    }
                }
            }
            pause.wait().await;
        }
    }

    /// Follows the feed until it fails, or until another replica should be followed.
    async fn follow(&self, session: &Session, pause: &mut Pause) -> Result<(), Error> {
        let replica = session.connection().peer();
        info!(self.config.logger, "control: following the feed"; "replica" => %replica);
        loop {
            if self.replica() != Some(replica) {
                return Ok(());
            }
            let asked_at = self.clock.now();
            let feed = self.feed.load_full();
            let poll = Poll {
                cursor: feed.view.cursor,
                scope: self.config.scope,
                wait: POLL_WAIT,
            };
            let batch = session.poll(poll).await?;
            // It was sent so long after the request at least, and has come.
            let replied_at = asked_at + Duration::from_millis(batch.held_ms);
            let replied_at = replied_at.min(self.clock.now());
            let bound = Bound::new(replied_at, Duration::from_millis(batch.age_ms));
            let is_change = batch.is_snapshot || !batch.deltas.is_empty();
            let is_moved = batch.cursor != feed.view.cursor || batch.revision != feed.view.revision;
            let view = if is_change || is_moved {
                let mut view = View::clone(&feed.view);
                if let Err(regression) = view.apply(batch) {
                    warn!(self.config.logger, "control: feed refused";
                        "replica" => %replica, "reason" => %regression);
                    let source = capnp::Error::failed(regression.to_string());
                    let step = Step::Call("poll");
                    return Err(Error::Rpc {
                        step,
                        peer: replica,
                        source,
                    });
                }
                Arc::new(view)
            } else {
                feed.view.clone()
            };
            pause.reset();
            let targets = match view.targets == feed.view.targets {
                true => feed.targets.clone(),
                false => Arc::new(self.observe_targets(&feed, &view)),
            };
            self.feed.store(Arc::new(Feed {
                view,
                bound: bound.tightest(feed.bound),
                targets,
            }));
            if is_change {
                self.changed.send_modify(|n| *n += 1);
            }
        }
    }

    /// The target versions with those that a state sets in the place of the last one.
    fn observe_targets(&self, last: &Feed, view: &View) -> naming::Table {
        let mut targets = naming::Table::clone(&last.targets);
        targets.observe(view, last.bound);
        let age_ms = last.bound.age(self.clock.now());
        let age_ms = age_ms.map(|age| age.as_millis() as u64);
        for (model, version) in &view.targets {
            info!(self.config.logger, "control: target version"; "model" => model.as_str(),
                "version" => version, "last_state_age_ms" => age_ms);
        }
        targets
    }

    async fn announce(self: Rc<Self>) {
        let Some(mut presence) = self.presence.clone() else {
            return;
        };
        let mut pause = Pause::new();
        loop {
            if let Some(replica) = self.replica() {
                let kept = match Session::open(&self.config.dialer, replica).await {
                    Ok(session) => keep_session(&session, &mut presence, &mut pause).await,
                    Err(error) => Err(error),
                };
                if kept.is_err() {
                    self.fail(replica);
                }
            }
            pause.wait().await;
        }
    }

    async fn write(self: Rc<Self>, mut queue: mpsc::Receiver<Write>) {
        let shared = Rc::new(tokio::sync::Mutex::new(None::<Rc<Session>>));
        while let Some(write) = queue.recv().await {
            let link = self.clone();
            let shared = shared.clone();
            tokio::task::spawn_local(async move {
                let delivered = link.deliver(write.body, &shared);
                // The sender knows by the same deadline that no reply came.
                let _ = time::timeout(write.deadline, delivered).await;
            });
        }
    }

    /// Passes a write on until a replica replies. A receiver that is gone has passed its own
    /// deadline.
    async fn deliver(&self, body: Body, shared: &tokio::sync::Mutex<Option<Rc<Session>>>) {
        match body {
            Body::Ledger(write, reply) => {
                let call = async |session: Rc<Session>| session.ledger(&write).await;
                let _ = reply.send(self.repeat(shared, call).await);
            }
            Body::Quarantine(write, reply) => {
                let call = async |session: Rc<Session>| session.quarantine(&write).await;
                let _ = reply.send(self.repeat(shared, call).await);
            }
        }
    }

    async fn repeat<T>(
        &self,
        shared: &tokio::sync::Mutex<Option<Rc<Session>>>,
        call: impl AsyncFn(Rc<Session>) -> Result<T, Error>,
    ) -> T {
        let mut pause = Pause::new();
        loop {
            if let Some(session) = self.session(shared).await {
                match call(session.clone()).await {
                    Ok(reply) => return reply,
                    Err(error) => {
                        let replica = session.connection().peer();
                        warn!(self.config.logger, "control: write failed";
                            "replica" => %replica, "reason" => %error);
                        self.fail(replica);
                        discard(shared, &session).await;
                    }
                }
            }
            pause.wait().await;
        }
    }

    async fn session(
        &self,
        shared: &tokio::sync::Mutex<Option<Rc<Session>>>,
    ) -> Option<Rc<Session>> {
        let mut shared = shared.lock().await;
        match shared.as_ref() {
            Some(session) if !session.connection().is_closed() => Some(session.clone()),
            _ => {
                let replica = self.replica()?;
                let opened = Session::open(&self.config.dialer, replica).await;
                let session = opened.inspect_err(|_| self.fail(replica)).ok()?;
                let session = Rc::new(session);
                *shared = Some(session.clone());
                Some(session)
            }
        }
    }
}

async fn discard(shared: &tokio::sync::Mutex<Option<Rc<Session>>>, failed: &Rc<Session>) {
    let mut shared = shared.lock().await;
    if shared
        .as_ref()
        .is_some_and(|session| Rc::ptr_eq(session, failed))
    {
        *shared = None;
    }
}

async fn keep_session(
    session: &Session,
    presence: &mut Presence,
    pause: &mut Pause,
) -> Result<(), Error> {
    let mut beat = time::interval(HEARTBEAT_PERIOD);
    // Kept by value: a status may change while a heartbeat is under way.
    let mut announced = None::<Arc<vm::Vm>>;
    loop {
        let current = presence.borrow_and_update().clone();
        let Some(vm) = current else {
            if presence.changed().await.is_err() {
                return Ok(());
            }
            continue;
        };
        let announcement = &vm.announcement;
        if announced.as_ref() != Some(&vm) {
            session.announce(announcement, &vm.status).await?;
            pause.reset();
            announced = Some(vm.clone());
        }
        if vm.status.lifecycle == vm::Lifecycle::Gone {
            return session
                .leave(&announcement.vm, announcement.incarnation)
                .await;
        }
        tokio::select! {
            changed = presence.changed() => {
                if changed.is_err() {
                    return Ok(());
                }
            }
            _ = beat.tick() => {
                let is_known =
                    session.heartbeat(&announcement.vm, announcement.incarnation).await?;
                if !is_known {
                    announced = None;
                }
            }
        }
    }
}

/// A jittered pause that doubles with each failure.
struct Pause {
    next: Duration,
}

impl Pause {
    fn new() -> Self {
        Self { next: MIN_BACKOFF }
    }

    fn reset(&mut self) {
        self.next = MIN_BACKOFF;
    }

    async fn wait(&mut self) {
        let jitter: f64 = rand::random_range(0.5..1.0);
        time::sleep(self.next.mul_f64(jitter)).await;
        self.next = (self.next * 2).min(MAX_BACKOFF);
    }
}
