//! Keys, writes and replies of the ledger, which records calls that must not be repeated.
//!
//! See `docs/ARCHITECTURE.md`, "Calls that may not be repeated".

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{call::Attempt, digest::Digest, name};

/// The largest answer body that the ledger stores, in bytes.
pub const MAX_ANSWER_BYTES: usize = 16 * 1024;

/// The identity of a call. Two requests with equal keys are the same call.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key {
    /// The customer.
    pub customer: name::Customer,
    /// The caller's `Idempotency-Key`, or a generated one.
    pub idempotency_key: Arc<str>,
    /// The method and path, separated by a space.
    pub route: Arc<str>,
}

impl Key {
    /// Builds the key of a call. Entry and agent both use this function, so that their keys agree.
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

/// The agent process that asks for a grant or holds one.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Holder {
    /// The agent's VM.
    pub vm: name::Vm,
    /// The incarnation of the agent, which increases with each start.
    pub incarnation: u64,
}

/// An upstream's answer, stored for resends of the call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// The HTTP status.
    pub status: u16,
    /// The `content-type` header, if the answer had one.
    pub content_type: Option<Arc<str>>,
    /// The complete body, or `None` if it was not stored: it exceeded [`MAX_ANSWER_BYTES`], or
    /// the ledger was at its limit for stored bodies.
    #[serde(with = "serde_bytes")]
    pub body: Option<Vec<u8>>,
}

/// A write to the ledger.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Write {
    /// An agent asks for permission to send the call to its upstream.
    Start {
        /// The call.
        key: Key,
        /// The try.
        attempt: Attempt,
        /// The digest of the request body.
        body: Digest,
        /// The agent that asks.
        holder: Holder,
    },
    /// The entry gives up the attempt.
    Abandon {
        /// The call.
        key: Key,
        /// The try.
        attempt: Attempt,
        /// The digest of the request body.
        body: Digest,
    },
    /// The agent gives its grant back without having sent the call.
    Release {
        /// The call.
        key: Key,
        /// The try.
        attempt: Attempt,
        /// Who was granted the start.
        holder: Holder,
    },
    /// The upstream has answered the call.
    Finish {
        /// The call.
        key: Key,
        /// The try.
        attempt: Attempt,
        /// Who was granted the start.
        holder: Holder,
        /// The upstream's answer.
        answer: Answer,
    },
}

/// The reply of the ledger to a write.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// Start: the agent may send the call now.
    Granted,
    /// Start: the attempt was abandoned and must never run.
    Abandoned,
    /// Start or Abandon: an attempt has started and not finished. No other attempt may start.
    Started {
        /// The attempt that has started.
        attempt: Attempt,
    },
    /// Start or Abandon: the call has already run.
    Finished {
        /// The attempt that ran.
        attempt: Attempt,
        /// The stored answer.
        answer: Answer,
    },
    /// Abandon, Release or Finish: the write was recorded.
    Recorded,
    /// The key was used before with a different request body.
    Mismatch,
    /// Release or Finish: the agent does not hold the grant.
    NotHolder,
    /// The ledger, or the entry of the call, is full. Nothing was recorded.
    Full,
}
