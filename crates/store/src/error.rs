//! Failures of the store, with the file at which they arose.

use std::{io::ErrorKind, path::PathBuf};

use snafu::Snafu;

/// The store failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The folder or the file could not be reached.
    #[snafu(display("could not {step}: {}: {source}", path.display()))]
    Io {
        /// What was tried.
        step: &'static str,
        /// Where.
        path: PathBuf,
        /// What the system said.
        source: std::io::Error,
    },
    /// Another process uses the folder.
    #[snafu(display("another process uses the file: {}", path.display()))]
    Locked {
        /// The file.
        path: PathBuf,
    },
    /// The file does not hold what was last made durable.
    #[snafu(display("the file is damaged: {}: {detail}", path.display()))]
    Damaged {
        /// The file.
        path: PathBuf,
        /// What was seen.
        detail: String,
    },
    /// A commit failed; nothing more may be promised.
    #[snafu(display("could not commit: {}: {source}", path.display()))]
    Commit {
        /// The file.
        path: PathBuf,
        /// What the database said.
        #[snafu(source(from(redb::Error, Box::new)))]
        source: Box<redb::Error>,
    },
}

impl Error {
    /// Whether the disk had no room. It may have some again, and nothing is lost until then.
    pub fn is_full(&self) -> bool {
        let kind = match self {
            Self::Io { source, .. } => source.kind(),
            Self::Commit { source, .. } => match source.as_ref() {
                redb::Error::Io(source) => source.kind(),
                _ => return false,
            },
            Self::Locked { .. } | Self::Damaged { .. } => return false,
        };
        matches!(kind, ErrorKind::StorageFull | ErrorKind::QuotaExceeded)
    }
}
