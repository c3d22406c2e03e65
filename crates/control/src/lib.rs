//! `gypsum-control`: the replicated state, its feed and the operators' interface.
//!
//! See `docs/ARCHITECTURE.md`, "Control".

pub mod log;
pub mod replication;
