//! Crashes of instances as this entry sees them: each is checked, logged, and told to control.

use std::{
    cell::{Cell, RefCell},
    io,
    rc::Rc,
    time::Duration,
};

use domain::{
    clock::Instant,
    instance::Instance,
    name,
    quarantine::{Crash, Key, Process, Reply, Write},
};
use futures::{
    FutureExt,
    future::{self, LocalBoxFuture},
};
use peer::uplink::Client;
use policy::{
    crash::{Tracker, Verdict},
    view::View,
};
use slog::{info, warn};
use tokio::{net::TcpStream, task, time};

use crate::{journal::join, site::Site};

/// How long losses are collected before their instances are checked: all connections of a process
/// that ended break within a few milliseconds.
const COLLECTION: Duration = Duration::from_millis(20);
/// How long a check may take. An instance that does not answer may be cut off, which is no crash.
const CHECK_TIMEOUT: Duration = Duration::from_millis(150);
/// How long a report is repeated: control finds a new leader within a second or two.
const REPORT_TIMEOUT: Duration = Duration::from_secs(5);
/// How long a request waits for the leave to be a probe. A grant that comes later is lost.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// Where a relay tells what it sees of crashes.
pub trait Reports {
    /// Passes a write on, and gives its reply.
    fn send(&self, write: Write) -> LocalBoxFuture<'static, Result<Reply, String>>;
}

impl Reports for Client {
    fn send(&self, write: Write) -> LocalBoxFuture<'static, Result<Reply, String>> {
        let client = self.clone();
        async move {
            let sent = client.quarantine(write, REPORT_TIMEOUT).await;
            sent.map_err(|error| error.to_string())
        }
        .boxed_local()
    }
}

/// What a relay sees of crashes.
pub(crate) struct Witness {
    reports: Rc<dyn Reports>,
    tracker: RefCell<Tracker>,
    is_examining: Cell<bool>,
}

impl Witness {
    pub(crate) fn new(reports: Rc<dyn Reports>) -> Self {
        Self {
            reports,
            tracker: RefCell::new(Tracker::new()),
            is_examining: Cell::new(false),
        }
    }

    /// What holds of a request with these parts.
    pub(crate) fn judge(
        &self,
        service: &name::Service,
        parts: &[name::Part],
        now: Instant,
    ) -> Verdict {
        self.tracker.borrow().judge(service, parts, now)
    }

    /// Whether a request may have caused a crash before.
    pub(crate) fn is_suspected(
        &self,
        service: &name::Service,
        parts: &[name::Part],
        now: Instant,
    ) -> bool {
        self.tracker.borrow().is_suspected(service, parts, now)
    }

    pub(crate) fn observe(&self, site: &Rc<Site>, view: &View) {
        self.tracker.borrow_mut().observe(view, site.now());
        self.tell_acquittals(site);
    }

    pub(crate) fn sweep(&self, now: Instant) {
        self.tracker.borrow_mut().sweep(now);
    }

    pub(crate) fn acquit(&self, site: &Rc<Site>, service: &name::Service, parts: &[name::Part]) {
        if parts.is_empty() {
            return;
        }
        self.tracker.borrow_mut().acquit(service, parts, site.now());
        self.tell_acquittals(site);
    }

    fn tell_acquittals(&self, site: &Rc<Site>) {
        let keys = self.tracker.borrow_mut().take_acquittals(site.now());
        if keys.is_empty() {
            return;
        }
        let site = site.clone();
        task::spawn_local(async move {
            let text = format!("{keys:?}");
            let sent = site.witness.reports.send(Write::Acquit(keys)).await;
            match sent {
                Ok(_) => info!(site.journal.logger(), "quarantine: acquitted"; "keys" => text),
                Err(reason) => warn!(site.journal.logger(), "quarantine: could not acquit";
                    "keys" => text, "reason" => reason),
            }
        });
    }

    pub(crate) fn lose(&self, site: &Rc<Site>, instance: &Instance, parts: &[name::Part]) {
        if parts.is_empty() {
            return;
        }
        self.tracker.borrow_mut().lose(instance, parts, site.now());
        if !self.is_examining.replace(true) {
            task::spawn_local(examine(site.clone()));
        }
    }

    /// Asks whether this entry may send the next probe of a part.
    pub(crate) async fn may_probe(&self, site: &Site, key: Key, probes: u32) -> bool {
        self.tracker.borrow_mut().ask(&key, true);
        let write = Write::Probe {
            key: key.clone(),
            probes,
        };
        let sent = time::timeout(PROBE_TIMEOUT, self.reports.send(write)).await;
        let reply = sent.unwrap_or_else(|_| Err("no answer in time".to_owned()));
        self.tracker.borrow_mut().ask(&key, false);
        info!(site.journal.logger(), "quarantine: asked for a probe";
            "key" => %key, "probes" => probes, "reply" => ?reply);
        reply == Ok(Reply::Granted)
    }
}

/// Checks instances at which requests were lost, until there are none left.
async fn examine(site: Rc<Site>) {
    loop {
        time::sleep(COLLECTION).await;
        let doubtful = site.witness.tracker.borrow().doubtful();
        if doubtful.is_empty() {
            site.witness.is_examining.set(false);
            return;
        }
        let checks = doubtful.iter().map(|process| has_crashed(&site, process));
        let results = future::join_all(checks).await;
        let now = site.now();
        let settled = doubtful.iter().zip(results);
        let crashes: Vec<_> = settled
            .filter_map(|(process, has_crashed)| {
                let mut tracker = site.witness.tracker.borrow_mut();
                tracker.settle(process, has_crashed, now)
            })
            .collect();
        crashes.iter().for_each(|crash| log(&site, crash));
        let blamed: Vec<_> = crashes
            .into_iter()
            .filter(|crash| !crash.parts.is_empty())
            .collect();
        if blamed.is_empty() {
            continue;
        }
        if let Err(reason) = site.witness.reports.send(Write::Crashes(blamed)).await {
            warn!(site.journal.logger(), "quarantine: could not report crashes";
                "reason" => reason);
        }
    }
}

/// Whether the process has ended: its port is closed, or a later process has registered there.
async fn has_crashed(site: &Site, process: &Process) -> bool {
    let feed = site.feed();
    let Some(known) = feed.view.instances.get(&process.instance) else {
        return false;
    };
    if known.born_ms != process.born_ms {
        return known.born_ms > process.born_ms;
    }
    let opened = time::timeout(CHECK_TIMEOUT, TcpStream::connect(known.address)).await;
    matches!(opened, Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused)
}

fn log(site: &Site, crash: &Crash) {
    info!(site.journal.logger(), "instance: crashed";
        "instance" => crash.process.instance.as_str(), "born_ms" => crash.process.born_ms,
        "service" => crash.service.as_str(), "age_ms" => crash.age_ms,
        "suspected" => join(&crash.parts));
    site.meters.crashed(&crash.service);
}
