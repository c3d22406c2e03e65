//! The retry budget: retries are limited to a fraction of recent calls, so that they don't
//! overload a failing fleet.
//!
//! See `docs/ARCHITECTURE.md`, "Retries".

use std::{collections::VecDeque, time::Duration};

use domain::clock::Instant;

/// The length of the window in which calls and retries are counted.
const WINDOW: Duration = Duration::from_secs(10);
/// The length of one slot of the window.
const SLOT: Duration = Duration::from_secs(1);
/// The default number of retries that a window always allows, even with few calls.
const MIN_RETRIES: u64 = 10;

#[derive(Clone, Copy, Debug)]
struct Slot {
    begin: Instant,
    calls: u64,
    retries: u64,
}

/// Limits retries by the calls and retries in the window.
#[derive(Clone, Debug)]
pub struct Budget {
    percent: u64,
    floor: u64,
    slots: VecDeque<Slot>,
}

impl Budget {
    /// Creates a budget of `percent` retries per hundred calls. Zero forbids all retries.
    pub fn new(percent: u32) -> Self {
        Self {
            percent: percent.into(),
            floor: MIN_RETRIES,
            slots: VecDeque::new(),
        }
    }

    /// Sets the number of retries that a window always allows, even with few calls. It is this
    /// process's share of the number for all processes.
    pub fn set_floor(&mut self, retries: u64) {
        self.floor = retries;
    }

    /// Counts a new call.
    pub fn call(&mut self, now: Instant) {
        self.slot(now).calls += 1;
    }

    /// Takes one retry from the budget. Returns `false` if none is left.
    pub fn take(&mut self, now: Instant) -> bool {
        self.slot(now);
        let (calls, retries) = self.slots.iter().fold((0, 0), |(calls, retries), slot| {
            (calls + slot.calls, retries + slot.retries)
        });
        let allowed = match self.percent {
            0 => 0,
            percent => self.floor.max(calls * percent / 100),
        };
        let is_left = retries < allowed;
        if is_left {
            self.slot(now).retries += 1;
        }
        is_left
    }

    fn slot(&mut self, now: Instant) -> &mut Slot {
        while self
            .slots
            .front()
            .is_some_and(|slot| now.since(slot.begin) >= WINDOW)
        {
            self.slots.pop_front();
        }
        let is_current = self
            .slots
            .back()
            .is_some_and(|slot| now.since(slot.begin) < SLOT);
        if !is_current {
            self.slots.push_back(Slot {
                begin: now,
                calls: 0,
                retries: 0,
            });
        }
        let last = self.slots.len() - 1;
        &mut self.slots[last]
    }
}
