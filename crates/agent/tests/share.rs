//! One customer at ten times its share beside others.

#![allow(clippy::unwrap_used)]

mod common;

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use common::{Agent, Call, Version, Whole, customer, engine_settings, plan, wait};
use domain::{call::Outcome, header};
use fakes::engine::{self, Engine};
use http::StatusCode;
use parking_lot::Mutex;
use tokio::time;

const MEASURED: Duration = Duration::from_secs(4);
/// The target of the design: the largest gap between a customer's share and what it got.
const MAX_ERROR: f64 = 0.10;

#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    good: u64,
    over_share: u64,
    other: u64,
}

fn count(tallies: &mut BTreeMap<&'static str, Tally>, who: &'static str, answer: &Whole) {
    let tally = tallies.entry(who).or_default();
    match answer.status {
        StatusCode::OK => tally.good += 1,
        StatusCode::TOO_MANY_REQUESTS => {
            assert_eq!(answer.problem().outcome, Outcome::NotRun);
            assert!(answer.headers.contains_key("retry-after"));
            tally.over_share += 1;
        }
        _ => tally.other += 1,
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn shares_hold_while_one_customer_asks_for_ten_times_its_own() {
    let config = engine::Config {
        warm_after: 0,
        token: Duration::from_millis(5),
        ..engine::Config::default()
    };
    let engine = Engine::start("127.51.6.1:0".parse().unwrap(), config)
        .await
        .unwrap();
    let mut settings = engine_settings(engine.addr());
    settings["gate"] = serde_json::json!({"cold_limit": 4, "warm_limit": 4, "queue_calls": 16});
    let agent = Agent::start(settings).await;
    let version = Version::new("sand", "3");
    agent.serve(&version).await;
    // Two plans of equal share; the first one's share is split over two customers.
    agent.feed.set(vec![
        plan("x", 100),
        plan("y", 100),
        customer("greedy", "x"),
        customer("modest", "x"),
        customer("other", "y"),
    ]);
    let expected = [("greedy", 0.25), ("modest", 0.25), ("other", 0.5)];
    let tallies: Arc<Mutex<BTreeMap<&'static str, Tally>>> = Arc::default();
    let client = agent.client().await;
    let mut tasks = Vec::new();
    for (who, callers) in [("greedy", 40), ("modest", 8), ("other", 8)] {
        for caller in 0..callers {
            let (client, tallies, id) = (client.clone(), tallies.clone(), version.id.clone());
            tasks.push(tokio::spawn(async move {
                let begin = time::Instant::now();
                let mut attempt = (caller + 1) << 32;
                while begin.elapsed() < MEASURED {
                    attempt += 1;
                    let call = Call::model(attempt, &id, "tides?", 8);
                    let call = call.with_header(header::CUSTOMER, who);
                    let answer = client.send(call).await;
                    // The queues empty afterwards, and a long one says nothing about shares.
                    if begin.elapsed() < MEASURED {
                        count(&mut tallies.lock(), who, &answer);
                    }
                    if answer.status != StatusCode::OK {
                        time::sleep(Duration::from_millis(20)).await;
                    }
                }
            }));
        }
    }
    for task in tasks {
        task.await.unwrap();
    }
    let tallies = tallies.lock().clone();
    let sum: u64 = tallies.values().map(|tally| tally.good).sum();
    for (who, share) in expected {
        let got = tallies[who].good as f64 / sum as f64;
        let error = (got - share).abs() / share;
        assert!(
            error <= MAX_ERROR,
            "{who} got {got:.3} of {share}: {tallies:?}"
        );
    }
    assert!(tallies["greedy"].over_share > 0);
    assert_eq!(tallies["modest"].over_share + tallies["modest"].other, 0);
    assert_eq!(tallies["other"].over_share + tallies["other"].other, 0);
    wait(|| agent.daemon().site().gate.load().running == 0).await;
}
