//! Which layers an engine loaded: from whole chunks, or from chunks that may have been spoilt.
//!
//! An engine loads what is staged beside it at the moment at which it accepts the order. The agent
//! reads the staged chunks before it orders, and a suspended VM, a slow engine or an order whose
//! answer is lost can put any time between the two. So the age of the oldest read is bounded at the
//! order and at the acceptance. If the acceptance may have come later, the chunks are read again
//! before entries are told that the engine serves, and spoilt layers are loaded anew. Ages are
//! differences on a clock that also advances while the VM is suspended. See `docs/DECISIONS.md`,
//! "Loads".

use std::{ops::Range, time::Duration};

use domain::clock::Instant;

/// The age of the oldest read up to which an acceptance proves a load: a chunk that turned bad so
/// shortly before it was loaded counts as whole.
pub const MAX_AGE: Duration = Duration::from_secs(3);
/// How long the engine may take to answer an order.
pub const ANSWER_LIMIT: Duration = Duration::from_secs(1);
/// The age of the oldest read up to which an order may be sent.
const MAX_ORDER_AGE: Duration = MAX_AGE.saturating_sub(ANSWER_LIMIT);

/// How an engine answered an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// It loads what is staged now.
    Begun,
    /// It holds these layers already, from whatever was staged earlier.
    InEffect,
    /// It did not accept the order and never will, for the given reason.
    Refused(String),
}

/// What a report of the engine says of its orders.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Observation {
    /// Whether an order is in progress.
    pub is_loading: bool,
    /// Whether the engine serves the version that the agent wants.
    pub is_served: bool,
    /// How many orders the engine has begun since its start, if it says so.
    pub orders: Option<u64>,
}

/// What the agent does about the version that its engine serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Nothing: the engine may serve it.
    Serve,
    /// Read the staged chunks without staging any.
    Inspect,
    /// Order the layers of [`Evidence::part`].
    Reload,
}

/// The next order of a reload. An engine gives up the layers that an order leaves out, and loads a
/// layer anew only after it gave it up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Part {
    Lower,
    Upper,
    Whole,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// This agent has ordered nothing yet. What the engine serves is trusted, because it also gets
    /// requests while it has no agent.
    Inherited,
    /// The answer to an order was lost, so that the engine may accept the order at any time.
    Unanswered { is_restaged: bool },
    /// The layers were loaded from whole chunks.
    Proven,
    /// The layers may have been loaded from spoilt chunks. No chunk was staged since.
    Unproven,
    /// The layers are loaded anew.
    Reloading(Part),
}

/// The evidence on the layers of the engine beside an agent.
#[derive(Clone, Debug)]
pub struct Evidence {
    state: State,
    /// When the last reading of all staged chunks began, if it found them whole.
    read_at: Option<Instant>,
    /// How many orders the engine had begun when it last reported.
    orders: Option<u64>,
    /// How many it has begun since, by its replies.
    begun: u64,
}

impl Evidence {
    /// Creates the evidence of an agent that has just started.
    pub fn new() -> Self {
        Self {
            state: State::Inherited,
            read_at: None,
            orders: None,
            begun: 0,
        }
    }

    /// Records what the engine reports.
    pub fn observe(&mut self, observation: Observation, now: Instant) {
        let is_unexpected = self.count(observation.orders);
        let (is_loading, is_served) = (observation.is_loading, observation.is_served);
        self.state = match self.state {
            State::Unanswered { is_restaged } if is_served => self.accepted(is_restaged, now),
            // The engine may have begun an older order than the last one.
            State::Unanswered { is_restaged } => State::Unanswered { is_restaged },
            // Another agent sent an order, or the answer to an old one was lost.
            _ if is_unexpected => State::Reloading(Part::Lower),
            State::Inherited if is_loading => State::Reloading(Part::Lower),
            // The engine did not give up what the last order left out.
            State::Reloading(_) if is_served => State::Reloading(Part::Lower),
            state => state,
        };
    }

