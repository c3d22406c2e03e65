//! The origin of weights and the weight store, as control and agents read them.
//!
//! Both speak the same contract; see `docs/CONTRACTS.md`, "Agent and control → origin". An answer
//! that is short, endless or stalled is an error that names the step and the peer.

pub mod client;
pub mod error;

pub use client::Client;
pub use error::Error;
