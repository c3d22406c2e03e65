//! Failures of calls to an upstream, with the step and the peer at which they arose.

use std::net::SocketAddr;

use derive_more::Display;
use domain::{call::Outcome, order::Fence};
use snafu::Snafu;

/// A step of a call to an upstream.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display(rename_all = "lowercase")]
pub enum Step {
    /// Opening a connection.
    Connect,
    /// Sending the request.
    Send,
    /// Waiting for the answer's head.
    Head,
    /// Reading the answer's body.
    Body,
}

/// A call to an upstream failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The connection could not be opened.
    #[snafu(display("could not connect: {peer}: {source}"))]
    Connect {
        /// The upstream.
        peer: SocketAddr,
        /// What was seen.
        source: std::io::Error,
    },
    /// The request was never sent.
    #[snafu(display("could not send a byte: {peer}: {detail}"))]
    Unsent {
        /// The upstream.
        peer: SocketAddr,
        /// What was seen.
        detail: String,
    },
    /// The connection broke.
    #[snafu(display("connection broke at {step}: {peer}: {source}"))]
    Broken {
        /// Where.
        step: Step,
        /// The upstream.
        peer: SocketAddr,
        /// What was seen.
        source: hyper::Error,
    },
    /// Nothing came for too long.
    #[snafu(display("nothing at {step} from {peer} for {millis} ms"))]
    Silent {
        /// Where.
        step: Step,
        /// The upstream.
        peer: SocketAddr,
        /// For how long, in milliseconds.
        millis: u64,
    },
    /// The answer belongs to another attempt or version.
    #[snafu(display("answer of {seen} instead of {expected} from {peer}"))]
    Crossed {
        /// The upstream.
        peer: SocketAddr,
        /// What was asked.
        expected: String,
        /// What came.
        seen: String,
    },
    /// The answer ended without its end marker.
    #[snafu(display("answer without its end from {peer}: {detail}"))]
    Truncated {
        /// The upstream.
        peer: SocketAddr,
        /// What was seen.
        detail: String,
    },
    /// The answer is not in the form of the contract.
    #[snafu(display("answer not understood from {peer}: {detail}"))]
    Malformed {
        /// The upstream.
        peer: SocketAddr,
        /// What was seen.
        detail: String,
    },
    /// The upstream refused the request.
    #[snafu(display("refused with {status} by {peer}: {detail}"))]
    Refused {
        /// The upstream.
        peer: SocketAddr,
        /// The HTTP status.
        status: u16,
        /// What it said.
        detail: String,
    },
    /// The engine has seen a newer fencing number.
    #[snafu(display("order fenced off by {peer}, which has seen {fence}"))]
    Fenced {
        /// The engine.
        peer: SocketAddr,
        /// The newer fencing number.
        fence: Fence,
    },
}

impl Error {
    /// What is known about the call. Only a call of which no byte was sent, or which the upstream
    /// refused before it ran, is known not to have run.
    pub fn outcome(&self) -> Outcome {
        match self {
            Self::Connect { .. } | Self::Unsent { .. } | Self::Fenced { .. } => Outcome::NotRun,
            Self::Refused { status, .. } if is_refusal(*status) => Outcome::NotRun,
            Self::Refused { .. } => Outcome::Ran,
            Self::Broken { .. }
            | Self::Silent { .. }
            | Self::Crossed { .. }
            | Self::Truncated { .. }
            | Self::Malformed { .. } => Outcome::Unknown,
        }
    }

    /// Whether the upstream said that it takes no more work now.
    pub fn is_overload(&self) -> bool {
        matches!(self, Self::Refused { status, .. } if matches!(status, 429 | 503))
    }

    /// Whether the upstream's process seems to be gone.
    pub fn is_loss(&self) -> bool {
        matches!(
            self,
            Self::Connect { .. } | Self::Unsent { .. } | Self::Broken { .. }
        )
    }
}

/// Statuses with which an engine says that it did not start the call.
fn is_refusal(status: u16) -> bool {
    matches!(status, 404 | 409 | 429 | 503)
}