    /// Takes over the number of orders that the engine has begun. Returns whether there are more of
    /// them than replies said.
    fn count(&mut self, orders: Option<u64>) -> bool {
        let expected = self.orders.map(|known| known + self.begun);
        self.orders = orders;
        self.begun = 0;
        // An engine that was restarted counts from zero.
        matches!((orders, expected), (Some(orders), Some(expected)) if orders > expected)
    }

    /// Records that another version is wanted. The engine gives up all layers in order to load it.
    pub fn retarget(&mut self) {
        self.state = match self.state {
            State::Unproven | State::Reloading(_) => State::Unanswered { is_restaged: true },
            state => state,
        };
    }

    /// Records that a reading of all staged chunks that began at `begun_at` found them whole.
    pub fn pass(&mut self, begun_at: Instant) {
        self.read_at = Some(begun_at);
        if self.state == State::Unproven {
            self.state = State::Proven;
        }
    }

    /// Records that a chunk is about to be staged. Reading the chunks proves nothing about an
    /// earlier load any more.
    pub fn restage(&mut self) {
        self.read_at = None;
        self.state = match self.state {
            State::Unanswered { .. } => State::Unanswered { is_restaged: true },
            State::Unproven => State::Reloading(Part::Lower),
            state => state,
        };
    }

    /// The age of the oldest read, if the last reading found every chunk whole.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.read_at.map(|read_at| now.since(read_at))
    }

    /// Whether the chunks were read so recently that the engine may be ordered to load them.
    pub fn may_order(&self, now: Instant) -> bool {
        self.age(now).is_some_and(|age| age <= MAX_ORDER_AGE)
    }

    /// Returns the layers to order, of `layers` in all.
    pub fn part(&self, layers: u32) -> Range<u32> {
        match self.state {
            State::Reloading(Part::Lower) if layers > 1 => 0..layers / 2,
            State::Reloading(Part::Upper) if layers > 1 => layers / 2..layers,
            _ => 0..layers,
        }
    }

    /// Records the engine's reply to an order, or that none came.
    pub fn answer(&mut self, reply: Option<&Reply>, now: Instant) {
        let is_timely = self.is_timely(now);
        self.begun += u64::from(reply == Some(&Reply::Begun));
        self.state = match (self.state, reply) {
            (state, Some(Reply::Refused(_))) => state,
            (State::Reloading(part), None) => State::Reloading(part),
            (State::Unanswered { is_restaged }, None) => State::Unanswered { is_restaged },
            (_, None) => State::Unanswered { is_restaged: false },
            // The next order makes the engine give these layers up again.
            (State::Reloading(Part::Lower), Some(_)) => State::Reloading(Part::Upper),
            (State::Reloading(Part::Upper), Some(Reply::Begun)) if is_timely => {
                State::Reloading(Part::Whole)
            }
            (State::Reloading(Part::Whole), Some(Reply::Begun)) if is_timely => State::Proven,
            (State::Reloading(_), Some(_)) => State::Reloading(Part::Lower),
            (_, Some(Reply::Begun)) => self.accepted(false, now),
            (State::Unanswered { is_restaged }, Some(Reply::InEffect)) => {
                self.accepted(is_restaged, now)
            }
            (_, Some(Reply::InEffect)) => State::Reloading(Part::Lower),
        };
    }

    /// What to do about the wanted version, if the engine serves it.
    pub fn step(&self) -> Step {
        match self.state {
            State::Inherited | State::Proven => Step::Serve,
            State::Unanswered { .. } | State::Unproven => Step::Inspect,
            State::Reloading(_) => Step::Reload,
        }
    }

    /// The state after an acceptance that is known at `now`.
    fn accepted(&self, is_restaged: bool, now: Instant) -> State {
        match is_restaged {
            true => State::Reloading(Part::Lower),
            false if self.is_timely(now) => State::Proven,
            false => State::Unproven,
        }
    }

    fn is_timely(&self, now: Instant) -> bool {
        self.age(now).is_some_and(|age| age <= MAX_AGE)
    }
}

impl Default for Evidence {
    fn default() -> Self {
        Self::new()
    }
}
