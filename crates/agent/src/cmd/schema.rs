//! `--print-schema`.

use settings::{agent::Agent, file};

use crate::error::Error;

/// Prints the JSON Schema of the settings.
///
/// # Errors
///
/// None today.
pub(super) fn run() -> Result<(), Error> {
    let schema = file::schema::<Agent>();
    println!("{:#}", schema.as_value());
    Ok(())
}
