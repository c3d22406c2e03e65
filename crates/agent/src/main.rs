//! `gypsum-agent`: parses, runs, prints the error once.

use std::process::ExitCode;

fn main() -> ExitCode {
    let matches = agent::args::command().get_matches();
    match agent::cmd::dispatch(&matches) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("gypsum-agent: {error}");
            ExitCode::FAILURE
        }
    }
}
