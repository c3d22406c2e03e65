//! `gypsum-entry`: parses, runs, prints the error once.

use std::process::ExitCode;

fn main() -> ExitCode {
    let matches = entry::args::command().get_matches();
    match entry::run::run(&matches) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("gypsum-entry: {error}");
            ExitCode::FAILURE
        }
    }
}
