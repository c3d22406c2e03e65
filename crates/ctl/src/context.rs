//! What every command needs: the client, the form of the output, the way of an edit.

use std::{future::Future, net::SocketAddr, path::PathBuf, sync::Arc, time::Duration};

use clap::ArgMatches;
use domain::edit::{Change, Edit, Outcome, Revision};
use operator::Client;
use serde::Serialize;
use snafu::ResultExt;

use crate::{
    args::{ALLOW_OUTAGE, BASE, CONTROL, EDIT_ID, JSON, KEY_FILE, TIMEOUT},
    error::{ConflictSnafu, Error, RefusedSnafu, RequestSnafu, StartSnafu, UsageSnafu},
    util,
};

/// What every command needs.
pub(crate) struct Context {
    /// The client.
    pub(crate) client: Client,
    /// Whether to print JSON.
    pub(crate) is_json: bool,
}

/// What is printed of an edit.
#[derive(Serialize)]
struct Printed<'a> {
    edit_id: &'a str,
    answer: &'a Outcome,
}

impl Context {
    /// Reads what the global arguments name.
    pub(crate) fn new(matches: &ArgMatches) -> Result<Self, Error> {
        let replicas: Vec<SocketAddr> = matches
            .get_many(CONTROL)
            .into_iter()
            .flatten()
            .copied()
            .collect();
        let missing = |argument: &str| UsageSnafu {
            detail: format!("--{argument} is needed for this command"),
        };
        if replicas.is_empty() {
            return missing(CONTROL).fail();
        }
        let path: &PathBuf = matches
            .get_one(KEY_FILE)
            .ok_or_else(|| missing(KEY_FILE).build())?;
        let key = util::read(path)?;
        let seconds: u64 = matches.get_one(TIMEOUT).copied().unwrap_or(15);
        Ok(Self {
            client: Client::new(replicas, key.trim_end())
                .with_timeout(Duration::from_secs(seconds)),
            is_json: matches.get_flag(JSON),
        })
    }

    /// Makes an edit and prints what became of it.
    pub(crate) async fn edit(
        &self,
        matches: &ArgMatches,
        base: Option<Revision>,
        change: Change,
    ) -> Result<(), Error> {
        let given: Option<&String> = matches.get_one(EDIT_ID);
        let id: Arc<str> = match given {
            Some(id) => id.as_str().into(),
            None => {
                let id = util::fresh_edit_id();
                // It has to be known before the answer can be lost.
                eprintln!("edit id: {id}");
                id.into()
            }
        };
        let edit = Edit {
            id: id.clone(),
            base: base_argument(matches).or(base),
            change,
            allow_outage: matches
                .try_get_one::<bool>(ALLOW_OUTAGE)
                .ok()
                .flatten()
                .is_some_and(|is_set| *is_set),
            author: None,
        };
        let answer = self.client.edit(&edit).await.context(RequestSnafu)?;
        if self.is_json {
            util::print_json(&Printed {
                edit_id: &id,
                answer: &answer,
            })?;
        }
        match answer {
            Outcome::Accepted { .. } if self.is_json => Ok(()),
            Outcome::Accepted { revision } => util::print(format!("accepted: revision {revision}")),
            Outcome::Conflict { revision, winner } => ConflictSnafu { revision, winner }.fail(),
            Outcome::Refused { violations } => RefusedSnafu { violations }.fail(),
        }
    }

    /// Prints a document as JSON, or as the rows that `rows` makes of it.
    pub(crate) fn show<T: Serialize>(
        &self,
        document: &T,
        rows: impl FnOnce(&T) -> Vec<Vec<String>>,
    ) -> Result<(), Error> {
        match self.is_json {
            true => util::print_json(document),
            false => util::print_table(&rows(document)),
        }
    }
}

/// The revision that the operator named.
pub(crate) fn base_argument(matches: &ArgMatches) -> Option<Revision> {
    let base: Option<&u64> = matches.try_get_one(BASE).ok().flatten();
    base.copied().map(Revision)
}

/// Runs a command to its end.
pub(crate) fn block_on<T>(work: impl Future<Output = Result<T, Error>>) -> Result<T, Error> {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context(StartSnafu)?
        .block_on(work)
}
