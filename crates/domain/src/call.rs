//! Calls, their attempts and outcomes, and the errors reported to callers.

use derive_more::{Display, From};
use serde::{Deserialize, Serialize};

use crate::{artifact, name};

/// The id of one attempt to run a call on one upstream. The upstream must echo it.
#[derive(
    Clone, Copy, Debug, Display, From, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{_0:032x}")]
pub struct Attempt(u128);

impl Attempt {
    /// Parses the hexadecimal form. Returns `None` if the text is not a hexadecimal number that
    /// fits into 128 bits.
    pub fn parse(text: &str) -> Option<Self> {
        u128::from_str_radix(text, 16).ok().map(Self)
    }
}

/// Whether a call that got no complete answer was executed.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// No upstream ran the call.
    #[display("not-run")]
    NotRun,
    /// An upstream ran the call.
    #[display("ran")]
    Ran,
    /// An upstream may or may not have run the call.
    #[display("unknown")]
    Unknown,
}

/// The processing step at which a call failed.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
#[display(rename_all = "kebab-case")]
pub enum Step {
    /// Reading the caller's request.
    Receive,
    /// Checking the caller's key.
    Authenticate,
    /// Resolving the model, adapter or service that the customer's plan permits.
    Resolve,
    /// Choosing an upstream.
    Choose,
    /// Connecting to the agent.
    Connect,
    /// Waiting in the agent's admission queue.
    Queue,
    /// Reading from or writing to the ledger.
    Ledger,
    /// Sending the call to the upstream.
    Send,
    /// Waiting for the upstream's answer.
    Run,
    /// Forwarding the answer to the caller.
    Answer,
}

/// The peer at which a call failed.
#[derive(Clone, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Peer {
    /// The caller itself.
    #[display("caller")]
    Caller,
    /// The entry that reports the failure.
    #[display("entry")]
    Entry,
    /// The agent on a VM.
    #[display("agent {_0}")]
    Agent(name::Vm),
    /// The upstream on a VM.
    #[display("upstream {_0}")]
    Upstream(name::Vm),
    /// The control service.
    #[display("control")]
    Control,
}

/// A failed call as reported to the caller, sent as an `application/problem+json` body.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[display("{detail} ({outcome} at {step}, {peer})")]
pub struct Problem {
    /// The HTTP status.
    pub status: u16,
    /// A description of the failure.
    pub detail: String,
    /// Whether the call was executed.
    pub outcome: Outcome,
    /// The step that failed.
    pub step: Step,
    /// The peer at which the step failed.
    pub peer: Peer,
    /// How long to wait before a retry, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

/// The model and adapter versions to which a call is pinned when it is admitted. Retries and
/// resumed streams use the same ones.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Target {
    /// The model and its version.
    pub model: artifact::Id,
    /// The adapter and its version, if one was asked for.
    pub adapter: Option<artifact::Id>,
}
