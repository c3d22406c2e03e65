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
    record::{Batch, Cursor, Delta, Key, Record, Routing},
    routing::Format,
};
use peer::control::Scope;
use policy::{
    changes::{Update, for_agent, for_entry},
    load,
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
    format: OnceCell<Rc<dyn Format>>,
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
            format: OnceCell::new(),
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
    pub fn read_routing_by(&self, format: Rc<dyn Format>) {
        let _ = self.format.set(format);
    }

    /// Lets feeds begin before the VMs of all replicas are known. It is right where no upstream is
    /// reached through its agent: nobody loses an upstream by it.
    pub fn serve_without_vms(&self) {
        self.waits_for_vms.set(false);
    }

    /// How routings are read, if this control takes any.
    pub fn format(&self) -> Option<&Rc<dyn Format>> {
        self.format.get()
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
        let (applied, is_rerouted) = {
            let mut state = self.state.borrow_mut();
            let before = state.routing().cloned();
            let applied = state.apply(term, index, command);
            (applied, state.routing() != before.as_ref())
        };
        self.applied.replace(index);
        self.log_conflict(id.as_deref(), &applied.reply);
        self.log_quarantine(&applied.deltas);
        self.entries.apply(applied.deltas.iter().cloned());
        let for_agents = |delta: &Delta| match delta {
            Delta::Set(record) => is_for_agents(&record.key()),
            Delta::Remove(key) => is_for_agents(key),
        };
        self.agents
            .apply(applied.deltas.into_iter().filter(for_agents));
        if is_rerouted {
            let records = self.routing_records();
            self.replace(records, is_routing);
        }
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

    /// The records of the feed that follow from the routing in force.
    fn routing_records(&self) -> Vec<Record> {
        let document = self.state.borrow().routing().cloned();
        let (Some(document), Some(format)) = (document, self.format.get()) else {
            return Vec::new();
        };
        let table = match format.read(&document) {
            Ok(table) => table,
            Err(violations) => {
                // It was read before it was accepted, so another version of the program wrote it.
                error!(self.logger, "routing: could not read the accepted document";
                    "version" => document.version, "violations" => ?violations);
                return Vec::new();
            }
        };
        let names = table.services.iter().map(|service| service.name.clone());
        *self.services.borrow_mut() = Some(names.collect());
        let head = Routing {
            version: document.version,
            limits: table.limits,
            has_callers: !table.callers.is_empty(),
            shared: load::shared(&table),
        };
        let services = table
            .services
            .into_iter()
            .map(Box::new)
            .map(Record::Service);
        let routes = table.routes.into_iter().map(Record::Route);
        let callers = table.callers.into_iter().map(Record::Caller);
        services
            .chain(callers)
            .chain(routes)
            .chain([Record::Routing(head)])
            .collect()
    }

    /// Replaces the replicated state by that of a snapshot.
    pub fn restore(&self, index: u64, state: State) {
        let mut records = state.records();
        self.state.replace(state);
        self.applied.replace(index);
        records.extend(self.routing_records());
        self.replace(records, |key| !matches!(key, Key::Vm(_)));
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
        let age = self.age().map_or(u64::MAX, as_millis_up);
        self.seal(self.lane(scope).since(cursor), age)
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
        }
    }
}

fn is_routing(key: &Key) -> bool {
    matches!(
        key,
        Key::Routing | Key::Route(_) | Key::Service(_) | Key::Caller(_)
    )
}

/// Agents choose no routes, know no callers and read no prompts.
fn is_for_agents(key: &Key) -> bool {
    !matches!(key, Key::Route(_) | Key::Caller(_) | Key::Suspect(_))
}
