//! The interface to callers: their requests, the failures that they see, and the listener.
//!
//! See `docs/CONTRACTS.md`, "Caller → entry".

pub mod chat;
pub mod key;
pub mod listener;
pub mod problem;
pub mod service;
pub mod stall;
