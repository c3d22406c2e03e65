//! `--settings`: runs the daemon.

use std::path::Path;

use settings::{control::Control, file};
use snafu::ResultExt;

use crate::{
    daemon,
    error::{Error, SettingsSnafu},
};

/// Runs the daemon until it is told to stop.
///
/// # Errors
///
/// If the settings are wrong or something it needs can't be opened.
pub fn run(path: &Path) -> Result<(), Error> {
    let settings: Control = file::load(path).context(SettingsSnafu)?;
    let secret = file::load_secret(&settings.secret_file).context(SettingsSnafu)?;
    daemon::run(settings, secret)
}
