//! The last gate before an upstream: what may be sent to it, and whose call is next.
//!
//! The limit of [`crate::warmup`] says how many calls run at once; the queue of [`crate::fair`]
//! says which one is next. See `docs/ARCHITECTURE.md`, "Gate".

use std::{collections::HashMap, time::Duration};

use derive_more::Display;
use domain::clock::Instant;

use crate::{
    fair::{self, Full, Owner, Queue},
    warmup::{self, Limit, Sign},
};

/// The weight of a new sample in the mean duration of calls is 1 to this.
const SMOOTHING: u32 = 8;
/// The least time after which a refused caller is told to come back.
const MIN_RETRY: Duration = Duration::from_millis(100);
/// The longest such time.
const MAX_RETRY: Duration = Duration::from_secs(30);

/// The bounds of a gate.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// How many calls run.
    pub limit: warmup::Config,
    /// How many calls wait.
    pub queue: fair::Config,
}

/// A call that waits or runs.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(u64);

/// A call that asks to pass.
#[derive(Clone, Debug)]
pub struct Call {
    /// Who it is for.
    pub owner: Owner,
    /// What it is expected to cost, in any unit that is the same for all calls.
    pub cost: u32,
    /// How long its request is, in bytes.
    pub bytes: u32,
    /// When the caller gives up.
    pub deadline: Instant,
}

/// Why a call is refused at once.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Cause {
    /// The upstream takes nothing new.
    #[display("the upstream is draining")]
    Draining,
    /// The customer uses up its share and has too many calls waiting.
    #[display("the customer is over its share")]
    OverShare,
    /// Too many calls wait.
    #[display("the queue is full")]
    Full,
    /// The call would not get its turn before its deadline.
    #[display("the call would wait beyond its deadline")]
    Deadline,
}

/// A refusal, and when another try makes sense.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub cause: Cause,
    /// When to try again.
    pub retry_after: Duration,
}

/// How a call that had its turn ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// Answered whole.
    Succeeded,
    /// The upstream refused it.
    Refused,
    /// It failed in a way that says nothing of how warm the upstream is.
    Failed,
    /// It was never sent.
    Unsent,
}

/// Running and waiting calls and the limit.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display("{running}/{queued}/{limit}")]
pub struct Load {
    /// Calls at the upstream.
    pub running: u32,
    /// Calls that wait.
    pub queued: u32,
    /// How many may run at once.
    pub limit: u32,
}

/// The gate of one upstream.
#[derive(Debug)]
pub struct Gate {
    limit: Limit,
    queue: Queue<Ticket>,
    waiting: HashMap<Ticket, Waiting>,
    running: HashMap<Ticket, Running>,
    unconfirmed: u32,
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
    is_confirmed: bool,
    was_busy: bool,
}

impl Gate {
    /// The gate of an upstream that is taken to be cold.
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

    /// Running and waiting calls and the limit.
    pub fn load(&self) -> Load {
        Load {
            running: count(self.running.len()),
            queued: count(self.queue.len()),
            limit: self.limit.current(),
        }
    }

    /// Whether the limit has reached the warm figure.
    pub fn is_warm(&self) -> bool {
        self.limit.is_warm()
    }

    /// Lets a call wait for its turn, or refuses it at once.
    ///
    /// # Errors
    ///
    /// Why it is refused.
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

    /// The next call whose turn it is. Ask until there is none.
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

    /// When [`Gate::next`] may have a call again after a refusal, if calls wait for that.
    pub fn wake_at(&self, now: Instant) -> Option<Instant> {
        let until = self.limit.paused_until();
        (!self.queue.is_empty() && until > now).then_some(until)
    }

    /// Takes a waiting call out. Says whether it still waited.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        match self.waiting.remove(&ticket) {
            Some(waiting) => self.queue.remove(&waiting.owner.customer, &ticket),
            None => false,
        }
    }

    /// Takes in that a running call is about to be sent, after which its first token is due.
    pub fn send(&mut self, now: Instant, ticket: Ticket) {
        if let Some(running) = self.running.get_mut(&ticket) {
            running.since = now;
        }
    }

    /// Takes in the first token of a running call.
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

    /// Takes in the end of a call that had its turn. `actual` is what it really cost.
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

    /// Takes in the upstream's own report of being cold, which lags.
    pub fn report(&mut self, now: Instant, is_cold: bool) -> Option<Sign> {
        self.limit.on_report(now, is_cold)
    }

    /// Falls to the cold figure.
    pub fn reset(&mut self, now: Instant) {
        self.limit.reset(now);
    }

    /// Takes nothing new from now on. Calls that wait or run are not touched.
    pub fn drain(&mut self) {
        self.is_draining = true;
    }

    /// Takes all waiting calls out, because the upstream can't have them now.
    pub fn flush(&mut self) -> Vec<Ticket> {
        self.waiting.clear();
        self.queue.clear()
    }

    /// The share of the limit that a customer may use now.
    pub fn fair_share(&self, owner: &Owner) -> f64 {
        self.queue.fair_share(owner, self.limit.current())
    }

    fn cause_of(&self, owner: &Owner, otherwise: Cause) -> Cause {
        let running = f64::from(self.queue.running(&owner.customer));
        match running >= self.fair_share(owner).floor().max(1.0) {
            true => Cause::OverShare,
            false => otherwise,
        }
    }

    /// How long a new call of a customer will about wait.
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
