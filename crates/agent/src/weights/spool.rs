//! The folder of verified chunks and manifests.
//!
//! A file gets its final name only after its bytes are synced, so a crash leaves whole files and
//! unnamed rests. What a file holds is still verified before it counts, since disks lie.

use std::{
    collections::{BTreeMap, BTreeSet},
    fs::{self, File},
    io::{ErrorKind, Write},
    path::{Path, PathBuf},
    sync::Arc,
};

use bytes::Bytes;
use domain::{digest::Digest, manifest::Chunk};
use parking_lot::Mutex;
use policy::spool::{Entry, evict};
use snafu::ResultExt;

use super::error::{Error, FullSnafu, SpoolSnafu};

/// The spool. Clones share it; its methods block on the disk.
#[derive(Clone)]
pub(super) struct Spool {
    root: Arc<Path>,
    limit: u64,
    entries: Arc<Mutex<Entries>>,
}

#[derive(Default)]
struct Entries {
    chunks: BTreeMap<Digest, Entry>,
    uses: u64,
}

impl Spool {
    /// Opens the folder and counts what lies in it. Rests of a crash are removed.
    pub(super) fn open(root: &Path, limit: u64) -> Result<Self, Error> {
        let spool = Self {
            root: root.into(),
            limit,
            entries: Arc::default(),
        };
        for folder in [spool.chunks(), spool.manifests(), spool.rests()] {
            fs::create_dir_all(&folder).context(SpoolSnafu {
                step: "create the folder",
                path: &folder,
            })?;
        }
        spool.remove_rests()?;
        spool.count()?;
        Ok(spool)
    }

    fn chunks(&self) -> PathBuf {
        self.root.join("chunks")
    }

    fn manifests(&self) -> PathBuf {
        self.root.join("manifests")
    }

    fn rests(&self) -> PathBuf {
        self.root.join("partial")
    }

    /// The file of a chunk.
    pub(super) fn chunk_path(&self, digest: &Digest) -> PathBuf {
        self.chunks().join(digest.to_string())
    }

    /// The file of a manifest.
    pub(super) fn manifest_path(&self, digest: &Digest) -> PathBuf {
        self.manifests().join(digest.to_string())
    }

    fn remove_rests(&self) -> Result<(), Error> {
        for path in list(&self.rests())? {
            remove(&path)?;
        }
        Ok(())
    }

    fn count(&self) -> Result<(), Error> {
        let mut entries = self.entries.lock();
        for path in list(&self.chunks())? {
            let name = path.file_name().and_then(|name| name.to_str());
            let digest = name.and_then(|name| name.parse().ok());
            let bytes = fs::metadata(&path).map(|file| file.len());
            match (digest, bytes) {
                (Some(digest), Ok(bytes)) => {
                    entries.chunks.insert(digest, Entry { bytes, used: 0 });
                }
                _ => remove(&path)?,
            }
        }
        Ok(())
    }

    /// The bytes of a manifest, if a file with exactly those lies here.
    pub(super) fn read_manifest(&self, digest: &Digest) -> Option<Bytes> {
        let bytes = fs::read(self.manifest_path(digest)).ok()?;
        (Digest::of(&bytes) == *digest).then(|| bytes.into())
    }

    /// Every manifest that lies here whole.
    pub(super) fn read_manifests(&self) -> Vec<Bytes> {
        list(&self.manifests())
            .unwrap_or_default()
            .iter()
            .filter_map(|path| path.file_name()?.to_str()?.parse().ok())
            .filter_map(|digest| self.read_manifest(&digest))
            .collect()
    }

    /// Writes a manifest, synced.
    pub(super) fn write_manifest(&self, digest: &Digest, bytes: &[u8]) -> Result<(), Error> {
        self.write(&self.manifest_path(digest), bytes)?;
        sync_folder(&self.manifests())
    }

    /// Removes a manifest.
    pub(super) fn remove_manifest(&self, digest: &Digest) -> Result<(), Error> {
        remove(&self.manifest_path(digest))
    }

    /// Verifies the file of a chunk by its digest; one that fails is removed.
    pub(super) fn verify(&self, chunk: &Chunk) -> bool {
        if !self.entries.lock().chunks.contains_key(&chunk.digest) {
            return false;
        }
        let is_whole = fs::read(self.chunk_path(&chunk.digest))
            .is_ok_and(|bytes| Digest::of(&bytes) == chunk.digest);
        match is_whole {
            true => self.touch(&chunk.digest),
            // What can't be removed stays counted and is evicted later.
            false => {
                let _ = self.remove(&chunk.digest);
            }
        }
        is_whole
    }

