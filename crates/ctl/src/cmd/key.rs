//! `gypsumctl key`.

use std::path::{Path, PathBuf};

use clap::ArgMatches;
use domain::digest::Digest;
use serde::Serialize;

use crate::{
    args::{FILE, JSON},
    error::Error,
    util,
};

#[derive(Serialize)]
struct Key {
    digest: Digest,
}

/// Runs the subcommand.
///
/// # Errors
///
/// If the key can't be read.
pub fn run(matches: &ArgMatches) -> Result<(), Error> {
    let Some((_, matches)) = matches.subcommand() else {
        return Ok(());
    };
    let path: Option<&PathBuf> = matches.get_one(FILE);
    let text = util::read(path.map_or(Path::new("-"), PathBuf::as_path))?;
    let digest = Digest::of(text.trim_end().as_bytes());
    match matches.get_flag(JSON) {
        true => util::print_json(&Key { digest }),
        false => util::print(digest.to_string()),
    }
}
