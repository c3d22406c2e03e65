//! Operators' keys.

use std::sync::Arc;

use domain::{digest::Digest, secret};

/// An operator and the digest of its key.
#[derive(Clone, Debug)]
pub struct Operator {
    /// The name, for the history.
    pub name: Arc<str>,
    /// The digest of the key.
    pub key_digest: Digest,
}

/// Everybody who may use the interface.
#[derive(Clone, Debug)]
pub struct Access {
    operators: Arc<[Operator]>,
}

impl Access {
    /// Lets the given operators in.
    pub fn new(operators: impl Into<Arc<[Operator]>>) -> Self {
        Self {
            operators: operators.into(),
        }
    }

    /// The operator who holds the key. Every digest is compared, so that the time tells nothing.
    pub fn operator(&self, key: &str) -> Option<Arc<str>> {
        self.operators.iter().fold(None, |found, operator| {
            let is_match = secret::is_match(key, &operator.key_digest);
            is_match.then(|| operator.name.clone()).or(found)
        })
    }
}
