//! Failures of the daemon itself. Failures of calls are [`crate::failure::Failure`].

use std::net::SocketAddr;

use snafu::Snafu;

/// The daemon could not start or go on.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The settings are wrong.
    #[snafu(display("{source}"), context(false))]
    Settings {
        /// What was seen.
        source: settings::Error,
    },
    /// The platform refused something.
    #[snafu(display("{source}"), context(false))]
    Platform {
        /// What was seen.
        source: host::Error,
    },
    /// The metrics could not be set up.
    #[snafu(display("{source}"), context(false))]
    Metrics {
        /// What was seen.
        source: telemetry::metrics::Error,
    },
    /// The caller's listener could not be opened.
    #[snafu(display("could not listen for callers: {addr}: {source}"))]
    Listen {
        /// The address.
        addr: SocketAddr,
        /// What the system said.
        source: std::io::Error,
    },
    /// A thread could not be started.
    #[snafu(display("could not start {what}: {source}"))]
    Start {
        /// Which part.
        what: &'static str,
        /// What the system said.
        source: std::io::Error,
    },
    /// The schema could not be written.
    #[snafu(display("could not write the schema: {source}"))]
    Schema {
        /// What the library said.
        source: serde_json::Error,
    },
    /// The shared secret can't be sent.
    #[snafu(display("could not use the shared secret: it has bytes that no header may have"))]
    Secret,
}
