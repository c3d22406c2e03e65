//! The weights themselves, generated from a few numbers so that every process makes the same.

use std::collections::HashMap;

use bytes::Bytes;
use domain::{
    artifact,
    digest::Digest,
    manifest::{Chunk, Manifest, Pin},
};
use serde::{Deserialize, Serialize};

/// The chunk size of versions that name none, in bytes.
pub const DEFAULT_CHUNK_BYTES: u32 = 1024 * 1024;

/// One version and the numbers from which its bytes follow.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Spec {
    /// The version.
    pub artifact: artifact::Id,
    /// Its length in bytes.
    pub bytes: u64,
    /// The length of each chunk but the last, in bytes.
    #[serde(default = "default_chunk_bytes")]
    pub chunk_bytes: u32,
    /// How many of its first chunks are the same in all versions of the artifact.
    #[serde(default)]
    pub shared_chunks: u32,
    /// Versions of different seeds have different bytes.
    #[serde(default)]
    pub seed: u64,
}

fn default_chunk_bytes() -> u32 {
    DEFAULT_CHUNK_BYTES
}

impl Spec {
    /// A version of the given length with chunks of the default size.
    pub fn new(artifact: artifact::Id, bytes: u64) -> Self {
        Self {
            artifact,
            bytes,
            chunk_bytes: DEFAULT_CHUNK_BYTES,
            shared_chunks: 0,
            seed: 0,
        }
    }

    /// Sets the length of the chunks.
    #[must_use]
    pub fn with_chunk_bytes(mut self, chunk_bytes: u32) -> Self {
        self.chunk_bytes = chunk_bytes.max(1);
        self
    }

    /// Sets how many chunks are the same in all versions of the artifact.
    #[must_use]
    pub fn with_shared_chunks(mut self, shared_chunks: u32) -> Self {
        self.shared_chunks = shared_chunks;
        self
    }

    /// Reads the `name@version:BYTES[:CHUNK_BYTES]` form.
    pub fn parse(text: &str) -> Option<Self> {
        let mut parts = text.split(':');
        let artifact = artifact::Id::parse(parts.next()?)?;
        let spec = Self::new(artifact, parts.next()?.parse().ok()?);
        match (parts.next(), parts.next()) {
            (None, _) => Some(spec),
            (Some(chunk_bytes), None) => Some(spec.with_chunk_bytes(chunk_bytes.parse().ok()?)),
            (Some(_), Some(_)) => None,
        }
    }

    fn recipes(&self) -> impl Iterator<Item = Recipe> {
        let size = u64::from(self.chunk_bytes.max(1));
        (0..self.bytes.div_ceil(size)).map(move |index| {
            let version = match index < u64::from(self.shared_chunks) {
                true => "",
                false => self.artifact.version.as_str(),
            };
            let text = format!("{}/{version}/{index}/{}", self.artifact.name, self.seed);
            Recipe {
                key: *blake3::hash(text.as_bytes()).as_bytes(),
                bytes: u32::try_from(size.min(self.bytes - index * size)).unwrap_or(u32::MAX),
            }
        })
    }
}

/// How to make one chunk again.
#[derive(Clone, Copy, Debug)]
struct Recipe {
    key: [u8; 32],
    bytes: u32,
}

impl Recipe {
    fn make(&self) -> Bytes {
        let mut bytes = vec![0; self.bytes as usize];
        blake3::Hasher::new_keyed(&self.key)
            .finalize_xof()
            .fill(&mut bytes);
        bytes.into()
    }
}

/// Every version that is served.
#[derive(Debug, Default)]
pub struct Library {
    manifests: HashMap<artifact::Id, Bytes>,
    chunks: HashMap<Digest, (artifact::Id, Recipe)>,
}

impl Library {
    /// Adds a version, and says what control would pin.
    pub fn add(&mut self, spec: &Spec) -> Pin {
        let chunks: Vec<Chunk> = spec
            .recipes()
            .map(|recipe| self.add_chunk(&spec.artifact, recipe))
            .collect();
        let manifest = Manifest {
            artifact: spec.artifact.clone(),
            chunks,
        };
        let json: Bytes = serde_json::to_vec(&manifest).unwrap_or_default().into();
        let pin = Pin {
            digest: Digest::of(&json),
            total_bytes: manifest.total_bytes(),
            chunks: u32::try_from(manifest.chunks.len()).unwrap_or(u32::MAX),
        };
        self.manifests.insert(spec.artifact.clone(), json);
        pin
    }

    fn add_chunk(&mut self, artifact: &artifact::Id, recipe: Recipe) -> Chunk {
        let digest = Digest::of(&recipe.make());
        self.chunks
            .entry(digest)
            .or_insert_with(|| (artifact.clone(), recipe));
        Chunk {
            digest,
            bytes: recipe.bytes,
        }
    }

    /// The manifest of a version.
    pub fn manifest(&self, artifact: &artifact::Id) -> Option<Bytes> {
        self.manifests.get(artifact).cloned()
    }

    /// A chunk, and the version in which it first stood.
    pub fn chunk(&self, digest: &Digest) -> Option<(artifact::Id, Bytes)> {
        let (artifact, recipe) = self.chunks.get(digest)?;
        Some((artifact.clone(), recipe.make()))
    }
}
