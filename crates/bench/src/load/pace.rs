//! Calls at a fixed rate, whether answers come or not.

use std::{future::Future, time::Duration};

use tokio::{
    task::JoinSet,
    time::{self, Instant, MissedTickBehavior},
};

use crate::load::client::Answer;

/// A call that was sent and answered.
#[derive(Clone, Debug)]
pub struct Sample<T = Answer> {
    /// When it was sent, from the start on.
    pub sent_at: Duration,
    /// What came of it.
    pub answer: T,
}

/// Sends calls at a rate for a time, and waits for all answers. `call` gets the number of the call.
pub async fn run<T, F>(rate_per_s: f64, span: Duration, call: impl Fn(u64) -> F) -> Vec<Sample<T>>
where
    T: Send + 'static,
    F: Future<Output = T> + Send + 'static,
{
    let begin = Instant::now();
    let mut ticks = time::interval(Duration::from_secs_f64(1.0 / rate_per_s));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Burst);
    let mut calls = JoinSet::new();
    let mut samples = Vec::new();
    let mut number = 0;
    while begin.elapsed() < span {
        tokio::select! {
            _ = ticks.tick() => {
                let sent_at = begin.elapsed();
                let answer = call(number);
                number += 1;
                calls.spawn(async move { Sample { sent_at, answer: answer.await } });
            }
            Some(done) = calls.join_next() => samples.extend(done.ok()),
        }
    }
    while let Some(done) = calls.join_next().await {
        samples.extend(done.ok());
    }
    samples
}
