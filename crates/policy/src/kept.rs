//! Bounds on the memory of answers that are kept until they are whole. An upstream may write
//! without end, so that one answer and all unfinished ones together have a limit.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

use bytes::{Bytes, BytesMut};

/// The size of the blocks in which an answer is kept, in bytes: larger than most answers' parts.
const BLOCK_BYTES: usize = 16 * 1024;

/// The limit that an answer has exceeded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum Exceeded {
    /// The limit of one answer, in bytes.
    #[display("longer than {_0} bytes")]
    One(usize),
    /// The limit of all unfinished answers, in bytes.
    #[display("unfinished answers take more than {_0} bytes")]
    All(usize),
}

/// The bytes of unfinished answers. Clones count together.
#[derive(Clone, Debug)]
pub struct Kept {
    one: usize,
    all: usize,
    bytes: Arc<AtomicUsize>,
}

impl Kept {
    /// No bytes yet, of at most `one` for an answer and `all` for the unfinished ones.
    pub fn new(one: usize, all: usize) -> Self {
        let bytes = Arc::default();
        Self { one, all, bytes }
    }

    /// The share of an answer that begins.
    pub fn share(&self) -> Share {
        Share {
            kept: self.clone(),
            blocks: Vec::new(),
            bytes: 0,
        }
    }
}

/// The bytes of one unfinished answer. Dropping it gives them back.
///
/// They are kept in blocks: a single buffer that grows takes up to twice its bytes, and is copied.
#[derive(Debug)]
pub struct Share {
    kept: Kept,
    blocks: Vec<BytesMut>,
    bytes: usize,
}

impl Share {
    /// Adds bytes to the answer.
    ///
    /// # Errors
    ///
    /// The limit that is exceeded by them; the answer must be given up.
    pub fn extend(&mut self, mut bytes: &[u8]) -> Result<(), Exceeded> {
        let Kept { one, all, .. } = self.kept;
        let count = bytes.len();
        self.bytes += count;
        let sum = self.kept.bytes.fetch_add(count, Ordering::Relaxed) + count;
        match () {
            () if self.bytes > one => return Err(Exceeded::One(one)),
            () if sum > all => return Err(Exceeded::All(all)),
            () => {}
        }
        while !bytes.is_empty() {
            let room = self
                .blocks
                .last()
                .map_or(0, |block| BLOCK_BYTES - block.len());
            let (part, rest) = bytes.split_at(room.min(bytes.len()));
            match self.blocks.last_mut() {
                Some(block) if room > 0 => block.extend_from_slice(part),
                _ => self.blocks.push(BytesMut::with_capacity(BLOCK_BYTES)),
            }
            bytes = rest;
        }
        Ok(())
    }

    /// The whole answer, which is counted no longer.
    pub fn into_bytes(mut self) -> Bytes {
        let mut blocks = std::mem::take(&mut self.blocks);
        match blocks.len() {
            0 | 1 => blocks.pop().unwrap_or_default().freeze(),
            _ => {
                let mut whole = BytesMut::with_capacity(self.bytes);
                blocks
                    .iter()
                    .for_each(|block| whole.extend_from_slice(block));
                whole.freeze()
            }
        }
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        self.kept.bytes.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
