//! Complaints about a document, each with the JSON path of what is wrong.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// One thing wrong with one place of a document.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[display("{path}: {message}")]
pub struct Violation {
    /// The JSON path, such as `$.plans[2].share`.
    pub path: String,
    /// What was seen there.
    pub message: String,
}

impl Violation {
    /// A complaint about the place at `path`.
    pub fn new(path: impl Into<String>, message: impl Into<String>) -> Self {
        Self {
            path: path.into(),
            message: message.into(),
        }
    }
}
