//! Admission by priority: which part of each priority's work one entry admits.
//!
//! It handles demand above the capacity of the engines, where requests differ in urgency. Every
//! entry derives the same fractions from the same load reports, so that the least urgent work is
//! shed at all entries at the same time. Within a priority, customers share the admitted work. See
//! `docs/LOAD.md`, "Admission by priority".

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use domain::{clock::Instant, load::Priority, name};

/// The part of a proportional cut that each priority keeps. Under a proportional cut all priorities
/// are served equally often; a kind of request that is served less than a quarter as often as the
/// others counts as starved by its callers.
const FLOOR: f64 = 0.4;
/// The part of a priority's fraction that each customer gets before the rest is shared equally. A
/// large customer is therefore served at least half as often as the others.
const CUSTOMER_FLOOR: f64 = 0.5;
/// The time over which rates are averaged.
const RATE_SPAN: Duration = Duration::from_secs(1);
/// Customers that sent nothing for so long are forgotten.
const IDLE_SPAN: Duration = Duration::from_secs(10);

/// Minimum time between two adjustments of the capacity.
const PERIOD: Duration = Duration::from_millis(250);
/// Requests per slot above which engines have a standing queue, which only delays answers.
const MAX_OCCUPANCY: f64 = 1.08;
/// Requests per slot below which engines have free slots.
const MIN_OCCUPANCY: f64 = 0.95;
/// Factor by which the capacity falls in each period with a standing queue.
const DECREASE: f64 = 0.95;
/// Factor by which the capacity grows in each period with free slots.
const INCREASE: f64 = 1.03;
/// Smallest and largest correction of the capacity.
const FACTORS: (f64, f64) = (0.5, 1.5);

/// Work in engine milliseconds per second, by priority.
pub type Rates = BTreeMap<Priority, f64>;

/// The fraction of each priority's work that is admitted.
///
/// Each priority first gets [`FLOOR`] of what a proportional cut would leave it. The rest goes to
/// the priorities in order of urgency.
pub fn fractions(capacity: f64, offered: &Rates) -> BTreeMap<Priority, f64> {
    let total: f64 = offered.values().sum();
    let cut = match total > 0.0 {
        true => (capacity.max(0.0) / total).min(1.0),
        false => 1.0,
    };
    let floor = |(priority, work): (&Priority, &f64)| (*priority, work * cut * FLOOR);
    let mut admitted: Rates = offered.iter().map(floor).collect();
    let mut rest = capacity.max(0.0) - admitted.values().sum::<f64>();
    for (priority, work) in offered {
        let part = admitted.entry(*priority).or_default();
        let more = (work - *part).clamp(0.0, rest.max(0.0));
        *part += more;
        rest -= more;
    }
    let fraction = |(priority, work): (&Priority, &f64)| {
        let part = admitted.get(priority).copied().unwrap_or_default();
        let fraction = match *work > 0.0 {
            true => (part / work).clamp(0.0, 1.0),
            false => 1.0,
        };
        (*priority, fraction)
    };
    offered.iter().map(fraction).collect()
}

/// Corrects the capacity that engines have by their description by what their load shows.
#[derive(Clone, Copy, Debug)]
pub struct Correction {
    factor: f64,
    adjusted_at: Instant,
}

impl Correction {
    /// Creates a correction that has no effect yet.
    pub fn new(now: Instant) -> Self {
        Self {
            factor: 1.0,
            adjusted_at: now,
        }
    }

    /// The factor by which the described capacity is multiplied.
    pub fn factor(&self) -> f64 {
        self.factor
    }

    /// Adjusts the factor by the mean number of requests per slot at the engines. `is_shedding`
    /// tells whether work is refused; without that, free slots say nothing about the capacity.
    pub fn observe(&mut self, occupancy: f64, is_shedding: bool, now: Instant) {
        if now.since(self.adjusted_at) < PERIOD {
            return;
        }
        self.adjusted_at = now;
        let factor = match () {
            () if occupancy > MAX_OCCUPANCY => self.factor * DECREASE,
            () if occupancy < MIN_OCCUPANCY && is_shedding => self.factor * INCREASE,
            // Returns to the described capacity, so that an old correction doesn't bind later.
            () if !is_shedding => self.factor + (1.0 - self.factor) * (1.0 - DECREASE),
            () => self.factor,
        };
        self.factor = factor.clamp(FACTORS.0, FACTORS.1);
    }
}

/// A rate that is averaged over about [`RATE_SPAN`].
#[derive(Clone, Copy, Debug)]
pub struct Meter {
    /// Decayed sum of the amounts.
    sum: f64,
    updated_at: Instant,
}

impl Meter {
    /// Creates a meter that has counted nothing.
    pub fn new(now: Instant) -> Self {
        Self {
            sum: 0.0,
            updated_at: now,
        }
    }

    /// Counts an amount.
    pub fn add(&mut self, amount: f64, now: Instant) {
        self.sum = self.decayed(now) + amount;
        self.updated_at = now;
    }

    /// The amount per second.
    pub fn rate(&self, now: Instant) -> f64 {
        self.decayed(now) / RATE_SPAN.as_secs_f64()
    }

