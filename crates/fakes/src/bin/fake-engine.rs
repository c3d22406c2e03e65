//! `fake-engine`: a model engine's stand-in. See `docs/CONTRACTS.md`, "Agent → engine".

use std::{net::SocketAddr, process::ExitCode, time::Duration};

use clap::{Arg, ArgAction, Command, value_parser};
use fakes::engine::{Config, Engine};

fn number(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_parser(value_parser!(u32))
        .default_value(default)
        .help(help)
}

fn command() -> Command {
    Command::new("fake-engine")
        .about("A model engine's stand-in")
        .arg(
            Arg::new("listen")
                .long("listen")
                .value_parser(value_parser!(SocketAddr))
                .required(true)
                .help("Address to listen on"),
        )
        .arg(
            Arg::new("checks-fencing")
                .long("checks-fencing")
                .action(ArgAction::SetTrue)
                .help("Refuse orders with an old fencing number"),
        )
        .arg(number("batch", "16", "Calls that run at once"))
        .arg(number("cold-limit", "2", "Calls that a cold engine bears"))
        .arg(number("warm-after", "8", "Good calls that make it warm"))
        .arg(number(
            "cold-factor",
            "5",
            "How many times slower it is when cold",
        ))
        .arg(number(
            "recovery-ms",
            "2000",
            "How long an overload keeps it down",
        ))
        .arg(number("token-us", "2000", "Microseconds per token"))
        .arg(number(
            "block-us",
            "200",
            "Microseconds per uncached block of the prompt",
        ))
        .arg(number(
            "cache-blocks",
            "4096",
            "Blocks of prompts in the cache",
        ))
        .arg(number("load-ms", "50", "How long a load order takes"))
        .arg(number(
            "report-lag-ms",
            "200",
            "How old the load report may be",
        ))
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let matches = command().get_matches();
    let number = |name: &str| matches.get_one::<u32>(name).copied().unwrap_or_default();
    let config = Config {
        checks_fencing: matches.get_flag("checks-fencing"),
        batch: number("batch") as usize,
        cold_limit: number("cold-limit"),
        warm_after: number("warm-after"),
        cold_factor: number("cold-factor"),
        recovery: Duration::from_millis(number("recovery-ms").into()),
        token: Duration::from_micros(number("token-us").into()),
        block: Duration::from_micros(number("block-us").into()),
        cache_blocks: number("cache-blocks") as usize,
        load: Duration::from_millis(number("load-ms").into()),
        report_lag: Duration::from_millis(number("report-lag-ms").into()),
        exits_on_crash: true,
    };
    let Some(addr) = matches.get_one::<SocketAddr>("listen") else {
        return ExitCode::FAILURE;
    };
    match Engine::start(*addr, config).await {
        Ok(engine) => {
            engine.wait().await;
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("fake-engine: could not listen: {addr}: {error}");
            ExitCode::FAILURE
        }
    }
}
