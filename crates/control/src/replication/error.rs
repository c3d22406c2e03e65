//! Failures that end a replica.

use snafu::Snafu;

/// The replica can't go on.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum Error {
    /// The data folder can't be used.
    #[snafu(display("could not use the data folder: {source}"))]
    Store {
        /// What the store said.
        source: store::Error,
    },
    /// The thread that writes the log ended.
    #[snafu(display("could not start or keep the thread that writes the log"))]
    Writer,
}
