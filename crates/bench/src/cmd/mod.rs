//! Measurements, one module each.

use clap::{ArgMatches, Command};

use crate::error::Error;

pub mod agent;
pub mod capacity;
pub mod cold;
pub mod demo;
pub mod failover;
pub mod feed;
pub mod ledger;
pub mod overhead;
pub mod prefix;
pub mod rollout;
pub mod share;
pub mod zone;

/// One measurement.
struct Entry {
    command: fn() -> Command,
    run: fn(&ArgMatches) -> Result<(), Error>,
}

const ENTRIES: &[Entry] = &[
    Entry {
        command: agent::command,
        run: agent::run,
    },
    Entry {
        command: capacity::command,
        run: capacity::run,
    },
    Entry {
        command: cold::command,
        run: cold::run,
    },
    Entry {
        command: demo::command,
        run: demo::run,
    },
    Entry {
        command: failover::command,
        run: failover::run,
    },
    Entry {
        command: feed::command,
        run: feed::run,
    },
    Entry {
        command: ledger::command,
        run: ledger::run,
    },
    Entry {
        command: overhead::command,
        run: overhead::run,
    },
    Entry {
        command: prefix::command,
        run: prefix::run,
    },
    Entry {
        command: rollout::command,
        run: rollout::run,
    },
    Entry {
        command: share::command,
        run: share::run,
    },
    Entry {
        command: zone::command,
        run: zone::run,
    },
];

/// The whole command line.
pub fn command() -> Command {
    Command::new("gypsum-bench")
        .about("Measures the system on this machine")
        .subcommand_required(true)
        .subcommands(ENTRIES.iter().map(|entry| (entry.command)()))
}

/// Runs the chosen measurement.
///
/// # Errors
///
/// What the measurement reports.
pub fn run(matches: &ArgMatches) -> Result<(), Error> {
    let Some((name, matches)) = matches.subcommand() else {
        return Ok(());
    };
    ENTRIES
        .iter()
        .filter(|entry| (entry.command)().get_name() == name)
        .try_for_each(|entry| (entry.run)(matches))
}
