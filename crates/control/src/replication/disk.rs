//! The thread that writes the log, so that a slow disk doesn't stop heartbeats.
//!
//! While one batch is written the replica collects the next one, so commits are grouped by
//! themselves.

use std::{sync::mpsc, thread, time::Instant};

use opentelemetry::metrics::Histogram;
use policy::replica::{Synced, Write};
use snafu::ResultExt;
use store::Store;
use tokio::sync::mpsc as results;

use super::error::{Error, StoreSnafu};

/// Batches that became durable, or the failure.
pub(super) type Results = results::UnboundedReceiver<Result<Synced, Error>>;

/// The way to the thread. Dropping it waits until the running batch is written.
pub(super) struct Disk {
    writes: Option<mpsc::Sender<Write>>,
    thread: Option<thread::JoinHandle<()>>,
}

impl Disk {
    pub(super) fn new(store: Store, seconds: Histogram<f64>) -> Result<(Self, Results), Error> {
        let (writes, queue) = mpsc::channel();
        let (done, results) = results::unbounded_channel();
        let thread = thread::Builder::new()
            .name("log-writer".to_owned())
            .spawn(move || write(store, &queue, &done, &seconds))
            .map_err(|_| Error::Writer)?;
        let disk = Self {
            writes: Some(writes),
            thread: Some(thread),
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
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn write(
    mut store: Store,
    queue: &mpsc::Receiver<Write>,
    done: &results::UnboundedSender<Result<Synced, Error>>,
    seconds: &Histogram<f64>,
) {
    for write in queue {
        let started = Instant::now();
        let result = write.persist(|batch| store.save(batch)).context(StoreSnafu);
        seconds.record(started.elapsed().as_secs_f64(), &[]);
        let is_broken = result.is_err();
        if done.send(result).is_err() || is_broken {
            return;
        }
    }
}
