//! What all calls of the entry share.
//!
//! Lock order: the router's tables, then the retry budget. Neither is held across an `await`, and
//! neither while a lock of [`crate::pool`] is taken.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use domain::{
    call::{Peer, Problem, Step},
    clock::{Clock, Instant},
    name,
    vm::Vm,
};
use http::{HeaderValue, StatusCode};
use parking_lot::Mutex;
use peer::uplink::Feed;
use policy::{
    retry::Budget,
    router::{self, Report, Router},
};
use rand::{SeedableRng, rngs::SmallRng};
use slog::Logger;

use crate::{
    calls::Calls, control::Control, dispatch::Call, meters::Meters, pool::Pool, util::millis,
};

/// When another try makes sense while the feed is too old.
const FEED_RETRY: Duration = Duration::from_secs(1);

/// The limits of calls.
#[derive(Clone, Debug)]
pub struct Config {
    /// How old state may be before new calls are refused.
    pub max_feed_age: Duration,
    /// How long a call may take at most.
    pub max_call: Duration,
    /// How long an upstream may be silent in the middle of an answer.
    pub progress_timeout: Duration,
    /// The largest accepted request body, in bytes.
    pub max_body_bytes: usize,
    /// Routes of plain services that differ from the default.
    pub services: BTreeMap<name::Service, Vec<settings::entry::Route>>,
}

/// The entry as its calls see it.
pub struct Shared {
    /// Feed and ledger.
    pub control: Arc<dyn Control>,
    /// The clock.
    pub clock: Arc<dyn Clock>,
    /// The limits.
    pub config: Config,
    /// Connections to agents.
    pub pool: Pool,
    /// Metrics.
    pub meters: Arc<Meters>,
    /// Running calls.
    pub calls: Calls,
    /// The log.
    pub logger: Logger,
    /// What the entry presents to agents.
    pub authorization: HeaderValue,
    tables: Mutex<Tables>,
    budget: Mutex<Budget>,
}

struct Tables {
    router: Router,
    rng: SmallRng,
}

/// What [`Shared`] is built from.
pub struct Parts {
    /// Feed and ledger.
    pub control: Arc<dyn Control>,
    /// The clock.
    pub clock: Arc<dyn Clock>,
    /// The limits.
    pub config: Config,
    /// How the router places itself.
    pub router: router::Config,
    /// Retries as a fraction of recent calls, in hundredths.
    pub retry_percent: u32,
    /// How many calls may run at once.
    pub max_calls: usize,
    /// The secret shared with agents.
    pub secret: Vec<u8>,
    /// Metrics.
    pub meters: Meters,
    /// The log.
    pub logger: Logger,
    /// The seed of the router's random choices.
    pub seed: u64,
}

impl Shared {
    /// Puts the parts together, or nothing if the secret can't stand in a header.
    pub fn new(parts: Parts) -> Option<Arc<Self>> {
        let bearer = [b"Bearer ".as_slice(), &parts.secret].concat();
        let mut authorization = HeaderValue::from_bytes(&bearer).ok()?;
        authorization.set_sensitive(true);
        Some(Arc::new(Self {
            control: parts.control,
            clock: parts.clock,
            config: parts.config,
            pool: Pool::new(),
            meters: Arc::new(parts.meters),
            calls: Calls::new(parts.max_calls),
            logger: parts.logger,
            authorization,
            tables: Mutex::new(Tables {
                router: Router::new(parts.router),
                rng: SmallRng::seed_from_u64(parts.seed),
            }),
            budget: Mutex::new(Budget::new(parts.retry_percent)),
        }))
    }

