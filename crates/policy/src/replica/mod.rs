//! The replicated log as a state machine without input or output.
//!
//! [`Replica`] reacts to messages and to the time that the caller passes in. A message that
//! depends on durable state is held back until the caller returns the [`Synced`] of the [`Write`]
//! with that state, so a promise such as a vote can't leave the process before it is durable. See
//! `docs/ARCHITECTURE.md`, "Replicated state".

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
pub use membership::{Admission, JoinRequest, LEARNER_SILENCE, MAX_MEMBERS, Promotion, Refusal};
pub use output::{Batch, Ready, Synced, Write};
pub use progress::Confirmed;
pub use saved::{HardState, Saved};
pub use timing::Timing;
