//! The rate of the whole stand-in, shared by all its answers.

use std::time::Duration;

use parking_lot::Mutex;
use tokio::time::{self, Instant};

/// How far ahead of time a first byte may be sent.
const BURST: Duration = Duration::from_millis(20);

/// Lets pieces pass one after the other at a fixed rate.
#[derive(Debug)]
pub struct Throttle {
    bytes_per_s: Option<u64>,
    free_at: Mutex<Instant>,
}

impl Throttle {
    /// A throttle of the given rate, or one that lets everything pass at once.
    pub fn new(bytes_per_s: Option<u64>) -> Self {
        Self {
            bytes_per_s,
            free_at: Mutex::new(Instant::now()),
        }
    }

    /// Waits until `bytes` bytes may be sent.
    pub async fn pass(&self, bytes: usize) {
        let Some(rate) = self.bytes_per_s else {
            return;
        };
        let span = Duration::from_secs_f64(bytes as f64 / rate as f64);
        let at = {
            let mut free_at = self.free_at.lock();
            *free_at = (*free_at).max(Instant::now() - BURST) + span;
            *free_at
        };
        time::sleep_until(at).await;
    }

    /// How long the next piece would wait.
    pub fn backlog(&self) -> Duration {
        self.free_at
            .lock()
            .saturating_duration_since(Instant::now())
    }
}
