//! The records of the feeds that follow from the routing in force.
//!
//! Decoding a large document takes longer than a heartbeat, so it is done on another thread. Until
//! then the feeds hold the records of the routing before, and say how old they are. See
//! `docs/LOAD.md`, "Large configurations".

use std::{
    cell::{OnceCell, RefCell},
    collections::{BTreeMap, BTreeSet, VecDeque},
    sync::Arc,
    time::Duration,
};

use domain::{
    clock::Instant,
    edit::Revision,
    name,
    record::{Delta, Key, Record, Routing as Head},
    routing::{Document, Format, Table},
    violation::Violation,
};
use policy::load;
use tokio::{sync::Notify, task};

/// Records by their key.
pub type Records = BTreeMap<Key, Record>;

/// A routing that is in force and whose records are not in the feeds yet.
#[derive(Clone, Copy, Debug)]
pub struct Pending {
    /// The version of the document.
    version: u64,
    /// When it was applied.
    applied_at: Instant,
    /// The revision before it.
    pub revision: Revision,
    /// The last command of the log before it.
    pub commit: u64,
}

/// What a document changes.
pub struct Change {
    /// The services that it names.
    pub services: BTreeSet<name::Service>,
    /// All of its records.
    pub records: Records,
    /// What differs from the records before.
    pub deltas: Vec<Delta>,
    /// The records before.
    base: Arc<Records>,
    version: u64,
}

/// The routing of one replica.
#[derive(Default)]
pub struct Routing {
    format: OnceCell<Arc<dyn Format>>,
    /// The document that was decoded last. The replica that takes an edit decodes it before it is
    /// committed, and needs it again right after.
    decoded: RefCell<Option<(Document, Arc<Table>)>>,
    /// The records that are in the feeds.
    shown: RefCell<Arc<Records>>,
    pending: RefCell<VecDeque<Pending>>,
    /// Told after a routing was added to `pending`.
    changed: Notify,
}

impl Routing {
    /// Sets how routings are read. Only the first call counts.
    pub fn read_by(&self, format: Arc<dyn Format>) {
        let _ = self.format.set(format);
    }

    /// How routings are read, if this control takes any.
    pub fn format(&self) -> Option<&Arc<dyn Format>> {
        self.format.get()
    }

    /// Decodes and validates a document on another thread.
    ///
    /// # Errors
    ///
    /// Everything that is wrong with the document.
    pub async fn read(&self, document: &Document) -> Result<Arc<Table>, Vec<Violation>> {
        let Some(format) = self.format.get().cloned() else {
            let message = "this control takes no routing";
            return Err(vec![Violation::new("$.change.routing", message)]);
        };
        if let Some(table) = self.known(document) {
            return Ok(table);
        }
        let document = document.clone();
        let work = move || {
            let table = format.read(&document)?;
            Ok((document, Arc::new(table)))
        };
        let (document, table) = off_loop(work)
            .await
            .unwrap_or_else(|reason| Err(vec![Violation::new("$.change.routing", reason)]))?;
        self.decoded.replace(Some((document, table.clone())));
        Ok(table)
    }

    fn known(&self, document: &Document) -> Option<Arc<Table>> {
        let decoded = self.decoded.borrow();
        let known = decoded.as_ref().filter(|(known, _)| known == document);
        known.map(|(_, table)| table.clone())
    }

    /// Notes that a routing is in force, after the given revision and command.
    pub fn force(&self, version: u64, applied_at: Instant, revision: Revision, commit: u64) {
        self.pending.borrow_mut().push_back(Pending {
            version,
            applied_at,
            revision,
            commit,
        });
        self.changed.notify_one();
    }

    /// Waits until a routing is in force whose records are not in the feeds.
    pub async fn changed(&self) {
        while self.pending.borrow().is_empty() {
            self.changed.notified().await;
        }
    }

    /// The oldest routing whose records are not in the feeds.
    pub fn pending(&self) -> Option<Pending> {
        self.pending.borrow().front().copied()
    }

    /// How long the feeds have lacked a routing that is in force.
    pub fn lag(&self, now: Instant) -> Duration {
        let pending = self.pending();
        pending.map_or(Duration::ZERO, |pending| now.since(pending.applied_at))
    }

    /// What a document changes in the feeds, worked out on another thread. One that can't be read
    /// leaves no records.
    ///
    /// # Errors
    ///
    /// Everything that is wrong with the document.
    pub async fn change(&self, document: &Document) -> Result<Change, Vec<Violation>> {
        // A snapshot may come while the document is decoded. Its records are newer.
        let (version, base) = (document.version, self.shown.borrow().clone());
        let table = self.read(document).await?;
        let changed = off_loop(move || change(version, &table, base)).await;
        changed.map_err(|reason| vec![Violation::new("$.change.routing", reason)])
    }

    /// The same at once, for a replica that gets a snapshot.
    ///
    /// # Errors
    ///
    /// Everything that is wrong with the document.
    pub fn change_now(&self, document: &Document) -> Result<Change, Vec<Violation>> {
        let format = self.format.get();
        let table = format.map(|format| format.read(document)).transpose()?;
        let base = self.shown.borrow().clone();
        Ok(change(document.version, &table.unwrap_or_default(), base))
    }

    /// What changes if the document of the given version can't be read. Without a document the
    /// version is [`u64::MAX`], so that nothing stays pending.
    pub fn change_to_none(&self, version: u64) -> Change {
        Change {
            version,
            services: BTreeSet::new(),
            records: Records::new(),
            deltas: self
                .shown
                .borrow()
                .keys()
                .cloned()
                .map(Delta::Remove)
                .collect(),
            base: self.shown.borrow().clone(),
        }
    }

    /// Notes that a change is made in the feeds. Returns the deltas to apply, or nothing if the
    /// feeds hold other records than those from which they were worked out.
    pub fn show(&self, change: Change) -> Option<Vec<Delta>> {
        if !Arc::ptr_eq(&change.base, &self.shown.borrow()) {
            return None;
        }
        self.shown.replace(Arc::new(change.records));
        self.pending
            .borrow_mut()
            .retain(|pending| pending.version > change.version);
        Some(change.deltas)
    }
}

/// Runs work that takes long on another thread.
async fn off_loop<T: Send + 'static>(
    work: impl FnOnce() -> T + Send + 'static,
) -> Result<T, String> {
    let done = task::spawn_blocking(work).await;
    done.map_err(|error| format!("could not be read: {error}"))
}

fn change(version: u64, table: &Table, base: Arc<Records>) -> Change {
    let records = records(version, table);
    let removed = base
        .keys()
        .filter(|key| !records.contains_key(key))
        .map(|key| Delta::Remove(key.clone()));
    let set = records
        .iter()
        .filter(|(key, record)| base.get(key) != Some(record))
        .map(|(_, record)| Delta::Set(record.clone()));
    let deltas = removed.chain(set).collect();
    let names = table.services.iter().map(|service| service.name.clone());
    Change {
        services: names.collect(),
        records,
        deltas,
        base,
        version,
    }
}

fn records(version: u64, table: &Table) -> Records {
    let head = Head {
        version,
        limits: table.limits,
        has_callers: table.needs_key,
        shared: load::shared(table),
    };
    let services = table.services.iter().cloned().map(Box::new);
    let routes = table.routes.iter().cloned().map(Record::Route);
    let callers = table.callers.iter().cloned().map(Record::Caller);
    services
        .map(Record::Service)
        .chain(callers)
        .chain(routes)
        .chain([Record::Routing(head)])
        .map(|record| (record.key(), record))
        .collect()
}
