//! Admission of requests for engines.
//!
//! For services that share by priority, see [`shared`]. For all others, [`Limiter`] decides how many
//! requests run, and a few more wait.

pub mod shared;

use std::{cell::RefCell, collections::HashMap, rc::Rc, time::Duration};

use domain::{clock::Instant, load::Demand, name};
use policy::{
    admission::{Limiter, Sample, Timeliness},
    placement,
};
use tokio::{sync::Notify, time};

use crate::site::Site;

/// The percentage of the latency target that a request may wait for admission. It still begins in
/// time if it is sent after that.
const WAIT_PERCENT: u32 = 45;
/// How many requests wait, as a part of those that run, in hundredths: more would wait in vain.
const QUEUE_PERCENT: u32 = 20;

struct Lane {
    admission: Limiter,
    waiting: u32,
    freed: Rc<Notify>,
}

/// The gates of all services.
#[derive(Default)]
pub struct Gate {
    lanes: RefCell<HashMap<name::Service, Lane>>,
    shared: shared::Lanes,
}

impl Gate {
    /// The demand of this entry's callers for the services that share by priority.
    pub fn demand(&self, now: Instant) -> Vec<Demand> {
        self.shared.demand(now)
    }

    fn with<T>(
        &self,
        service: &name::Service,
        now: Instant,
        work: impl FnOnce(&mut Lane) -> T,
    ) -> T {
        let mut lanes = self.lanes.borrow_mut();
        let lane = lanes.entry(service.clone()).or_insert_with(|| Lane {
            admission: Limiter::new(now),
            waiting: 0,
            freed: Rc::default(),
        });
        work(lane)
    }
}

/// The permit to run, until it is dropped.
pub struct Permit {
    site: Rc<Site>,
    service: name::Service,
    target: Duration,
    /// Whether the service shares by priority.
    is_shared: bool,
}

/// Waits for a permit to run, at most a part of the latency target; a request that is late already
/// does not wait. `slots` tells the entry's part of the slots, or why no instance may serve the
/// request.
///
/// # Errors
///
/// What `slots` says at once where waiting is vain, [`placement::Error::Busy`] if too many run and
/// wait.
pub async fn enter(
    site: &Rc<Site>,
    service: &name::Service,
    target: Duration,
    timeliness: Timeliness,
    slots: impl Fn() -> Result<f64, placement::Error>,
) -> Result<Permit, placement::Error> {
    let begun = site.now();
    let permit = || Permit {
        site: site.clone(),
        service: service.clone(),
        target,
        is_shared: false,
    };
    let limit = target * WAIT_PERCENT / 100;
    let mut queued: Option<Queued<'_>> = None;
    loop {
        let now = site.now();
        let slots = slots()?;
        let is_turn = site.gate.with(service, now, |lane| {
            // Nobody overtakes those who wait.
            (lane.waiting == 0 || queued.is_some()) && lane.admission.admit(slots, timeliness, now)
        });
        if is_turn {
            return Ok(permit());
        }
        let left = limit.saturating_sub(now.since(begun));
        if left.is_zero() || timeliness == Timeliness::Late {
            return Err(placement::Error::Busy);
        }
        if queued.is_none() {
            queued = Some(Queued::join(site, service, now).ok_or(placement::Error::Busy)?);
        }
        let freed = site.gate.with(service, now, |lane| lane.freed.clone());
        // Without news the next look comes when the wait is over.
        let _ = time::timeout(left, freed.notified()).await;
    }
}

/// A place among those who wait.
struct Queued<'a> {
    site: &'a Rc<Site>,
    service: &'a name::Service,
}

impl<'a> Queued<'a> {
    fn join(site: &'a Rc<Site>, service: &'a name::Service, now: Instant) -> Option<Self> {
        let has_room = site.gate.with(service, now, |lane| {
            let most = (lane.admission.running() * QUEUE_PERCENT / 100).max(2);
            let has_room = lane.waiting < most;
            lane.waiting += u32::from(has_room);
            has_room
        });
        has_room.then(|| Self { site, service })
    }
}

impl Drop for Queued<'_> {
    fn drop(&mut self) {
        let now = self.site.now();
        self.site
            .gate
            .with(self.service, now, |lane| lane.waiting -= 1);
    }
}

impl Permit {
    /// The answer began so long after the request was sent to an instance that was cold or not.
    pub fn begin(&self, waited: Duration, is_cold: bool) {
        if self.is_shared {
            return;
        }
        let now = self.site.now();
        let beginning = Sample {
            waited,
            target: self.target,
            is_cold,
        };
        self.site.gate.with(&self.service, now, |lane| {
            lane.admission.observe(beginning, now);
        });
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if self.is_shared {
            return self.site.gate.shared.release(&self.service);
        }
        let now = self.site.now();
        let freed = self.site.gate.with(&self.service, now, |lane| {
            lane.admission.release();
            lane.freed.clone()
        });
        freed.notify_one();
    }
}
