//! What the command line can ask for.

use std::path::PathBuf;

use clap::ArgMatches;

use crate::{args, error::Error};

mod check;
mod run;
mod schema;

/// Does what was asked for.
///
/// # Errors
///
/// Why it could not be done.
pub fn dispatch(matches: &ArgMatches) -> Result<(), Error> {
    let file = |name| matches.get_one::<PathBuf>(name);
    match (file(args::SETTINGS), file(args::CHECK)) {
        (Some(path), _) => run::run(path),
        (None, Some(path)) => check::run(path),
        (None, None) => schema::run(),
    }
}
