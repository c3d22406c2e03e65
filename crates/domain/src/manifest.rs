//! Manifests: the ordered chunks that make up one version of an artifact.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::{artifact, digest::Digest};

/// The largest accepted chunk, in bytes.
pub const MAX_CHUNK_BYTES: u32 = 16 * 1024 * 1024;
/// The largest accepted manifest, in bytes.
pub const MAX_MANIFEST_BYTES: usize = 16 * 1024 * 1024;

/// One piece of an artifact, named by its content.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, JsonSchema)]
pub struct Chunk {
    /// The digest of the piece.
    pub digest: Digest,
    /// Its length in bytes.
    pub bytes: u32,
}

/// The pieces of one version, in order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Manifest {
    /// The version that the pieces make up.
    pub artifact: artifact::Id,
    /// The pieces in order.
    pub chunks: Vec<Chunk>,
}

impl Manifest {
    /// The sum of all pieces, in bytes.
    pub fn total_bytes(&self) -> u64 {
        self.chunks.iter().map(|chunk| u64::from(chunk.bytes)).sum()
    }

    /// Reads the JSON form.
    pub fn from_json(bytes: &[u8]) -> Result<Self, serde_json::Error> {
        serde_json::from_slice(bytes)
    }
}

/// What control keeps of a manifest: enough to tell a changed one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Pin {
    /// The digest of the manifest's bytes as the origin served them.
    pub digest: Digest,
    /// The sum of all chunks, in bytes.
    pub total_bytes: u64,
    /// How many chunks there are.
    pub chunks: u32,
}
