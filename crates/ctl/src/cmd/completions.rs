//! `gypsumctl completions`.

use clap::ArgMatches;
use clap_complete::{Shell, generate};

use crate::{
    args::{SHELL, command},
    error::Error,
};

/// Prints a completion script.
///
/// # Errors
///
/// None at present.
pub fn run(matches: &ArgMatches) -> Result<(), Error> {
    let shell: Option<&Shell> = matches.get_one(SHELL);
    if let Some(shell) = shell {
        generate(*shell, &mut command(), "gypsumctl", &mut std::io::stdout());
    }
    Ok(())
}
