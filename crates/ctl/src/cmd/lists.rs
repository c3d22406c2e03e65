//! `gypsumctl lists`.

use std::path::{Path, PathBuf};

use clap::ArgMatches;
use domain::{
    edit::{Change, Revision},
    lists::Lists,
};
use operator::api;
use serde_json::Value;
use snafu::ResultExt;

use crate::{
    args::FILE,
    context::{Context, base_argument},
    error::{Error, ParseSnafu, RefusedSnafu, RequestSnafu},
    util,
};

/// Runs the subcommand.
///
/// # Errors
///
/// What control answers, or what is wrong with the file.
pub(crate) async fn run(context: &Context, matches: &ArgMatches) -> Result<(), Error> {
    match matches.subcommand() {
        Some(("check", matches)) => check(context, matches).await,
        Some(("apply", matches)) => apply(context, matches).await,
        Some(("history", _)) => history(context).await,
        _ => show(context).await,
    }
}

async fn show(context: &Context) -> Result<(), Error> {
    let lists = context.client.lists().await.context(RequestSnafu)?;
    util::print_json(&lists)
}

async fn check(context: &Context, matches: &ArgMatches) -> Result<(), Error> {
    let (lists, _) = read(matches)?;
    let violations = context.client.check(&lists).await.context(RequestSnafu)?;
    match violations.is_empty() {
        true if context.is_json => util::print_json(&violations),
        true => util::print("lists are valid"),
        false => RefusedSnafu { violations }.fail(),
    }
}

/// A file that `lists show` printed names its revision; for other files it is the one in force.
async fn apply(context: &Context, matches: &ArgMatches) -> Result<(), Error> {
    let (lists, revision) = read(matches)?;
    let base = match base_argument(matches).or(revision) {
        Some(base) => base,
        None => context.client.lists().await.context(RequestSnafu)?.revision,
    };
    context
        .edit(matches, Some(base), Change::Lists(lists))
        .await
}

async fn history(context: &Context) -> Result<(), Error> {
    let events = context.client.history().await.context(RequestSnafu)?;
    context.show(&events, |events| {
        let head = ["revision", "time (ms)", "author", "edit", "change"];
        let rows = events.iter().map(|event| {
            vec![
                event.revision.to_string(),
                event.at_ms.to_string(),
                event.author.as_deref().unwrap_or("-").to_owned(),
                event.id.to_string(),
                event.summary.clone(),
            ]
        });
        std::iter::once(head.map(str::to_owned).to_vec())
            .chain(rows)
            .collect()
    })
}

fn read(matches: &ArgMatches) -> Result<(Lists, Option<Revision>), Error> {
    let path: Option<&PathBuf> = matches.get_one(FILE);
    let path = path.map_or(Path::new("-"), PathBuf::as_path);
    let text = util::read(path)?;
    let value: Value = serde_json::from_str(&text).context(ParseSnafu { path })?;
    match value.get("revision") {
        Some(_) => {
            let document: api::Lists =
                serde_json::from_value(value).context(ParseSnafu { path })?;
            Ok((document.lists, Some(document.revision)))
        }
        None => {
            let lists = serde_json::from_value(value).context(ParseSnafu { path })?;
            Ok((lists, None))
        }
    }
}
