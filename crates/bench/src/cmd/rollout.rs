//! `gypsum-bench rollout`: the time until N replicas hold a version, and the bytes that it costs.
//!
//! Real transfers of weights on loopback; the rates of links are held by their pacers and by the
//! stand-in origin. Prints one JSON object per run. See `docs/OPERATIONS.md`, "Measurements".

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

use crate::error::Error;

mod baseline;
mod live;
mod plan;
mod report;
mod site;
mod swarm;

use plan::{Plan, Strategy};

/// The arguments.
pub fn command() -> Command {
    let number = |name: &'static str, default: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .default_value(default)
            .value_parser(value_parser!(u64).range(1..))
            .help(help)
    };
    Command::new("rollout")
        .about("Measures the time until N replicas hold new weights, and what it costs")
        .arg(number("replicas", "30", "How many agents want the version"))
        .arg(number("regions", "3", "How many regions they are in"))
        .arg(number("bytes", "8388608", "The length of a version"))
        .arg(number("chunk-bytes", "32768", "The length of a chunk"))
        .arg(number("burst", "1", "How many versions come at once"))
        .arg(number("neighbours", "8", "Peers of each agent"))
        .arg(number(
            "pipeline",
            "8",
            "Chunks that an agent asks for at once",
        ))
        .arg(number(
            "origin-rate",
            "1000000",
            "Bytes per second of the origin",
        ))
        .arg(number(
            "link-rate",
            "4000000",
            "Bytes per second of each VM's link",
        ))
        .arg(number(
            "region-rate",
            "750000",
            "Bytes per second between two regions",
        ))
        .arg(number(
            "origin-percent",
            "115",
            "Hundredths of a copy that the origin may send",
        ))
        .arg(
            number("restarts", "0", "Agents that restart in the middle")
                .value_parser(value_parser!(u64)),
        )
        .arg(
            Arg::new("strategy")
                .long("strategy")
                .default_value("swarm")
                .value_parser(["swarm", "origin", "chain"])
                .help("How chunks travel"),
        )
        .arg(
            Arg::new("slopes")
                .long("slopes")
                .action(ArgAction::SetTrue)
                .help("Adds processor time, control bytes and memory to the object"),
        )
}

/// Runs the measurement and prints one JSON object per line.
///
/// # Errors
///
/// If it could not be run to its end.
pub fn run(matches: &ArgMatches) -> Result<(), Error> {
    let plan = Plan::new(matches);
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(4)
        .enable_all()
        .build()
        .map_err(Error::step("start the runtime"))?;
    let figures = runtime.block_on(async {
        match plan.strategy {
            Strategy::Swarm => swarm::run(&plan).await,
            Strategy::Origin | Strategy::Chain => baseline::run(&plan).await,
        }
    })?;
    println!("{}", report::line(&plan, &figures)?);
    Ok(())
}
