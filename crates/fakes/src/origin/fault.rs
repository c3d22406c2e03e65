//! Faults that the stand-in makes on request.

use domain::artifact;
use serde::{Deserialize, Serialize};

/// In which way an answer is wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// One byte is another one.
    Corrupt,
    /// Half of the bytes, as if that were all.
    Short,
    /// Half of the bytes, then the connection breaks.
    Cut,
    /// Half of the bytes, then nothing more.
    Stall,
    /// Bytes without end.
    Endless,
    /// A valid answer of other content.
    Swap,
    /// 429 with `Retry-After: 1`.
    Throttle,
    /// 500.
    Error,
}

/// Which answers are wrong.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Target {
    /// Chunks.
    #[default]
    Chunk,
    /// Manifests.
    Manifest,
}

/// One order to fail.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fault {
    /// In which way.
    pub kind: Kind,
    /// Which answers.
    #[serde(default)]
    pub target: Target,
    /// Only those of this version, or all.
    #[serde(default)]
    pub artifact: Option<artifact::Id>,
    /// How many answers, or all from now on.
    #[serde(default)]
    pub count: Option<u64>,
}

impl Fault {
    /// All answers of the target fail in this way from now on.
    pub fn new(kind: Kind, target: Target) -> Self {
        Self {
            kind,
            target,
            artifact: None,
            count: None,
        }
    }

    /// Sets how many answers fail.
    #[must_use]
    pub fn with_count(mut self, count: u64) -> Self {
        self.count = Some(count);
        self
    }
}

/// The orders in force. The first that fits an answer counts.
#[derive(Debug, Default)]
pub(crate) struct Faults(Vec<Fault>);

impl Faults {
    pub(crate) fn set(&mut self, faults: Vec<Fault>) {
        self.0 = faults;
    }

    pub(crate) fn take(&mut self, target: Target, artifact: &artifact::Id) -> Option<Kind> {
        let fits = |fault: &&mut Fault| {
            fault.target == target
                && fault.count != Some(0)
                && fault.artifact.as_ref().is_none_or(|id| id == artifact)
        };
        let fault = self.0.iter_mut().find(fits)?;
        fault.count = fault.count.map(|count| count - 1);
        Some(fault.kind)
    }
}
