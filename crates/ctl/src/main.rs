//! `gypsumctl`: parses, runs, prints the error once.

use std::process::ExitCode;

fn main() -> ExitCode {
    let matches = ctl::args::command().get_matches();
    match ctl::cmd::run(&matches) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("gypsumctl: {error}");
            ExitCode::from(error.exit_code())
        }
    }
}
