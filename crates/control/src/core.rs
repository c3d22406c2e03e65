//! What one replica knows: the replicated state, the VMs, and the feeds made of both.
//!
//! It lives on one thread. No borrow is held across a wait.

use std::{
    cell::{Cell, OnceCell, Ref, RefCell},
    collections::BTreeSet,
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use domain::{
    clock::{Clock, Instant},
    command::{Command, Reply},
    edit::{Outcome, Revision},
    instance::Write,
    name,
    record::{Batch, Cursor, Delta, Key, Record},
    routing::Format,
    violation::Violation,
};
use peer::control::Scope;
use policy::{
    changes::{Update, for_agent, for_entry},
    membership::{Limits, Table},
    state::State,
};
use settings::control::Control;
use slog::{Logger, error, info, warn};
use tokio::time;

use crate::{
    lane::Lane,
    log::{self, Log},
    metrics::Metrics,
    registrar::Registrar,
    routing::{Change, Routing},
    util::as_millis_up,
};

/// State older than this isn't handed out: the subscriber may reach a replica that knows more.
pub const MAX_SERVED_AGE: Duration = Duration::from_secs(2);
/// The pause between two looks at the revision.
const REACH_PERIOD: Duration = Duration::from_millis(10);

/// The shared tables of one replica.
pub struct Core {
    /// The settings of the daemon.
    pub settings: Control,
    /// The clock.
    pub clock: Arc<dyn Clock>,
    /// The logger of the daemon.
    pub logger: Logger,
    /// The instruments of the daemon.
    pub metrics: Metrics,
    /// Changes of the VMs whose sessions this replica keeps, for the other replicas.
    pub own: Lane,
    entries: Lane,
    agents: Lane,
    state: RefCell<State>,
    applied: RefCell<u64>,
    table: RefCell<Table>,
    /// The services of the routing in force.
    services: RefCell<Option<BTreeSet<name::Service>>>,
    log: OnceCell<Rc<dyn Log>>,
    /// The records of the feeds that follow from the routing in force.
    pub routing: Routing,
    /// Whether feeds wait until the VMs of all replicas are known.
    waits_for_vms: Cell<bool>,
    /// When upstream instances were last heard.
    pub registrar: Registrar,
}

impl Core {
    /// The tables of a replica that starts now.
    pub fn new(
        settings: Control,
        clock: Arc<dyn Clock>,
        logger: Logger,
        metrics: Metrics,
    ) -> Rc<Self> {
        let limits = Limits::new(Duration::from_millis(settings.session_ms));
        let table = Table::new(limits, clock.now());
        Rc::new(Self {
            settings,
            clock,
            logger,
            metrics,
            own: Lane::new(),
            entries: Lane::new(),
            agents: Lane::new(),
            state: RefCell::default(),
            applied: RefCell::default(),
            table: RefCell::new(table),
            services: RefCell::default(),
            log: OnceCell::new(),
            routing: Routing::default(),
            waits_for_vms: Cell::new(true),
            registrar: Registrar::default(),
        })
    }

    /// Binds the replicated log. Only the first call counts.
    pub fn bind(&self, log: Rc<dyn Log>) {
        // The daemon binds it once, right after both exist.
        let _ = self.log.set(log);
    }

    /// Sets how routings are read. Only the first call counts; it comes before any command.
    pub fn read_routing_by(&self, format: Arc<dyn Format>) {
        self.routing.read_by(format);
    }

    /// Lets feeds begin before the VMs of all replicas are known. It is right where no upstream is
    /// reached through its agent: nobody loses an upstream by it.
    pub fn serve_without_vms(&self) {
        self.waits_for_vms.set(false);
    }

    /// The replicated log, once it is bound.
    pub fn log(&self) -> Option<Rc<dyn Log>> {
        self.log.get().cloned()
    }

    /// The replicated state as it is applied here.
    pub fn state(&self) -> Ref<'_, State> {
        self.state.borrow()
    }

    /// Waits until the state here is as new as the revision.
    pub async fn reach(&self, revision: Revision) {
        while self.state().revision() < revision {
            time::sleep(REACH_PERIOD).await;
        }
    }

    /// Whether the routing in force names the service, or nothing while there is none.
    pub fn serves(&self, service: &name::Service) -> Option<bool> {
        let services = self.services.borrow();
        services.as_ref().map(|services| services.contains(service))
    }

    /// The VMs as they are known here.
    pub fn table(&self) -> Ref<'_, Table> {
        self.table.borrow()
    }

    /// Applies one committed command.
    pub fn apply(&self, term: u64, index: u64, command: Command) -> Reply {
        self.hear(&command);
        let id = match &command {
            Command::Edit { edit, .. } => Some(edit.id.clone()),
            _ => None,
        };
        let version = |state: &State| state.routing().map(|document| document.version);
        let (applied, before, forced) = {
            let mut state = self.state.borrow_mut();
            let (before, old) = (state.revision(), version(&state));
            let applied = state.apply(term, index, command);
            let forced = version(&state).filter(|_| version(&state) != old);
            (applied, before, forced)
        };
        let commit = self.applied.replace(index);
        if let Some(version) = forced {
            let now = self.clock.now();
            self.routing.force(version, now, before, commit);
        }
        self.log_conflict(id.as_deref(), &applied.reply);
        self.log_quarantine(&applied.deltas);
        self.entries.apply(applied.deltas.iter().cloned());
        self.agents
            .apply(applied.deltas.into_iter().filter(is_delta_for_agents));
        applied.reply
    }

    /// Logs an edit that came after another one. Nobody may be waiting for its answer any more.
    fn log_conflict(&self, id: Option<&str>, reply: &Reply) {
        if let Reply::Edit(Outcome::Conflict { revision, winner }) = reply {
            info!(self.logger, "edit: another one came first"; "edit" => id,
                "revision" => revision.0, "winner" => &**winner);
        }
    }

    /// Tells of parts that come into quarantine or leave it.
    fn log_quarantine(&self, deltas: &[Delta]) {
        for delta in deltas {
            match delta {
                Delta::Set(Record::Suspect(suspect)) if suspect.is_quarantined => {
                    warn!(self.logger, "quarantine: requests with this part are refused";
                        "key" => %suspect.key, "crashes" => suspect.crashes,
                        "probes" => suspect.probes);
                }
                Delta::Remove(Key::Suspect(key)) => {
                    info!(self.logger, "quarantine: part released"; "key" => %key);
                }
                _ => {}
            }
        }
    }

    /// Notes which instances a command shows to be alive.
    fn hear(&self, command: &Command) {
        let now = self.clock.now();
        match command {
            Command::Registry(Write::Report(report)) => self.registrar.hear(&report.id, now),
            Command::Registry(Write::Touch { heard }) => {
                heard.iter().for_each(|id| self.registrar.hear(id, now));
            }
            _ => {}
        }
    }

    fn replace(&self, records: Vec<Record>, is_covered: impl Fn(&Key) -> bool + Copy) {
        let for_agents = records.iter().filter(|record| is_for_agents(&record.key()));
        self.agents
            .replace(for_agents.cloned().collect(), is_covered);
        self.entries.replace(records, is_covered);
    }

    /// Brings the records of each routing that comes into force into the feeds.
    pub async fn follow_routing(self: Rc<Self>) {
        loop {
            self.routing.changed().await;
            let Some(document) = self.state().routing().cloned() else {
                // A snapshot has taken it away meanwhile, and has cleared what was pending.
                continue;
            };
            let change = self.routing.change(&document).await;
            self.show_routing(document.version, change);
        }
    }

    /// Changes the feeds in one step, so that no subscriber sees a part of a routing.
    fn show_routing(&self, version: u64, change: Result<Change, Vec<Violation>>) {
        let change = change.unwrap_or_else(|violations| {
            // It was read before it was accepted, so another version of the program wrote it.
            error!(self.logger, "routing: could not read the accepted document";
                "version" => version, "violations" => ?violations);
            self.routing.change_to_none(version)
        });
        let services = change.services.clone();
        // If a snapshot came meanwhile, it has brought the records of a newer routing.
        let Some(deltas) = self.routing.show(change) else {
            return;
        };
        self.services.replace(Some(services));
        let for_agents = deltas.iter().filter(|delta| is_delta_for_agents(delta));
        self.agents.apply(for_agents.cloned());
        self.entries.apply(deltas);
    }

    /// Replaces the replicated state by that of a snapshot.
    pub fn restore(&self, index: u64, state: State) {
        let records = state.records();
        let document = state.routing().cloned();
        self.state.replace(state);
        self.applied.replace(index);
        self.replace(records, |key| {
            !matches!(key, Key::Vm(_)) && !is_routing(key)
        });
        // A feed without its routes would take them from subscribers, so this is done at once.
        let change = match &document {
            Some(document) => self.routing.change_now(document),
            None => Ok(self.routing.change_to_none(u64::MAX)),
        };
        self.show_routing(document.map_or(0, |document| document.version), change);
    }

    /// Changes the table of VMs, and tells the feeds.
    pub fn with_table<T>(&self, change: impl FnOnce(&mut Table, Instant) -> T) -> T {
        let now = self.clock.now();
        let mut table = self.table.borrow_mut();
        let result = change(&mut table, now);
        let dirty = table.take_dirty();
        for name in dirty {
            let alive = table.alive(&name);
            let delta = |record: Option<_>| match record {
                Some(vm) => Delta::Set(Record::Vm(Box::new(vm))),
                None => Delta::Remove(Key::Vm(name.clone())),
            };
            self.entries.apply([delta(alive.map(for_entry))]);
            self.agents.apply([delta(alive.map(for_agent))]);
            self.own.apply([delta(table.own(&name).cloned())]);
        }
        result
    }

    /// Submits a command and measures how long the reply took.
    pub async fn submit(&self, command: Command) -> Result<Reply, log::Error> {
        let class = match &command {
            Command::Edit { .. } => "edit",
            Command::Ledger { .. } => "ledger",
            Command::Advance { .. } => "advance",
            Command::Registry(_) => "registry",
            Command::Expire { .. } => "expire",
            Command::Quarantine { .. } => "quarantine",
        };
        let log = self.log().ok_or(log::Error::NotFormed)?;
        let begin = self.clock.now();
        let reply = log.submit(command).await;
        let took = self.clock.now().since(begin);
        self.metrics.submitted(class, took, reply.is_ok());
        reply
    }

    /// An upper bound on the age of the replicated state here.
    pub fn age(&self) -> Option<Duration> {
        self.log().and_then(|log| log.age())
    }

    /// Why the replicated state here is too old to be handed out, if it is.
    pub fn staleness(&self) -> Option<String> {
        match self.age() {
            None => Some("no quorum has confirmed the state".to_owned()),
            Some(age) if age > MAX_SERVED_AGE => {
                let millis = age.as_millis();
                Some(format!("no quorum has confirmed the state for {millis} ms"))
            }
            Some(_) => None,
        }
    }

    /// Everything that keeps this replica from serving its feed.
    pub fn obstacles(&self) -> Vec<String> {
        let is_ready = !self.waits_for_vms.get() || self.is_table_ready();
        let table =
            (!is_ready).then(|| "the VMs of the other replicas are not known yet".to_owned());
        self.staleness().into_iter().chain(table).collect()
    }

    /// Whether the table of VMs is complete enough to act on.
    pub fn is_table_ready(&self) -> bool {
        let peers = self.log().map(|log| log.peers()).unwrap_or_default();
        self.table.borrow().is_ready(self.clock.now(), &peers)
    }

    /// The feed of the given scope.
    pub fn lane(&self, scope: Scope) -> &Lane {
        match scope {
            Scope::Entry => &self.entries,
            Scope::Agent => &self.agents,
        }
    }

    /// What a subscriber lacks, with the age that holds at this moment.
    pub fn batch(&self, scope: Scope, cursor: Cursor) -> Batch {
        // The feed may lack a routing that is in force. Its age says so.
        let lag = self.routing.lag(self.clock.now());
        let age = self.age().map_or(u64::MAX, |age| as_millis_up(age + lag));
        let batch = self.seal(self.lane(scope).since(cursor), age);
        match self.routing.pending() {
            None => batch,
            Some(pending) => Batch {
                revision: pending.revision,
                commit: pending.commit,
                ..batch
            },
        }
    }

    /// What another replica lacks of this one's sessions.
    pub fn own_batch(&self, cursor: Cursor) -> Batch {
        self.seal(self.own.since(cursor), 0)
    }

    /// How many VMs are known.
    pub fn vm_count(&self) -> usize {
        self.table.borrow().all().len()
    }

    /// The last applied command of the log.
    pub fn applied(&self) -> u64 {
        *self.applied.borrow()
    }

    /// The name of this VM.
    pub fn vm(&self) -> &name::Vm {
        &self.settings.place.vm
    }

    fn seal(&self, since: Update, age_ms: u64) -> Batch {
        Batch {
            is_snapshot: since.is_snapshot,
            deltas: since.deltas,
            revision: self.state.borrow().revision(),
            commit: self.applied(),
            cursor: since.cursor,
            age_ms,
            held_ms: 0,
        }
    }
}

fn is_routing(key: &Key) -> bool {
    matches!(
        key,
        Key::Routing | Key::Route(_) | Key::Service(_) | Key::Caller(_)
    )
}

fn is_delta_for_agents(delta: &Delta) -> bool {
    match delta {
        Delta::Set(record) => is_for_agents(&record.key()),
        Delta::Remove(key) => is_for_agents(key),
    }
}

/// Agents choose no routes, know no callers and read no prompts.
fn is_for_agents(key: &Key) -> bool {
    !matches!(key, Key::Route(_) | Key::Caller(_) | Key::Suspect(_))
}
