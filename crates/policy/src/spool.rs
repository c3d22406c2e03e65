//! Which chunks may leave the spool folder when it is full.

use std::collections::{BTreeMap, BTreeSet};

use derive_more::Display;
use domain::digest::Digest;

/// One file of the spool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Its length in bytes.
    pub bytes: u64,
    /// Grows with each use; the smallest was not used for longest.
    pub used: u64,
}

/// The spool is full.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, derive_more::Error)]
#[display("the spool is full: {needed} bytes are needed, {free} of {limit} can be freed")]
pub struct Full {
    /// What the new chunks need, in bytes.
    pub needed: u64,
    /// What is free or may be evicted, in bytes.
    pub free: u64,
    /// What the spool may hold, in bytes.
    pub limit: u64,
}

/// The chunks to evict so that `needed` more bytes fit.
///
/// Chunks in `kept`, which belong to wanted versions or to versions in service, are never named.
///
/// # Errors
///
/// [`Full`] if the rest is not enough.
pub fn evict(
    entries: &BTreeMap<Digest, Entry>,
    kept: &BTreeSet<Digest>,
    needed: u64,
    limit: u64,
) -> Result<Vec<Digest>, Full> {
    let used: u64 = entries.values().map(|entry| entry.bytes).sum();
    let mut free = limit.saturating_sub(used);
    let mut spare: Vec<_> = entries
        .iter()
        .filter(|(digest, _)| !kept.contains(digest))
        .collect();
    spare.sort_by_key(|(digest, entry)| (entry.used, **digest));
    let mut evicted = Vec::new();
    for (digest, entry) in spare {
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
