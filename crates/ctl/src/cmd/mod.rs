//! The subcommands, one module each.

use clap::ArgMatches;

use crate::{
    context::{Context, block_on},
    error::Error,
};

pub mod completions;
pub mod control;
pub mod key;
pub mod lists;
pub mod rollout;
pub mod upstream;
pub mod version;
pub mod zone;

/// Runs the chosen subcommand.
///
/// # Errors
///
/// What the subcommand reports.
pub fn run(matches: &ArgMatches) -> Result<(), Error> {
    match matches.subcommand() {
        Some(("lists", matches)) => block_on(lists::run(&Context::new(matches)?, matches)),
        Some(("zone", matches)) => block_on(zone::run(&Context::new(matches)?, matches)),
        Some(("upstream", matches)) => block_on(upstream::run(&Context::new(matches)?, matches)),
        Some(("rollout", matches)) => block_on(rollout::run(&Context::new(matches)?, matches)),
        Some(("control", matches)) => block_on(control::run(&Context::new(matches)?, matches)),
        Some(("key", matches)) => key::run(matches),
        Some(("completions", matches)) => completions::run(matches),
        _ => version::run(matches),
    }
}
