//! Calls that come at a fixed rate, whatever becomes of the earlier ones.

use std::{future::Future, time::Duration};

use tokio::{
    task::JoinSet,
    time::{self, Instant, MissedTickBehavior},
};

use crate::load::tally::Tally;

/// How often and how long calls come.
#[derive(Clone, Copy, Debug)]
pub struct Rate {
    /// Calls per second.
    pub per_second: f64,
    /// For how long.
    pub span: Duration,
}

/// Begins a call at each tick and waits for all of them. `call` gets the number of the call and
/// returns its tally.
pub async fn run<F, C>(rate: Rate, call: F) -> Tally
where
    F: Fn(u64) -> C,
    C: Future<Output = Tally> + Send + 'static,
{
    let mut ticks = time::interval(Duration::from_secs_f64(1.0 / rate.per_second));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Burst);
    let begin = Instant::now();
    let mut running = JoinSet::new();
    let mut number = 0;
    while begin.elapsed() < rate.span {
        ticks.tick().await;
        running.spawn(call(number));
        number += 1;
    }
    let mut total = Tally::default();
    while let Some(joined) = running.join_next().await {
        if let Ok(tally) = joined {
            total.merge(tally);
        }
    }
    total
}
