//! `--check-settings`.

use std::path::Path;

use settings::{agent::Agent, file};
use snafu::ResultExt;

use crate::{
    error::{Error, SettingsSnafu},
    util,
};

/// Checks a settings file and says so if it is good.
///
/// # Errors
///
/// Every complaint with its JSON path.
pub(super) fn run(path: &Path) -> Result<(), Error> {
    let settings = file::load::<Agent>(path).context(SettingsSnafu)?;
    util::check(&settings)?;
    println!("settings are good: {}", path.display());
    Ok(())
}
