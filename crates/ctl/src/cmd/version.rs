//! `gypsumctl version`.

use clap::ArgMatches;
use serde::Serialize;

use crate::{args::JSON, error::Error, util};

#[derive(Serialize)]
struct Version {
    version: &'static str,
}

/// Prints the version.
///
/// # Errors
///
/// If the output can't be written.
pub fn run(matches: &ArgMatches) -> Result<(), Error> {
    let version = env!("CARGO_PKG_VERSION");
    match matches.get_flag(JSON) {
        true => util::print_json(&Version { version }),
        false => util::print(format!("gypsumctl {version}")),
    }
}
