//! The gate in front of one upstream: which calls may be sent to it, and in which order.
//!
//! [`crate::warmup`] limits how many calls run at once, and the queue of [`crate::fair`] picks the
//! next one. See `docs/ARCHITECTURE.md`, "Gate".

use std::{collections::HashMap, time::Duration};

use derive_more::Display;
use domain::clock::Instant;

use crate::{
    fair::{self, Full, Owner, Queue},
    warmup::{self, Limit, Sign},
};

/// Inverse weight of a new sample in the moving average of call durations.
const SMOOTHING: u32 = 8;
/// Shortest retry delay of a refusal.
const MIN_RETRY: Duration = Duration::from_millis(100);
/// Longest retry delay of a refusal.
const MAX_RETRY: Duration = Duration::from_secs(30);

/// Configuration of a gate.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Limit of running calls.
    pub limit: warmup::Config,
    /// Limits of waiting calls.
    pub queue: fair::Config,
}

/// Identifies a waiting or running call.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(u64);

/// A call that is to be queued.
#[derive(Clone, Debug)]
pub struct Call {
    /// The customer that it is accounted to.
    pub owner: Owner,
    /// Expected cost, in any unit that is the same for all calls.
    pub cost: u32,
    /// Length of the request in bytes.
    pub bytes: u32,
    /// When the caller stops waiting.
    pub deadline: Instant,
}

/// Why a call is refused.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Cause {
    /// The upstream accepts no new calls.
    #[display("the upstream is draining")]
    Draining,
    /// The call can't be queued, and its customer already uses its fair share.
    #[display("the customer is over its share")]
    OverShare,
    /// The queue, or the customer's part of it, is full.
    #[display("the queue is full")]
    Full,
    /// The expected wait exceeds the deadline of the call.
    #[display("the call would wait beyond its deadline")]
    Deadline,
}

/// A refused call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// The reason.
    pub cause: Cause,
    /// How long the caller should wait before it retries.
    pub retry_after: Duration,
}

/// How a call ended that was taken from the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// Answered completely.
    Succeeded,
    /// The upstream refused it.
    Refused,
    /// It failed for a reason unrelated to whether the upstream is cold.
    Failed,
    /// It was never sent.
    Unsent,
}

/// Occupancy of a gate.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display("{running}/{queued}/{limit}")]
pub struct Load {
    /// Running calls.
    pub running: u32,
    /// Waiting calls.
    pub queued: u32,
    /// Maximum number of running calls.
    pub limit: u32,
}

/// The gate of one upstream.
#[derive(Debug)]
pub struct Gate {
    limit: Limit,
    queue: Queue<Ticket>,
    waiting: HashMap<Ticket, Waiting>,
    running: HashMap<Ticket, Running>,
    /// Running calls that have no first token yet.
    unconfirmed: u32,
    /// Mean duration of successful calls.
    mean: Option<Duration>,
    last_ticket: u64,
    is_draining: bool,
}

#[derive(Debug)]
struct Waiting {
    owner: Owner,
    cost: u32,
    bytes: u32,
}

#[derive(Debug)]
struct Running {
    owner: Owner,
    cost: u32,
    bytes: u32,
    since: Instant,
    /// Whether its first token has arrived.
    is_confirmed: bool,
    /// Whether at least half of the limit was in use when it started.
    was_busy: bool,
}

impl Gate {
    /// Creates the gate of an upstream that is assumed to be cold.
    pub fn new(config: Config) -> Self {
        Self {
            limit: Limit::new(config.limit),
            queue: Queue::new(config.queue),
            waiting: HashMap::new(),
            running: HashMap::new(),
            unconfirmed: 0,
            mean: None,
            last_ticket: 0,
            is_draining: false,
        }
    }

    /// The number of running and waiting calls and the current limit.
    pub fn load(&self) -> Load {
        Load {
            running: count(self.running.len()),
            queued: count(self.queue.len()),
            limit: self.limit.current(),
        }
    }

    /// Whether the limit has reached its warm value.
    pub fn is_warm(&self) -> bool {
        self.limit.is_warm()
    }

    /// Queues a call.
    ///
    /// # Errors
    ///
    /// [`Refusal`] if the upstream is draining, the expected wait exceeds the deadline, or a limit
    /// of the queue is reached.
    pub fn enqueue(&mut self, now: Instant, call: Call) -> Result<Ticket, Refusal> {
        let wait = self.expected_wait(now, &call.owner);
        if self.is_draining {
            return Err(refusal(Cause::Draining, MIN_RETRY));
        }
        if now + wait > call.deadline {
            return Err(refusal(self.cause_of(&call.owner, Cause::Deadline), wait));
        }
        let ticket = Ticket(self.last_ticket + 1);
        match self.queue.push(&call.owner, ticket, call.cost) {
            Ok(()) => {}
            Err(Full::Customer) => {
                return Err(refusal(self.cause_of(&call.owner, Cause::Full), wait));
            }
            Err(Full::Total) => return Err(refusal(Cause::Full, wait)),
        }
        self.last_ticket += 1;
        let waiting = Waiting {
            owner: call.owner,
            cost: call.cost,
            bytes: call.bytes,
        };
        self.waiting.insert(ticket, waiting);
        Ok(ticket)
    }

