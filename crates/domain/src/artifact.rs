//! Versioned artifacts. Models and adapters share one namespace and one transfer path.

use derive_more::Display;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::name;

/// The name and version of a model or adapter, written as `name@version`.
#[derive(
    Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, JsonSchema,
)]
#[display("{name}@{version}")]
pub struct Id {
    /// The model or adapter.
    pub name: name::Artifact,
    /// Its version.
    pub version: name::Version,
}

impl Id {
    /// Creates an id from a name and a version.
    pub fn new(name: impl Into<name::Artifact>, version: impl Into<name::Version>) -> Self {
        Self {
            name: name.into(),
            version: version.into(),
        }
    }

    /// Parses the `name@version` form. Returns `None` if the text contains no `@`.
    pub fn parse(text: &str) -> Option<Self> {
        let (name, version) = text.split_once('@')?;
        Some(Self::new(name, version))
    }
}
