//! Spillover: how much of a zone's work its entries send to the engines of other zones.
//!
//! It handles demand that exceeds the engines of one zone while another zone has free capacity, for
//! instance because callers are unevenly distributed or half of a zone's engines are gone. Traffic
//! between zones is slower and costs money, so work stays at home as long as the home zone can do
//! it, and also when all zones are equally overloaded, because leaving would only move the shortage.
//! A zone that is short of capacity itself gets nothing.
//! See `docs/design/spillover.md`.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use domain::name;

/// Difference of utilisation from which on work leaves the zone. It is larger than
/// [`STOP_DIFFERENCE`], so that small fluctuations don't switch the spillover on and off.
const START_DIFFERENCE: f64 = 0.10;
/// Difference of utilisation at which work stops leaving the zone.
const STOP_DIFFERENCE: f64 = 0.04;
/// Utilisation of the home zone below which nothing leaves: its engines still answer in time.
const MIN_UTILISATION: f64 = 0.90;
/// Part of the difference to another zone that is sent there. All entries of a zone act on the same
/// figures, which are up to a second old, and the other zone may get work from further zones.
const STEP: f64 = 0.5;
/// Weight of the newest amount in the moving average, so that the amount changes over about three
/// updates and not at once.
const SMOOTHING: f64 = 0.3;

/// The load of one zone for one service, in engine milliseconds per second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Zone {
    /// The work that its callers ask for.
    pub demand: f64,
    /// The work that its engines can do.
    pub capacity: f64,
    /// Whether requests wait or are shed there, or its engines are full. The description of engines
    /// is not exact, so demand and capacity alone don't show a shortage.
    pub is_short: bool,
}

impl Zone {
    /// Demand relative to the capacity.
    fn utilisation(&self) -> f64 {
        match self.capacity > 0.0 {
            true => self.demand / self.capacity,
            false => f64::INFINITY,
        }
    }
}

/// The spillover of one service from the zone of this entry.
#[derive(Clone, Debug, Default)]
pub struct Spillover {
    /// The part of the home zone's work that goes to each other zone.
    shares: BTreeMap<name::AvailabilityZone, f64>,
    /// Work that is due to each other zone, in engine milliseconds.
    credits: BTreeMap<name::AvailabilityZone, f64>,
    /// Other zones whose engines can do more than their callers ask for, with a margin.
    free: Arc<BTreeSet<name::AvailabilityZone>>,
}

impl Spillover {
    /// Creates a spillover that sends nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adjusts the amounts. `others` holds the zones that are in service, may serve the requests and
    /// reported their demand recently; nothing is sent to any other zone.
    pub fn update(&mut self, home: Zone, others: &BTreeMap<name::AvailabilityZone, Zone>) {
        let free = others
            .iter()
            .filter(|(_, zone)| !zone.is_short && zone.utilisation() < MIN_UTILISATION)
            .map(|(name, _)| name.clone());
        self.free = Arc::new(free.collect());
        self.shares.retain(|zone, _| others.contains_key(zone));
        for (zone, other) in others {
            let old = self.shares.get(zone).copied().unwrap_or_default();
            let target = target(home, *other, old > 0.0);
            let share = old + (target - old) * SMOOTHING;
            match target > 0.0 || share > f64::EPSILON.sqrt() {
                true => self.shares.insert(zone.clone(), share),
                false => self.shares.remove(zone),
            };
        }
        self.credits
            .retain(|zone, _| self.shares.contains_key(zone));
    }

    /// Other zones with free engines. A request that finds all engines of its own zone busy may go
    /// there at once, because the shares follow a sudden shortage only after some updates.
    pub fn free_zones(&self) -> Arc<BTreeSet<name::AvailabilityZone>> {
        self.free.clone()
    }

    /// The part of the home zone's work that leaves it.
    pub fn share(&self) -> f64 {
        self.shares.values().sum()
    }

    /// The part of the home zone's work that goes to each other zone.
    pub fn shares(&self) -> &BTreeMap<name::AvailabilityZone, f64> {
        &self.shares
    }

    /// Decides where a request goes that takes so much engine time, in milliseconds: the zone, or
    /// `None` to stay at home. Error diffusion makes the sums of many requests follow the shares.
    pub fn choose(&mut self, work_ms: f64) -> Option<name::AvailabilityZone> {
        for (zone, share) in &self.shares {
            *self.credits.entry(zone.clone()).or_default() += share * work_ms;
        }
        let (zone, credit) = self
            .credits
            .iter_mut()
            .max_by(|(_, a), (_, b)| a.total_cmp(b))?;
        if *credit < work_ms / 2.0 {
            return None;
        }
        *credit -= work_ms;
        Some(zone.clone())
    }
}

/// The part of the home zone's work that should go to another zone.
fn target(home: Zone, other: Zone, is_running: bool) -> f64 {
    let difference = home.utilisation() - other.utilisation();
    let threshold = match is_running {
        true => STOP_DIFFERENCE,
        false => START_DIFFERENCE,
    };
    match () {
        () if home.demand <= 0.0 || other.capacity <= 0.0 => 0.0,
        () if !home.is_short || other.is_short => 0.0,
        () if home.utilisation() < MIN_UTILISATION || difference < threshold => 0.0,
        // A zone without engines sends everything that the other zone can take.
        () if home.capacity <= 0.0 => (other.capacity / home.demand).min(1.0),
        () => {
            // Moving this amount would make both zones equally loaded.
            let balance = (home.demand * other.capacity - other.demand * home.capacity)
                / (home.capacity + other.capacity);
            (balance * STEP / home.demand).clamp(0.0, 1.0)
        }
    }
}
