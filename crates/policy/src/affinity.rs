//! Rendezvous hashing: assigns keys to the members of a set. When a member joins or leaves,
//! only its own keys move.
//!
//! See `docs/ARCHITECTURE.md`, "Choice of upstream".

use domain::digest::Digest;

/// The length of the prompt prefix that determines the affinity, in bytes.
pub const PREFIX_BYTES: usize = 1_024;

/// A point in the hash space.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Point(u64);

impl Point {
    /// Returns the point of a byte string.
    pub fn of(bytes: &[u8]) -> Self {
        let [a, b, c, d, e, f, g, h, ..] = *Digest::of(bytes).as_bytes();
        Self(u64::from_le_bytes([a, b, c, d, e, f, g, h]))
    }

    /// Returns the point of a prompt's prefix, so that prompts with the same prefix are sent to the
    /// same upstream.
    pub fn of_prefix(prompt: &[u8]) -> Self {
        Self::of(&prompt[..prompt.len().min(PREFIX_BYTES)])
    }

    /// Returns the weight of `member` for this key. The member with the highest weight owns the
    /// key.
    pub fn weight(self, member: Self) -> u64 {
        mix(self.0 ^ mix(member.0))
    }
}

/// The finalizer of MurmurHash3: every input bit changes about half of the output bits.
fn mix(mut x: u64) -> u64 {
    x ^= x >> 33;
    x = x.wrapping_mul(0xff51_afd7_ed55_8ccd);
    x ^= x >> 33;
    x = x.wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    x ^ (x >> 33)
}
