//! Parts of prompts, and requests without a prompt, that crash the instances which begin to answer
//! them.
//!
//! See `docs/ARCHITECTURE.md`, "Quarantine".

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::name;

/// What the names of requests without a prompt begin with. Callers name no part so.
pub const CONTENT_PREFIX: &str = "content.";

/// A part of a prompt, as requests for one service carry it, or the content of a request without a
/// prompt.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[display("{service}/{part}")]
pub struct Key {
    /// The service.
    pub service: name::Service,
    /// The part.
    pub part: name::Part,
}

impl Key {
    /// Whether it stands for one request, which others don't share.
    pub fn is_content(&self) -> bool {
        self.part.as_str().starts_with(CONTENT_PREFIX)
    }
}

/// A process of an instance.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Process {
    /// The instance.
    pub instance: name::Instance,
    /// When it started, in milliseconds since the Unix epoch.
    pub born_ms: u64,
}

/// The crash of an instance, as one entry saw it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// The process that ended.
    pub process: Process,
    /// The service of the instance.
    pub service: name::Service,
    /// How long ago the entry lost its requests there, in milliseconds.
    pub age_ms: u32,
    /// The parts of the requests whose answers had hardly begun.
    pub parts: Vec<name::Part>,
}

/// What entries tell each other through the replicated state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Write {
    /// Instances crashed.
    Crashes(Vec<Crash>),
    /// Requests with these parts were answered, so that the parts are sound.
    Acquit(Vec<Key>),
    /// An entry asks whether it may send one request with a part that is in quarantine.
    Probe {
        /// The part.
        key: Key,
        /// How many probes of it the entry knows of. Only one entry gets the next one.
        probes: u32,
    },
}

/// The reply to a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// The write was applied.
    Recorded,
    /// The entry may send the probe.
    Granted,
    /// Another entry sends the probe, or the part is not in quarantine any more.
    Denied,
}

/// A part that may crash instances.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspect {
    /// The part.
    pub key: Key,
    /// How many crashes speak against it.
    pub crashes: u32,
    /// Whether requests with it are refused.
    pub is_quarantined: bool,
    /// How many probes were granted since.
    pub probes: u32,
}
