//! `gypsum-bench zone`: service while an availability zone leaves and returns.
//!
//! The load is given as a part of what the other zones bear, since they carry it alone meanwhile.
//! The engines of the zone return cold. The baseline is round robin over the same engines, without
//! entries and agents; it learns of the zone at the very moment.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use clap::{Arg, ArgMatches, Command, value_parser};
use serde::Serialize;
use serde_json::json;
use tokio::{task::JoinHandle, time};

use crate::{
    error::Error,
    fleet::layout::Layout,
    load::{
        open::{self, Rate},
        stage::{Ring, Stage},
        tally::Tally,
    },
};

/// Loads, as a part of what the zones that stay bear.
const LOADS: [f64; 3] = [0.5, 0.8, 1.2];
/// Calls that one engine runs at once.
const BATCH: u32 = 4;
/// Tokens of each answer.
const TOKENS: u32 = 20;
/// Calls that tell how long one takes.
const SOLO_CALLS: u64 = 10;
/// The pause between two looks at the engines of the zone.
const LOOK: Duration = Duration::from_millis(20);

#[derive(Serialize)]
struct Row {
    measure: &'static str,
    way: &'static str,
    load: f64,
    calls_per_s: f64,
    phase_s: u64,
    last_new_call_ms: u64,
    overloads: u64,
    p50_ms: u128,
    p95_ms: u128,
    p99_ms: u128,
    #[serde(flatten)]
    tally: Tally,
}

/// The arguments.
pub fn command() -> Command {
    let number = |name: &'static str, default: &'static str| {
        Arg::new(name)
            .long(name)
            .value_parser(value_parser!(u64))
            .default_value(default)
    };
    Command::new("zone")
        .about("Service while an availability zone leaves and returns")
        .arg(number("engines", "6").help("How many engines run, over three zones"))
        .arg(number("seconds", "6").help("How long the zone is in, out, and in again"))
}

/// Runs the measurement and prints one JSON object per line.
///
/// # Errors
///
/// If it could not be run to its end.
pub fn run(matches: &ArgMatches) -> Result<(), Error> {
    let number = |name: &str| matches.get_one::<u64>(name).copied().unwrap_or_default();
    let layout = layout(number("engines"));
    let zone = layout.zones[0].name.clone();
    let phase = Duration::from_secs(number("seconds"));
    let bench = Bench {
        stage: Stage::start(layout)?,
        zone,
        phase,
    };
    let capacity = bench.capacity()?;
    for way in [Way::System, Way::RoundRobin] {
        for load in LOADS {
            bench.warm_up(way, capacity)?;
            let row = bench.measure(way, load, capacity * load)?;
            println!(
                "{}",
                serde_json::to_string(&row).map_err(Error::step("write a row"))?
            );
        }
    }
    Ok(())
}

fn layout(engines: u64) -> Layout {
    let batch = BATCH.to_string();
    Layout::new(usize::try_from(engines).unwrap_or(6))
        .with_entries(3)
        .with_settings("entry", json!({ "max_call_ms": 5_000 }))
        .with_settings(
            "agent",
            json!({ "gate": { "cold_limit": 1, "warm_limit": BATCH, "queue_calls": 64 } }),
        )
        .with_engine_args(&["--batch", &batch, "--cold-limit", "1", "--token-us", "5000"])
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Way {
    System,
    RoundRobin,
}

impl Way {
    fn name(self) -> &'static str {
        match self {
            Self::System => "system",
            Self::RoundRobin => "round-robin",
        }
    }
}

struct Bench {
    stage: Stage,
    zone: String,
    phase: Duration,
}

impl Bench {
    /// Calls per second that the zones that stay bear, from the time of a single call.
    fn capacity(&self) -> Result<f64, Error> {
        let ring = self.stage.engines();
        let solo = self.stage.runtime.block_on(async {
            let mut total = Tally::default();
            for i in 0..SOLO_CALLS * 6 {
                total.merge(ring.call(format!("solo {i}"), TOKENS, false).await);
            }
            let mut solo = Tally::default();
            for i in 0..SOLO_CALLS {
                solo.merge(ring.call(format!("warm {i}"), TOKENS, false).await);
            }
            solo
        });
        let staying = self.stage.engine_addrs(|zone| zone != self.zone).len();
        let staying = u32::try_from(staying).unwrap_or(u32::MAX);
        match solo.percentile(50) {
            Duration::ZERO => Err(Error::Broken {
                detail: format!("no whole answer from the engines: {:?}", solo.examples),
            }),
            call => Ok(f64::from(staying * BATCH) / call.as_secs_f64()),
        }
    }

