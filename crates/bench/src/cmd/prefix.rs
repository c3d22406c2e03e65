//! `gypsum-bench prefix`.

use clap::{ArgMatches, Command};

use crate::error::Error;

/// The arguments.
pub fn command() -> Command {
    Command::new("prefix")
}

/// Runs the measurement and prints one JSON object per line.
///
/// # Errors
///
/// If it could not be run to its end.
pub fn run(_: &ArgMatches) -> Result<(), Error> {
    Err(Error::Missing { name: "prefix" })
}
