//! The requests of one service that wait at one entry until an engine accepts them.
//!
//! It handles bursts that exceed the free slots of engines for less than a latency target, where
//! requests differ in urgency: an urgent request waits only behind more urgent ones. The queue is
//! short, because a request that waits behind more requests than engines complete in time would
//! wait in vain. See `docs/LOAD.md`, "Admission by priority".

use std::collections::BTreeMap;

use domain::{clock::Instant, load::Priority};

use crate::admission::Timeliness;

/// A place in the queue. Places compare in the order in which requests are served.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Place {
    priority: Priority,
    /// Requests that can be answered in time come before those that can't.
    is_late: bool,
    /// The number of the arrival.
    arrival: u64,
}

impl Place {
    /// The priority of the request.
    pub fn priority(&self) -> Priority {
        self.priority
    }

    /// Whether the request can no longer be answered in time.
    pub fn is_late(&self) -> bool {
        self.is_late
    }

    fn is_before(&self, priority: Priority, is_late: bool) -> bool {
        (self.priority, self.is_late) <= (priority, is_late)
    }
}

/// The maximum number of waiting requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Of one priority.
    pub each: usize,
    /// Of all priorities.
    pub total: usize,
}

/// A request that was taken into the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Joined {
    /// Its place.
    pub place: Place,
    /// The less urgent request that it displaced.
    pub displaced: Option<Place>,
}

/// As many requests that come before this one wait as the bounds permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("too many requests wait")]
pub struct Full;

/// The waiting requests, in the order in which they are served.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    /// The time until which each request waits.
    deadlines: BTreeMap<Place, Instant>,
    arrivals: u64,
}

impl Queue {
    /// Creates an empty queue.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a request that waits until `deadline`. If a bound is reached, it displaces the last
    /// request that comes after it: one of its priority if that has as many as it may, otherwise
    /// one of any priority. The caller refuses the displaced request.
    ///
    /// # Errors
    ///
    /// [`Full`] if no request comes after it.
    pub fn join(
        &mut self,
        priority: Priority,
        timeliness: Timeliness,
        deadline: Instant,
        bounds: Bounds,
    ) -> Result<Joined, Full> {
        let is_late = timeliness == Timeliness::Late;
        let last = match () {
            () if self.waiting(priority) >= bounds.each => self.last_of(priority),
            () if self.len() >= bounds.total => self.deadlines.keys().next_back().copied(),
            () => None,
        };
        if last.is_some_and(|last| last.is_before(priority, is_late)) {
            return Err(Full);
        }
        if let Some(last) = last {
            self.remove(last);
        }
        self.arrivals += 1;
        let place = Place {
            priority,
            is_late,
            arrival: self.arrivals,
        };
        self.deadlines.insert(place, deadline);
        Ok(Joined {
            place,
            displaced: last,
        })
    }

    /// Removes a request that is served or whose caller left. Returns `false` if it doesn't wait.
    pub fn remove(&mut self, place: Place) -> bool {
        self.deadlines.remove(&place).is_some()
    }

    /// Removes and returns the requests whose deadline has passed.
    pub fn expire(&mut self, now: Instant) -> Vec<Place> {
        let expired = self
            .deadlines
            .extract_if(.., |_, deadline| *deadline <= now)
            .map(|(place, _)| place);
        expired.collect()
    }

    /// The waiting requests, in the order in which they are served.
    pub fn places(&self) -> impl Iterator<Item = Place> {
        self.deadlines.keys().copied()
    }

    /// The number of waiting requests.
    pub fn len(&self) -> usize {
        self.deadlines.len()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.deadlines.is_empty()
    }

    /// The number of waiting requests of a priority.
    pub fn waiting(&self, priority: Priority) -> usize {
        self.range(priority).count()
    }

    fn last_of(&self, priority: Priority) -> Option<Place> {
        self.range(priority).next_back()
    }

    fn range(&self, priority: Priority) -> impl DoubleEndedIterator<Item = Place> {
        let bound = |is_late, arrival| Place {
            priority,
            is_late,
            arrival,
        };
        let range = bound(false, 0)..=bound(true, u64::MAX);
        self.deadlines.range(range).map(|(place, _)| *place)
    }
}
