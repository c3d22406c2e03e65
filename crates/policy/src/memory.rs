//! The memory budget of a process: what takes memory takes it from one sum, and each use has a
//! ceiling on that sum. New work is refused long before the sum is reached, so that work which
//! instances already do still gets what it needs. See `docs/design/memory.md`.

use std::{
    fmt,
    sync::{
        Arc,
        atomic::{AtomicU64, AtomicUsize, Ordering},
    },
};

use bytes::Bytes;

/// The part of a process that does not depend on its requests, in bytes: the program, the state
/// that it follows, buffers of its sessions and log.
pub const PROGRAM_BYTES: usize = 48_000_000;
/// What of the rest may be given, in percent. The allocator keeps freed blocks, and each block
/// costs a little more than its bytes.
const GIVEN_PERCENT: usize = 75;
/// The longest body that counts as small, in bytes.
pub const SMALL_BODY_BYTES: usize = 64 * 1024;
/// By how many bytes a buffer of unknown length grows at most, so that little of it is unused.
const MAX_GROWTH_BYTES: usize = 256 * 1024;
/// By how many bytes it grows at least.
const MIN_GROWTH_BYTES: usize = 4 * 1024;

/// The budget in bytes of a process that may have `memory` bytes.
pub fn budget(memory: usize) -> usize {
    memory.saturating_sub(PROGRAM_BYTES) / 100 * GIVEN_PERCENT
}

/// What memory is taken for, in the order in which it is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, derive_more::Display)]
pub enum Use {
    /// The body of a new request that is not small. An entry reads it before anything of the
    /// request runs, and its caller may come again.
    #[display("large body")]
    LargeBody,
    /// A new request with a small body or none.
    #[display("request")]
    Request,
    /// A connection, with the head that may be read on it.
    #[display("connection")]
    Connection,
    /// An answer or an event of a stream: an instance works on it already.
    #[display("answer")]
    Answer,
}

impl Use {
    /// All uses.
    pub const ALL: [Self; 4] = [
        Self::LargeBody,
        Self::Request,
        Self::Connection,
        Self::Answer,
    ];

    /// What the body of a request counts as.
    pub fn body(bytes: usize) -> Self {
        match bytes {
            0..=SMALL_BODY_BYTES => Self::Request,
            _ => Self::LargeBody,
        }
    }

    /// How much of the budget may be in use, in percent, after memory was given for this.
    const fn ceiling_percent(self) -> usize {
        match self {
            Self::LargeBody => 50,
            Self::Request => 65,
            Self::Connection => 80,
            Self::Answer => 100,
        }
    }
}

/// Memory is short.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("memory is short: {bytes} bytes for a {wanted} beside {held} of {budget}")]
pub struct Short {
    /// What it was wanted for.
    pub wanted: Use,
    /// How much was wanted, in bytes.
    pub bytes: usize,
    /// How much was in use, in bytes.
    pub held: usize,
    /// The whole budget, in bytes.
    pub budget: usize,
}

#[derive(Debug, Default)]
struct Counts {
    held: [AtomicUsize; Use::ALL.len()],
    refused: [AtomicU64; Use::ALL.len()],
}

/// The budget of a process. Clones share it.
#[derive(Clone, Debug)]
pub struct Memory {
    budget: usize,
    counts: Arc<Counts>,
}

impl Memory {
    /// A budget of so many bytes, of which none are in use.
    pub fn new(budget: usize) -> Self {
        Self {
            budget,
            counts: Arc::default(),
        }
    }

    /// How many bytes are in use.
    pub fn held(&self) -> usize {
        Use::ALL.iter().map(|wanted| self.held_for(*wanted)).sum()
    }

    /// How many bytes are in use for this.
    pub fn held_for(&self, wanted: Use) -> usize {
        self.counts.held[wanted as usize].load(Ordering::Relaxed)
    }

    /// How often memory was refused for this.
    pub fn refused(&self, wanted: Use) -> u64 {
        self.counts.refused[wanted as usize].load(Ordering::Relaxed)
    }

    /// Takes memory until the grant is dropped.
    ///
    /// # Errors
    ///
    /// If memory is short.
    pub fn take(&self, wanted: Use, bytes: usize) -> Result<Grant, Short> {
        let mut grant = self.none(wanted);
        grant.resize(bytes)?;
        Ok(grant)
    }

