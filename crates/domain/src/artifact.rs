//! Versioned artifacts: models and adapters share one namespace and one transfer path.

use derive_more::Display;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::name;

/// One version of one model or adapter.
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
    /// Joins a name and a version.
    pub fn new(name: impl Into<name::Artifact>, version: impl Into<name::Version>) -> Self {
        Self {
            name: name.into(),
            version: version.into(),
        }
    }

    /// Reads the `name@version` form, or nothing when the text has another shape.
    pub fn parse(text: &str) -> Option<Self> {
        let (name, version) = text.split_once('@')?;
        Some(Self::new(name, version))
    }
}
