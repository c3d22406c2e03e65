//! Keys of callers, operators and processes: only their digests are kept, compared in constant time.

use subtle::ConstantTimeEq;

use crate::digest::Digest;

/// Whether `presented` is the key whose digest is `expected`, in time independent of the content.
pub fn is_match(presented: &str, expected: &Digest) -> bool {
    let digest = Digest::of(presented.as_bytes());
    digest.as_bytes().ct_eq(expected.as_bytes()).into()
}
