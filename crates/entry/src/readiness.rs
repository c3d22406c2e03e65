//! Whether the balancer may send calls here.

use std::{sync::Arc, time::Duration};

use domain::{clock::Clock, violation::Violation};
use host::status::Readiness;
use tokio_util::sync::CancellationToken;

use crate::{control::Control, util::millis};

/// Ready means that the feed is fresh and that no shutdown has begun.
pub struct State {
    control: Arc<dyn Control>,
    clock: Arc<dyn Clock>,
    max_feed_age: Duration,
    drain: CancellationToken,
}

impl State {
    /// Watches the feed and the shutdown.
    pub fn new(
        control: Arc<dyn Control>,
        clock: Arc<dyn Clock>,
        max_feed_age: Duration,
        drain: CancellationToken,
    ) -> Self {
        Self {
            control,
            clock,
            max_feed_age,
            drain,
        }
    }

    fn feed_obstacle(&self) -> Option<Violation> {
        let feed = self.control.feed();
        let now = self.clock.now();
        if feed.is_fresh(now, self.max_feed_age) {
            return None;
        }
        let message = match feed.bound.age(now) {
            Some(age) => format!("no confirmed state from control for {} ms", millis(age)),
            None => "no state from control yet".to_owned(),
        };
        Some(Violation::new("$.feed", message))
    }
}

impl Readiness for State {
    fn obstacles(&self) -> Vec<Violation> {
        let drain = self.drain.is_cancelled();
        let drain = drain.then(|| Violation::new("$.shutdown", "a shutdown has begun"));
        self.feed_obstacle().into_iter().chain(drain).collect()
    }
}
