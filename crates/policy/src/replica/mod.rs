//! The replicated log as a state machine without input or output.
//!
//! [`Replica`] decides by messages and a passed-in time. Whatever it wants to say that depends on
//! its disk stays inside until the caller returns the [`Synced`] of the [`Write`] before it, so a
//! promise can't leave the process before it is durable. See `docs/ARCHITECTURE.md`,
//! "Replicated state".

pub mod bootstrap;
mod configuration;
mod core;
mod election;
mod follower;
mod leader;
mod log;
mod membership;
mod output;
mod progress;
mod quorum;
mod saved;
mod status;
mod timing;

pub use self::core::{Endpoint, NotLeader, Replica, Role};
pub use membership::{Admission, JoinRequest, MAX_MEMBERS, Promotion, Refusal};
pub use output::{Batch, Ready, Synced, Write};
pub use progress::Confirmed;
pub use saved::{HardState, Saved};
pub use timing::Timing;
