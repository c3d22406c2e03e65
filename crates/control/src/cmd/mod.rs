//! What the command line asks for, one module each.

use std::path::PathBuf;

use clap::ArgMatches;

use crate::{
    args::{CHECK_SETTINGS, SETTINGS},
    error::Error,
};

pub mod check;
pub mod schema;
pub mod serve;

/// Does what the command line asks for.
///
/// # Errors
///
/// What the command reports.
pub fn run(matches: &ArgMatches) -> Result<(), Error> {
    let file = |name| matches.get_one::<PathBuf>(name);
    match (file(SETTINGS), file(CHECK_SETTINGS)) {
        (Some(path), _) => serve::run(path),
        (None, Some(path)) => check::run(path),
        (None, None) => schema::run(),
    }
}
