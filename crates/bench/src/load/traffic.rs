//! Callers on threads of their own, with every answer checked.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use domain::call::Outcome;
use fakes::engine::text;
use http::Method;
use http_body_util::{BodyExt, Empty};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde_json::Value;
use tokio::{runtime::Runtime, task::JoinHandle, time};

use crate::{
    error::Error,
    load::{
        client::{Answer, Caller, Chat},
        tally::Tally,
    },
};

/// The pause of each caller between two calls.
const PACE: Duration = Duration::from_millis(20);
/// How many tokens each model call asks for.
const TOKENS: u32 = 12;
/// Callers of each kind at each entry.
const CALLERS: usize = 2;
const CUSTOMERS: [&str; 2] = ["skippers", "buyers"];

/// What the callers counted.
#[derive(Default)]
pub struct Counts {
    chats: Tally,
    streams: Tally,
    lookups: Tally,
    holds: Tally,
    /// Keys of calls that were refused as not run and never sent again.
    pub not_run_keys: Vec<String>,
}

impl Counts {
    /// The tallies by name.
    pub fn rows(&self) -> [(&'static str, &Tally); 4] {
        [
            ("chats", &self.chats),
            ("streams", &self.streams),
            ("look-ups", &self.lookups),
            ("holds", &self.holds),
        ]
    }

    /// All tallies together.
    pub fn total(&self) -> Tally {
        let mut total = Tally::default();
        self.rows()
            .into_iter()
            .for_each(|(_, tally)| total.merge(tally.clone()));
        total
    }

    fn merge(&mut self, other: Self) {
        self.chats.merge(other.chats);
        self.streams.merge(other.streams);
        self.lookups.merge(other.lookups);
        self.holds.merge(other.holds);
        self.not_run_keys.extend(other.not_run_keys);
    }
}

/// Running callers.
pub struct Traffic {
    runtime: Runtime,
    is_stopped: Arc<AtomicBool>,
    callers: Vec<JoinHandle<Counts>>,
}

impl Traffic {
    /// Starts callers at every entry.
    pub fn start(entries: &[SocketAddr], model: &str) -> Result<Self, Error> {
        let runtime = Runtime::new().map_err(Error::step("start a runtime"))?;
        let is_stopped = Arc::new(AtomicBool::new(false));
        let mut callers = Vec::new();
        for (i, entry) in entries.iter().enumerate() {
            for n in 0..CALLERS {
                let customer = CUSTOMERS[n % CUSTOMERS.len()];
                let caller = Caller::new(*entry, customer);
                let name = format!("{customer}-{i}-{n}");
                let model = model.to_owned();
                callers.push(runtime.spawn(models(caller.clone(), model, is_stopped.clone())));
                callers.push(runtime.spawn(services(caller, name, is_stopped.clone())));
            }
        }
        Ok(Self {
            runtime,
            is_stopped,
            callers,
        })
    }

    /// Lets the running calls end and returns the counts.
    pub fn stop(self) -> Result<Counts, Error> {
        self.is_stopped.store(true, Ordering::Relaxed);
        let mut counts = Counts::default();
        for caller in self.callers {
            let part = self
                .runtime
                .block_on(caller)
                .map_err(Error::step("join a caller"))?;
            counts.merge(part);
        }
        Ok(counts)
    }
}

async fn models(caller: Caller, model: String, is_stopped: Arc<AtomicBool>) -> Counts {
    let mut counts = Counts::default();
    let mut n = 0;
    while !is_stopped.load(Ordering::Relaxed) {
        n += 1;
        let prompt = format!("quote number {n}");
        let is_right = |answer: &str, version: Option<&str>| {
            version.is_some_and(|version| {
                version.starts_with(&model)
                    && answer == text::answer(version, None, &prompt, TOKENS)
            })
        };
        let chat = Chat::new(model.as_str(), prompt.as_str(), TOKENS);
        if n % 2 == 0 {
            counts.chats.add(&caller.chat(&chat).await, is_right);
        } else {
            counts
                .streams
                .add(&caller.chat(&chat.with_stream()).await, is_right);
        }
        time::sleep(PACE).await;
    }
    counts
}

async fn services(caller: Caller, name: String, is_stopped: Arc<AtomicBool>) -> Counts {
    let mut counts = Counts::default();
    let mut n = 0;
    while !is_stopped.load(Ordering::Relaxed) {
        n += 1;
        if n % 2 == 0 {
            let path = format!("booking/slots/{n}");
            let answer = caller.service(Method::GET, &path, None, Bytes::new()).await;
            counts.lookups.add(&answer, |_, _| true);
        } else {
            let key = format!("{name}-{n}");
            let body = format!("{{\"berth\":{n}}}");
            let answer = caller
                .service(Method::POST, "booking/holds", Some(&key), body)
                .await;
            if matches!(&answer, Answer::Refused(p) if p.outcome == Outcome::NotRun) {
                counts.not_run_keys.push(key);
            }
            counts.holds.add(&answer, |_, _| true);
        }
        time::sleep(PACE).await;
    }
    counts
}

/// Waits until every entry serves the model to every customer.
///
/// A version that control shows as ready reaches an entry with its next batch of the feed.
pub fn wait_until_served(
    entries: &[SocketAddr],
    model: &str,
    limit: Duration,
) -> Result<(), Error> {
    let runtime = Runtime::new().map_err(Error::step("start a runtime"))?;
    let is_served = async {
        for entry in entries {
            for customer in CUSTOMERS {
                let caller = Caller::new(*entry, customer);
                let chat = Chat::new(model, "is anybody there", 1);
                while !matches!(caller.chat(&chat).await, Answer::Whole(_)) {
                    time::sleep(PACE).await;
                }
            }
        }
    };
    runtime
        .block_on(async { time::timeout(limit, is_served).await })
        .map_err(|_| Error::Broken {
            detail: format!("some entry does not serve {model} after {limit:?}"),
        })
}

/// How often each key or attempt ran at an upstream.
pub fn runs(addr: SocketAddr, path: &str) -> Result<BTreeMap<String, u64>, Error> {
    serde_json::from_value(get(addr, path)?).map_err(Error::step("read an upstream's runs"))
}

fn get(addr: SocketAddr, path: &str) -> Result<Value, Error> {
    let step = || Error::step::<std::io::Error>(format!("get http://{addr}{path}"));
    let other = |error: String| step()(std::io::Error::other(error));
    let runtime = Runtime::new().map_err(step())?;
    runtime.block_on(async {
        let client: Client<HttpConnector, Empty<Bytes>> =
            Client::builder(TokioExecutor::new()).build(HttpConnector::new());
        let uri = format!("http://{addr}{path}")
            .parse()
            .map_err(|e| other(format!("{e}")))?;
        let response = client.get(uri).await.map_err(|e| other(format!("{e}")))?;
        let body = response
            .into_body()
            .collect()
            .await
            .map_err(|e| other(format!("{e}")))?;
        serde_json::from_slice(&body.to_bytes()).map_err(|e| other(format!("{e}")))
    })
}
