//! Routing, which maps requests to services and defines limits and permitted callers.
//!
//! An operator replaces the whole routing at once. See `docs/PLATFORM.md`, "Routing".

use std::{net::SocketAddr, sync::Arc};

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::{digest::Digest, name, violation::Violation};

/// A routing in the encoding in which the operator sent it, so that it can be read back unchanged.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// The version number that the operator gave the routing. The highest one is in force.
    pub version: u64,
    /// The routing, as encoded by the implementation of [`Format`].
    #[serde(with = "serde_bytes")]
    #[schemars(with = "Vec<u8>")]
    pub content: Vec<u8>,
}

/// A decoder for one document format. The process that runs control provides it, and calls it on
/// other threads than its own.
pub trait Format: Send + Sync {
    /// Decodes and validates a document.
    ///
    /// # Errors
    ///
    /// Everything that is wrong with the document, each with its JSON path.
    fn read(&self, document: &Document) -> Result<Table, Vec<Violation>>;
}

/// A decoded routing.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Table {
    /// The routes.
    pub routes: Vec<Route>,
    /// The services to which the routes lead.
    pub services: Vec<Service>,
    /// Whether requests need the key of a caller on routes that are not public. The operator says
    /// so; it doesn't follow from the number of callers, so that taking the last one away opens
    /// nothing.
    pub needs_key: bool,
    /// The callers that may send requests.
    pub callers: Vec<Caller>,
    /// The limits on callers' connections.
    pub limits: Limits,
}

/// A route, which matches requests for one host and path prefix.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// The name of the route.
    pub name: name::Route,
    /// The host, without a port.
    pub host: Arc<str>,
    /// The path prefix. The longest matching prefix wins.
    pub prefix: Arc<str>,
    /// Whether requests may be repeated.
    pub kind: Kind,
    /// The timeout of a request, in milliseconds.
    pub timeout_ms: u32,
    /// The target for the time to the first byte of the answer, in milliseconds.
    pub target_ms: u32,
    /// The target for the longest pause in a stream, in milliseconds.
    pub pause_ms: Option<u32>,
    /// The priority. 0 is the most urgent.
    pub priority: u8,
    /// The maximum number of upstreams to which a request is sent.
    pub attempts: u32,
    /// Whether callers need no key.
    pub is_public: bool,
    /// The services that answer the requests, with their weights.
    pub shares: Vec<Share>,
    /// The regions in which requests may be answered. Empty means all.
    pub regions: Vec<name::Region>,
}

impl Route {
    /// The host followed by the path prefix, which is unique among the routes.
    pub fn key(&self) -> Arc<str> {
        format!("{}{}", self.host, self.prefix).into()
    }
}

/// The retry semantics of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// The request may run more than once.
    Idempotent,
    /// The request runs at most once.
    Once,
    /// The answer is a stream of events.
    Stream {
        /// Whether another upstream may continue the stream after the last event received.
        is_resumable: bool,
    },
}

impl Kind {
    /// Whether a request that may have run may be sent again.
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { is_resumable: true })
    }

    /// Whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// The share of a route's requests that a service gets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Share {
    /// The service.
    pub service: name::Service,
    /// The weight relative to the other shares. With 0 the service gets no requests.
    pub weight: u32,
}

/// A service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// The name of the service.
    pub name: name::Service,
    /// The maximum number of connections to one instance, from all entries together.
    pub max_connections: u32,
    /// The reduced load on an instance that has just started, if it needs one.
    pub cold: Option<Warmup>,
    /// The properties of the model engines, if the service is made of such.
    pub engine: Option<Engine>,
    /// The address from which weights are fetched, if the service is their origin.
    pub origin: Option<SocketAddr>,
}

/// The reduced load on an instance that has just started.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Warmup {
    /// How long an instance is cold after its start, in milliseconds.
    pub span_ms: u32,
    /// The request rate that a cold instance takes from all entries together, in thousandths of a
    /// request per second.
    pub millicalls_per_s: u64,
}

/// The properties of the model engines of a service, as their operator describes them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Engine {
    /// The models that the engines serve.
    pub models: Vec<name::Artifact>,
    /// The maximum number of concurrent requests.
    pub slots: u32,
    /// The number of steps in one pass, which is also the number of tokens in an event.
    pub stride: u32,
    /// The duration of a step without requests, in microseconds.
    pub step_us: u32,
    /// The time that each running request adds to a step, in nanoseconds.
    pub sequence_ns: u32,
    /// The time that each 1,000 tokens of context add to a step, in nanoseconds.
    pub context_ns: u32,
    /// The rate at which prompts are processed, in tokens per second.
    pub read_per_s: u32,
    /// The maximum number of prompt tokens processed in a step.
    pub read_chunk: u32,
    /// The number of context tokens that fit into memory.
    pub memory_tokens: u64,
    /// The typical length of a prompt, in tokens.
    pub usual_prompt: u32,
    /// The typical length of an answer, in tokens.
    pub usual_answer: u32,
    /// The number of layers of a model.
    pub layers: u32,
    /// The number of chunks of a version.
    pub chunks: u32,
    /// The length of a chunk, in bytes.
    pub chunk_bytes: u32,
    /// The time to load a complete version, in milliseconds.
    pub load_ms: u32,
}

/// A caller that may send requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Caller {
    /// The customer to which the caller belongs.
    pub name: name::Customer,
    /// Digests of the caller's keys.
    pub key_digests: Vec<Digest>,
    /// The priority, which overrides that of the route.
    pub priority: Option<u8>,
    /// The regions in which the caller's requests may be answered. Empty means all.
    pub regions: Vec<name::Region>,
}

/// The limits on callers' connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// The maximum size of the head of a request, in bytes.
    pub header_bytes: u32,
    /// The maximum size of the body of a request, in bytes.
    pub body_bytes: u32,
    /// The timeout for receiving the head of a request, in milliseconds.
    pub header_timeout_ms: u32,
    /// The time after which an idle connection is closed, in milliseconds.
    pub idle_timeout_ms: u32,
}

impl Default for Limits {
    /// The limits that apply until an operator sets others.
    fn default() -> Self {
        Self {
            header_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}
