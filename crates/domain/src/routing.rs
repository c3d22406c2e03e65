//! Routing: which service answers which requests, under which limits, and who may ask.
//!
//! An operator replaces the whole routing at once. See `docs/PLATFORM.md`, "Routing".

use std::{net::SocketAddr, sync::Arc};

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::{digest::Digest, name, violation::Violation};

/// A routing as the operator sent it, so that it can be read back as it was.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// The operator's number. The highest one is in force.
    pub version: u64,
    /// The operator's bytes, packed by whoever reads the format.
    #[serde(with = "serde_bytes")]
    #[schemars(with = "Vec<u8>")]
    pub content: Vec<u8>,
}

/// Reads documents of one format. The surroundings of control provide it.
pub trait Format {
    /// The routing that a document describes.
    ///
    /// # Errors
    ///
    /// Everything that is wrong, each with its path.
    fn read(&self, document: &Document) -> Result<Table, Vec<Violation>>;
}

/// The routing that a document describes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Table {
    /// The routes.
    pub routes: Vec<Route>,
    /// The services to which they lead.
    pub services: Vec<Service>,
    /// Who may ask. Without any, nobody needs a key.
    pub callers: Vec<Caller>,
    /// What callers' connections may do.
    pub limits: Limits,
}

/// Requests for one host and path prefix.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// The route's name.
    pub name: name::Route,
    /// The host, without a port.
    pub host: Arc<str>,
    /// The path prefix; the longest one that fits decides.
    pub prefix: Arc<str>,
    /// What may be repeated.
    pub kind: Kind,
    /// The longest time that a caller is kept waiting, in milliseconds.
    pub timeout_ms: u32,
    /// The time to the first byte of the answer that is aimed at, in milliseconds.
    pub target_ms: u32,
    /// The longest pause in a stream that is aimed at, in milliseconds.
    pub pause_ms: Option<u32>,
    /// The rank; 0 is the most urgent.
    pub priority: u8,
    /// To how many upstreams one request may be sent.
    pub attempts: u32,
    /// Whether callers need no key.
    pub is_public: bool,
    /// The services that answer, with their weights.
    pub shares: Vec<Share>,
    /// The only regions in which it may be answered; all when empty.
    pub regions: Vec<name::Region>,
}

impl Route {
    /// The host with the path prefix, which no two routes share.
    pub fn key(&self) -> Arc<str> {
        format!("{}{}", self.host, self.prefix).into()
    }
}

/// What a failure of a request allows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// It may run more than once.
    Idempotent,
    /// It runs at most once.
    Once,
    /// A stream of events.
    Stream {
        /// Whether another upstream may go on after an event.
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

/// A service's part of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Share {
    /// The service.
    pub service: name::Service,
    /// Its weight against the others; 0 takes nothing.
    pub weight: u32,
}

/// A service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Its name.
    pub name: name::Service,
    /// How many connections one instance accepts from all entries together.
    pub max_connections: u32,
    /// How an instance that has just started is spared.
    pub cold: Option<Warmup>,
    /// What is served by model engines.
    pub engine: Option<Engine>,
    /// Where weights come from, if this is their origin.
    pub origin: Option<SocketAddr>,
}

/// What a cold instance bears.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Warmup {
    /// How long it stays cold after its start, in milliseconds.
    pub span_ms: u32,
    /// How many requests it bears in a second, from all entries together, in thousandths.
    pub millicalls_per_s: u64,
}

/// The model engines of a service, as their operator describes them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Engine {
    /// The models that they serve.
    pub models: Vec<name::Artifact>,
    /// How many requests run at once.
    pub slots: u32,
    /// How many steps one pass has, and so how many tokens an event holds.
    pub stride: u32,
    /// The time of a step without any request, in microseconds.
    pub step_us: u32,
    /// What each running request adds to a step, in nanoseconds.
    pub sequence_ns: u32,
    /// What each thousand tokens of context add to a step, in nanoseconds.
    pub context_ns: u32,
    /// How many prompt tokens are read in a second.
    pub read_per_s: u32,
    /// How many prompt tokens a step reads at most.
    pub read_chunk: u32,
    /// How many tokens of context fit into the memory.
    pub memory_tokens: u64,
    /// The usual length of a prompt, in tokens.
    pub usual_prompt: u32,
    /// The usual length of an answer, in tokens.
    pub usual_answer: u32,
    /// How many layers a model has.
    pub layers: u32,
    /// In how many chunks a version comes.
    pub chunks: u32,
    /// The length of a chunk, in bytes.
    pub chunk_bytes: u32,
    /// How long a whole version takes to load, in milliseconds.
    pub load_ms: u32,
}

/// Somebody who may ask.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Caller {
    /// The customer.
    pub name: name::Customer,
    /// Digests of its keys.
    pub key_digests: Vec<Digest>,
    /// The rank, which goes before the route's.
    pub priority: Option<u8>,
    /// The only regions in which it may be served; all when empty.
    pub regions: Vec<name::Region>,
}

/// What callers' connections may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// The longest head of a request, in bytes.
    pub header_bytes: u32,
    /// The longest body of a request, in bytes.
    pub body_bytes: u32,
    /// How long a head may take, in milliseconds.
    pub header_timeout_ms: u32,
    /// How long a connection may be idle, in milliseconds.
    pub idle_timeout_ms: u32,
}

impl Default for Limits {
    /// What holds until an operator says otherwise.
    fn default() -> Self {
        Self {
            header_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}
