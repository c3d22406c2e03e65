//! Failures of a command, each with its exit code.

use std::{path::PathBuf, sync::Arc};

use domain::{artifact, edit::Revision, violation::Violation};
use snafu::Snafu;

/// The exit codes, as `--help` lists them.
pub const EXIT_CODES: &str = "\
Exit codes:
  0  done
  1  failed for another reason
  2  wrong usage
  3  conflict: another edit was accepted first; look at the lists and edit again
  4  refused: the edit is wrong; nothing of it was taken
  5  no answer: resend the same command with the same --edit-id
  6  access refused: the key is not an operator's
  7  nothing of that name is there
  8  the rollout is halted";

/// A command failed.
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
    /// A document has another form than expected.
    #[snafu(display("not lists: {}: {source}", path.display()))]
    Parse {
        /// The file.
        path: PathBuf,
        /// What the parser said.
        source: serde_json::Error,
    },
    /// An argument is missing or makes no sense.
    #[snafu(display("{detail}"))]
    Usage {
        /// What is wrong.
        detail: String,
    },
    /// Output could not be written.
    #[snafu(display("could not write the output: {source}"))]
    Write {
        /// What the system said.
        source: std::io::Error,
    },
    /// The runtime could not be started.
    #[snafu(display("could not start: {source}"))]
    Start {
        /// What the system said.
        source: std::io::Error,
    },
    /// Control could not be asked, or said no.
    #[snafu(display("{source}"))]
    Request {
        /// What happened.
        source: operator::Error,
    },
    /// Another edit was accepted first.
    #[snafu(display("conflict: edit {winner} made revision {revision} first"))]
    Conflict {
        /// The revision in force.
        revision: Revision,
        /// The id of the edit that made it.
        winner: Arc<str>,
    },
    /// The document is wrong.
    #[snafu(display("refused:\n{}", lines(violations)))]
    Refused {
        /// Everything that is wrong.
        violations: Vec<Violation>,
    },
    /// The rollout has stopped.
    #[snafu(display("rollout {artifact} is halted: {reason}"))]
    Halted {
        /// The version.
        artifact: artifact::Id,
        /// What was seen.
        reason: String,
    },
}

impl Error {
    /// The exit code of the process.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Read { .. } | Self::Write { .. } | Self::Start { .. } => 1,
            Self::Usage { .. } => 2,
            Self::Conflict { .. } => 3,
            Self::Refused { .. } | Self::Parse { .. } => 4,
            Self::Request { source } => match source {
                operator::Error::Unreachable { .. } | operator::Error::Exchange { .. } => 5,
                operator::Error::Access { .. } => 6,
                operator::Error::Absent { .. } => 7,
                operator::Error::Refused { .. } => 4,
            },
            Self::Halted { .. } => 8,
        }
    }
}

fn lines(violations: &[Violation]) -> String {
    violations
        .iter()
        .map(|violation| format!("  {violation}"))
        .collect::<Vec<_>>()
        .join("\n")
}
