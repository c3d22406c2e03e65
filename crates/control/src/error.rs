//! Failures of the daemon, with the step at which they arose.

use std::net::SocketAddr;

use snafu::Snafu;

/// The daemon could not run.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The settings can't be used.
    #[snafu(display("{source}"))]
    Settings {
        /// What is wrong.
        source: settings::Error,
    },
    /// An address can't be listened on.
    #[snafu(display("could not listen: {addr}: {source}"))]
    Listen {
        /// The address.
        addr: SocketAddr,
        /// What the system said.
        source: std::io::Error,
    },
    /// A thread or its runtime could not be started.
    #[snafu(display("could not start {part}: {source}"))]
    Start {
        /// Which one.
        part: &'static str,
        /// What the system said.
        source: std::io::Error,
    },
    /// A listener failed.
    #[snafu(display("could not serve {part}: {source}"))]
    Serve {
        /// Which one.
        part: &'static str,
        /// What the system said.
        source: std::io::Error,
    },
    /// The platform refused something.
    #[snafu(display("{source}"))]
    Platform {
        /// What it said.
        source: host::Error,
    },
    /// The replicated log failed.
    #[snafu(display("{source}"))]
    Replication {
        /// What it said.
        source: crate::replication::Error,
    },
    /// The metrics could not be set up.
    #[snafu(display("{source}"))]
    Metrics {
        /// What the library said.
        source: telemetry::metrics::Error,
    },
}
