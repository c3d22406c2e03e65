//! Fair queueing between customers, weighted by the capacity shares of their plans.
//!
//! This is start-time fair queueing: each customer has a virtual time that advances by the cost of
//! its calls divided by its weight, and the customer with the lowest virtual time is served next.
//! The share of a plan is split evenly among its active customers. Unused capacity goes to the
//! others, and an idle customer accumulates no credit. See `docs/DECISIONS.md`, "Fair shares at the
//! agent".

use std::collections::{BTreeMap, VecDeque};

use domain::{lists::MIN_SHARE, name};

/// Virtual time per unit of cost at a share of 1 with one active customer in the plan.
const SCALE: u128 = 1 << 32;

/// Limits of a queue.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Maximum number of waiting calls of one customer.
    pub per_customer: usize,
    /// Maximum number of waiting calls in total.
    pub total: usize,
}

/// The customer that a call is accounted to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Owner {
    /// The customer.
    pub customer: name::Customer,
    /// Its plan.
    pub plan: name::Plan,
    /// The plan's share of capacity, relative to other plans.
    pub share: u32,
}

/// The limit that prevents a call from being queued.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Full {
    /// The customer has too many calls waiting.
    Customer,
    /// Too many calls are waiting in total.
    Total,
}

/// Waiting calls per customer, and the number of running ones.
#[derive(Debug)]
pub struct Queue<T> {
    config: Config,
    flows: BTreeMap<name::Customer, Flow<T>>,
    /// The virtual time of the call that was last started.
    virtual_time: u128,
    len: usize,
}

/// The calls of one customer.
#[derive(Debug)]
struct Flow<T> {
    plan: name::Plan,
    share: u32,
    items: VecDeque<Item<T>>,
    running: u32,
    /// The virtual time at which its next call starts.
    start: u128,
}

#[derive(Debug)]
struct Item<T> {
    value: T,
    cost: u32,
}

impl<T> Flow<T> {
    fn is_active(&self) -> bool {
        self.running > 0 || !self.items.is_empty()
    }
}

impl<T: PartialEq> Queue<T> {
    /// Creates an empty queue.
    pub fn new(config: Config) -> Self {
        Self {
            config,
            flows: BTreeMap::new(),
            virtual_time: 0,
            len: 0,
        }
    }

    /// The number of waiting calls.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether no call is waiting.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// The number of waiting calls of a customer.
    pub fn waiting(&self, customer: &name::Customer) -> usize {
        self.flows.get(customer).map_or(0, |flow| flow.items.len())
    }

    /// The number of running calls of a customer.
    pub fn running(&self, customer: &name::Customer) -> u32 {
        self.flows.get(customer).map_or(0, |flow| flow.running)
    }

    /// How many of `slots` a customer is entitled to, given the customers that are active now.
    pub fn fair_share(&self, owner: &Owner, slots: u32) -> f64 {
        let is_new = !self.flows.get(&owner.customer).is_some_and(Flow::is_active);
        let mut shares: BTreeMap<&name::Plan, (u32, u32)> = BTreeMap::new();
        for flow in self.flows.values().filter(|flow| flow.is_active()) {
            let plan = shares.entry(&flow.plan).or_insert((flow.share, 0));
            plan.1 += 1;
        }
        let plan = shares.entry(&owner.plan).or_insert((owner.share, 0));
        plan.1 += u32::from(is_new);
        let own = f64::from(owner.share) / f64::from(plan.1.max(1));
        let sum: u32 = shares.values().map(|(share, _)| share).sum();
        f64::from(slots) * own / f64::from(sum.max(1))
    }

    /// Queues a call.
    ///
    /// # Errors
    ///
    /// The limit that has been reached.
    pub fn push(&mut self, owner: &Owner, value: T, cost: u32) -> Result<(), Full> {
        if self.waiting(&owner.customer) >= self.config.per_customer {
            return Err(Full::Customer);
        }
        if self.len >= self.config.total {
            return Err(Full::Total);
        }
        let virtual_time = self.virtual_time;
        let flow = self
            .flows
            .entry(owner.customer.clone())
            .or_insert_with(|| Flow {
                plan: owner.plan.clone(),
                share: owner.share,
                items: VecDeque::new(),
                running: 0,
                start: virtual_time,
            });
        flow.plan = owner.plan.clone();
        flow.share = owner.share.max(MIN_SHARE);
        if flow.items.is_empty() {
            flow.start = flow.start.max(virtual_time);
        }
        flow.items.push_back(Item { value, cost });
        self.len += 1;
        Ok(())
    }

    /// Removes the next call from the queue and counts it as running.
    pub fn pop(&mut self) -> Option<T> {
        let customer = self
            .flows
            .iter()
            .filter(|(_, flow)| !flow.items.is_empty())
            .min_by_key(|(_, flow)| flow.start)
            .map(|(customer, _)| customer.clone())?;
        let active = self.active_in_plan_of(&customer);
        let flow = self.flows.get_mut(&customer)?;
        let item = flow.items.pop_front()?;
        self.virtual_time = self.virtual_time.max(flow.start);
        flow.start += step(item.cost, flow.share, active);
        flow.running += 1;
        self.len -= 1;
        self.prune();
        Some(item.value)
    }

    /// Removes a waiting call, for instance because its caller disconnected. Returns whether it was
    /// waiting.
    pub fn remove(&mut self, customer: &name::Customer, value: &T) -> bool {
        let Some(flow) = self.flows.get_mut(customer) else {
            return false;
        };
        let Some(position) = flow.items.iter().position(|item| item.value == *value) else {
            return false;
        };
        flow.items.remove(position);
        self.len -= 1;
        self.prune();
        true
    }

    /// Removes and returns all waiting calls.
    pub fn clear(&mut self) -> Vec<T> {
        let values = self
            .flows
            .values_mut()
            .flat_map(|flow| flow.items.drain(..))
            .map(|item| item.value)
            .collect();
        self.len = 0;
        self.prune();
        values
    }

    /// Records the end of a running call and replaces its estimated cost by the actual one.
    pub fn finish(&mut self, customer: &name::Customer, estimated: u32, actual: u32) {
        let active = self.active_in_plan_of(customer);
        let Some(flow) = self.flows.get_mut(customer) else {
            return;
        };
        flow.running = flow.running.saturating_sub(1);
        flow.start = (flow.start + step(actual, flow.share, active))
            .saturating_sub(step(estimated, flow.share, active));
        self.prune();
    }

    /// The number of active customers in the plan of a customer, at least 1.
    fn active_in_plan_of(&self, customer: &name::Customer) -> u32 {
        let Some(plan) = self.flows.get(customer).map(|flow| &flow.plan) else {
            return 1;
        };
        let active = self
            .flows
            .values()
            .filter(|flow| flow.plan == *plan && flow.is_active())
            .count();
        u32::try_from(active).unwrap_or(u32::MAX).max(1)
    }

    /// Removes customers that are idle and whose virtual time is not ahead of the queue's.
    fn prune(&mut self) {
        let virtual_time = self.virtual_time;
        self.flows
            .retain(|_, flow| flow.is_active() || flow.start > virtual_time);
    }
}

/// The advance of a customer's virtual time for a call of the given cost.
fn step(cost: u32, share: u32, active: u32) -> u128 {
    u128::from(cost) * SCALE * u128::from(active) / u128::from(share.max(MIN_SHARE))
}
