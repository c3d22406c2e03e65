//! The relay's own answers. Each says whether the request ran.

use std::{ops::RangeInclusive, time::Duration};

use bytes::Bytes;
use derive_more::Display;
use http::{Response, StatusCode, header};
use policy::memory::Short;

use crate::body::{self, Body};

/// When to come again to an entry whose state is too old: the time in which control finds a new
/// leader.
const STALE_RETRY: Duration = Duration::from_millis(1_000);
/// When to come again to an entry that has just started. Where everything lost power, control
/// finds a leader within about 1 s, and engines load their weights within another.
const UNKNOWN_RETRY: RangeInclusive<Duration> =
    Duration::from_millis(1_500)..=Duration::from_millis(2_500);

/// When to come again to an entry whose memory is short: bodies that wait have been sent to
/// instances by then. Drawn so that not all come at once.
const SHORT_RETRY: RangeInclusive<Duration> =
    Duration::from_millis(500)..=Duration::from_millis(1_500);

/// Marks an answer that is given before the request was read. The rest of it is not wanted, and its
/// connection ends.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Unread;

/// Why a request gets no instance's answer.
#[derive(Clone, Debug, PartialEq, Eq, Display)]
pub enum Failure {
    /// No state is known since the relay started.
    #[display("the state is not known yet")]
    Unknown {
        /// When to come again.
        retry: Duration,
    },
    /// The state is too old to act on.
    #[display("the state is too old")]
    Stale,
    /// No route fits.
    #[display("no route for this host and path")]
    NoRoute,
    /// The key is missing or unknown.
    #[display("the key is missing or unknown")]
    NoKey,
    /// The body is longer than allowed.
    #[display("the body is longer than {limit} bytes")]
    TooLong {
        /// The limit.
        limit: u32,
    },
    /// Memory is short; nothing of it ran.
    #[display("{reason}")]
    Short {
        /// How short.
        reason: String,
        /// When to come again.
        retry: Duration,
    },
    /// The body did not come in time; nothing of it ran.
    #[display("the body did not come in time")]
    Slow,
    /// No instance takes it now; it did not run.
    #[display("{reason}")]
    Refused {
        /// Why.
        reason: String,
        /// When to come again.
        retry: Duration,
    },
    /// It was sent, and what became of it is unknown.
    #[display("{reason}")]
    Lost {
        /// What was seen.
        reason: String,
    },
    /// It was sent, and time ran out.
    #[display("no answer in time")]
    Late,
}

impl Failure {
    /// [`Self::Unknown`], with a time to come again drawn so that not all come at once.
    pub fn unknown() -> Self {
        let retry = rand::random_range(UNKNOWN_RETRY);
        Self::Unknown { retry }
    }

    /// [`Self::Short`], with a time to come again.
    pub fn short(short: &Short) -> Self {
        Self::Short {
            reason: short.to_string(),
            retry: rand::random_range(SHORT_RETRY),
        }
    }

    /// The status that says so. 503 and 408 promise that the request did not run; 502 and 504
    /// promise nothing.
    pub fn status(&self) -> StatusCode {
        match self {
            Self::Unknown { .. } | Self::Stale | Self::Refused { .. } | Self::Short { .. } => {
                StatusCode::SERVICE_UNAVAILABLE
            }
            Self::Slow => StatusCode::REQUEST_TIMEOUT,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::NoKey => StatusCode::UNAUTHORIZED,
            Self::TooLong { .. } => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Lost { .. } => StatusCode::BAD_GATEWAY,
            Self::Late => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    fn retry(&self) -> Option<Duration> {
        match self {
            Self::Unknown { retry } | Self::Refused { retry, .. } | Self::Short { retry, .. } => {
                Some(*retry)
            }
            Self::Stale => Some(STALE_RETRY),
            _ => None,
        }
    }

    /// The answer to the caller.
    pub fn response(&self) -> Response<Body> {
        let text = Bytes::from(format!("{self}\n"));
        let mut response = Response::new(body::full(text));
        *response.status_mut() = self.status();
        let headers = response.headers_mut();
        headers.insert(
            header::CONTENT_TYPE,
            header::HeaderValue::from_static("text/plain"),
        );
        if matches!(self, Self::Short { .. } | Self::Slow | Self::TooLong { .. }) {
            let close = header::HeaderValue::from_static("close");
            headers.insert(header::CONNECTION, close);
            response.extensions_mut().insert(Unread);
        }
        let headers = response.headers_mut();
        if let Some(retry) = self.retry() {
            let seconds = format!("{:.3}", retry.as_secs_f64());
            if let Ok(value) = seconds.parse() {
                headers.insert(header::RETRY_AFTER, value);
            }
        }
        response
    }
}
