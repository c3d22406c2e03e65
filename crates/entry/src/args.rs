//! The command line.

use std::path::PathBuf;

use clap::{Arg, ArgAction, ArgGroup, Command, value_parser};

/// Runs the daemon with this settings file.
pub const SETTINGS: &str = "settings";
/// Checks this settings file.
pub const CHECK_SETTINGS: &str = "check-settings";
/// Prints the settings' JSON Schema.
pub const PRINT_SCHEMA: &str = "print-schema";

/// The whole command line.
pub fn command() -> Command {
    let file = |name: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .value_name("FILE")
            .value_parser(value_parser!(PathBuf))
            .help(help)
    };
    Command::new("gypsum-entry")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Takes callers' calls and sends each to an upstream that may run it")
        .arg(file(SETTINGS, "Run with this settings file"))
        .arg(file(CHECK_SETTINGS, "Check this settings file and exit"))
        .arg(
            Arg::new(PRINT_SCHEMA)
                .long(PRINT_SCHEMA)
                .action(ArgAction::SetTrue)
                .help("Print the JSON Schema of the settings and exit"),
        )
        .group(
            ArgGroup::new("action")
                .args([SETTINGS, CHECK_SETTINGS, PRINT_SCHEMA])
                .required(true),
        )
}
