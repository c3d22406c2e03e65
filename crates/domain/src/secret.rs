//! Verification of the keys of callers, operators and processes. Only digests of keys are stored.

use subtle::ConstantTimeEq;

use crate::digest::Digest;

/// Whether `presented` is the key whose digest is `expected`. The comparison takes constant time.
pub fn is_match(presented: &str, expected: &Digest) -> bool {
    let digest = Digest::of(presented.as_bytes());
    digest.as_bytes().ct_eq(expected.as_bytes()).into()
}
