//! The platform under the daemons: clock, signals, and the balancer's health checks.

pub mod clock;
pub mod error;
pub mod shutdown;
pub mod status;

pub use error::Error;