    /// A grant of no bytes, which may be resized.
    pub fn none(&self, wanted: Use) -> Grant {
        Grant {
            memory: self.clone(),
            wanted,
            bytes: 0,
        }
    }

    /// A buffer for a known number of bytes, which are taken at once.
    ///
    /// # Errors
    ///
    /// If memory is short.
    pub fn buffer(&self, wanted: Use, bytes: usize) -> Result<Buffer, Short> {
        let grant = self.take(wanted, bytes)?;
        let bytes = Vec::with_capacity(bytes);
        Ok(Buffer { grant, bytes })
    }

    fn check(&self, wanted: Use, bytes: usize) -> Result<(), Short> {
        let held = self.held();
        let ceiling = self.budget / 100 * wanted.ceiling_percent();
        if held.saturating_add(bytes) <= ceiling {
            return Ok(());
        }
        self.counts.refused[wanted as usize].fetch_add(1, Ordering::Relaxed);
        Err(Short {
            wanted,
            bytes,
            held,
            budget: self.budget,
        })
    }
}

/// Memory that is in use. Dropping it gives it back.
pub struct Grant {
    memory: Memory,
    wanted: Use,
    bytes: usize,
}

impl fmt::Debug for Grant {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Grant({}, {} bytes)", self.wanted, self.bytes)
    }
}

impl Grant {
    /// How many bytes it is.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Takes more, or gives a part back.
    ///
    /// # Errors
    ///
    /// If memory is short. What was granted before stays.
    pub fn resize(&mut self, bytes: usize) -> Result<(), Short> {
        let held = &self.memory.counts.held[self.wanted as usize];
        if bytes > self.bytes {
            self.memory.check(self.wanted, bytes - self.bytes)?;
            held.fetch_add(bytes - self.bytes, Ordering::Relaxed);
        } else {
            held.fetch_sub(self.bytes - bytes, Ordering::Relaxed);
        }
        self.bytes = bytes;
        Ok(())
    }

    /// Counts it for another use from now on. A body that turns out to be large is one case.
    ///
    /// # Errors
    ///
    /// If memory is short for that use.
    pub fn resize_as(&mut self, wanted: Use, bytes: usize) -> Result<(), Short> {
        if wanted != self.wanted {
            let counts = &self.memory.counts;
            self.memory
                .check(wanted, bytes.saturating_sub(self.bytes))?;
            counts.held[self.wanted as usize].fetch_sub(self.bytes, Ordering::Relaxed);
            counts.held[wanted as usize].fetch_add(self.bytes, Ordering::Relaxed);
            self.wanted = wanted;
        }
        self.resize(bytes)
    }

    /// Bytes that are counted until their last clone is dropped.
    pub fn cover(self, bytes: Bytes) -> Bytes {
        Bytes::from_owner(Covered {
            bytes,
            _grant: self,
        })
    }
}

impl Drop for Grant {
    fn drop(&mut self) {
        self.memory.counts.held[self.wanted as usize].fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

struct Covered {
    bytes: Bytes,
    _grant: Grant,
}

impl AsRef<[u8]> for Covered {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Bytes that come in parts. Its capacity is what is counted.
#[derive(Debug)]
pub struct Buffer {
    grant: Grant,
    bytes: Vec<u8>,
}

impl Buffer {
    /// How many bytes have come.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Whether none have come.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Adds bytes.
    ///
    /// # Errors
    ///
    /// If memory is short.
    pub fn extend(&mut self, bytes: &[u8]) -> Result<(), Short> {
        let needed = self.bytes.len() + bytes.len();
        if needed > self.bytes.capacity() {
            let growth = needed.clamp(MIN_GROWTH_BYTES, MAX_GROWTH_BYTES);
            let capacity = needed.max(self.bytes.capacity() + growth);
            let wanted = match self.grant.wanted {
                Use::Request => Use::body(capacity),
                wanted => wanted,
            };
            self.grant.resize_as(wanted, capacity)?;
            self.bytes.reserve_exact(capacity - self.bytes.len());
        }
        self.bytes.extend_from_slice(bytes);
        Ok(())
    }

    /// All bytes, which are counted until their last clone is dropped.
    pub fn into_bytes(self) -> Bytes {
        match self.bytes.is_empty() {
            true => Bytes::new(),
            false => self.grant.cover(Bytes::from(self.bytes)),
        }
    }
}
