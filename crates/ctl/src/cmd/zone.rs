//! `gypsumctl zone`.

use clap::ArgMatches;
use domain::{edit::Change, name};
use snafu::ResultExt;

use crate::{
    args::ZONE,
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
        Some(("out", matches)) => set(context, matches, false).await,
        Some(("in", matches)) => set(context, matches, true).await,
        _ => list(context).await,
    }
}

async fn set(context: &Context, matches: &ArgMatches, in_service: bool) -> Result<(), Error> {
    let name: Option<&String> = matches.get_one(ZONE);
    let zone = name::AvailabilityZone::from(name.map_or("", String::as_str));
    let change = Change::Zone {
        zone: zone.clone(),
        in_service,
    };
    context.edit(matches, None, change).await?;
    // A misspelt zone is accepted, since a zone may be empty; the operator should hear of it.
    let zones = context.client.zones().await.context(RequestSnafu)?;
    if !zones
        .iter()
        .any(|known| known.zone == zone && known.vms > 0)
    {
        eprintln!("warning: no VM has announced itself in zone {zone}");
    }
    Ok(())
}

async fn list(context: &Context) -> Result<(), Error> {
    let zones = context.client.zones().await.context(RequestSnafu)?;
    context.show(&zones, |zones| {
        let head = ["zone", "state", "VMs", "serving"];
        let rows = zones.iter().map(|zone| {
            let state = match zone.in_service {
                true => "in service",
                false => "out",
            };
            vec![
                zone.zone.to_string(),
                state.to_owned(),
                zone.vms.to_string(),
                zone.serving.to_string(),
            ]
        });
        std::iter::once(head.map(str::to_owned).to_vec())
            .chain(rows)
            .collect()
    })
}
