//! `gypsumctl upstream`.

use clap::ArgMatches;
use domain::{edit::Change, name, vm::Holding};
use operator::api;
use snafu::ResultExt;

use crate::{
    args::VM,
    context::Context,
    error::{Error, RequestSnafu},
};

/// Runs the subcommand.
///
/// # Errors
///
/// What control answers.
pub(crate) async fn run(context: &Context, matches: &ArgMatches) -> Result<(), Error> {
    match matches.subcommand() {
        Some(("show", matches)) => show(context, matches).await,
        Some(("drain", matches)) => set(context, matches, true).await,
        Some(("undrain", matches)) => set(context, matches, false).await,
        _ => list(context).await,
    }
}

fn vm(matches: &ArgMatches) -> name::Vm {
    let name: Option<&String> = matches.get_one(VM);
    name::Vm::from(name.map_or("", String::as_str))
}

async fn set(context: &Context, matches: &ArgMatches, is_draining: bool) -> Result<(), Error> {
    let change = Change::Drain {
        vm: vm(matches),
        is_draining,
    };
    context.edit(matches, None, change).await
}

async fn show(context: &Context, matches: &ArgMatches) -> Result<(), Error> {
    let answer = context.client.upstream(&vm(matches)).await;
    let upstream = answer.context(RequestSnafu)?;
    context.show(&upstream, |upstream| {
        let holdings = upstream.status.holdings.iter();
        let holdings = holdings.map(|(id, holding)| vec![id.to_string(), describe(holding)]);
        std::iter::once(row(upstream)).chain(holdings).collect()
    })
}

async fn list(context: &Context) -> Result<(), Error> {
    let upstreams = context.client.upstreams().await.context(RequestSnafu)?;
    context.show(&upstreams, |upstreams| {
        let head = ["VM", "zone", "region", "state", "work", "calls", "fence"];
        std::iter::once(head.map(str::to_owned).to_vec())
            .chain(upstreams.iter().map(row))
            .collect()
    })
}

fn row(upstream: &api::Upstream) -> Vec<String> {
    let who = &upstream.announcement;
    let work = match (upstream.is_draining, upstream.in_service) {
        (true, _) => "drained",
        (false, true) => "takes work",
        (false, false) => "no work",
    };
    vec![
        who.vm.to_string(),
        who.zone.to_string(),
        who.region.to_string(),
        upstream.status.lifecycle.to_string(),
        work.to_owned(),
        who.call_addr.to_string(),
        upstream.status.fence.to_string(),
    ]
}

fn describe(holding: &Holding) -> String {
    match holding {
        Holding::Fetching { chunks } => format!("fetching, {chunks} chunks"),
        Holding::Held => "held".to_owned(),
        Holding::Loading => "loading".to_owned(),
        Holding::Serving => "serving".to_owned(),
        Holding::Failed { reason } => format!("failed: {reason}"),
    }
}
