//! `fake-service`: a plain service's stand-in. See `docs/CONTRACTS.md`, "Agent → plain service".

use std::{net::SocketAddr, process::ExitCode, time::Duration};

use clap::{Arg, Command, value_parser};
use fakes::service::{Config, Service};

fn command() -> Command {
    Command::new("fake-service")
        .about("A plain service's stand-in")
        .arg(
            Arg::new("listen")
                .long("listen")
                .value_parser(value_parser!(SocketAddr))
                .required(true)
                .help("Address to listen on"),
        )
        .arg(
            Arg::new("name")
                .long("name")
                .default_value("booking")
                .help("The name that its answers bear"),
        )
        .arg(
            Arg::new("work-ms")
                .long("work-ms")
                .value_parser(value_parser!(u64))
                .default_value("5")
                .help("How long a call takes"),
        )
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let matches = command().get_matches();
    let Some(addr) = matches.get_one::<SocketAddr>("listen") else {
        return ExitCode::FAILURE;
    };
    let name = matches.get_one::<String>("name").cloned();
    let work = matches.get_one::<u64>("work-ms").copied();
    let config = Config {
        name: name.unwrap_or_default(),
        work: Duration::from_millis(work.unwrap_or_default()),
        exits_on_crash: true,
    };
    match Service::start(*addr, config).await {
        Ok(service) => {
            service.wait().await;
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("fake-service: could not listen: {addr}: {error}");
            ExitCode::FAILURE
        }
    }
}
