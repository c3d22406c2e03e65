//! The borders to the engine beside the agent and to the origin of weights.

use std::ops::Range;

use bytes::Bytes;
use domain::{digest::Digest, name};
use futures::future::LocalBoxFuture;
use policy::loading::Reply;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// A call got no good answer.
#[derive(Debug, Snafu)]
#[snafu(display("could not {step}: {reason}"), visibility(pub))]
pub struct Error {
    /// What was asked.
    pub step: &'static str,
    /// What was seen.
    pub reason: String,
}

/// A call's answer.
pub type Answer<'a, T> = LocalBoxFuture<'a, Result<T, Error>>;

/// What the engine says of itself.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    /// Each model that it serves alone, with the version.
    pub serving: Vec<(name::Artifact, u64)>,
    /// Whether an order is in progress.
    pub is_busy: bool,
    /// How many orders it has begun since its start, if it says so.
    pub orders: Option<u64>,
    /// How loaded it is, if it says so.
    pub figures: Option<Figures>,
}

/// How loaded an engine is.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Figures {
    /// Requests in the running batch.
    pub active: u32,
    /// Requests that wait for a place in the batch.
    pub queued: u32,
    /// Tokens that the context memory holds.
    pub kv_used: u64,
    /// Tokens that the context memory can hold.
    pub kv_total: u64,
    /// Duration of a step relative to that of a healthy engine.
    pub pace: f64,
}

impl Report {
    /// The version of a model that it serves.
    pub fn version_of(&self, model: &name::Artifact) -> Option<u64> {
        let found = self.serving.iter().find(|(served, _)| served == model);
        found.map(|(_, version)| *version)
    }
}

/// The engine beside the agent.
pub trait Engine {
    /// What the engine says of itself, fresh. `layers` is how many a whole model has.
    fn report(&self, layers: u32) -> Answer<'_, Report>;
    /// The chunks that lie staged for a model, of whatever version.
    fn staged<'a>(&'a self, model: &'a name::Artifact) -> Answer<'a, Vec<usize>>;
    /// A staged chunk, or nothing if there is none.
    fn read<'a>(&'a self, model: &'a name::Artifact, index: usize) -> Answer<'a, Option<Bytes>>;
    /// Stages a chunk in the place of what lay there.
    fn write<'a>(&'a self, model: &'a name::Artifact, index: usize, chunk: Bytes)
    -> Answer<'a, ()>;
    /// Orders the engine to load some layers of the `count` that the model has from what is staged
    /// when it accepts the order, and to give up the others. It answers within
    /// [`policy::loading::ANSWER_LIMIT`].
    ///
    /// # Errors
    ///
    /// [`Error`] if no answer came. The engine may accept the order later.
    fn load<'a>(
        &'a self,
        model: &'a name::Artifact,
        version: u64,
        layers: Range<u32>,
        count: u32,
    ) -> Answer<'a, Reply>;
}

/// A version's chunks as the origin lists them. Nothing vouches for the list but the origin.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Manifest {
    /// The version.
    pub version: u64,
    /// The length of each chunk, in bytes.
    pub chunk_bytes: usize,
    /// The digests of the chunks, in order.
    pub digests: Vec<Digest>,
}

/// The origin of weights. What it sends may be corrupt or cut off.
pub trait Origin {
    /// The list of a version's chunks.
    fn manifest<'a>(&'a self, model: &'a name::Artifact, version: u64) -> Answer<'a, Manifest>;
    /// A chunk, not verified.
    fn chunk<'a>(
        &'a self,
        model: &'a name::Artifact,
        version: u64,
        index: usize,
    ) -> Answer<'a, Bytes>;
    /// The digest of bytes, in the way of the origin's lists.
    fn digest(&self, bytes: &[u8]) -> Digest;
}
