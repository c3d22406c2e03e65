//! Admission by priority: which part of each priority's work one entry admits.
//!
//! It handles demand above the capacity of the engines, where requests differ in urgency. Every
//! entry derives the same fractions from the same load reports, so that the least urgent work is
//! shed at all entries at the same time. Within a priority, customers share the admitted work, and
//! requests of each size are admitted equally often. See `docs/LOAD.md`, "Admission by priority".

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use domain::{clock::Instant, load::Priority, name};
use rand::{RngExt, rngs::StdRng};

/// The part of a proportional cut that each priority keeps. Under a proportional cut all priorities
/// are served equally often; a kind of request that is served less than a quarter as often as the
/// others counts as starved by its callers.
const FLOOR: f64 = 0.4;
/// The part of a priority's fraction that each customer gets before the rest is shared equally. A
/// large customer is therefore served at least half as often as the others.
const CUSTOMER_FLOOR: f64 = 0.5;
/// The time over which the rates of priorities are averaged.
const RATE_SPAN: Duration = Duration::from_secs(1);
/// The time over which the rates of customers are averaged. With a shorter one, a customer that
/// sends a request every second seems to send less whenever one arrives, and gets too much.
const CUSTOMER_RATE_SPAN: Duration = Duration::from_secs(10);
/// Customers that sent nothing for so long are forgotten.
const IDLE_SPAN: Duration = Duration::from_secs(30);

/// Minimum time between two adjustments of the capacity.
const PERIOD: Duration = Duration::from_millis(250);
/// Requests per slot above which engines have a standing queue, which only delays answers.
const MAX_OCCUPANCY: f64 = 1.12;
/// Requests per slot below which engines have no standing queue. It is above the number of slots,
/// because late requests use the slots that timely ones leave free.
const MIN_OCCUPANCY: f64 = 1.05;
/// Requests per slot that wait at the entries above which more is admitted than engines accept. At
/// one answer per slot and second, each request then waits 15 ms on average, and one in twelve waits
/// as long as the usual latency target permits.
const MAX_WAITING: f64 = 0.015;
/// Requests per slot that wait at the entries below which engines accept what is admitted at once.
const MIN_WAITING: f64 = 0.005;
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
    if total <= capacity {
        return offered.keys().map(|priority| (*priority, 1.0)).collect();
    }
    let cut = capacity.max(0.0) / total;
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

    /// Adjusts the factor by the load of the engines. `is_shedding` tells whether work is refused;
    /// without that, free slots say nothing about the capacity.
    pub fn observe(&mut self, load: Load, is_shedding: bool, now: Instant) {
        if now.since(self.adjusted_at) < PERIOD {
            return;
        }
        self.adjusted_at = now;
        let is_full = load.occupancy > MAX_OCCUPANCY || load.waiting > MAX_WAITING;
        let is_free = load.occupancy < MIN_OCCUPANCY && load.waiting < MIN_WAITING;
        let factor = match () {
            () if is_full => self.factor * DECREASE,
            () if is_free && is_shedding => self.factor * INCREASE,
            // Returns to the described capacity, so that an old correction doesn't bind later.
            () if !is_shedding => self.factor + (1.0 - self.factor) * (1.0 - DECREASE),
            () => self.factor,
        };
        self.factor = factor.clamp(FACTORS.0, FACTORS.1);
    }
}

/// The load of the engines of a service, by which the capacity is corrected.
///
/// The occupancy alone doesn't show that too much is admitted: engines get no further request of a
/// less urgent priority while some slots are still free, so its requests wait at the entries.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// The mean number of requests per slot at the engines.
    pub occupancy: f64,
    /// Requests per slot that wait at all entries and can be answered in time. Others wait for
    /// slots that nobody needs, so they show no shortage.
    pub waiting: f64,
}

/// A moving average of a rate.
#[derive(Clone, Copy, Debug)]
pub struct Meter {
    /// The time over which it is averaged.
    span: Duration,
    /// Decayed sum of the amounts.
    sum: f64,
    updated_at: Instant,
}

