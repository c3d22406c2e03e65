//! The chunks that this agent holds in memory, verified, for its engine and for other agents.

use std::{cell::RefCell, collections::HashMap, time::Duration};

use bytes::Bytes;
use domain::digest::Digest;
use tokio::{sync::Notify, time};

use crate::port::Manifest;

/// Which chunks of a version are held.
pub(crate) struct Held {
    /// How many.
    pub(crate) count: u64,
    /// One bit for each chunk in order, the lowest bit of each byte first.
    pub(crate) bitmap: Vec<u8>,
}

/// Verified chunks by digest, and the versions that they make up.
#[derive(Default)]
pub(crate) struct Shelf {
    chunks: RefCell<HashMap<Digest, Bytes>>,
    versions: RefCell<HashMap<Digest, Manifest>>,
    added: Notify,
}

impl Shelf {
    /// A chunk, if it is held.
    pub(crate) fn get(&self, digest: &Digest) -> Option<Bytes> {
        self.chunks.borrow().get(digest).cloned()
    }

    /// Holds a chunk.
    pub(crate) fn put(&self, digest: Digest, chunk: Bytes) {
        self.chunks.borrow_mut().insert(digest, chunk);
        self.added.notify_waiters();
    }

    /// Makes a version known under a key, by the list of its chunks.
    pub(crate) fn open(&self, version: Digest, manifest: Manifest) {
        self.versions.borrow_mut().insert(version, manifest);
        self.added.notify_waiters();
    }

    /// Forgets the list of a version.
    pub(crate) fn forget(&self, version: &Digest) {
        self.versions.borrow_mut().remove(version);
    }

    /// The list of a version's chunks, as soon as it is known, or nothing after `limit`.
    pub(crate) async fn manifest(&self, version: &Digest, limit: Duration) -> Option<Manifest> {
        self.wait(version, 0, limit).await?;
        self.versions.borrow().get(version).cloned()
    }

    /// Drops every version but the given one, and the chunks that it does not have.
    pub(crate) fn keep(&self, version: &Digest) {
        let mut versions = self.versions.borrow_mut();
        versions.retain(|other, _| other == version);
        let kept = versions.get(version).map(|manifest| &manifest.digests);
        self.chunks
            .borrow_mut()
            .retain(|digest, _| kept.is_some_and(|kept| kept.contains(digest)));
    }

    /// What is held of a version, or nothing if it is not known.
    pub(crate) fn held(&self, version: &Digest) -> Option<Held> {
        let versions = self.versions.borrow();
        let digests = &versions.get(version)?.digests;
        let chunks = self.chunks.borrow();
        let mut bitmap = vec![0; digests.len().div_ceil(8)];
        let mut count = 0;
        for (index, digest) in digests.iter().enumerate() {
            if chunks.contains_key(digest) {
                bitmap[index / 8] |= 1 << (index % 8);
                count += 1;
            }
        }
        Some(Held { count, bitmap })
    }

    /// What is held of a version, as soon as it is something else than `known` chunks, at the
    /// latest after `limit`.
    pub(crate) async fn wait(&self, version: &Digest, known: u64, limit: Duration) -> Option<Held> {
        let changed = async {
            loop {
                let added = self.added.notified();
                let held = self.held(version);
                if held.as_ref().map_or(0, |held| held.count + 1) != known {
                    return held;
                }
                added.await;
            }
        };
        match time::timeout(limit, changed).await {
            Ok(held) => held,
            Err(_) => self.held(version),
        }
    }
}
