//! Failures of sessions, with the step and the peer at which they arose.

use std::net::SocketAddr;

use derive_more::Display;
use snafu::Snafu;

/// A step of a session.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Step {
    /// Opening the connection.
    #[display("connect")]
    Connect,
    /// Presenting the shared secret.
    #[display("login")]
    Login,
    /// A call.
    #[display("{_0}")]
    Call(&'static str),
}

/// A session failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// The peer could not be reached.
    #[snafu(display("could not {step}: {peer}: {source}"))]
    Io {
        /// Where.
        step: Step,
        /// With whom.
        peer: SocketAddr,
        /// What the system said.
        source: std::io::Error,
    },
    /// The peer said no, or the connection broke.
    #[snafu(display("could not {step}: {peer}: {source}"))]
    Rpc {
        /// Where.
        step: Step,
        /// With whom.
        peer: SocketAddr,
        /// What the library or the peer said.
        source: capnp::Error,
    },
    /// No answer came in time.
    #[snafu(display("no answer to {step} from {peer} for {millis} ms"))]
    Timeout {
        /// Where.
        step: Step,
        /// With whom.
        peer: SocketAddr,
        /// How long was waited, in milliseconds.
        millis: u64,
    },
    /// No peer could be reached before the deadline.
    #[snafu(display("no control replica answered {step} for {millis} ms"))]
    Unreachable {
        /// Where.
        step: Step,
        /// How long was waited, in milliseconds.
        millis: u64,
    },
}

impl Error {
    /// Whether the peer answered that it does not offer what was asked for.
    pub fn is_not_offered(&self) -> bool {
        let Self::Rpc { source, .. } = self else {
            return false;
        };
        source.kind == capnp::ErrorKind::Unimplemented
    }
}
