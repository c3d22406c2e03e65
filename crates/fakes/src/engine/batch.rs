//! The running batch: a bounded number of calls at once, the rest wait by priority.

use std::{cmp::Reverse, collections::BinaryHeap, sync::Arc};

use parking_lot::Mutex;
use tokio::sync::oneshot;

/// The places of the batch.
#[derive(Debug, Default)]
pub struct Batch {
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    capacity: usize,
    running: usize,
    sequence: u64,
    waiting: BinaryHeap<Reverse<Waiter>>,
}

#[derive(Debug)]
struct Waiter {
    rank: (u32, u64),
    seat: oneshot::Sender<Seat>,
}

impl PartialEq for Waiter {
    fn eq(&self, other: &Self) -> bool {
        self.rank == other.rank
    }
}

impl Eq for Waiter {}

impl PartialOrd for Waiter {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Waiter {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.rank.cmp(&other.rank)
    }
}

/// A place in the batch. Dropping it lets the next call in.
#[derive(Debug)]
pub struct Seat(Option<Arc<Batch>>);

impl Batch {
    /// A batch of this many calls.
    pub fn new(capacity: usize) -> Arc<Self> {
        Arc::new(Self {
            inner: Mutex::new(Inner {
                capacity,
                ..Inner::default()
            }),
        })
    }

    /// Calls that run and calls that wait.
    pub fn load(&self) -> (usize, usize) {
        let inner = self.inner.lock();
        (inner.running, inner.waiting.len())
    }

    /// Waits for a place; 0 is the highest priority.
    pub async fn enter(self: &Arc<Self>, priority: u32) -> Seat {
        let ticket = {
            let mut inner = self.inner.lock();
            if inner.running < inner.capacity {
                inner.running += 1;
                return Seat(Some(self.clone()));
            }
            let (seat, ticket) = oneshot::channel();
            inner.sequence += 1;
            let rank = (priority, inner.sequence);
            inner.waiting.push(Reverse(Waiter { rank, seat }));
            ticket
        };
        ticket.await.unwrap_or(Seat(None))
    }

    fn leave(self: Arc<Self>) {
        let mut inner = self.inner.lock();
        inner.running -= 1;
        while let Some(Reverse(waiter)) = inner.waiting.pop() {
            inner.running += 1;
            match waiter.seat.send(Seat(Some(self.clone()))) {
                Ok(()) => return,
                // The caller went away while it waited; its seat must not call back in here.
                Err(mut seat) => {
                    seat.0 = None;
                    inner.running -= 1;
                }
            }
        }
    }
}

impl Drop for Seat {
    fn drop(&mut self) {
        if let Some(batch) = self.0.take() {
            batch.leave();
        }
    }
}
