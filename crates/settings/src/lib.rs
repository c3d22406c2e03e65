//! Settings of the daemons: one JSON file each, checked whole before anything starts.
//!
//! One function per default stands beside its setting. See `docs/OPERATIONS.md`, "Settings".

pub mod agent;
pub mod common;
pub mod control;
pub mod entry;
pub mod error;
pub mod file;

pub use error::Error;
