//! Logs and metrics of the daemons.
//!
//! See `docs/OPERATIONS.md`, "Logs" and "Metrics".

pub mod budget;
pub mod labels;
pub mod log;
pub mod metrics;