impl Meter {
    /// Creates a meter that has counted nothing.
    pub fn new(span: Duration, now: Instant) -> Self {
        Self {
            span,
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
        self.decayed(now) / self.span.as_secs_f64()
    }

    fn decayed(&self, now: Instant) -> f64 {
        let age = now.since(self.updated_at).as_secs_f64();
        self.sum * (-age / self.span.as_secs_f64()).exp()
    }
}

/// The work that one customer asks for at one priority.
#[derive(Clone, Debug)]
struct Flow {
    offered: Meter,
    /// The fraction that is admitted.
    fraction: f64,
    /// Admitted requests that are due to the customer, by the size of requests. They carry the
    /// rounding of one decision over to the next.
    credits: BTreeMap<Size, f64>,
}

impl Flow {
    /// Decides on one request by error diffusion: what is admitted too little or too much is made
    /// up for by the next decision. Requests of each size have a credit of their own. With one
    /// credit of work for all, small requests would use up what a large one needs.
    fn admit(&mut self, work_ms: f64, rng: &mut StdRng) -> bool {
        // The first decision is drawn, because customers that ask rarely would otherwise all be
        // admitted or all be refused, at all entries.
        let credit = self
            .credits
            .entry(Size::new(work_ms))
            .or_insert_with(|| rng.random_range(-0.5..0.5));
        if self.fraction >= 1.0 {
            return true;
        }
        *credit += self.fraction;
        let is_due = *credit >= 0.5;
        if is_due {
            *credit -= 1.0;
        }
        is_due
    }
}

/// The binary logarithm of the work of a request in engine milliseconds. Requests of one size
/// differ by less than a factor of two.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Size(u32);

impl Size {
    fn new(work_ms: f64) -> Self {
        Self((work_ms.max(1.0) as u64).ilog2())
    }
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
    fn new(fraction: f64, now: Instant) -> Self {
        Self {
            offered: Meter::new(RATE_SPAN, now),
            admitted: Meter::new(RATE_SPAN, now),
            fraction,
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
#[derive(Debug)]
pub struct Admitter {
    classes: BTreeMap<Priority, Class>,
    /// The fractions of all priorities in use, also of those that this entry hasn't seen yet.
    fractions: BTreeMap<Priority, f64>,
    rng: StdRng,
}

impl Admitter {
    /// Creates an admitter that has seen no requests.
    pub fn new(rng: StdRng) -> Self {
        Self {
            classes: BTreeMap::new(),
            fractions: BTreeMap::new(),
            rng,
        }
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
        self.fractions.get(&priority).copied().unwrap_or(1.0)
    }

    /// Whether any priority is admitted only in part.
    pub fn is_shedding(&self) -> bool {
        self.fractions.values().any(|fraction| *fraction < 1.0)
    }

    /// Sets the fractions that [`fractions`] derives from the demand of the whole fleet.
    pub fn set_fractions(&mut self, fractions: BTreeMap<Priority, f64>, now: Instant) {
        self.fractions = fractions;
        for (priority, class) in &mut self.classes {
            let fraction = self.fractions.get(priority).copied().unwrap_or(1.0);
            class.set_fraction(fraction, now);
        }
    }

    fn class(&mut self, priority: Priority, now: Instant) -> &mut Class {
        let fraction = self.fraction(priority);
        let class = self.classes.entry(priority);
        class.or_insert_with(|| Class::new(fraction, now))
    }

    /// Decides on a request that takes so much engine time, in milliseconds. Of the requests of a
    /// customer the given fraction of work is admitted.
    pub fn admit(
        &mut self,
        priority: Priority,
        customer: Option<&name::Customer>,
        work_ms: f64,
        now: Instant,
    ) -> bool {
        let fraction = self.fraction(priority);
        let class = self
            .classes
            .entry(priority)
            .or_insert_with(|| Class::new(fraction, now));
        class.offered.add(work_ms, now);
        let flow = class
            .flows
            .entry(customer.cloned())
            .or_insert_with(|| Flow {
                offered: Meter::new(CUSTOMER_RATE_SPAN, now),
                fraction,
                credits: BTreeMap::new(),
            });
        flow.offered.add(work_ms, now);
        let is_admitted = flow.admit(work_ms, &mut self.rng);
        if is_admitted {
            class.admitted.add(work_ms, now);
        }
        is_admitted
    }

    /// Counts a request that is sent although the fraction doesn't apply to it, for instance one
    /// that comes back after a refusal. It is counted only when it is sent, so that the repeated
    /// requests of refused callers don't appear as additional demand.
    pub fn count(&mut self, priority: Priority, work_ms: f64, now: Instant) {
        let class = self.class(priority, now);
        class.offered.add(work_ms, now);
        class.admitted.add(work_ms, now);
    }
}
