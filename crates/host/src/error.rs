//! Failures of the platform's interfaces.

use std::net::SocketAddr;

use snafu::Snafu;

/// The platform refused something.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// A listener could not be opened.
    #[snafu(display("could not listen: {addr}: {source}"))]
    Listen {
        /// The address.
        addr: SocketAddr,
        /// What the system said.
        source: std::io::Error,
    },
    /// A listener failed.
    #[snafu(display("could not serve the status page: {source}"))]
    Serve {
        /// What the system said.
        source: std::io::Error,
    },
    /// Signals could not be caught.
    #[snafu(display("could not catch signals: {source}"))]
    Signal {
        /// What the system said.
        source: std::io::Error,
    },
}
