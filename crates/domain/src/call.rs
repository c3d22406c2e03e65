//! Calls: their attempts, their outcomes and the reasons why one failed.

use derive_more::{Display, From};
use serde::{Deserialize, Serialize};

use crate::{artifact, name};

/// One try to run a call on one upstream. The upstream must echo it.
#[derive(
    Clone, Copy, Debug, Display, From, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{_0:032x}")]
pub struct Attempt(u128);

impl Attempt {
    /// Reads the hexadecimal form, or nothing when the text has another shape.
    pub fn parse(text: &str) -> Option<Self> {
        u128::from_str_radix(text, 16).ok().map(Self)
    }
}

/// What is known about a call that got no whole answer.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// It is proved that no upstream ran it.
    #[display("not-run")]
    NotRun,
    /// An upstream ran it.
    #[display("ran")]
    Ran,
    /// It can't be told.
    #[display("unknown")]
    Unknown,
}

/// Where in a call's way something went wrong.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
#[display(rename_all = "kebab-case")]
pub enum Step {
    /// Reading the caller's request.
    Receive,
    /// Checking the caller's key.
    Authenticate,
    /// Finding what the plan allows.
    Resolve,
    /// Choosing an upstream.
    Choose,
    /// Reaching the agent.
    Connect,
    /// Waiting for the agent's gate.
    Queue,
    /// Writing or reading the ledger.
    Ledger,
    /// Sending the call to the upstream.
    Send,
    /// Waiting for the upstream's answer.
    Run,
    /// Passing the answer on.
    Answer,
}

/// The kind of peer at which something went wrong.
#[derive(Clone, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Peer {
    /// The caller itself.
    #[display("caller")]
    Caller,
    /// This process.
    #[display("entry")]
    Entry,
    /// The agent on a VM.
    #[display("agent {_0}")]
    Agent(name::Vm),
    /// The upstream on a VM.
    #[display("upstream {_0}")]
    Upstream(name::Vm),
    /// Control.
    #[display("control")]
    Control,
}

/// A failure as callers see it, sent as an `application/problem+json` body.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[display("{detail} ({outcome} at {step}, {peer})")]
pub struct Problem {
    /// The HTTP status.
    pub status: u16,
    /// What was seen.
    pub detail: String,
    /// What is known about the call.
    pub outcome: Outcome,
    /// Where it went wrong.
    pub step: Step,
    /// At which peer.
    pub peer: Peer,
    /// When another try makes sense, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

/// What a model call was admitted to. It never changes on a retry or a resume.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Target {
    /// The model and its version.
    pub model: artifact::Id,
    /// The adapter and its version, if one was asked for.
    pub adapter: Option<artifact::Id>,
}
