//! The load reports of an entry: what it sends, and what it accepts for the placement of requests.

use std::{cell::RefCell, rc::Rc, sync::Arc, time::Duration};

use domain::{clock::Instant, load::Report};
use opentelemetry::metrics::{Gauge, Meter};
use peer::load::Node;
use policy::{
    load::exchange::{Exchange, Outgoing, Refusal, Role},
    owner::Member,
    view::View,
};
use slog::info;

use crate::site::Site;

/// How often the numbers of recent reports are shown.
const SHOW_PERIOD: Duration = Duration::from_secs(1);

struct Meters {
    engines: Gauge<u64>,
    entries: Gauge<u64>,
}

/// The exchange of one entry.
pub struct Reporter {
    site: Rc<Site>,
    exchange: RefCell<Exchange>,
    /// The view from which the partners were chosen.
    view: RefCell<Arc<View>>,
    meters: Meters,
    shown_at: RefCell<Option<Instant>>,
}

impl Reporter {
    /// Creates the exchange of an entry. `incarnation` is the time of its start, in milliseconds
    /// since the Unix epoch.
    pub fn new(site: Rc<Site>, me: Member, incarnation: u64, meter: &Meter) -> Self {
        let gauge = |name: &'static str, description: &'static str| {
            meter.u64_gauge(name).with_description(description).build()
        };
        Self {
            site,
            exchange: RefCell::new(Exchange::new(Role::Entry, me, incarnation)),
            view: RefCell::default(),
            meters: Meters {
                engines: gauge(
                    "gypsum_load_engines",
                    "Engines with a load report of the last second",
                ),
                entries: gauge(
                    "gypsum_load_entries",
                    "Other entries of the zone with a load report of the last second",
                ),
            },
            shown_at: RefCell::default(),
        }
    }

    /// Follows the state.
    fn observe(&self) {
        let view = self.site.feed().view.clone();
        if Arc::ptr_eq(&view, &self.view.borrow()) {
            return;
        }
        let mut exchange = self.exchange.borrow_mut();
        let was_active = exchange.is_active();
        exchange.observe(&view);
        self.view.replace(view);
        if exchange.is_active() != was_active {
            info!(self.site.journal.logger(), "load: exchange of reports switched";
                "is_active" => exchange.is_active());
        }
    }

    fn show(&self, now: Instant) {
        let shown_at = *self.shown_at.borrow();
        if shown_at.is_some_and(|at| now.since(at) < SHOW_PERIOD) {
            return;
        }
        self.shown_at.replace(Some(now));
        let (engines, entries) = self.site.place(|placer| {
            let reports = placer.reports();
            (reports.recent_engines(now), reports.recent_entries(now))
        });
        self.meters.engines.record(engines as u64, &[]);
        self.meters.entries.record(entries as u64, &[]);
    }
}

impl Node for Reporter {
    fn take(&self) -> Vec<Outgoing> {
        self.observe();
        let now = self.site.now();
        self.show(now);
        let mut exchange = self.exchange.borrow_mut();
        if !exchange.is_due(now) {
            return Vec::new();
        }
        let own = self.site.demand();
        self.site
            .place(|placer| exchange.report_demand(&own, placer.reports(), now))
    }

    fn receive(&self, report: Report) -> Result<Option<Outgoing>, Refusal> {
        self.observe();
        let mut exchange = self.exchange.borrow_mut();
        exchange.check(&self.view.borrow(), &report)?;
        match self.site.observe_load(report.clone()) {
            true => Ok(exchange.forward(&report, self.site.now())),
            false => Err(Refusal::Outdated),
        }
    }
}
