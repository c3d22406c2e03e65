//! The platform under the daemons: clock, memory, signals, and the balancer's health checks.

pub mod clock;
pub mod error;
pub mod memory;
pub mod shutdown;
pub mod status;

pub use error::Error;