    fn ring(&self, way: Way) -> Arc<Ring> {
        match way {
            Way::System => self.stage.system(),
            Way::RoundRobin => self.stage.engines(),
        }
    }

    /// Lets every engine and every gate become warm.
    fn warm_up(&self, way: Way, capacity: f64) -> Result<(), Error> {
        let ring = self.ring(way);
        let all = self.stage.engine_addrs(|_| true);
        for share in [0.1, 0.3, 0.6] {
            let rate = Rate {
                per_second: capacity * share,
                span: Duration::from_secs(1),
            };
            self.stage.runtime.block_on(load(&ring, rate));
        }
        self.stage.runtime.block_on(Stage::stats(&all)).map(|_| ())
    }

    fn measure(&self, way: Way, load_part: f64, per_second: f64) -> Result<Row, Error> {
        let ring = self.ring(way);
        let runtime = &self.stage.runtime;
        let all = self.stage.engine_addrs(|_| true);
        let leaving = self.stage.engine_addrs(|zone| zone == self.zone);
        let before = runtime.block_on(Stage::stats(&all))?;
        let rate = Rate {
            per_second,
            span: self.phase * 3,
        };
        let calls = {
            let ring = ring.clone();
            runtime.spawn(async move { load(&ring, rate).await })
        };
        thread::sleep(self.phase);
        let out_at = Instant::now();
        let watch = Watch::start(&self.stage, leaving.clone(), out_at);
        self.set_zone(way, &ring, false)?;
        thread::sleep(self.phase.saturating_sub(out_at.elapsed()));
        let last_new_call = watch.stop(&self.stage)?;
        runtime.block_on(Stage::chill(&leaving))?;
        self.set_zone(way, &ring, true)?;
        let tally = runtime
            .block_on(calls)
            .map_err(Error::step("join the callers"))?;
        let after = runtime.block_on(Stage::stats(&all))?;
        Ok(Row {
            measure: "zone",
            way: way.name(),
            load: load_part,
            calls_per_s: (per_second * 10.0).round() / 10.0,
            phase_s: self.phase.as_secs(),
            last_new_call_ms: u64::try_from(last_new_call.as_millis()).unwrap_or(u64::MAX),
            overloads: after.overloads - before.overloads,
            p50_ms: tally.percentile(50).as_millis(),
            p95_ms: tally.percentile(95).as_millis(),
            p99_ms: tally.percentile(99).as_millis(),
            tally,
        })
    }

    fn set_zone(&self, way: Way, ring: &Ring, is_in: bool) -> Result<(), Error> {
        match way {
            Way::System => {
                let state = if is_in { "in" } else { "out" };
                let printed = self.stage.fleet.ctl().run(&["zone", state, &self.zone])?;
                printed.json().map(|_| ())
            }
            Way::RoundRobin => {
                ring.set(self.stage.engine_addrs(|zone| is_in || zone != self.zone));
                Ok(())
            }
        }
    }
}

async fn load(ring: &Arc<Ring>, rate: Rate) -> Tally {
    open::run(rate, |i| {
        let ring = ring.clone();
        async move {
            ring.call(format!("quote number {i}"), TOKENS, i % 2 == 0)
                .await
        }
    })
    .await
}

/// Looks for the last new call at the engines of a zone.
struct Watch {
    is_stopped: Arc<AtomicBool>,
    task: JoinHandle<Result<Duration, Error>>,
}

impl Watch {
    fn start(stage: &Stage, engines: Vec<SocketAddr>, since: Instant) -> Self {
        let is_stopped = Arc::new(AtomicBool::new(false));
        let stop = is_stopped.clone();
        let task = stage.runtime.spawn(async move {
            let mut last = Duration::ZERO;
            let mut started = Stage::stats(&engines).await?.started;
            while !stop.load(Ordering::Relaxed) {
                time::sleep(LOOK).await;
                let now = Stage::stats(&engines).await?.started;
                if now > started {
                    (started, last) = (now, since.elapsed());
                }
            }
            Ok(last)
        });
        Self { is_stopped, task }
    }

    fn stop(self, stage: &Stage) -> Result<Duration, Error> {
        self.is_stopped.store(true, Ordering::Relaxed);
        stage
            .runtime
            .block_on(self.task)
            .map_err(Error::step("join the watch"))?
    }
}
