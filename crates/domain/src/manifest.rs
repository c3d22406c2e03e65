//! Manifests, which list the chunks of one version of an artifact in order.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::{artifact, digest::Digest};

/// The largest accepted chunk, in bytes.
pub const MAX_CHUNK_BYTES: u32 = 16 * 1024 * 1024;
/// The largest accepted manifest, in bytes.
pub const MAX_MANIFEST_BYTES: usize = 16 * 1024 * 1024;

/// A chunk of an artifact, identified by the digest of its content.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, JsonSchema)]
pub struct Chunk {
    /// The digest of the content.
    pub digest: Digest,
    /// The length in bytes.
    pub bytes: u32,
}

/// The chunks of one version of an artifact.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Manifest {
    /// The artifact that the chunks make up.
    pub artifact: artifact::Id,
    /// The chunks in order.
    pub chunks: Vec<Chunk>,
}

impl Manifest {
    /// The total length of all chunks, in bytes.
    pub fn total_bytes(&self) -> u64 {
        self.chunks.iter().map(|chunk| u64::from(chunk.bytes)).sum()
    }

    /// Parses the JSON form.
    pub fn from_json(bytes: &[u8]) -> Result<Self, serde_json::Error> {
        serde_json::from_slice(bytes)
    }
}

/// The summary of a manifest that control stores to detect a later change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Pin {
    /// The digest of the manifest's bytes as the origin served them.
    pub digest: Digest,
    /// The total length of all chunks, in bytes.
    pub total_bytes: u64,
    /// The number of chunks.
    pub chunks: u32,
}
