//! The command line.

use std::path::PathBuf;

use clap::{Arg, ArgAction, ArgGroup, Command, value_parser};

/// The settings file to run with.
pub const SETTINGS: &str = "settings";
/// The settings file to check.
pub const CHECK_SETTINGS: &str = "check-settings";
/// Print the schema of the settings.
pub const PRINT_SCHEMA: &str = "print-schema";

/// The whole command line.
pub fn command() -> Command {
    let file = |name: &'static str| {
        Arg::new(name)
            .long(name)
            .value_name("FILE")
            .value_parser(value_parser!(PathBuf))
    };
    Command::new("gypsum-control")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Keeps the operators' lists and tells entries and agents of every change")
        .arg(file(SETTINGS).help("Runs with the settings in this file"))
        .arg(file(CHECK_SETTINGS).help("Checks a settings file, names every error and exits"))
        .arg(
            Arg::new(PRINT_SCHEMA)
                .long(PRINT_SCHEMA)
                .action(ArgAction::SetTrue)
                .help("Prints the JSON Schema of the settings and exits"),
        )
        .group(
            ArgGroup::new("action")
                .args([SETTINGS, CHECK_SETTINGS, PRINT_SCHEMA])
                .required(true),
        )
}