    fn decayed(&self, now: Instant) -> f64 {
        let age = now.since(self.updated_at).as_secs_f64();
        self.sum * (-age / RATE_SPAN.as_secs_f64()).exp()
    }
}

/// The work that one customer asks for at one priority.
#[derive(Clone, Copy, Debug)]
struct Flow {
    offered: Meter,
    /// The fraction that is admitted.
    fraction: f64,
    /// Admitted work that is due to the customer, in engine milliseconds. It carries the rounding
    /// of one decision over to the next.
    credit: f64,
}

/// The work at one priority.
#[derive(Clone, Debug)]
struct Class {
    offered: Meter,
    admitted: Meter,
    /// The fraction that is admitted.
    fraction: f64,
    flows: HashMap<Option<name::Customer>, Flow>,
}

impl Class {
    fn new(now: Instant) -> Self {
        Self {
            offered: Meter::new(now),
            admitted: Meter::new(now),
            fraction: 1.0,
            flows: HashMap::new(),
        }
    }

    /// Sets the fraction of the priority and that of each customer. Half of the priority's fraction
    /// goes to each customer, and the other half is shared max-min fairly by work.
    fn set_fraction(&mut self, fraction: f64, now: Instant) {
        self.fraction = fraction;
        self.flows
            .retain(|_, flow| now.since(flow.offered.updated_at) < IDLE_SPAN);
        let base = fraction * CUSTOMER_FLOOR;
        let open = |flow: &Flow| flow.offered.rate(now) * (1.0 - base);
        let total: f64 = self.flows.values().map(|flow| flow.offered.rate(now)).sum();
        let demands = self.flows.values().map(open).collect();
        let level = max_min_level(total * (fraction - base), demands);
        for flow in self.flows.values_mut() {
            let own = flow.offered.rate(now);
            flow.fraction = match fraction < 1.0 && own > 0.0 {
                true => base + open(flow).min(level) / own,
                false => fraction,
            };
        }
    }
}

/// The amount at which each of the demands is cut, so that together they use the capacity.
fn max_min_level(capacity: f64, mut demands: Vec<f64>) -> f64 {
    demands.sort_by(f64::total_cmp);
    let mut rest = capacity;
    let mut left = demands.len();
    for demand in demands {
        let share = rest / left as f64;
        if demand >= share {
            return share;
        }
        rest -= demand;
        left -= 1;
    }
    f64::INFINITY
}

/// Admits requests for one service at one entry.
#[derive(Clone, Debug, Default)]
pub struct Admitter {
    classes: BTreeMap<Priority, Class>,
}

impl Admitter {
    /// Creates an admitter that has seen no requests.
    pub fn new() -> Self {
        Self::default()
    }

    /// The work that callers ask for, by priority.
    pub fn offered(&self, now: Instant) -> Rates {
        let rates = self.classes.iter();
        rates
            .map(|(priority, class)| (*priority, class.offered.rate(now)))
            .collect()
    }

    /// The work that is admitted, by priority.
    pub fn admitted(&self, now: Instant) -> Rates {
        let rates = self.classes.iter();
        rates
            .map(|(priority, class)| (*priority, class.admitted.rate(now)))
            .collect()
    }

    /// The fraction of a priority's work that is admitted.
    pub fn fraction(&self, priority: Priority) -> f64 {
        self.classes
            .get(&priority)
            .map_or(1.0, |class| class.fraction)
    }

    /// Whether any priority is admitted only in part.
    pub fn is_shedding(&self) -> bool {
        self.classes.values().any(|class| class.fraction < 1.0)
    }

    /// Sets the fractions that [`fractions`] derives from the demand of the whole fleet.
    pub fn set_fractions(&mut self, fractions: &BTreeMap<Priority, f64>, now: Instant) {
        for (priority, class) in &mut self.classes {
            class.set_fraction(fractions.get(priority).copied().unwrap_or(1.0), now);
        }
    }

    /// Decides on a request that takes so much engine time, in milliseconds. Of the requests of a
    /// customer the given fraction of work is admitted, by error diffusion: what is admitted too
    /// little or too much is made up for by the next decision.
    pub fn admit(
        &mut self,
        priority: Priority,
        customer: Option<&name::Customer>,
        work_ms: f64,
        now: Instant,
    ) -> bool {
        let class = self
            .classes
            .entry(priority)
            .or_insert_with(|| Class::new(now));
        class.offered.add(work_ms, now);
        let fraction = class.fraction;
        let flow = class
            .flows
            .entry(customer.cloned())
            .or_insert_with(|| Flow {
                offered: Meter::new(now),
                fraction,
                credit: 0.0,
            });
        flow.offered.add(work_ms, now);
        let is_admitted = match flow.fraction < 1.0 {
            // Without shedding nothing is owed, also not for what was refused before.
            false => {
                flow.credit = 0.0;
                true
            }
            true => {
                flow.credit += flow.fraction * work_ms;
                let is_due = flow.credit >= work_ms / 2.0;
                if is_due {
                    flow.credit -= work_ms;
                }
                is_due
            }
        };
        if is_admitted {
            class.admitted.add(work_ms, now);
        }
        is_admitted
    }
}
