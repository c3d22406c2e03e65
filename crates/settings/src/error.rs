//! Failures to read settings.

use std::path::PathBuf;

use domain::violation::Violation;
use snafu::Snafu;

/// The settings could not be used.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// A file could not be read.
    #[snafu(display("could not read {}: {source}", path.display()))]
    Read {
        /// The file.
        path: PathBuf,
        /// What the system said.
        source: std::io::Error,
    },
    /// The file is not JSON.
    #[snafu(display("not a JSON document: {}: {source}", path.display()))]
    Syntax {
        /// The file.
        path: PathBuf,
        /// What the parser said.
        source: serde_json::Error,
    },
    /// The document is JSON but not valid settings.
    #[snafu(display("settings refused: {}\n{}", path.display(), lines(violations)))]
    Invalid {
        /// The file.
        path: PathBuf,
        /// Everything that is wrong.
        violations: Vec<Violation>,
    },
}

fn lines(violations: &[Violation]) -> String {
    violations
        .iter()
        .map(|violation| format!("  {violation}"))
        .collect::<Vec<_>>()
        .join("\n")
}
