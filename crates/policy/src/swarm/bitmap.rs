//! Sets of chunks of one manifest, in the wire format.

/// A set of chunks: one bit for each chunk in the manifest's order, the lowest bit of each byte
/// first.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Bitmap {
    bytes: Vec<u8>,
    len: usize,
    count: usize,
}

impl Bitmap {
    /// The empty set over `len` chunks.
    pub fn new(len: usize) -> Self {
        Self {
            bytes: vec![0; len.div_ceil(8)],
            len,
            count: 0,
        }
    }

    /// Decodes a set over `len` chunks. Missing bytes count as zero. Bits beyond `len` are ignored,
    /// so that a peer can't name chunks that the manifest does not have.
    pub fn from_bytes(bytes: &[u8], len: usize) -> Self {
        let mut bitmap = Self::new(len);
        (0..len)
            .filter(|index| {
                bytes
                    .get(index / 8)
                    .is_some_and(|byte| byte & (1 << (index % 8)) != 0)
            })
            .for_each(|index| {
                bitmap.insert(index);
            });
        bitmap
    }

    /// The set in the wire format.
    pub fn as_bytes(&self) -> &[u8] {
        &self.bytes
    }

    /// Whether a chunk is in the set.
    pub fn contains(&self, index: usize) -> bool {
        index < self.len && self.bytes[index / 8] & (1 << (index % 8)) != 0
    }

    /// Adds a chunk, and returns whether it was not in the set before.
    pub fn insert(&mut self, index: usize) -> bool {
        let is_new = index < self.len && !self.contains(index);
        if is_new {
            self.bytes[index / 8] |= 1 << (index % 8);
            self.count += 1;
        }
        is_new
    }

    /// Removes a chunk, and returns whether it was in the set.
    pub fn remove(&mut self, index: usize) -> bool {
        let was_in = self.contains(index);
        if was_in {
            self.bytes[index / 8] &= !(1 << (index % 8));
            self.count -= 1;
        }
        was_in
    }

    /// The number of chunks in the set.
    pub fn count(&self) -> usize {
        self.count
    }

    /// Whether every chunk is in the set.
    pub fn is_full(&self) -> bool {
        self.count == self.len
    }

    /// The chunks in the set.
    pub fn iter(&self) -> impl Iterator<Item = usize> {
        (0..self.len).filter(|index| self.contains(*index))
    }

    /// The chunks that are not in the set.
    pub fn missing(&self) -> impl Iterator<Item = usize> {
        (0..self.len).filter(|index| !self.contains(*index))
    }
}
