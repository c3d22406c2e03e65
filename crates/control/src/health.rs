//! Whether the replica is ready, as the platform's balancer asks on another thread.

use std::{sync::Arc, time::Duration};

use domain::{
    clock::{Clock, Instant},
    violation::Violation,
};
use host::status::Readiness;
use parking_lot::Mutex;

/// A last reading older than this means that the replica's thread stands still.
const MAX_SILENCE: Duration = Duration::from_secs(2);

struct Reading {
    at: Instant,
    obstacles: Vec<String>,
}

/// The last reading of what keeps the replica from serving.
pub struct Health {
    clock: Arc<dyn Clock>,
    last: Mutex<Option<Reading>>,
}

impl Health {
    /// A replica of which nothing is known yet.
    pub fn new(clock: Arc<dyn Clock>) -> Self {
        Self {
            clock,
            last: Mutex::new(None),
        }
    }

    /// Sets what keeps the replica from serving now.
    pub fn set(&self, obstacles: Vec<String>) {
        let at = self.clock.now();
        *self.last.lock() = Some(Reading { at, obstacles });
    }
}

impl Readiness for Health {
    fn obstacles(&self) -> Vec<Violation> {
        let violation = |message: &str| Violation::new("control", message);
        match &*self.last.lock() {
            None => vec![violation("the replica starts")],
            Some(last) if self.clock.now().since(last.at) > MAX_SILENCE => {
                vec![violation("the replica's thread stands still")]
            }
            Some(last) => last.obstacles.iter().map(|text| violation(text)).collect(),
        }
    }
}
