//! The command line.

use std::path::PathBuf;

use clap::{Arg, ArgAction, Command, value_parser};

/// The settings file.
pub const SETTINGS: &str = "settings";
/// Only check the settings.
pub const CHECK_SETTINGS: &str = "check-settings";
/// Only print the schema of the settings.
pub const PRINT_SCHEMA: &str = "print-schema";

/// The arguments.
pub fn command() -> Command {
    Command::new("gypsum-entry")
        .about("Takes callers' calls and sends each to an upstream that may run it")
        .version(env!("CARGO_PKG_VERSION"))
        .arg(
            Arg::new(SETTINGS)
                .long(SETTINGS)
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .required_unless_present(PRINT_SCHEMA)
                .help("Reads the settings from this JSON file"),
        )
        .arg(
            Arg::new(CHECK_SETTINGS)
                .long(CHECK_SETTINGS)
                .action(ArgAction::SetTrue)
                .help("Checks the settings and exits"),
        )
        .arg(
            Arg::new(PRINT_SCHEMA)
                .long(PRINT_SCHEMA)
                .action(ArgAction::SetTrue)
                .help("Prints the JSON Schema of the settings and exits"),
        )
}
