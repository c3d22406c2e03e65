//! What the engines of a service and of each zone can do, by the load reports, and how much work
//! leaves the zone of this entry because of it.

use std::collections::BTreeMap;

use domain::{
    clock::Instant,
    instance::{Instance, Phase},
    name,
};

use super::{PERCENT, Placer, Requirements};
use crate::{
    load::Occupancy,
    spillover::{Spillover, Zone},
    view::View,
};

/// Requests per slot at the engines of a zone from which on it is short of capacity.
const FULL_OCCUPANCY: f64 = 0.95;
/// The part of the offered work below which a zone sheds: averages of what is offered and what is
/// admitted differ a little at all times.
const ADMITTED_PART: f64 = 0.9;
/// Milliseconds of a second.
const MILLIS_PER_SECOND: f64 = 1_000.0;

/// What the engines that may serve a request can do.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Capacity {
    /// The work that they can do, in engine milliseconds per second.
    pub engine_ms: f64,
    /// The mean number of running and waiting requests per slot.
    pub occupancy: f64,
}

/// The work that one engine can do, in engine milliseconds per second. Without a report it has the
/// described pace.
fn engine_ms(occupancy: Option<Occupancy>) -> f64 {
    let pace = occupancy.map_or(100, |occupancy| occupancy.pace_percent.max(1));
    MILLIS_PER_SECOND * PERCENT / f64::from(pace)
}

impl Placer {
    /// Adjusts how much of a service's work leaves the zone. `own` is the work that callers of this
    /// entry ask for, in engine milliseconds per second.
    pub fn plan_spillover(&mut self, view: &View, service: &name::Service, own: f64, now: Instant) {
        let zones = self.zones(view, service, own, now);
        let home = zones.get(&self.zone).copied().unwrap_or_default();
        let others = zones
            .into_iter()
            .filter(|(zone, _)| *zone != self.zone)
            .collect();
        let spillover = self.spillovers.entry(service.clone()).or_default();
        spillover.update(home, &others);
    }

    /// The zone to which a request leaves that takes so much engine time, in milliseconds, or `None`
    /// if it stays at home.
    pub fn spill(
        &mut self,
        service: &name::Service,
        work_ms: f64,
    ) -> Option<name::AvailabilityZone> {
        self.spillovers.get_mut(service)?.choose(work_ms)
    }

    /// The part of a service's work that leaves the zone.
    pub fn spilled_share(&self, service: &name::Service) -> f64 {
        self.spillovers.get(service).map_or(0.0, Spillover::share)
    }

    /// The part of the instance's capacity that the limit that it names leaves.
    fn bearable_part(&self, instance: &Instance) -> f64 {
        self.bearable_slots(instance) / f64::from(instance.slots.max(1))
    }

    /// The load of the zones in service whose demand is known, by the engines that are ready.
    fn zones(
        &self,
        view: &View,
        service: &name::Service,
        own: f64,
        now: Instant,
    ) -> BTreeMap<name::AvailabilityZone, Zone> {
        let mut zones = BTreeMap::<name::AvailabilityZone, Zone>::new();
        let (mut slots, mut requests) = (0, 0);
        for instance in view.instances.values() {
            let is_ready = instance.service == *service
                && instance.phase == Phase::Ready
                && !view.zones_out.contains(&instance.zone)
                && !self.is_suspected(instance, now);
            if !is_ready {
                continue;
            }
            let occupancy = self.reports.occupancy(instance.address, now);
            let zone = zones.entry(instance.zone.clone()).or_default();
            zone.capacity += engine_ms(occupancy) * self.bearable_part(instance);
            if let Some(occupancy) = occupancy {
                slots += instance.slots;
                requests += occupancy.requests;
            }
        }
        let occupied = (slots > 0).then(|| f64::from(requests) / f64::from(slots));
        let home = zones.entry(self.zone.clone()).or_default();
        home.is_short = occupied.is_none_or(|occupancy| occupancy >= FULL_OCCUPANCY);
        zones.retain(|name, zone| {
            let demand = match *name == self.zone {
                true => Some(self.reports.demand_in_zone(service, now)),
                false => self.reports.demand_of_zone(name, service, now),
            };
            let is_known = demand.is_some();
            for part in demand.unwrap_or_default().into_values() {
                let (offered, admitted) = (f64::from(part.offered_ms), f64::from(part.admitted_ms));
                zone.demand += offered;
                let is_shed = admitted < offered * ADMITTED_PART;
                zone.is_short |= *name != self.zone && (is_shed || part.waiting > 0);
            }
            is_known
        });
        if let Some(home) = zones.get_mut(&self.zone) {
            home.demand += own;
        }
        zones
    }

    /// The mean number of requests per slot at the engines that may serve the request, and their
    /// capacity in engine milliseconds per second. Without a model, engines that may serve any of the
    /// service's models count; those that are switching versions don't. Engines without a recent
    /// report count with the described pace, and not for the occupancy.
    pub fn capacity(&self, view: &View, requirements: &Requirements<'_>, now: Instant) -> Capacity {
        let mut capacity = Capacity::default();
        let Some(service) = view.services.get(requirements.service) else {
            return capacity;
        };
        let mut slots = 0.0;
        let mut requests = 0.0;
        let models = service.engine.as_ref().map(|engine| &engine.models);
        let any = models.into_iter().flatten().map(Some);
        let models: Vec<_> = match requirements.model {
            Some(model) => vec![Some(model)],
            None => any.collect(),
        };
        for instance in view.instances.values() {
            let is_eligible = models.iter().any(|model| {
                let requirements = Requirements {
                    model: *model,
                    ..*requirements
                };
                self.eligible_version(view, service, instance, &requirements, now)
                    .is_some()
            });
            if !is_eligible || self.is_suspected(instance, now) {
                continue;
            }
            let occupancy = self.reports.occupancy(instance.address, now);
            if let Some(occupancy) = occupancy {
                slots += f64::from(instance.slots);
                requests += f64::from(occupancy.requests);
            }
            capacity.engine_ms += engine_ms(occupancy) * self.bearable_part(instance);
        }
        capacity.occupancy = match slots > 0.0 {
            true => requests / slots,
            false => 1.0,
        };
        capacity
    }
}
