//! Versions that the engine serves, and the orders that change them.

use std::{collections::BTreeMap, fs, path::PathBuf};

use domain::{
    artifact,
    digest::Digest,
    manifest::Manifest,
    order::{Fence, Order, Role},
};
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};

/// The body of `POST /orders`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Request {
    /// The fencing number.
    pub fence: Fence,
    /// What to do.
    pub order: Order,
    /// The manifest's file, for a load.
    #[serde(default)]
    pub manifest: Option<PathBuf>,
    /// The chunks' files in the manifest's order, for a load.
    #[serde(default)]
    pub chunks: Vec<PathBuf>,
}

/// A served version, as `GET /state` tells it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Served {
    /// The version.
    pub artifact: artifact::Id,
    /// The digest of its manifest.
    pub digest: Digest,
}

/// What an order leaves behind.
#[derive(Debug, Default)]
pub struct Store {
    /// The versions that are served.
    pub serving: BTreeMap<artifact::Id, Digest>,
    /// The highest fencing number seen.
    pub fence: Fence,
    /// The role.
    pub role: Role,
}

/// Files that don't make up a version.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The order names no manifest.
    #[snafu(display("the order names no manifest"))]
    NoManifest,
    /// A file can't be read.
    #[snafu(display("could not read {}: {source}", path.display()))]
    Read {
        /// Which one.
        path: PathBuf,
        /// What was seen.
        source: std::io::Error,
    },
    /// The manifest is not one.
    #[snafu(display("not a manifest: {}: {source}", path.display()))]
    Syntax {
        /// Which file.
        path: PathBuf,
        /// What was seen.
        source: serde_json::Error,
    },
    /// The manifest is of another version.
    #[snafu(display("the manifest is of {found}, not of {wanted}"))]
    Foreign {
        /// The version ordered.
        wanted: artifact::Id,
        /// The version in the manifest.
        found: artifact::Id,
    },
    /// The number of chunks is wrong.
    #[snafu(display("{found} chunks instead of {wanted}"))]
    Count {
        /// In the manifest.
        wanted: usize,
        /// In the order.
        found: usize,
    },
    /// A chunk has other bytes than the manifest says.
    #[snafu(display("wrong bytes in {}", path.display()))]
    Corrupt {
        /// Which file.
        path: PathBuf,
    },
}

/// Reads the files of a load order and checks them against the manifest.
///
/// # Errors
///
/// What is wrong with them.
pub fn check(wanted: &artifact::Id, request: &Request) -> Result<Digest, Error> {
    let path = request.manifest.clone().ok_or(Error::NoManifest)?;
    let bytes = fs::read(&path).context(ReadSnafu { path: &path })?;
    let manifest = Manifest::from_json(&bytes).context(SyntaxSnafu { path: &path })?;
    if manifest.artifact != *wanted {
        return Err(Error::Foreign {
            wanted: wanted.clone(),
            found: manifest.artifact,
        });
    }
    if manifest.chunks.len() != request.chunks.len() {
        return Err(Error::Count {
            wanted: manifest.chunks.len(),
            found: request.chunks.len(),
        });
    }
    for (chunk, path) in manifest.chunks.iter().zip(&request.chunks) {
        let content = fs::read(path).context(ReadSnafu { path })?;
        if content.len() != chunk.bytes as usize || Digest::of(&content) != chunk.digest {
            return Err(Error::Corrupt { path: path.clone() });
        }
    }
    Ok(Digest::of(&bytes))
}
