//! `gypsum-bench demo`: the whole system, once through, with every answer checked.

use std::time::Duration;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

use crate::{demo, error::Error};

/// The arguments.
pub fn command() -> Command {
    Command::new("demo")
        .about("Starts everything, rolls a version out under load, takes a zone out and back")
        .arg(
            Arg::new("engines")
                .long("engines")
                .value_parser(value_parser!(usize))
                .default_value("6")
                .help("How many model engines run"),
        )
        .arg(
            Arg::new("pause")
                .long("pause-ms")
                .value_parser(value_parser!(u64))
                .default_value("4000")
                .help("How long each phase lasts under load, in milliseconds"),
        )
        .arg(
            Arg::new("keep")
                .long("keep")
                .action(ArgAction::SetTrue)
                .help("Keep the temporary folder with settings, data and logs"),
        )
}

/// Runs the demo and prints its table.
///
/// # Errors
///
/// If a step failed or a promise was broken.
pub fn run(matches: &ArgMatches) -> Result<(), Error> {
    let engines = matches.get_one::<usize>("engines").copied().unwrap_or(6);
    let pause = matches.get_one::<u64>("pause").copied().unwrap_or(4_000);
    demo::run(&demo::Config {
        engines,
        pause: Duration::from_millis(pause),
        keeps_folder: matches.get_flag("keep"),
    })
}
