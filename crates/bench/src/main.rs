//! `gypsum-bench`: parses, runs, prints the error once.

use std::process::ExitCode;

fn main() -> ExitCode {
    let matches = bench::cmd::command().get_matches();
    match bench::cmd::run(&matches) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("gypsum-bench: {error}");
            ExitCode::FAILURE
        }
    }
}
