//! Failures of the transfer.

use std::{net::SocketAddr, path::PathBuf};

use domain::{artifact, digest::Digest};
use snafu::Snafu;

/// The transfer could not do a step.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum Error {
    /// The address could not be listened on.
    #[snafu(display("could not listen for chunks: {addr}: {source}"))]
    Listen {
        /// The address.
        addr: SocketAddr,
        /// What the system said.
        source: std::io::Error,
    },
    /// The thread could not be started.
    #[snafu(display("could not start the thread for weights: {source}"))]
    Thread {
        /// What the system said.
        source: std::io::Error,
    },
    /// A file of the spool could not be used.
    #[snafu(display("could not {step}: {}: {source}", path.display()))]
    Spool {
        /// What was tried.
        step: &'static str,
        /// The file or folder.
        path: PathBuf,
        /// What the system said.
        source: std::io::Error,
    },
    /// The spool has no room.
    #[snafu(display("could not make room: {source}"))]
    Full {
        /// How much is missing.
        source: policy::spool::Full,
    },
    /// The bytes are not the pinned manifest.
    #[snafu(display("manifest of {artifact} has digest {seen}, not the pinned {pinned}"))]
    Swapped {
        /// The version.
        artifact: artifact::Id,
        /// What came.
        seen: Digest,
        /// What control pinned.
        pinned: Digest,
    },
    /// The pinned manifest is not one that can be used.
    #[snafu(display("manifest of {artifact} can't be used: {detail}"))]
    Malformed {
        /// The version.
        artifact: artifact::Id,
        /// What is wrong with it.
        detail: String,
    },
    /// No manifest could be read.
    #[snafu(display("no manifest of {artifact}: {detail}"))]
    Unreadable {
        /// The version.
        artifact: artifact::Id,
        /// What was seen last.
        detail: String,
    },
}
