//! `fake-origin`: a stand-in for the origin of weights or the weight store, as a process.

use std::{net::SocketAddr, process::ExitCode};

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use fakes::origin::{Config, Origin, Spec};

fn main() -> ExitCode {
    match run(&command().get_matches()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("could not serve weights: {error}");
            ExitCode::FAILURE
        }
    }
}

fn command() -> Command {
    Command::new("fake-origin")
        .about("Serves generated weights, and fails on request")
        .arg(
            Arg::new("listen")
                .long("listen")
                .required(true)
                .value_parser(value_parser!(SocketAddr))
                .help("Where to listen"),
        )
        .arg(
            Arg::new("artifact")
                .long("artifact")
                .action(ArgAction::Append)
                .value_name("NAME@VERSION:BYTES[:CHUNK_BYTES]")
                .value_parser(|text: &str| {
                    Spec::parse(text).ok_or("not name@version:BYTES[:CHUNK_BYTES]")
                })
                .help("A version to serve; may be given several times"),
        )
        .arg(
            Arg::new("bytes-per-s")
                .long("bytes-per-s")
                .value_name("BYTES_PER_S")
                .value_parser(value_parser!(u64).range(1..))
                .help("The rate of all answers together"),
        )
        .arg(
            Arg::new("refuse")
                .long("refuse")
                .action(ArgAction::SetTrue)
                .help("Answers 429 when the rate is used up"),
        )
}

fn run(matches: &ArgMatches) -> std::io::Result<()> {
    let addr = matches
        .get_one::<SocketAddr>("listen")
        .copied()
        .ok_or_else(|| std::io::Error::other("no address"))?;
    let config = Config {
        artifacts: matches
            .get_many::<Spec>("artifact")
            .into_iter()
            .flatten()
            .cloned()
            .collect(),
        bytes_per_s: matches.get_one("bytes-per-s").copied(),
        is_refusing: matches.get_flag("refuse"),
    };
    tokio::runtime::Runtime::new()?.block_on(async {
        let origin = Origin::start(addr, config).await?;
        eprintln!("origin: listening on {}", origin.addr());
        origin.run().await;
        Ok(())
    })
}
