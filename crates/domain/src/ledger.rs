//! The ledger of calls that may not be repeated: its keys, commands and answers.
//!
//! See `docs/ARCHITECTURE.md`, "Calls that may not be repeated".

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{call::Attempt, digest::Digest, name};

/// The largest answer that the ledger keeps, in bytes.
pub const MAX_ANSWER_BYTES: usize = 16 * 1024;

/// What makes two calls the same call.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key {
    /// The customer.
    pub customer: name::Customer,
    /// The caller's `Idempotency-Key`, or a fresh one.
    pub idempotency_key: Arc<str>,
    /// Method and path.
    pub route: Arc<str>,
}

impl Key {
    /// The key of a call. Entry and agent both build it here, so that they name the same call.
    pub fn of_call(
        customer: name::Customer,
        idempotency_key: impl Into<Arc<str>>,
        method: &str,
        path: &str,
    ) -> Self {
        Self {
            customer,
            idempotency_key: idempotency_key.into(),
            route: format!("{method} {path}").into(),
        }
    }
}

/// The agent that asks, and which start of it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Holder {
    /// The agent's VM.
    pub vm: name::Vm,
    /// The agent's incarnation.
    pub incarnation: u64,
}

/// An answer kept for resends.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// The HTTP status.
    pub status: u16,
    /// The `content-type` header, if there was one.
    pub content_type: Option<Arc<str>>,
    /// The whole body, or nothing if it was above [`MAX_ANSWER_BYTES`].
    #[serde(with = "serde_bytes")]
    pub body: Option<Vec<u8>>,
}

/// A write to the ledger.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Write {
    /// The agent is about to send the call.
    Start {
        /// The call.
        key: Key,
        /// The try.
        attempt: Attempt,
        /// The digest of the request body.
        body: Digest,
        /// Who asks.
        holder: Holder,
    },
    /// The entry gives the try up.
    Abandon {
        /// The call.
        key: Key,
        /// The try.
        attempt: Attempt,
        /// The digest of the request body.
        body: Digest,
    },
    /// The agent gives its grant back; it has sent nothing.
    Release {
        /// The call.
        key: Key,
        /// The try.
        attempt: Attempt,
        /// Who was granted the start.
        holder: Holder,
    },
    /// The upstream has answered.
    Finish {
        /// The call.
        key: Key,
        /// The try.
        attempt: Attempt,
        /// Who was granted the start.
        holder: Holder,
        /// What the upstream answered.
        answer: Answer,
    },
}

/// What the ledger says to a write.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// Start: send the call now.
    Granted,
    /// Start: this try was abandoned; it never runs.
    Abandoned,
    /// Start or Abandon: some try has started and not finished; it may not start again.
    Started {
        /// The try that has started.
        attempt: Attempt,
    },
    /// Start or Abandon: the call has run; this is its answer.
    Finished {
        /// The try that ran.
        attempt: Attempt,
        /// Its answer.
        answer: Answer,
    },
    /// Abandon, Release or Finish: done.
    Recorded,
    /// The key was used with another body.
    Mismatch,
    /// Release or Finish: the caller does not hold the grant.
    NotHolder,
    /// The ledger is full; nothing was recorded.
    Full,
}
