//! Eviction of chunks from the spool folder, least recently used first.

use std::collections::{BTreeMap, BTreeSet};

use derive_more::Display;
use domain::digest::Digest;

/// One chunk file of the spool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The file's length in bytes.
    pub bytes: u64,
    /// A counter value that is larger for a more recent use.
    pub used: u64,
}

/// The spool is full.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, derive_more::Error)]
#[display("the spool is full: {needed} bytes are needed, {free} of {limit} can be freed")]
pub struct Full {
    /// The size of the new chunks, in bytes.
    pub needed: u64,
    /// The space that is free or can be freed by eviction, in bytes.
    pub free: u64,
    /// The capacity of the spool, in bytes.
    pub limit: u64,
}

/// The chunks to evict so that `needed` more bytes fit within `limit`.
///
/// Chunks in `kept`, which belong to wanted versions or to versions in service, are never evicted.
///
/// # Errors
///
/// [`Full`] if evicting all other chunks does not free enough space.
pub fn evict(
    entries: &BTreeMap<Digest, Entry>,
    kept: &BTreeSet<Digest>,
    needed: u64,
    limit: u64,
) -> Result<Vec<Digest>, Full> {
    let used: u64 = entries.values().map(|entry| entry.bytes).sum();
    let mut free = limit.saturating_sub(used);
    let mut candidates: Vec<_> = entries
        .iter()
        .filter(|(digest, _)| !kept.contains(digest))
        .collect();
    candidates.sort_by_key(|(digest, entry)| (entry.used, **digest));
    let mut evicted = Vec::new();
    for (digest, entry) in candidates {
        if free >= needed {
            break;
        }
        free += entry.bytes;
        evicted.push(*digest);
    }
    match free >= needed {
        true => Ok(evicted),
        false => Err(Full {
            needed,
            free,
            limit,
        }),
    }
}
