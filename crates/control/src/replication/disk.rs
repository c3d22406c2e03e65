//! The thread that writes the log, so that a slow disk doesn't stop heartbeats.
//!
//! While one batch is written the replica collects the next one, so commits are grouped by
//! themselves.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
        mpsc,
    },
    thread,
    time::{Duration, Instant},
};

use opentelemetry::metrics::Histogram;
use policy::replica::{Batch, Synced, Write};
use snafu::ResultExt;
use store::Store;
use tokio::sync::mpsc as results;

use super::error::{Error, StoreSnafu};

/// The pause before a batch that found no room is written again.
const FULL_RETRY: Duration = Duration::from_millis(200);

/// What became of a batch.
pub(super) enum Event {
    /// It is durable.
    Synced(Synced),
    /// The disk has no room for it. It is written again until there is some.
    Full {
        /// What the store said.
        reason: String,
    },
}

/// What became of batches, or the failure.
pub(super) type Results = results::UnboundedReceiver<Result<Event, Error>>;

/// The way to the thread. Dropping it waits until the running batch is written.
pub(super) struct Disk {
    writes: Option<mpsc::Sender<Write>>,
    thread: Option<thread::JoinHandle<()>>,
    /// Whether a batch that finds no room is given up.
    is_closing: Arc<AtomicBool>,
}

impl Disk {
    pub(super) fn new(store: Store, seconds: Histogram<f64>) -> Result<(Self, Results), Error> {
        let (writes, queue) = mpsc::channel();
        let (done, results) = results::unbounded_channel();
        let is_closing = Arc::new(AtomicBool::new(false));
        let closing = is_closing.clone();
        let thread = thread::Builder::new()
            .name("log-writer".to_owned())
            .spawn(move || write(store, &queue, &done, &seconds, &closing))
            .map_err(|_| Error::Writer)?;
        let disk = Self {
            writes: Some(writes),
            thread: Some(thread),
            is_closing,
        };
        Ok((disk, results))
    }

    /// Hands a batch over. If the thread has ended, [`Results`] says so.
    pub(super) fn write(&self, write: Write) {
        if let Some(writes) = &self.writes {
            let _ = writes.send(write);
        }
    }
}

impl Drop for Disk {
    fn drop(&mut self) {
        self.writes = None;
        self.is_closing.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn write(
    mut store: Store,
    queue: &mpsc::Receiver<Write>,
    done: &results::UnboundedSender<Result<Event, Error>>,
    seconds: &Histogram<f64>,
    is_closing: &AtomicBool,
) {
    for write in queue {
        let started = Instant::now();
        let synced = write.persist(|batch| save(&mut store, batch, done, is_closing));
        let result = synced.map(Event::Synced).context(StoreSnafu);
        seconds.record(started.elapsed().as_secs_f64(), &[]);
        let is_broken = result.is_err();
        if done.send(result).is_err() || is_broken {
            return;
        }
    }
}

/// Saves a batch. While the disk is full the replica holds back what depends on it, so that the
/// batch can wait for room.
fn save(
    store: &mut Store,
    batch: &Batch,
    done: &results::UnboundedSender<Result<Event, Error>>,
    is_closing: &AtomicBool,
) -> Result<(), store::Error> {
    let mut is_told = false;
    loop {
        match store.save(batch) {
            Err(error) if error.is_full() && !is_closing.load(Ordering::Relaxed) => {
                let reason = error.to_string();
                let is_heard = is_told || done.send(Ok(Event::Full { reason })).is_ok();
                if !is_heard {
                    return Err(error);
                }
                is_told = true;
                thread::sleep(FULL_RETRY);
            }
            result => return result,
        }
    }
}
