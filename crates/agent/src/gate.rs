//! The gate around [`policy::gate`]: calls wait here for their turn.

use std::{collections::HashMap, sync::Arc, time::Duration};

use domain::clock::{Clock, Instant};
use parking_lot::Mutex;
use policy::{
    gate::{self, Call, End, Load, Refusal, Ticket},
    warmup::Sign,
};
use tokio::{
    sync::{oneshot, watch},
    time,
};

use crate::metrics::Metrics;

/// Why a call did not get its turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denial {
    /// It was refused at once.
    Refused(Refusal),
    /// Its deadline passed while it waited.
    Expired,
    /// The upstream can't have it any more.
    Flushed,
}

/// The gate of the upstream.
pub struct Gate {
    inner: Mutex<Inner>,
    clock: Arc<dyn Clock>,
    changes: watch::Sender<u64>,
    metrics: Metrics,
}

struct Inner {
    gate: gate::Gate,
    turns: HashMap<Ticket, oneshot::Sender<Turn>>,
    has_timer: bool,
}

#[derive(Clone, Copy, Debug)]
enum Turn {
    Go,
    Flushed,
}

impl Gate {
    /// A gate that starts cold.
    pub fn new(config: gate::Config, clock: Arc<dyn Clock>, metrics: Metrics) -> Arc<Self> {
        Arc::new(Self {
            inner: Mutex::new(Inner {
                gate: gate::Gate::new(config),
                turns: HashMap::new(),
                has_timer: false,
            }),
            clock,
            changes: watch::Sender::new(0),
            metrics,
        })
    }

    /// Running and waiting calls and the limit.
    pub fn load(&self) -> Load {
        self.inner.lock().gate.load()
    }

    /// Whether the limit has reached the warm figure.
    pub fn is_warm(&self) -> bool {
        self.inner.lock().gate.is_warm()
    }

    /// Moves on whenever the limit changes.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Waits for the turn of a call.
    ///
    /// # Errors
    ///
    /// Why it got none. Then nothing was sent for it.
    pub async fn enter(self: &Arc<Self>, call: Call) -> Result<Permit, Denial> {
        let (turn, receiver) = oneshot::channel();
        let now = self.clock.now();
        let (cost, deadline) = (call.cost, call.deadline);
        let mut seat = {
            let mut inner = self.inner.lock();
            let ticket = inner.gate.enqueue(now, call).map_err(Denial::Refused)?;
            inner.turns.insert(ticket, turn);
            self.pump(&mut inner, now);
            Seat {
                gate: self.clone(),
                ticket: Some(ticket),
            }
        };
        let turn = time::timeout(deadline.since(now), receiver).await;
        match turn {
            Ok(Ok(Turn::Go)) => Ok(Permit {
                gate: self.clone(),
                ticket: seat.ticket.take(),
                is_sent: false,
                cost,
            }),
            Ok(Ok(Turn::Flushed) | Err(_)) => Err(Denial::Flushed),
            Err(_) => Err(Denial::Expired),
        }
    }

    /// Takes in the upstream's own report of being cold.
    pub fn report(self: &Arc<Self>, is_cold: bool) -> Option<Sign> {
        self.update(|gate, now| gate.report(now, is_cold))
    }

    /// Falls to the cold figure.
    pub fn chill(self: &Arc<Self>) {
        self.update(|gate, now| gate.reset(now));
    }

    /// Takes nothing new from now on, and sends away what waits.
    pub fn drain(self: &Arc<Self>) {
        self.update(|gate, _| gate.drain());
        self.flush();
    }

    /// Sends away what waits, because the upstream can't have it now.
    pub fn flush(&self) {
        let mut inner = self.inner.lock();
        for ticket in inner.gate.flush() {
            if let Some(turn) = inner.turns.remove(&ticket) {
                // A caller that is gone needs no answer.
                let _ = turn.send(Turn::Flushed);
            }
        }
    }

    /// Changes the state and lets those in whose turn it is.
    fn update<T>(self: &Arc<Self>, change: impl FnOnce(&mut gate::Gate, Instant) -> T) -> T {
        let now = self.clock.now();
        let mut inner = self.inner.lock();
        let before = inner.gate.load().limit;
        let result = change(&mut inner.gate, now);
        self.pump(&mut inner, now);
        let after = inner.gate.load().limit;
        drop(inner);
        if before != after {
            self.metrics.limit(after);
            self.changes.send_modify(|n| *n += 1);
        }
        result
    }

    fn pump(self: &Arc<Self>, inner: &mut Inner, now: Instant) {
        while let Some(ticket) = inner.gate.next(now) {
            let is_gone = match inner.turns.remove(&ticket) {
                Some(turn) => turn.send(Turn::Go).is_err(),
                None => true,
            };
            if is_gone {
                inner.gate.finish(now, ticket, End::Unsent, 0);
            }
        }
        match inner.gate.wake_at(now) {
            Some(at) if !inner.has_timer => {
                inner.has_timer = true;
                tokio::spawn(self.clone().wake_after(at.since(now)));
            }
            _ => {}
        }
    }

    async fn wake_after(self: Arc<Self>, pause: Duration) {
        time::sleep(pause).await;
        let now = self.clock.now();
        let mut inner = self.inner.lock();
        inner.has_timer = false;
        self.pump(&mut inner, now);
    }
}

/// A call that waits. Dropping it takes the call out, at whatever point its turn is.
struct Seat {
    gate: Arc<Gate>,
    ticket: Option<Ticket>,
}

impl Drop for Seat {
    fn drop(&mut self) {
        let Some(ticket) = self.ticket.take() else {
            return;
        };
        self.gate.inner.lock().turns.remove(&ticket);
        self.gate.update(|gate, now| {
            if !gate.cancel(ticket) {
                gate.finish(now, ticket, End::Unsent, 0);
            }
        });
    }
}

/// The turn of a call. Dropping it ends the turn.
pub struct Permit {
    gate: Arc<Gate>,
    ticket: Option<Ticket>,
    is_sent: bool,
    cost: u32,
}

impl Permit {
    /// Says that the call is about to be sent.
    pub fn send(&mut self) {
        self.is_sent = true;
        if let Some(ticket) = self.ticket {
            self.gate.update(|gate, now| gate.send(now, ticket));
        }
    }

    /// Says that the first token has come.
    pub fn confirm(&mut self) -> Option<Sign> {
        let ticket = self.ticket?;
        self.gate.update(|gate, now| gate.confirm(now, ticket))
    }

    /// Ends the turn.
    pub fn finish(mut self, end: End, cost: u32) -> Option<Sign> {
        self.cost = cost;
        self.end(end)
    }

    fn end(&mut self, end: End) -> Option<Sign> {
        let (ticket, cost) = (self.ticket.take()?, self.cost);
        self.gate
            .update(|gate, now| gate.finish(now, ticket, end, cost))
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        match self.is_sent {
            true => self.end(End::Failed),
            false => self.end(End::Unsent),
        };
    }
}
