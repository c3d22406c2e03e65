//! `gypsum-agent`: the last gate before an upstream, on the upstream's own VM.
//!
//! See `docs/ARCHITECTURE.md`, "Agent".

pub mod depot;
pub mod weights;
