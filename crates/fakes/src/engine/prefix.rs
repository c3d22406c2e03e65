//! The prompt cache: blocks of prompts, the least recently used ones leave first.

use std::collections::{HashMap, VecDeque};

use domain::digest::Digest;

/// How many characters of a prompt make up a block.
pub const BLOCK_CHARS: usize = 64;

/// A cache of prompt prefixes with a bounded number of blocks.
#[derive(Debug)]
pub struct Cache {
    capacity: usize,
    uses: HashMap<Digest, u64>,
    order: VecDeque<(Digest, u64)>,
    clock: u64,
}

/// How much of a prompt was cached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Hit {
    /// Blocks of the prompt.
    pub blocks: u64,
    /// Blocks found in the cache, from the start on.
    pub cached: u64,
}

impl Cache {
    /// A cache of this many blocks.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            uses: HashMap::new(),
            order: VecDeque::new(),
            clock: 0,
        }
    }

    /// Looks a prompt up and keeps its blocks.
    pub fn touch(&mut self, model: &str, prompt: &str) -> Hit {
        let mut hit = Hit {
            blocks: 0,
            cached: 0,
        };
        let mut is_prefix_cached = true;
        let mut chain = Digest::of(model.as_bytes());
        for block in prompt.as_bytes().chunks(BLOCK_CHARS) {
            chain = Digest::of(&[chain.as_bytes().as_slice(), block].concat());
            is_prefix_cached &= self.keep(chain);
            hit.blocks += 1;
            hit.cached += u64::from(is_prefix_cached);
        }
        self.evict();
        hit
    }

    /// Marks a block as used and says whether it was there.
    fn keep(&mut self, block: Digest) -> bool {
        self.clock += 1;
        self.order.push_back((block, self.clock));
        self.uses.insert(block, self.clock).is_some()
    }

    fn evict(&mut self) {
        while self.uses.len() > self.capacity || self.order.len() > 4 * self.capacity {
            let Some((block, used)) = self.order.pop_front() else {
                return;
            };
            if self.uses.get(&block) == Some(&used) {
                self.uses.remove(&block);
            }
        }
    }
}
