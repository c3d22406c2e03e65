//! Calls that come at a fixed rate, counted together.

use std::{future::Future, time::Duration};

use crate::load::{pace, tally::Tally};

/// How often and how long calls come.
#[derive(Clone, Copy, Debug)]
pub struct Rate {
    /// Calls per second.
    pub per_second: f64,
    /// For how long.
    pub span: Duration,
}

/// Sends calls at the rate and adds their tallies up. `call` gets the number of the call.
pub async fn run<C>(rate: Rate, call: impl Fn(u64) -> C) -> Tally
where
    C: Future<Output = Tally> + Send + 'static,
{
    let samples = pace::run(rate.per_second, rate.span, call).await;
    samples
        .into_iter()
        .fold(Tally::default(), |mut total, sample| {
            total.merge(sample.answer);
            total
        })
}
