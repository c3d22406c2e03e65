//! The fractions of work that are admitted, by the capacity and the demand of all entries.

use std::{
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    time::Duration,
};

use domain::{clock::Instant, name};
use policy::{
    level::{self, Load, Rates},
    load,
    placement::Requirements,
};
use slog::info;
use telemetry::budget::Class;

use super::{engine, lane::Lane};
use crate::site::Site;

/// How often the fractions are computed at most. Reports of other entries come less often.
const COMPUTE_PERIOD: Duration = Duration::from_millis(100);

/// Computes the fractions again for all services, so that they follow the demand also without
/// requests, and forgets services that no longer share by priority.
pub(crate) fn refresh(site: &Rc<Site>) {
    let feed = site.feed();
    let shared = &site.gate.shared;
    let services: Vec<_> = shared.lanes.borrow().keys().cloned().collect();
    for service in services {
        let is_idle = |lane: &mut Lane| lane.queue.is_empty() && lane.running == 0;
        match load::is_shared(&feed.view, &service) {
            true => compute(site, &service),
            false if shared.with(&service, is_idle) == Some(true) => {
                shared.lanes.borrow_mut().remove(&service);
            }
            false => {}
        }
    }
}

/// Computes the fractions from the capacity of the engines and the demand of all entries.
pub(super) fn compute(site: &Rc<Site>, service: &name::Service) {
    let now = site.now();
    let shared = &site.gate.shared;
    let is_due = shared.with_new(service, now, |lane| {
        let is_due = |at: Instant| now.since(at) >= COMPUTE_PERIOD;
        let is_due = lane.computed_at.is_none_or(is_due);
        if is_due {
            lane.computed_at = Some(now);
        }
        is_due
    });
    if !is_due {
        return;
    }
    let feed = site.feed();
    let requirements = Requirements {
        service,
        model: None,
        pinned: None,
        regions: [&[], &[]],
        tried: &[],
        share: None,
    };
    let (capacity, reported, factor) = site.place(|placer| {
        let reports = placer.reports();
        let factor = match reports.knows_demand(now) {
            true => 1.0,
            // Without reports, the callers of the other entries are taken to be like the own ones.
            false => f64::from(placer.entries(now)),
        };
        let capacity = placer.capacity(&feed.view, &requirements, now);
        (capacity, reports.demand(service, now), factor)
    });
    let slots = engine(&feed.view, service).map_or(1, |engine| engine.slots.max(1));
    let all_slots = (capacity.engine_ms / 1_000.0 * f64::from(slots)).max(1.0);
    shared.with(service, |lane| {
        let own = lane.admitter.offered(now).into_iter();
        let mut demand: Rates = own
            .map(|(priority, work)| (priority, work * factor))
            .collect();
        let mut waiting = lane.all_waiting() as f64 * factor;
        for (priority, other) in reported {
            *demand.entry(priority).or_default() += f64::from(other.offered_ms);
            waiting += f64::from(other.waiting);
        }
        let load = Load {
            occupancy: capacity.occupancy,
            waiting: waiting / all_slots,
        };
        lane.correction
            .observe(load, lane.admitter.is_shedding(), now);
        let fractions = match capacity.engine_ms > 0.0 {
            true => level::fractions(capacity.engine_ms * lane.correction.factor(), &demand),
            // Placement says why no engine may serve a request.
            false => BTreeMap::new(),
        };
        lane.demand = demand;
        lane.admitter.set_fractions(fractions, now);
    });
    let own = shared.with(service, |lane| lane.admitter.offered(now).values().sum());
    site.place(|placer| {
        placer.plan_spillover(&feed.view, service, own.unwrap_or_default(), now);
    });
    show(site, service);
}

/// Shows the state of a service in metrics, and logs which priorities begin or end to be shed.
fn show(site: &Rc<Site>, service: &name::Service) {
    let now = Duration::from_nanos(site.now().as_nanos());
    let shared = &site.gate.shared;
    let spilled = site.place(|placer| placer.spilled_share(service));
    let changes = shared.with(service, |lane| {
        let factor = lane.correction.factor();
        site.meters.show_capacity(service, factor, spilled);
        let mut changes = Vec::new();
        let known: BTreeSet<_> = lane.demand.keys().chain(&lane.shed).copied().collect();
        for priority in &known {
            let fraction = lane.admitter.fraction(*priority);
            let waiting = lane.queue.waiting(*priority);
            site.meters
                .show_priority(service, *priority, fraction, waiting);
            let is_changed = match fraction < 1.0 {
                true => lane.shed.insert(*priority),
                false => lane.shed.remove(priority),
            };
            if is_changed {
                changes.push((*priority, fraction, factor));
            }
        }
        changes
    });
    for (priority, fraction, factor) in changes.into_iter().flatten() {
        let Some(omitted) = shared.lines.borrow_mut().admit(Class::Routine, now) else {
            continue;
        };
        let what = match fraction < 1.0 {
            true => "begins to be shed",
            false => "is admitted as a whole again",
        };
        info!(site.journal.logger(), "admission: a priority {}", what;
            "service" => service.to_string(), "priority" => priority.to_string(),
            "fraction" => format!("{fraction:.3}"), "correction" => format!("{factor:.2}"),
            "omitted" => omitted);
    }
}