    /// The bytes of a chunk that was verified.
    pub(super) fn read(&self, digest: &Digest) -> Option<Bytes> {
        fs::read(self.chunk_path(digest)).ok().map(Bytes::from)
    }

    /// Writes a verified chunk, synced.
    pub(super) fn store(&self, digest: &Digest, bytes: &[u8]) -> Result<(), Error> {
        self.write(&self.chunk_path(digest), bytes)?;
        let mut entries = self.entries.lock();
        entries.uses += 1;
        let entry = Entry {
            bytes: bytes.len() as u64,
            used: entries.uses,
        };
        entries.chunks.insert(*digest, entry);
        Ok(())
    }

    /// Makes the names of all chunks durable. A version counts as held only after that.
    pub(super) fn sync(&self) -> Result<(), Error> {
        sync_folder(&self.chunks())
    }

    /// Every chunk with a file.
    pub(super) fn held(&self) -> Vec<Digest> {
        self.entries.lock().chunks.keys().copied().collect()
    }

    /// The bytes of the chunks that have no file yet.
    pub(super) fn missing_bytes(&self, chunks: &[Chunk]) -> u64 {
        let entries = self.entries.lock();
        let missing: BTreeMap<_, _> = chunks
            .iter()
            .filter(|chunk| !entries.chunks.contains_key(&chunk.digest))
            .map(|chunk| (chunk.digest, u64::from(chunk.bytes)))
            .collect();
        missing.values().sum()
    }

    /// Evicts chunks outside `kept` until `needed` more bytes fit, and says which.
    pub(super) fn make_room(
        &self,
        needed: u64,
        kept: &BTreeSet<Digest>,
    ) -> Result<Vec<Digest>, Error> {
        let evicted = {
            let entries = self.entries.lock();
            evict(&entries.chunks, kept, needed, self.limit).context(FullSnafu)?
        };
        evicted.iter().try_for_each(|digest| self.remove(digest))?;
        Ok(evicted)
    }

    /// Removes a chunk.
    pub(super) fn remove(&self, digest: &Digest) -> Result<(), Error> {
        remove(&self.chunk_path(digest))?;
        self.entries.lock().chunks.remove(digest);
        Ok(())
    }

    /// Removes the chunks outside `kept` from a version that was dropped before it was whole.
    pub(super) fn discard(&self, chunks: &[Chunk], kept: &BTreeSet<Digest>) -> Result<(), Error> {
        let is_here = |digest: &Digest| self.entries.lock().chunks.contains_key(digest);
        chunks
            .iter()
            .map(|chunk| &chunk.digest)
            .filter(|digest| !kept.contains(*digest) && is_here(digest))
            .try_for_each(|digest| self.remove(digest))
    }

    fn touch(&self, digest: &Digest) {
        let mut entries = self.entries.lock();
        entries.uses += 1;
        let uses = entries.uses;
        if let Some(entry) = entries.chunks.get_mut(digest) {
            entry.used = uses;
        }
    }

    fn write(&self, path: &Path, bytes: &[u8]) -> Result<(), Error> {
        let partial = match path.file_name() {
            Some(name) => self.rests().join(name),
            None => return Ok(()),
        };
        let attempt = || {
            let mut file = File::create(&partial)?;
            file.write_all(bytes)?;
            file.sync_data()?;
            fs::rename(&partial, path)
        };
        attempt().context(SpoolSnafu {
            step: "write",
            path,
        })
    }
}

fn list(folder: &Path) -> Result<Vec<PathBuf>, Error> {
    let context = SpoolSnafu {
        step: "list the folder",
        path: folder,
    };
    let files = fs::read_dir(folder).context(context)?;
    files
        .map(|file| file.map(|file| file.path()))
        .collect::<Result<_, _>>()
        .context(context)
}

fn remove(path: &Path) -> Result<(), Error> {
    match fs::remove_file(path) {
        Err(error) if error.kind() != ErrorKind::NotFound => Err(error).context(SpoolSnafu {
            step: "remove",
            path,
        }),
        _ => Ok(()),
    }
}

fn sync_folder(folder: &Path) -> Result<(), Error> {
    File::open(folder)
        .and_then(|folder| folder.sync_all())
        .context(SpoolSnafu {
            step: "sync the folder",
            path: folder,
        })
}
