//! The engine's state, shared by all its connections.

use std::{
    collections::HashMap,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use domain::order::{Fence, Role};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tokio::{sync::watch, time::Instant};

use super::{
    Config, batch,
    fault::Plan,
    prefix,
    stats::{Runs, Stats},
    store::{Served, Store},
    warmth::{Admission, Refusal, Warmth},
};

/// Starts of engines within this process, so that two starts at one moment differ too.
static STARTS: AtomicU64 = AtomicU64::new(0);

/// The answer of `GET /state`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    /// Changes at each start.
    pub boot: u64,
    /// The versions that are served.
    pub serving: Vec<Served>,
    /// Running calls, with a lag.
    pub running: u32,
    /// Waiting calls, with a lag.
    pub queued: u32,
    /// Whether the engine was cold, with a lag.
    pub is_cold: bool,
    /// The role.
    pub role: Role,
    /// The highest fencing number seen.
    pub fence: Fence,
}

/// A call's identity and prompt, for answers that are crossed on request.
#[derive(Clone, Debug)]
pub(super) struct Other {
    /// The attempt.
    pub(super) attempt: String,
    /// The prompt.
    pub(super) prompt: String,
}

#[derive(Clone, Copy, Debug)]
struct Report {
    at: Instant,
    running: u32,
    queued: u32,
    is_cold: bool,
}

pub(super) struct Core {
    pub(super) config: Config,
    pub(super) boot: u64,
    pub(super) batch: Arc<batch::Batch>,
    pub(super) frozen_until: watch::Sender<Option<Instant>>,
    inner: Mutex<Inner>,
}

pub(super) struct Inner {
    pub(super) store: Store,
    pub(super) warmth: Warmth,
    pub(super) plan: Plan,
    pub(super) cache: prefix::Cache,
    pub(super) stats: Stats,
    pub(super) runs: Runs,
    pub(super) cancels: HashMap<String, watch::Sender<bool>>,
    pub(super) last: Option<Other>,
    report: Report,
}

impl Core {
    pub(super) fn new(config: Config) -> Arc<Self> {
        let started = std::time::SystemTime::now()
            .duration_since(std::time::UNIX_EPOCH)
            .unwrap_or_default();
        // 53 bits, so that every JSON reader keeps the number.
        let nanos = u64::try_from(started.as_nanos()).unwrap_or_default();
        let boot = (nanos / 1_000 + STARTS.fetch_add(1, Ordering::Relaxed)) & ((1 << 53) - 1);
        let warmth = Warmth::new(config.cold_limit, config.warm_after, config.recovery);
        let report = Report {
            at: Instant::now(),
            running: 0,
            queued: 0,
            is_cold: warmth.is_cold(),
        };
        Arc::new(Self {
            boot,
            batch: batch::Batch::new(config.batch),
            frozen_until: watch::Sender::new(None),
            inner: Mutex::new(Inner {
                store: Store::default(),
                warmth,
                plan: Plan::default(),
                cache: prefix::Cache::new(config.cache_blocks),
                stats: Stats::default(),
                runs: Runs::new(),
                cancels: HashMap::new(),
                last: None,
                report,
            }),
            config,
        })
    }

    pub(super) fn lock(&self) -> parking_lot::MutexGuard<'_, Inner> {
        self.inner.lock()
    }

    /// Returns once the engine is not frozen.
    pub(super) async fn thaw(&self) {
        loop {
            let until = *self.frozen_until.borrow();
            match until {
                Some(until) if until > Instant::now() => tokio::time::sleep_until(until).await,
                _ => return,
            }
        }
    }

    /// The state as `GET /state` tells it.
    pub(super) fn state(&self) -> State {
        let (running, queued) = self.batch.load();
        let mut inner = self.lock();
        if inner.report.at.elapsed() >= self.config.report_lag {
            inner.report = Report {
                at: Instant::now(),
                running: u32::try_from(running).unwrap_or(u32::MAX),
                queued: u32::try_from(queued).unwrap_or(u32::MAX),
                is_cold: inner.warmth.is_cold(),
            };
        }
        let serving = inner.store.serving.iter();
        State {
            boot: self.boot,
            serving: serving
                .map(|(artifact, digest)| Served {
                    artifact: artifact.clone(),
                    digest: *digest,
                })
                .collect(),
            running: inner.report.running,
            queued: inner.report.queued,
            is_cold: inner.report.is_cold,
            role: inner.store.role,
            fence: inner.store.fence,
        }
    }

    /// Takes a call into the count of what runs.
    pub(super) fn admit(self: &Arc<Self>, attempt: &str) -> Result<Running, Refusal> {
        let mut inner = self.lock();
        let admission = match inner.warmth.admit(Instant::now()) {
            Ok(admission) => admission,
            Err(refusal) => {
                match refusal {
                    Refusal::Down => inner.stats.refused += 1,
                    Refusal::Overload => inner.stats.overloads += 1,
                }
                return Err(refusal);
            }
        };
        inner.stats.started += 1;
        *inner.runs.entry(attempt.to_owned()).or_default() += 1;
        let cancel = watch::Sender::new(false);
        let cancelled = cancel.subscribe();
        inner.cancels.insert(attempt.to_owned(), cancel);
        inner.stats.peak = inner.stats.peak.max(inner.cancels.len() as u64);
        Ok(Running {
            core: self.clone(),
            attempt: attempt.to_owned(),
            admission,
            cancelled,
            is_complete: false,
        })
    }
}

/// A call that runs. Dropping it unfinished counts its caller as gone.
pub(super) struct Running {
    core: Arc<Core>,
    attempt: String,
    admission: Admission,
    cancelled: watch::Receiver<bool>,
    is_complete: bool,
}

impl Running {
    /// Whether the call was cancelled by order.
    pub(super) fn is_cancelled(&self) -> bool {
        *self.cancelled.borrow()
    }

    /// How long something takes now that takes `warm` on a warm engine.
    pub(super) fn pace(&self, warm: Duration) -> Duration {
        match self.admission.is_cold {
            true => warm * self.core.config.cold_factor,
            false => warm,
        }
    }

    pub(super) fn complete(mut self) {
        self.is_complete = true;
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        let mut inner = self.core.lock();
        inner.cancels.remove(&self.attempt);
        inner.warmth.finish(self.admission, self.is_complete);
        let is_cancelled = *self.cancelled.borrow();
        match self.is_complete {
            true => inner.stats.completed += 1,
            false if is_cancelled => inner.stats.cancelled += 1,
            false => inner.stats.vanished += 1,
        }
    }
}
