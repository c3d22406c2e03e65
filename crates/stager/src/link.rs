//! The VM's link, which live requests use too: what is sent of weights keeps to a part of it.
//!
//! What comes in is paced by those who send: each splits its part among all who ask.

use std::{cell::RefCell, sync::Arc, time::Duration};

use domain::clock::Clock;
use policy::pacer::Pacer;
use tokio::time;

/// The part of the link that is left to live requests, in hundredths. An event of a stream then
/// waits behind one chunk at most.
const LIVE_PERCENT: u32 = 15;

/// The VM's link, outwards.
pub(crate) struct Link {
    clock: Arc<dyn Clock>,
    up: RefCell<Pacer>,
}

impl Link {
    /// A link of the given rate.
    pub(crate) fn new(bytes_per_s: u64, clock: Arc<dyn Clock>) -> Self {
        let up = RefCell::new(Pacer::new(bytes_per_s, LIVE_PERCENT));
        Self { clock, up }
    }

    /// Waits until so many bytes may be sent.
    pub(crate) async fn send(&self, bytes: usize) {
        let wait = self.up.borrow_mut().reserve(bytes as u64, self.clock.now());
        time::sleep(wait).await;
    }

    /// How long what is booked already takes.
    pub(crate) fn backlog(&self) -> Duration {
        self.up.borrow().backlog(self.clock.now())
    }
}
