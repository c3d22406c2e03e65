//! The calls that run now: their number is bounded, and a shutdown names those that it cuts.

use std::{
    collections::HashMap,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

use domain::{call::Attempt, name};
use parking_lot::Mutex;
use tokio_util::task::{TaskTracker, task_tracker::TaskTrackerToken};

/// What is known of a running call.
#[derive(Clone, Debug)]
pub struct Info {
    /// Its first attempt.
    pub id: Attempt,
    /// On whose behalf it runs.
    pub customer: name::Customer,
    /// Its path.
    pub path: Arc<str>,
}

/// The running calls.
#[derive(Clone)]
pub struct Calls {
    limit: usize,
    next: Arc<AtomicU64>,
    running: Arc<Mutex<HashMap<u64, Info>>>,
    tracker: TaskTracker,
}

/// Keeps a call among the running ones until it is dropped.
pub struct Guard {
    calls: Calls,
    key: u64,
    _token: TaskTrackerToken,
}

impl Calls {
    /// No calls yet, and at most `limit` at once.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            next: Arc::default(),
            running: Arc::default(),
            tracker: TaskTracker::new(),
        }
    }

    /// Adds a call, or nothing if too many run.
    pub fn begin(&self, info: Info) -> Option<Guard> {
        let mut running = self.running.lock();
        if running.len() >= self.limit {
            return None;
        }
        let key = self.next.fetch_add(1, Ordering::Relaxed);
        running.insert(key, info);
        Some(Guard {
            calls: self.clone(),
            key,
            _token: self.tracker.token(),
        })
    }

    /// The calls that run now.
    pub fn running(&self) -> Vec<Info> {
        self.running.lock().values().cloned().collect()
    }

    /// Waits until no call runs.
    pub async fn ended(&self) {
        self.tracker.close();
        self.tracker.wait().await;
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.calls.running.lock().remove(&self.key);
    }
}
