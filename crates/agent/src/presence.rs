//! What the agent reports to control, and how often.

use std::{collections::BTreeMap, mem, sync::Arc, time::Duration};

use domain::{
    artifact,
    order::Fence,
    vm::{Holding, Lifecycle, Status, Vm},
};
use policy::lifecycle::Event;
use tokio::{sync::watch, time};

use crate::{orders::Orders, site::Site};

/// Progress of transfers and of the limit is reported at most this often.
const PROGRESS_PERIOD: Duration = Duration::from_secs(5);

/// Reports of one agent.
pub struct Reporter {
    site: Arc<Site>,
    orders: Option<Arc<Orders>>,
    presence: watch::Sender<Option<Arc<Vm>>>,
}

impl Reporter {
    /// A reporter; plain services have no orders.
    pub fn new(
        site: Arc<Site>,
        orders: Option<Arc<Orders>>,
        presence: watch::Sender<Option<Arc<Vm>>>,
    ) -> Self {
        Self {
            site,
            orders,
            presence,
        }
    }

    /// Reports for ever: changes of standing at once, progress now and then.
    pub async fn run(self) {
        let mut lifecycles = self.site.lifecycles();
        let mut limits = self.site.gate.changes();
        let mut holdings = self.orders.as_ref().map(|orders| orders.holdings());
        let mut reported_at = None::<time::Instant>;
        loop {
            lifecycles.mark_unchanged();
            limits.mark_unchanged();
            if let Some(holdings) = &mut holdings {
                holdings.mark_unchanged();
            }
            self.track_warmth();
            let status = self.status();
            let is_due = reported_at.is_none_or(|at| at.elapsed() >= PROGRESS_PERIOD);
            if self.report(status, is_due) {
                reported_at = Some(time::Instant::now());
            }
            tokio::select! {
                _ = lifecycles.changed() => {}
                _ = limits.changed() => {}
                () = changed(&mut holdings) => {}
                () = time::sleep(PROGRESS_PERIOD) => {}
            }
        }
    }

    fn track_warmth(&self) {
        let event = match self.site.gate.is_warm() {
            true => Event::Warmed,
            false => Event::Cooled,
        };
        self.site.handle(event);
    }

    fn status(&self) -> Status {
        let orders = self.orders.as_ref();
        let holdings = orders.map(|orders| orders.holdings().borrow().as_ref().clone());
        Status {
            lifecycle: self.site.lifecycle(),
            holdings: holdings.unwrap_or_default(),
            fence: orders.map_or_else(Fence::default, |orders| orders.fence()),
            limit: self.site.gate.load().limit,
        }
    }

    /// Reports a status if it is worth it now.
    fn report(&self, status: Status, is_due: bool) -> bool {
        self.presence.send_if_modified(|current| {
            let is_new = match current {
                Some(last) if last.status == status => false,
                Some(last) => is_due || is_change(&last.status, &status),
                None => true,
            };
            if is_new {
                *current = Some(Arc::new(Vm {
                    announcement: self.site.announcement.clone(),
                    status,
                }));
            }
            is_new
        })
    }
}

/// Whether others act on the difference, beyond mere progress.
pub fn is_change(last: &Status, next: &Status) -> bool {
    let kinds = |holdings: &BTreeMap<artifact::Id, Holding>| -> Vec<_> {
        let kind =
            |(id, holding): (&artifact::Id, &Holding)| (id.clone(), mem::discriminant(holding));
        holdings.iter().map(kind).collect()
    };
    last.lifecycle != next.lifecycle || kinds(&last.holdings) != kinds(&next.holdings)
}

/// The last report: the upstream is gone.
pub fn farewell(presence: &watch::Sender<Option<Arc<Vm>>>) {
    presence.send_if_modified(|current| match current {
        Some(vm) => {
            let mut gone = Vm::clone(vm);
            gone.status.lifecycle = Lifecycle::Gone;
            *current = Some(Arc::new(gone));
            true
        }
        None => false,
    });
}

async fn changed(holdings: &mut Option<watch::Receiver<Arc<crate::orders::Holdings>>>) {
    match holdings {
        // The orders live as long as the agent.
        Some(holdings) => drop(holdings.changed().await),
        None => std::future::pending().await,
    }
}