    /// Takes the next call from the queue and counts it as running, if the limit permits it.
    /// Several calls may be ready, so the caller repeats this until it returns `None`.
    pub fn next(&mut self, now: Instant) -> Option<Ticket> {
        let running = count(self.running.len());
        if !self.limit.has_room(now, running, self.unconfirmed) {
            return None;
        }
        let ticket = self.queue.pop()?;
        let Waiting { owner, cost, bytes } = self.waiting.remove(&ticket)?;
        self.unconfirmed += 1;
        let was_busy = (running + 1) * 2 >= self.limit.current();
        self.running.insert(
            ticket,
            Running {
                owner,
                cost,
                bytes,
                since: now,
                is_confirmed: false,
                was_busy,
            },
        );
        Some(ticket)
    }

    /// When the pause after a refusal ends and [`Gate::next`] has to be called again, if calls
    /// wait.
    pub fn wake_at(&self, now: Instant) -> Option<Instant> {
        let until = self.limit.paused_until();
        (!self.queue.is_empty() && until > now).then_some(until)
    }

    /// Removes a waiting call. Returns whether it was still waiting.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        match self.waiting.remove(&ticket) {
            Some(waiting) => self.queue.remove(&waiting.owner.customer, &ticket),
            None => false,
        }
    }

    /// Records that a running call is about to be sent, which starts the wait for its first token.
    pub fn send(&mut self, now: Instant, ticket: Ticket) {
        if let Some(running) = self.running.get_mut(&ticket) {
            running.since = now;
        }
    }

    /// Records the first token of a running call. Returns a sign if its delay shows that the
    /// upstream is cold.
    pub fn confirm(&mut self, now: Instant, ticket: Ticket) -> Option<Sign> {
        let running = self.running.get_mut(&ticket)?;
        if running.is_confirmed {
            return None;
        }
        running.is_confirmed = true;
        self.unconfirmed -= 1;
        let waited = now.since(running.since);
        self.limit.on_first_token(now, waited, running.bytes)
    }

    /// Records the end of a running call. `actual` is its actual cost. Returns a sign if the
    /// upstream refused it.
    pub fn finish(&mut self, now: Instant, ticket: Ticket, end: End, actual: u32) -> Option<Sign> {
        let running = self.running.remove(&ticket)?;
        self.unconfirmed -= u32::from(!running.is_confirmed);
        let actual = match end {
            End::Unsent => 0,
            End::Succeeded | End::Refused | End::Failed => actual,
        };
        self.queue
            .finish(&running.owner.customer, running.cost, actual);
        match end {
            End::Succeeded => {
                self.observe(now.since(running.since));
                self.limit.on_success(now, running.was_busy);
                None
            }
            End::Refused => Some(self.limit.on_refusal(now)),
            End::Failed | End::Unsent => None,
        }
    }

    /// Records the upstream's own report of whether it is cold, which lags behind its state.
    pub fn report(&mut self, now: Instant, is_cold: bool) -> Option<Sign> {
        self.limit.on_report(now, is_cold)
    }

    /// Resets the limit to its cold value.
    pub fn reset(&mut self, now: Instant) {
        self.limit.reset(now);
    }

    /// Refuses new calls from now on. Waiting and running calls are unaffected.
    pub fn drain(&mut self) {
        self.is_draining = true;
    }

    /// Removes all waiting calls, because the upstream is unavailable, and returns them.
    pub fn flush(&mut self) -> Vec<Ticket> {
        self.waiting.clear();
        self.queue.clear()
    }

    /// How many running calls a customer is entitled to at the current limit.
    pub fn fair_share(&self, owner: &Owner) -> f64 {
        self.queue.fair_share(owner, self.limit.current())
    }

    /// The cause of a refusal: [`Cause::OverShare`] if the customer uses its fair share, or else
    /// `otherwise`.
    fn cause_of(&self, owner: &Owner, otherwise: Cause) -> Cause {
        let running = f64::from(self.queue.running(&owner.customer));
        match running >= self.fair_share(owner).floor().max(1.0) {
            true => Cause::OverShare,
            false => otherwise,
        }
    }

    /// Estimates how long a new call of a customer would wait.
    fn expected_wait(&self, now: Instant, owner: &Owner) -> Duration {
        let pause = self.limit.paused_until().since(now);
        let Some(mean) = self.mean else {
            return pause;
        };
        let has_room = count(self.running.len()) < self.limit.current();
        if has_room && self.queue.is_empty() {
            return pause;
        }
        let ahead = count(self.queue.waiting(&owner.customer));
        pause + mean.mul_f64(f64::from(ahead) / self.fair_share(owner).max(0.1))
    }

    /// Updates the mean duration of calls.
    fn observe(&mut self, duration: Duration) {
        self.mean = Some(match self.mean {
            Some(mean) => (mean * (SMOOTHING - 1) + duration) / SMOOTHING,
            None => duration,
        });
    }
}

fn refusal(cause: Cause, wait: Duration) -> Refusal {
    Refusal {
        cause,
        retry_after: wait.clamp(MIN_RETRY, MAX_RETRY),
    }
}

fn count(len: usize) -> u32 {
    u32::try_from(len).unwrap_or(u32::MAX)
}
