//! Edits of one zone whose commands are held up, doubled and reordered on their way to the log.

#![allow(clippy::unwrap_used)]

use std::collections::VecDeque;

use domain::{
    command::{Command, Reply},
    edit::{Change, Edit, Outcome, Pins, Revision},
};
use policy::state::State;
use rand::{RngExt, SeedableRng, rngs::StdRng};

const STEPS: u64 = 400;
/// How many steps an operator waits for an answer.
const PATIENCE: u64 = 5;
/// How far a replica's state may be behind, in revisions.
const MAX_LAG: usize = 3;

/// An edit that an operator sent.
struct Order {
    sent_at: u64,
    in_service: bool,
    seen: Revision,
    /// Whether a copy of it was accepted. Further copies get the same answer.
    is_accepted: bool,
    /// When its answer came, if the operator was still waiting.
    acknowledged_at: Option<u64>,
}

/// A copy of an order's command, to arrive at some step.
struct Copy {
    order: usize,
    arrives_at: u64,
}

struct World {
    rng: StdRng,
    state: State,
    /// The newest revisions, as replicas may know them.
    revisions: VecDeque<Revision>,
    orders: Vec<Order>,
    copies: Vec<Copy>,
    index: u64,
}

impl World {
    fn new(seed: u64) -> Self {
        Self {
            rng: StdRng::seed_from_u64(seed),
            state: State::new(),
            revisions: [Revision(0)].into(),
            orders: Vec::new(),
            copies: Vec::new(),
            index: 0,
        }
    }

    fn send(&mut self, now: u64) {
        let lag = self.rng.random_range(0..self.revisions.len());
        let order = self.orders.len();
        self.orders.push(Order {
            sent_at: now,
            in_service: self.rng.random_bool(0.5),
            seen: self.revisions[lag],
            is_accepted: false,
            acknowledged_at: None,
        });
        for _ in 0..self.rng.random_range(1..3) {
            let delay = match self.rng.random_bool(0.3) {
                true => self.rng.random_range(0..STEPS / 4),
                false => self.rng.random_range(0..PATIENCE),
            };
            let arrives_at = now + delay;
            self.copies.push(Copy { order, arrives_at });
        }
    }

    fn deliver(&mut self, order: usize, now: u64) {
        self.index += 1;
        let before = self.is_out();
        let reply = self.state.apply(1, self.index, self.command(order)).reply;
        let Reply::Edit(outcome) = reply else {
            panic!("{reply:?}");
        };
        if self.is_out() != before {
            self.check(order, now);
        }
        let is_out = self.is_out();
        let sent = &mut self.orders[order];
        if matches!(outcome, Outcome::Accepted { .. }) {
            let is_first = !std::mem::replace(&mut sent.is_accepted, true);
            assert!(!is_first || is_out != sent.in_service, "order {order}");
            let is_awaited = now <= sent.sent_at + PATIENCE;
            let at = sent.acknowledged_at.or(is_awaited.then_some(now));
            sent.acknowledged_at = at;
        }
        if self.revisions.back() != Some(&self.state.revision()) {
            self.revisions.push_back(self.state.revision());
        }
        if self.revisions.len() > MAX_LAG {
            self.revisions.pop_front();
        }
    }

    /// Panics if the order takes effect although its operator had given it up and a later order
    /// has been acknowledged.
    fn check(&self, order: usize, now: u64) {
        let given_up_at = self.orders[order].sent_at + PATIENCE;
        let later = self.orders.iter().position(|other| {
            other.sent_at > given_up_at && other.acknowledged_at.is_some_and(|at| at <= now)
        });
        assert_eq!(later, None, "order {order} undoes a later one");
    }

    fn command(&self, order: usize) -> Command {
        let Order {
            in_service, seen, ..
        } = self.orders[order];
        Command::Edit {
            edit: Edit {
                id: format!("order-{order}").into(),
                base: None,
                change: Change::Zone {
                    zone: "durban".into(),
                    in_service,
                },
                allow_outage: true,
                author: None,
            },
            pins: Pins::new(),
            objections: Vec::new(),
            at_ms: 5,
            seen: Some(seen),
        }
    }

    fn is_out(&self) -> bool {
        !self.state.zones_out().is_empty()
    }

    fn run(mut self) -> usize {
        for now in 0..STEPS {
            if self.rng.random_bool(0.2) {
                self.send(now);
            }
            let due: Vec<_> = self
                .copies
                .extract_if(.., |copy| copy.arrives_at <= now)
                .collect();
            due.iter().for_each(|copy| self.deliver(copy.order, now));
        }
        let acknowledged = |order: &&Order| order.acknowledged_at.is_some();
        self.orders.iter().filter(acknowledged).count()
    }
}

/// Guards against an order that its operator gave up undoing a later one that was acknowledged.
#[test]
fn orders_that_were_given_up_undo_no_later_ones() {
    let acknowledged: usize = (0..200).map(|seed| World::new(seed).run()).sum();
    assert!(acknowledged > 0, "no order was acknowledged");
}
