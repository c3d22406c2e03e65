//! `gypsumctl control`.

use std::net::SocketAddr;

use clap::ArgMatches;
use operator::api::Replace;
use snafu::{OptionExt, ResultExt};

use crate::{
    args::{ADDRESS, IDENTITY},
    context::Context,
    error::{Error, RequestSnafu, UsageSnafu},
    util,
};

/// Runs the subcommand.
///
/// # Errors
///
/// What control answers.
pub(crate) async fn run(context: &Context, matches: &ArgMatches) -> Result<(), Error> {
    match matches.subcommand() {
        Some(("members", _)) => members(context).await,
        Some(("replace", matches)) => replace(context, matches).await,
        _ => status(context).await,
    }
}

async fn status(context: &Context) -> Result<(), Error> {
    let status = context.client.status().await.context(RequestSnafu)?;
    context.show(&status, |status| {
        let row = |name: &str, value: String| vec![name.to_owned(), value];
        let unknown = || "unknown".to_owned();
        let age = status.age_ms.map(|age| format!("{age} ms"));
        let mut rows = vec![
            row("replica", format!("{} ({})", status.vm, status.identity)),
            row("role", status.role.clone()),
            row("leader", status.leader.clone().unwrap_or_else(unknown)),
            row("term", status.term.to_string()),
            row("commit", status.commit.to_string()),
            row("applied", status.applied.to_string()),
            row("revision", status.revision.to_string()),
            row("age", age.unwrap_or_else(unknown)),
            row("VMs", status.vms.to_string()),
            row("ledger", status.ledger_entries.to_string()),
        ];
        let obstacles = status.obstacles.iter();
        rows.extend(obstacles.map(|obstacle| row("not ready", obstacle.clone())));
        rows
    })
}

async fn members(context: &Context) -> Result<(), Error> {
    let members = context.client.members().await.context(RequestSnafu)?;
    context.show(&members, |members| {
        let rows = members.iter().map(|member| {
            let kind = match (member.is_leader, member.is_voter) {
                (true, _) => "leader",
                (false, true) => "voter",
                (false, false) => "learner",
            };
            vec![
                member.identity.clone(),
                member.address.to_string(),
                kind.to_owned(),
            ]
        });
        rows.collect()
    })
}

async fn replace(context: &Context, matches: &ArgMatches) -> Result<(), Error> {
    let identity: Option<&String> = matches.get_one(IDENTITY);
    let address: Option<&SocketAddr> = matches.get_one(ADDRESS);
    let usage = UsageSnafu {
        detail: "an identity and an address are needed",
    };
    let (identity, address) = identity.zip(address).context(usage)?;
    let wish = Replace {
        identity: identity.clone(),
        address: *address,
    };
    context.client.replace(&wish).await.context(RequestSnafu)?;
    match context.is_json {
        true => util::print_json(&wish),
        false => util::print(format!("replaced {identity} by the replica at {address}")),
    }
}
