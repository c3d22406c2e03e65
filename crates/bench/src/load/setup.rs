//! A fleet brought to where a measurement begins.

use std::{fs, net::SocketAddr, thread, time::Duration};

use domain::lists::Lists;

use crate::{
    error::Error,
    fleet::{Fleet, process::POLL},
    load::{client::Answer, http, tally::Tally},
};

/// How long a rollout may take.
const ROLLOUT_LIMIT: Duration = Duration::from_secs(90);
/// How long an engine may take to be loaded again.
const LOAD_LIMIT: Duration = Duration::from_secs(30);

/// Applies lists and waits until the given versions are ready.
///
/// # Errors
///
/// If the lists are refused or a rollout takes too long.
pub fn apply(fleet: &Fleet, lists: &Lists, versions: &[&str]) -> Result<(), Error> {
    let path = fleet.folder().join("bench-lists.json");
    let text = serde_json::to_string_pretty(lists).map_err(Error::step("write lists"))?;
    fs::write(&path, text).map_err(Error::step("write lists"))?;
    let path = path.display().to_string();
    let args = ["lists", "apply", &path, "--edit-id", "bench"];
    fleet.ctl().run(&args)?.json()?;
    versions
        .iter()
        .try_for_each(|version| fleet.ctl().wait_for_ready(version, ROLLOUT_LIMIT))
}

/// Waits until an engine serves something.
///
/// # Errors
///
/// If it does not in time.
pub async fn wait_until_loaded(engine: SocketAddr) -> Result<(), Error> {
    let begin = std::time::Instant::now();
    while begin.elapsed() < LOAD_LIMIT {
        let state = http::get(engine, "/state").await.unwrap_or_default();
        if state["serving"]
            .as_array()
            .is_some_and(|list| !list.is_empty())
        {
            return Ok(());
        }
        tokio::time::sleep(POLL).await;
    }
    Err(Error::Broken {
        detail: format!("{engine} serves nothing after {LOAD_LIMIT:?}"),
    })
}

/// Rests, so that reports and feeds settle.
pub fn settle() {
    thread::sleep(Duration::from_secs(1));
}

/// Counts answers, each of which must be the given text.
pub fn count<'a>(answers: impl IntoIterator<Item = (&'a Answer, String)>) -> Tally {
    let mut tally = Tally::default();
    for (answer, expected) in answers {
        tally.add(answer, |text, _| text == expected);
    }
    tally
}
