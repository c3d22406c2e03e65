//! `gypsumctl rollout`.

use std::{
    io::{IsTerminal, Write, stdout},
    time::{Duration, Instant},
};

use clap::ArgMatches;
use domain::{artifact, edit::Change, rollout::Stage};
use operator::api::Rollout;
use snafu::{OptionExt, ResultExt};
use tokio::time;

use crate::{
    args::ARTIFACT,
    context::Context,
    error::{Error, HaltedSnafu, RequestSnafu, UsageSnafu},
    util,
};

/// How often a followed rollout is looked at.
const PERIOD: Duration = Duration::from_millis(500);

/// Runs the subcommand.
///
/// # Errors
///
/// What control answers, or that a followed rollout is halted.
pub(crate) async fn run(context: &Context, matches: &ArgMatches) -> Result<(), Error> {
    match matches.subcommand() {
        Some(("show", matches)) => show(context, &artifact(matches)?).await,
        Some(("watch", matches)) => watch(context, &artifact(matches)?).await,
        Some(("resume", matches)) => {
            let artifact = artifact(matches)?;
            context
                .edit(matches, None, Change::Resume { artifact })
                .await
        }
        _ => list(context).await,
    }
}

fn artifact(matches: &ArgMatches) -> Result<artifact::Id, Error> {
    let text: Option<&String> = matches.get_one(ARTIFACT);
    let text = text.map_or("", String::as_str);
    artifact::Id::parse(text).context(UsageSnafu {
        detail: format!("not of the form name@version: {text}"),
    })
}

async fn list(context: &Context) -> Result<(), Error> {
    let rollouts = context.client.rollouts().await.context(RequestSnafu)?;
    context.show(&rollouts, |rollouts| {
        let head = ["version", "stage", "chunks", "held", "serving", "failed"];
        std::iter::once(head.map(str::to_owned).to_vec())
            .chain(rollouts.iter().map(row))
            .collect()
    })
}

async fn show(context: &Context, id: &artifact::Id) -> Result<(), Error> {
    let rollout = context.client.rollout(id).await.context(RequestSnafu)?;
    context.show(&rollout, |rollout| vec![row(rollout)])
}

fn row(rollout: &Rollout) -> Vec<String> {
    vec![
        rollout.artifact.to_string(),
        rollout.stage.to_string(),
        format!("{}/{}", rollout.chunks, rollout.chunks_total),
        format!("{}/{}", rollout.held, rollout.engines),
        format!("{}/{}", rollout.serving, rollout.engines),
        rollout.failed.to_string(),
    ]
}

async fn watch(context: &Context, id: &artifact::Id) -> Result<(), Error> {
    let mut pace = Pace::new();
    loop {
        let rollout = context.client.rollout(id).await.context(RequestSnafu)?;
        let left = pace.time_left(&rollout);
        match context.is_json {
            true => util::print_json(&rollout)?,
            false => print_line(&line(&rollout, left))?,
        }
        match rollout.stage {
            Stage::Ready => return end_line(context),
            Stage::Halted { reason, .. } => {
                end_line(context)?;
                let artifact = rollout.artifact;
                return HaltedSnafu { artifact, reason }.fail();
            }
            Stage::Prefetch | Stage::Wave { .. } => time::sleep(PERIOD).await,
        }
    }
}

/// The progress line.
fn line(rollout: &Rollout, left: Option<Duration>) -> String {
    let Rollout {
        chunks,
        chunks_total,
        ..
    } = rollout;
    let percent = chunks * 100 / (*chunks_total).max(1);
    let left = match (&rollout.stage, left) {
        (Stage::Ready, _) => "done".to_owned(),
        (_, Some(left)) => format!("{} s left", left.as_secs()),
        (_, None) => "time left unknown".to_owned(),
    };
    format!(
        "{}  {}  chunks {chunks}/{chunks_total} ({percent} %)  replicas {}/{}  {left}",
        rollout.artifact, rollout.stage, rollout.serving, rollout.engines,
    )
}

fn print_line(line: &str) -> Result<(), Error> {
    if !stdout().is_terminal() {
        return util::print(line);
    }
    let mut out = stdout();
    write!(out, "\r\x1b[2K{line}")
        .and_then(|()| out.flush())
        .or(Ok(()))
}

fn end_line(context: &Context) -> Result<(), Error> {
    match !context.is_json && stdout().is_terminal() {
        true => util::print(""),
        false => Ok(()),
    }
}

/// The pace at which chunks arrived since the first look.
struct Pace {
    first: Option<(Instant, u64)>,
}

impl Pace {
    fn new() -> Self {
        Self { first: None }
    }

    /// The time that the missing chunks take at that pace.
    fn time_left(&mut self, rollout: &Rollout) -> Option<Duration> {
        let now = Instant::now();
        let (begin, chunks) = *self.first.get_or_insert((now, rollout.chunks));
        let came = rollout.chunks.saturating_sub(chunks);
        let missing = rollout.chunks_total.saturating_sub(rollout.chunks);
        match came {
            0 => None,
            #[allow(clippy::cast_precision_loss)]
            came => Some((now - begin).mul_f64(missing as f64 / came as f64)),
        }
    }
}
