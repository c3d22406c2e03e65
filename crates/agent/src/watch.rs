//! Watching the upstream's process: its end, its restart, its own reports.

use std::{sync::Arc, time::Duration};

use futures::future::BoxFuture;
use policy::{lifecycle::Event, orders, warmup::Sign};
use slog::{info, warn};
use tokio::{
    sync::{Notify, watch},
    time,
};
use upstream::{
    Error,
    engine::{self, Engine},
    monitor::Monitor,
    service::Service,
};

use crate::site::Site;

/// How often an engine is asked for its state.
const POLL: Duration = Duration::from_millis(250);
/// An engine that takes longer to tell its state is taken to be gone.
const STATE_TIMEOUT: Duration = Duration::from_secs(2);
/// The first pause before the next connection attempt.
const MIN_REDIAL: Duration = Duration::from_millis(20);
/// The longest such pause.
const MAX_REDIAL: Duration = Duration::from_millis(500);

/// What is watched.
#[derive(Clone)]
pub enum Watched {
    /// A model engine.
    Engine(Arc<dyn Engine>),
    /// A plain service.
    Service(Arc<dyn Service>),
}

impl Watched {
    fn monitor(&self) -> BoxFuture<'static, Result<Box<dyn Monitor>, Error>> {
        match self {
            Self::Engine(engine) => engine.monitor(),
            Self::Service(service) => service.monitor(),
        }
    }
}

/// What was last seen of an engine.
#[derive(Clone, Debug, Default)]
pub struct Seen {
    /// Grows with each time that the engine is asked.
    pub round: u64,
    /// Its state, or nothing while it does not answer.
    pub engine: Option<Arc<orders::Engine>>,
}

/// Asks the watcher to look again at once.
#[derive(Clone, Debug, Default)]
pub struct Refresh(Arc<Notify>);

impl Refresh {
    /// The engine's state as it is told from now on, or nothing if it does not answer.
    pub async fn state(&self, mut seen: watch::Receiver<Seen>) -> Option<Arc<orders::Engine>> {
        // The round under way may have been asked before.
        let round = seen.borrow().round + 2;
        self.0.notify_one();
        let is_new = |seen: &Seen| seen.engine.is_none() || seen.round >= round;
        loop {
            match time::timeout(POLL, seen.wait_for(is_new)).await {
                Ok(Ok(seen)) => return seen.engine.clone(),
                Ok(Err(_)) => return None,
                Err(_) => self.0.notify_one(),
            }
        }
    }
}

/// Watches one upstream.
pub struct Watcher {
    site: Arc<Site>,
    watched: Watched,
    seen: watch::Sender<Seen>,
    refresh: Refresh,
}

impl Watcher {
    /// A watcher of one upstream.
    pub fn new(site: Arc<Site>, watched: Watched) -> Self {
        Self {
            site,
            watched,
            seen: watch::Sender::default(),
            refresh: Refresh::default(),
        }
    }

    /// What is seen of the engine.
    pub fn seen(&self) -> watch::Receiver<Seen> {
        self.seen.subscribe()
    }

    /// A way to have it looked at once more.
    pub fn refresh(&self) -> Refresh {
        self.refresh.clone()
    }

    /// Watches for ever.
    pub async fn run(self) {
        let mut pause = MIN_REDIAL;
        loop {
            match self.watched.monitor().await {
                Ok(monitor) => {
                    pause = MIN_REDIAL;
                    let ended = self.follow(monitor).await;
                    warn!(self.site.log, "upstream: lost: {ended}");
                    self.lose();
                }
                Err(error) if pause == MIN_REDIAL => {
                    warn!(self.site.log, "upstream: not reached: {error}");
                }
                Err(_) => {}
            }
            time::sleep(pause).await;
            pause = (pause * 2).min(MAX_REDIAL);
        }
    }

    /// Follows one connection to its end and says what ended it.
    async fn follow(&self, mut monitor: Box<dyn Monitor>) -> String {
        let closed = monitor.closed();
        match &self.watched {
            Watched::Service(_) => {
                self.site.handle(Event::Serving);
                closed.cancelled().await;
                "its connection ended".to_owned()
            }
            Watched::Engine(_) => loop {
                let round = self.seen.borrow().round + 1;
                let asked = time::timeout(STATE_TIMEOUT, monitor.state()).await;
                match asked {
                    Ok(Ok(state)) => self.observe(round, state),
                    Ok(Err(error)) => return error.to_string(),
                    Err(_) => return format!("no state for {} ms", STATE_TIMEOUT.as_millis()),
                }
                tokio::select! {
                    () = closed.cancelled() => return "its connection ended".to_owned(),
                    () = time::sleep(POLL) => {}
                    () = self.refresh.0.notified() => {}
                }
            },
        }
    }

    fn observe(&self, round: u64, state: engine::State) {
        if let Some(sign) = self.site.gate.report(state.is_cold) {
            warn!(self.site.log, "gate: upstream looks cold: {sign}");
            self.site.metrics.sign(sign.to_string());
        }
        let state = Arc::new(convert(state));
        let before = self.seen.borrow().engine.clone();
        if before.is_some_and(|before| before.boot != state.boot) {
            info!(self.site.log, "upstream: restarted"; "boot" => state.boot);
            self.lose();
        }
        self.seen.send_replace(Seen {
            round,
            engine: Some(state),
        });
    }

    /// The process that answered is gone: nothing is served, and the next one starts cold.
    fn lose(&self) {
        let site = &self.site;
        site.served.store(Arc::default());
        self.seen.send_modify(|seen| seen.engine = None);
        site.metrics.sign(Sign::Restarted.to_string());
        site.gate.chill();
        site.handle(Event::Lost);
        site.gate.flush();
    }
}

/// The engine's state as the orders see it.
fn convert(state: engine::State) -> orders::Engine {
    orders::Engine {
        boot: state.boot,
        serving: state
            .serving
            .into_iter()
            .map(|served| (served.artifact, served.digest))
            .collect(),
        fence: state.fence,
    }
}
