//! The load reports of an agent: it reads the figures of its engine and sends them to entries.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use domain::{
    clock::Instant,
    load::{Engine, Report},
};
use peer::load::Node;
use policy::{
    load::exchange::{self, ENGINE_PERIOD, Exchange, Outgoing, Refusal, Role},
    view::View,
};
use slog::info;
use tokio::time;

use crate::{port, stager::Stager};

/// The age at which figures of the engine are no longer sent: receivers take the time of the
/// receipt for that of the figures. A call may take a while on the small share of a core that an
/// agent has.
const MAX_AGE: Duration = Duration::from_millis(250);

/// The exchange of one agent.
pub struct Reporter {
    stager: Rc<Stager>,
    address: SocketAddr,
    exchange: RefCell<Exchange>,
    /// The view from which the partners were chosen.
    view: RefCell<Arc<View>>,
    /// The newest figures that were not sent, and when they were read.
    figures: Cell<Option<(port::Figures, Instant)>>,
}

impl Reporter {
    /// Creates the exchange of an agent whose engine accepts requests at `address`. `incarnation`
    /// is the time of the agent's start, in milliseconds since the Unix epoch.
    pub fn new(stager: Rc<Stager>, address: SocketAddr, incarnation: u64) -> Rc<Self> {
        let role = Role::Agent(stager.given.service.clone());
        let exchange = Exchange::new(role, stager.given.me.clone(), incarnation);
        Rc::new(Self {
            stager,
            address,
            exchange: RefCell::new(exchange),
            view: RefCell::default(),
            figures: Cell::default(),
        })
    }

    /// Reads the figures of the engine for as long as it is polled, and only while its service is
    /// shared by priority.
    pub async fn run(self: Rc<Self>) {
        let mut ticks = time::interval(ENGINE_PERIOD);
        ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
        let mut has_failed = false;
        loop {
            ticks.tick().await;
            if !self.is_active() {
                continue;
            }
            let begun_at = self.stager.given.clock.now();
            let figures = self.read().await;
            if figures.is_err() != has_failed {
                has_failed = !has_failed;
                let reason = figures.as_ref().err().map(ToString::to_string);
                info!(self.stager.given.logger, "load: reading of the engine's figures changed";
                    "has_failed" => has_failed, "reason" => reason);
            }
            self.figures
                .set(figures.ok().map(|figures| (figures, begun_at)));
        }
    }

    async fn read(&self) -> Result<port::Figures, port::Error> {
        // The number of layers decides which version is served, which is of no interest here.
        let report = self.stager.given.engine.report(0).await?;
        report.figures.ok_or_else(|| port::Error {
            step: "read the engine's load",
            reason: "the report has no number of running requests".to_owned(),
        })
    }

    /// Follows the state. Returns whether the engine's service is shared.
    fn is_active(&self) -> bool {
        let view = (self.stager.given.state)().view.clone();
        let mut exchange = self.exchange.borrow_mut();
        if !Arc::ptr_eq(&view, &self.view.borrow()) {
            exchange.observe(&view);
            self.view.replace(view);
        }
        exchange.is_active()
    }

    fn engine(&self, figures: &port::Figures, now: Instant) -> Engine {
        exchange::engine(
            self.address,
            (figures.active, figures.queued),
            figures.pace,
            (figures.kv_used, figures.kv_total),
            self.stager.moves_in(now),
        )
    }
}

impl Node for Reporter {
    fn take(&self) -> Vec<Outgoing> {
        let now = self.stager.given.clock.now();
        let figures = self.figures.take();
        let fresh = figures.filter(|(_, read_at)| now.since(*read_at) <= MAX_AGE);
        let outgoing = fresh.and_then(|(figures, read_at)| {
            let engine = self.engine(&figures, now);
            let outgoing = self.exchange.borrow_mut().report_engine(engine, now);
            if outgoing.is_none() {
                // They are sent at the next tick if a report is due then.
                self.figures.set(Some((figures, read_at)));
            }
            outgoing
        });
        outgoing.into_iter().collect()
    }

    fn receive(&self, _: Report) -> Result<Option<Outgoing>, Refusal> {
        Err(Refusal::NotShared)
    }
}
