//! `--check-settings`.

use std::path::Path;

use settings::{control::Control, file};
use snafu::ResultExt;

use crate::error::{Error, SettingsSnafu};

/// Checks a settings file.
///
/// # Errors
///
/// Every broken rule.
pub fn run(path: &Path) -> Result<(), Error> {
    file::load::<Control>(path).context(SettingsSnafu)?;
    println!("settings are valid: {}", path.display());
    Ok(())
}
