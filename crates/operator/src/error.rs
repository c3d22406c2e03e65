//! Failures of the client, with the step and the replica at which they arose.

use std::net::SocketAddr;

use derive_more::Display;
use snafu::Snafu;

/// A step of a request.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Step {
    /// Building the request.
    #[display("build a request")]
    Build,
    /// Sending it and waiting for the answer.
    #[display("ask control")]
    Send,
    /// Reading the answer.
    #[display("read control's answer")]
    Read,
}

/// A request failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// No replica could be asked.
    #[snafu(display("no control replica answered for {millis} ms; the last one said: {last}"))]
    Unreachable {
        /// How long was tried, in milliseconds.
        millis: u64,
        /// What the last replica said.
        last: Box<Error>,
    },
    /// One replica could not be asked.
    #[snafu(display("could not {step}: {peer}: {detail}"))]
    Exchange {
        /// Where.
        step: Step,
        /// With whom.
        peer: SocketAddr,
        /// What was seen.
        detail: String,
    },
    /// The key is not an operator's.
    #[snafu(display("access refused by {peer}: {detail}"))]
    Access {
        /// Who refused.
        peer: SocketAddr,
        /// What it said.
        detail: String,
    },
    /// The replica refused the request.
    #[snafu(display("refused by {peer}: {detail}"))]
    Refused {
        /// Who refused.
        peer: SocketAddr,
        /// What it said.
        detail: String,
    },
    /// Nothing of that name is there.
    #[snafu(display("{detail}"))]
    Absent {
        /// What is missing.
        detail: String,
    },
}

impl Error {
    /// Whether another replica may do better.
    pub(crate) fn is_transient(&self) -> bool {
        matches!(self, Self::Exchange { .. })
    }
}
