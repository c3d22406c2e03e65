//! Validation errors of a document.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// A validation error at one location of a document.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[display("{path}: {message}")]
pub struct Violation {
    /// The JSON path of the location, such as `$.plans[2].share`.
    pub path: String,
    /// A description of the error.
    pub message: String,
}

impl Violation {
    /// Creates a violation at the location `path`.
    pub fn new(path: impl Into<String>, message: impl Into<String>) -> Self {
        Self {
            path: path.into(),
            message: message.into(),
        }
    }
}
