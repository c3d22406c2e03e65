//! Failures to start or run the agent.

use std::{net::SocketAddr, path::PathBuf};

use snafu::Snafu;

/// The agent can't start or go on.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The settings are wrong.
    #[snafu(display("{source}"))]
    Settings {
        /// What is wrong.
        source: settings::Error,
    },
    /// An address can't be had.
    #[snafu(display("could not listen: {addr}: {source}"))]
    Listen {
        /// Which one.
        addr: SocketAddr,
        /// What was seen.
        source: std::io::Error,
    },
    /// The spool folder can't be used.
    #[snafu(display("could not use the spool: {}: {source}", path.display()))]
    Spool {
        /// Which one.
        path: PathBuf,
        /// What was seen.
        source: std::io::Error,
    },
    /// The transfer of weights can't start.
    #[snafu(display("{source}"))]
    Weights {
        /// What was seen.
        source: crate::weights::Error,
    },
    /// A thread or the runtime could not be started.
    #[snafu(display("could not start a thread: {source}"))]
    Thread {
        /// What was seen.
        source: std::io::Error,
    },
    /// The metrics could not be set up.
    #[snafu(display("{source}"))]
    Metrics {
        /// What was seen.
        source: telemetry::metrics::Error,
    },
    /// Something of the platform failed.
    #[snafu(display("{source}"))]
    Platform {
        /// What was seen.
        source: host::Error,
    },
    /// The settings give an engine no spool.
    #[snafu(display("settings refused: $.weights: an engine needs it"))]
    NoWeights,
    /// The settings name no upstream.
    #[snafu(display(
        "settings refused: $.upstream: an agent stands beside an engine or a service"
    ))]
    NoUpstream,
}