    /// The state, if it may be acted on at this very moment.
    ///
    /// # Errors
    ///
    /// A refusal that says how old the state is.
    pub fn fresh_feed(&self) -> Result<Arc<Feed>, Problem> {
        let feed = self.control.feed();
        let now = self.clock.now();
        if feed.is_fresh(now, self.config.max_feed_age) {
            return Ok(feed);
        }
        let detail = match feed.bound.age(now) {
            Some(age) => format!("no confirmed state from control for {} ms", millis(age)),
            None => "no state from control yet".to_owned(),
        };
        let status = StatusCode::SERVICE_UNAVAILABLE;
        let refusal = caller::problem::not_run(status, Step::Resolve, Peer::Control, detail);
        Err(caller::problem::with_retry_after(refusal, FEED_RETRY))
    }

    /// The time that a call has left.
    pub fn remaining(&self, deadline: Instant) -> Duration {
        deadline.since(self.clock.now())
    }

    /// Counts a new call in the retry budget.
    pub fn count_call(&self) {
        self.budget.lock().call(self.clock.now());
    }

    /// Takes one retry out of the budget, or says that none is left.
    pub fn take_retry(&self) -> bool {
        self.budget.lock().take(self.clock.now())
    }

    /// Whether an upstream that was not tried has room for the call.
    pub fn has_room(&self, call: &Call, tried: &[name::Vm]) -> bool {
        let feed = self.control.feed();
        let request = request(call, tried);
        let now = self.clock.now();
        self.tables
            .lock()
            .router
            .has_room(&feed.view, &request, now)
    }
}

/// Chooses an upstream for a call from the freshest state.
///
/// # Errors
///
/// A refusal if the state is too old or no upstream may take the call.
pub fn choose(shared: &Arc<Shared>, call: &Call, tried: &[name::Vm]) -> Result<Placement, Problem> {
    let feed = shared.fresh_feed()?;
    let request = request(call, tried);
    let now = shared.clock.now();
    let mut tables = shared.tables.lock();
    let Tables { router, rng } = &mut *tables;
    match router.choose(&feed.view, &request, now, rng) {
        Ok(vm) => Ok(Placement {
            shared: shared.clone(),
            vm,
        }),
        Err(unavailable) => {
            let detail = match unavailable.serving {
                0 => format!("no upstream in service serves {}", call.wanted()),
                n => format!(
                    "none of {n} upstreams in service may take a call for {}",
                    call.wanted()
                ),
            };
            let status = StatusCode::SERVICE_UNAVAILABLE;
            let refusal = caller::problem::not_run(status, Step::Choose, Peer::Entry, detail);
            Err(caller::problem::with_retry_after(
                refusal,
                unavailable.retry_after,
            ))
        }
    }
}

fn request<'a>(call: &'a Call, tried: &'a [name::Vm]) -> router::Request<'a> {
    router::Request {
        need: &call.need,
        prefix: call.prefix,
        tried,
    }
}

/// A call's place on an upstream, counted in the router until it is dropped.
pub struct Placement {
    shared: Arc<Shared>,
    /// The upstream.
    pub vm: Arc<Vm>,
}

impl Placement {
    /// The upstream's name.
    pub fn name(&self) -> &name::Vm {
        &self.vm.announcement.vm
    }

    /// The agent reported its load.
    pub fn report(&self, report: Report) {
        let now = self.shared.clock.now();
        let mut tables = self.shared.tables.lock();
        tables.router.report(self.name(), report, now);
    }

    /// The upstream gave a whole answer.
    pub fn succeed(&self) {
        self.shared.tables.lock().router.succeed(self.name());
    }

    /// The upstream refused the call for a cause other than load.
    pub fn refuse(&self) {
        let now = self.shared.clock.now();
        self.shared.tables.lock().router.refuse(self.name(), now);
    }

    /// The upstream failed: it is avoided for a while, and its connection is not used again.
    pub fn fail(&self) {
        let now = self.shared.clock.now();
        self.shared.tables.lock().router.fail(self.name(), now);
        self.shared.pool.discard(self.vm.announcement.call_addr);
    }
}

impl Drop for Placement {
    fn drop(&mut self) {
        self.shared.tables.lock().router.end(self.name());
    }
}
