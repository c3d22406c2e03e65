//! Clients of what stands beside an agent: a model engine or a plain service.
//!
//! See `docs/CONTRACTS.md`, "Agent → engine" and "Agent → plain service".

pub mod body;
pub mod connection;
pub mod engine;
pub mod error;
pub mod event;
pub mod monitor;
pub mod service;

pub use error::Error;
