//! `gypsum-bench prefix`: how much of the prompts the engines find in their caches.
//!
//! Many prompts share the start of a few documents. One engine's cache holds a part of them, all
//! caches together hold each once. The baseline is round robin over the same engines.

use std::{sync::Arc, time::Duration};

use clap::{Arg, ArgMatches, Command, value_parser};
use domain::digest::Digest;
use fakes::engine::prefix::BLOCK_CHARS;
use serde::Serialize;
use serde_json::json;

use crate::{
    error::Error,
    fleet::layout::Layout,
    load::{
        open::{self, Rate},
        stage::{Ring, Stage},
        tally::Tally,
    },
};

/// Blocks of the start that the prompts of one document share.
const DOCUMENT_BLOCKS: usize = 32;
/// Documents that one engine's cache holds, with room for the ends of prompts.
const CACHED_DOCUMENTS: usize = 14;
/// Documents for each engine.
const DOCUMENTS_PER_ENGINE: u64 = 8;
/// Tokens of each answer.
const TOKENS: u32 = 4;

#[derive(Serialize)]
struct Row {
    measure: &'static str,
    way: &'static str,
    entries: u64,
    documents: u64,
    hit_rate: f64,
    p50_ms: u128,
    p95_ms: u128,
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
    Command::new("prefix")
        .about("How much of the prompts the engines find in their caches")
        .arg(number("engines", "6").help("How many engines run, over three zones"))
        .arg(number("entries", "1").help("How many entries run"))
        .arg(number("seconds", "15").help("How long calls come"))
        .arg(number("rate", "60").help("Calls per second"))
}

/// Runs the measurement and prints one JSON object per line.
///
/// # Errors
///
/// If it could not be run to its end.
pub fn run(matches: &ArgMatches) -> Result<(), Error> {
    let number = |name: &str| matches.get_one::<u64>(name).copied().unwrap_or_default();
    let (engines, entries) = (number("engines"), number("entries"));
    let documents = engines * DOCUMENTS_PER_ENGINE;
    let stage = Stage::start(layout(engines, entries))?;
    let rate = Rate {
        per_second: number("rate") as f64,
        span: Duration::from_secs(number("seconds")),
    };
    let ways = [("system", stage.system()), ("round-robin", stage.engines())];
    for (way, ring) in ways {
        let row = measure(&stage, way, &ring, rate, entries, documents)?;
        println!(
            "{}",
            serde_json::to_string(&row).map_err(Error::step("write a row"))?
        );
    }
    Ok(())
}

fn layout(engines: u64, entries: u64) -> Layout {
    let blocks = (CACHED_DOCUMENTS * DOCUMENT_BLOCKS).to_string();
    Layout::new(usize::try_from(engines).unwrap_or(6))
        .with_entries(usize::try_from(entries).unwrap_or(1))
        .with_settings(
            "agent",
            json!({ "gate": { "cold_limit": 16, "warm_limit": 16 } }),
        )
        .with_engine_args(&[
            "--cold-limit",
            "16",
            "--warm-after",
            "0",
            "--cache-blocks",
            &blocks,
        ])
}

fn measure(
    stage: &Stage,
    way: &'static str,
    ring: &Arc<Ring>,
    rate: Rate,
    entries: u64,
    documents: u64,
) -> Result<Row, Error> {
    let engines = stage.engine_addrs(|_| true);
    // Each document is seen about once per cache before the count begins.
    let warm = Rate {
        span: rate.span / 2,
        ..rate
    };
    stage.runtime.block_on(load(ring, warm, way, documents));
    let before = stage.runtime.block_on(Stage::stats(&engines))?;
    let tally = stage.runtime.block_on(load(ring, rate, way, documents));
    let after = stage.runtime.block_on(Stage::stats(&engines))?;
    let hits = (after.prefix_hits - before.prefix_hits) as f64;
    let blocks = (after.prefix_blocks - before.prefix_blocks) as f64;
    Ok(Row {
        measure: "prefix",
        way,
        entries,
        documents,
        hit_rate: (hits / blocks * 1_000.0).round() / 1_000.0,
        p50_ms: tally.percentile(50).as_millis(),
        p95_ms: tally.percentile(95).as_millis(),
        tally,
    })
}

async fn load(ring: &Arc<Ring>, rate: Rate, way: &'static str, documents: u64) -> Tally {
    open::run(rate, |i| {
        let ring = ring.clone();
        async move { ring.call(prompt(way, i, documents), TOKENS, false).await }
    })
    .await
}

/// A question on a document. The digest scatters the documents over the calls.
fn prompt(way: &str, number: u64, documents: u64) -> String {
    let digest = Digest::of(format!("{way}/{number}").as_bytes());
    let [first, second, ..] = *digest.as_bytes();
    let document = u64::from(u16::from_le_bytes([first, second])) % documents;
    let line = format!("document {document:06} ");
    let length = DOCUMENT_BLOCKS * BLOCK_CHARS;
    let mut prompt = line.repeat(length / line.len() + 1);
    prompt.truncate(length);
    prompt + &format!("question {digest}")
}
