//! The command line.

use std::{net::SocketAddr, path::PathBuf};

use clap::{Arg, ArgAction, Command, value_parser};
use clap_complete::Shell;

use crate::error::EXIT_CODES;

/// Addresses of control replicas.
pub const CONTROL: &str = "control";
/// The file with the operator's key.
pub const KEY_FILE: &str = "key-file";
/// Print JSON.
pub const JSON: &str = "json";
/// How long replicas are tried, in seconds.
pub const TIMEOUT: &str = "timeout";
/// The id of an edit.
pub const EDIT_ID: &str = "edit-id";
/// The revision from which an edit was made.
pub const BASE: &str = "base";
/// Accept an edit that leaves something without service.
pub const ALLOW_OUTAGE: &str = "allow-outage";
/// A file argument.
pub const FILE: &str = "FILE";
/// An availability zone argument.
pub const ZONE: &str = "ZONE";
/// A VM argument.
pub const VM: &str = "VM";
/// An artifact argument.
pub const ARTIFACT: &str = "NAME@VERSION";
/// A shell argument.
pub const SHELL: &str = "SHELL";
/// An identity argument.
pub const IDENTITY: &str = "IDENTITY";
/// An address argument.
pub const ADDRESS: &str = "ADDRESS";

/// The whole command line.
pub fn command() -> Command {
    Command::new("gypsumctl")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Edits the lists, takes availability zones out and in, and follows rollouts")
        .after_help(EXIT_CODES)
        .subcommand_required(true)
        .arg_required_else_help(true)
        .args(global_args())
        .subcommands([
            lists(),
            zone(),
            upstream(),
            rollout(),
            control(),
            key(),
            Command::new("version").about("Prints the version"),
            Command::new("completions")
                .about("Prints a completion script for a shell")
                .arg(positional(SHELL).value_parser(value_parser!(Shell))),
        ])
}

fn global_args() -> [Arg; 4] {
    [
        Arg::new(CONTROL)
            .long(CONTROL)
            .value_name("ADDR")
            .value_parser(value_parser!(SocketAddr))
            .action(ArgAction::Append)
            .global(true)
            .help("The operators' address of a control replica; repeat it to try several"),
        Arg::new(KEY_FILE)
            .long(KEY_FILE)
            .value_name("FILE")
            .value_parser(value_parser!(PathBuf))
            .global(true)
            .help("The file with the operator's key"),
        Arg::new(JSON)
            .long(JSON)
            .action(ArgAction::SetTrue)
            .global(true)
            .help("Prints JSON"),
        Arg::new(TIMEOUT)
            .long(TIMEOUT)
            .value_name("SECONDS")
            .value_parser(value_parser!(u64).range(1..=3_600))
            .default_value("15")
            .global(true)
            .help("How long replicas are tried before the command fails"),
    ]
}

fn lists() -> Command {
    group("lists", "The customers' plans and what each plan may use").subcommands([
        Command::new("show").about("Prints the lists in force and their revision"),
        Command::new("check")
            .about("Names everything that would be wrong with new lists")
            .arg(file()),
        edit(Command::new("apply").about("Replaces the lists"))
            .arg(file())
            .arg(allow_outage()),
        Command::new("history").about("Prints the accepted edits, the newest first"),
    ])
}

fn zone() -> Command {
    group("zone", "Availability zones").subcommands([
        Command::new("list").about("Prints the zones and whether they are in service"),
        edit(Command::new("out").about("Takes a zone out of service"))
            .arg(positional(ZONE))
            .arg(allow_outage()),
        edit(Command::new("in").about("Returns a zone to service")).arg(positional(ZONE)),
    ])
}

fn upstream() -> Command {
    group("upstream", "Upstreams").subcommands([
        Command::new("list").about("Prints the upstreams that announced themselves"),
        Command::new("show")
            .about("Prints one upstream")
            .arg(positional(VM)),
        edit(Command::new("drain").about("Sends no new work to an upstream"))
            .arg(positional(VM))
            .arg(allow_outage()),
        edit(Command::new("undrain").about("Returns a drained upstream")).arg(positional(VM)),
    ])
}

fn rollout() -> Command {
    group("rollout", "Rollouts of versions").subcommands([
        Command::new("list").about("Prints the rollouts"),
        Command::new("show")
            .about("Prints one rollout")
            .arg(positional(ARTIFACT)),
        Command::new("watch")
            .about("Follows a rollout until it is ready or halted")
            .arg(positional(ARTIFACT)),
        edit(Command::new("resume").about("Lets a halted rollout go on")).arg(positional(ARTIFACT)),
    ])
}

fn control() -> Command {
    group("control", "The replicas of control").subcommands([
        Command::new("status").about("Prints how the replica that answers stands"),
        Command::new("members").about("Prints the members of the group"),
        Command::new("replace")
            .about("Swaps a member for the replica with a new identity at an address")
            .arg(positional(IDENTITY))
            .arg(positional(ADDRESS).value_parser(value_parser!(SocketAddr))),
    ])
}

fn key() -> Command {
    group("key", "Keys of callers and operators").subcommand(
        Command::new("digest")
            .about("Prints the digest of a key, as the lists and settings hold it")
            .arg(file().help("The file with the key, or - for standard input")),
    )
}

fn group(name: &'static str, about: &'static str) -> Command {
    Command::new(name)
        .about(about)
        .subcommand_required(true)
        .arg_required_else_help(true)
}

fn edit(command: Command) -> Command {
    command
        .arg(
            Arg::new(EDIT_ID)
                .long(EDIT_ID)
                .value_name("ID")
                .help("The id of this edit; a resend with the same one gets the same answer"),
        )
        .arg(
            Arg::new(BASE)
                .long(BASE)
                .value_name("REVISION")
                .value_parser(value_parser!(u64))
                .help("The revision from which the edit was made"),
        )
}

fn allow_outage() -> Arg {
    Arg::new(ALLOW_OUTAGE)
        .long(ALLOW_OUTAGE)
        .action(ArgAction::SetTrue)
        .help("Accepts the edit even if something is left without service")
}

fn positional(name: &'static str) -> Arg {
    Arg::new(name).required(true)
}

fn file() -> Arg {
    positional(FILE).value_parser(value_parser!(PathBuf))
}
