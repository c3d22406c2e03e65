//! Failures of reading from the origin or the weight store.

use std::{net::SocketAddr, time::Duration};

use derive_more::Display;
use http::StatusCode;
use snafu::Snafu;

/// What was being read.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Step {
    /// A manifest.
    #[display("read manifest {_0}")]
    Manifest(domain::artifact::Id),
    /// A chunk.
    #[display("read chunk {_0}")]
    Chunk(domain::digest::Digest),
}

/// The origin or the weight store did not give what was asked for.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The request could not be written, which names and digests never cause.
    #[snafu(display("could not {step}: {peer}: {source}"))]
    Request {
        /// What was being read.
        step: Step,
        /// From whom.
        peer: SocketAddr,
        /// What the library said.
        source: http::Error,
    },
    /// The peer could not be reached or the connection broke.
    #[snafu(display("could not {step}: {peer}: {source}"))]
    Connection {
        /// What was being read.
        step: Step,
        /// From whom.
        peer: SocketAddr,
        /// What the library said.
        source: Box<dyn std::error::Error + Send + Sync>,
    },
    /// The peer answered with a failure.
    #[snafu(display("could not {step}: {peer} answered {status}"))]
    Status {
        /// What was being read.
        step: Step,
        /// From whom.
        peer: SocketAddr,
        /// The status of the answer.
        status: StatusCode,
    },
    /// The peer's rate is used up.
    #[snafu(display("could not {step}: {peer} asked to wait {} ms", retry.as_millis()))]
    Throttled {
        /// What was being read.
        step: Step,
        /// From whom.
        peer: SocketAddr,
        /// When to ask again.
        retry: Duration,
    },
    /// Nothing came for too long.
    #[snafu(display("no progress from {peer} to {step} for {millis} ms"))]
    Stalled {
        /// What was being read.
        step: Step,
        /// From whom.
        peer: SocketAddr,
        /// How long was waited, in milliseconds.
        millis: u64,
    },
    /// More bytes came than there may be.
    #[snafu(display("could not {step}: {peer} sent more than {limit} bytes"))]
    Endless {
        /// What was being read.
        step: Step,
        /// From whom.
        peer: SocketAddr,
        /// The most that may come, in bytes.
        limit: usize,
    },
    /// Fewer bytes came than there must be.
    #[snafu(display("could not {step}: {peer} sent {seen} of {expected} bytes"))]
    Short {
        /// What was being read.
        step: Step,
        /// From whom.
        peer: SocketAddr,
        /// How many came.
        seen: usize,
        /// How many there must be.
        expected: usize,
    },
}
