//! The border to the heads of requests and answers: which header says what.

use std::{sync::Arc, time::Duration};

use domain::name;
use http::{HeaderMap, request, response};
use policy::notice::Notice;

/// What the head of a request says.
#[derive(Clone, Debug, Default)]
pub struct Ask {
    /// The caller's id of this request, or nothing if it gave none.
    pub id: Option<Arc<str>>,
    /// How long the caller waits.
    pub patience: Option<Duration>,
    /// The caller's key.
    pub key: Option<Arc<[u8]>>,
    /// The model that should answer.
    pub model: Option<name::Artifact>,
    /// How many prompt tokens there are.
    pub prompt_tokens: u32,
    /// How many tokens the caller expects in the answer.
    pub answer_hint: Option<u32>,
    /// How many tokens the answer has at most.
    pub answer_limit: Option<u32>,
    /// The parts of the prompt, in their order. Requests may share them.
    pub parts: Arc<[name::Part]>,
    /// The last event that the caller has of an earlier answer.
    pub last_event: Option<u64>,
}

/// What the head of a forwarded request says beside what the caller wrote.
#[derive(Clone, Debug)]
pub struct Order<'a> {
    /// How long the caller still waits.
    pub left: Duration,
    /// The only instance that may run it.
    pub instance: &'a name::Instance,
    /// Who asks, if keys are needed.
    pub customer: Option<&'a name::Customer>,
    /// The only version that may answer, if that matters.
    pub version: Option<u64>,
    /// The event after which the answer goes on.
    pub last_event: Option<u64>,
    /// The urgency among the requests that wait at the instance, from 0 (first) to 9, where
    /// requests differ in priority.
    pub urgency: Option<u8>,
}

/// What the head of an instance's answer says.
#[derive(Clone, Debug, Default)]
pub struct Reply {
    /// The id of the request that it answers.
    pub id: Option<Arc<str>>,
    /// Whether the instance did not run the request, and never will.
    pub is_not_run: bool,
    /// Whether it comes from the instance itself.
    pub is_sealed: bool,
    /// The version of the weights that answer.
    pub version: Option<u64>,
    /// What the instance says of itself.
    pub notice: Notice,
}

/// How heads are written.
pub trait Dialect {
    /// Reads the head of a request.
    fn ask(&self, head: &request::Parts) -> Ask;
    /// Writes the head of a forwarded request. The headers are the caller's, without those that
    /// concern one connection only.
    fn order(&self, headers: &mut HeaderMap, order: &Order<'_>);
    /// Reads the head of an answer.
    fn reply(&self, head: &response::Parts) -> Reply;
}
