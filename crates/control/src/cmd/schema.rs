//! `--print-schema`.

use settings::{control::Control, file};

use crate::error::Error;

/// Prints the JSON Schema of the settings.
///
/// # Errors
///
/// None at present.
pub fn run() -> Result<(), Error> {
    println!("{:#}", file::schema::<Control>().as_value());
    Ok(())
}
