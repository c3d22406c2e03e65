//! `gypsum-control`: parses, runs, prints the error once.

use std::process::ExitCode;

fn main() -> ExitCode {
    let matches = control::args::command().get_matches();
    match control::cmd::run(&matches) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("gypsum-control: {error}");
            ExitCode::FAILURE
        }
    }
}
