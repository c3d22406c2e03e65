//! `gypsum-bench rollout`.

use clap::{ArgMatches, Command};

use crate::error::Error;

/// The arguments.
pub fn command() -> Command {
    Command::new("rollout")
}

/// Runs the measurement and prints one JSON object per line.
///
/// # Errors
///
/// If it could not be run to its end.
pub fn run(_: &ArgMatches) -> Result<(), Error> {
    Err(Error::Missing { name: "rollout" })
}
