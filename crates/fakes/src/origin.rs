//! A stand-in for the origin of weights and for the rate-limited weight store.
//!
//! It speaks "Agent and control → origin" of `docs/CONTRACTS.md`. Besides, `GET /stats` counts the
//! bytes sent, `POST /faults` makes it fail in a given way, and `POST /artifacts` adds a version.

pub mod content;
pub mod fault;
pub mod server;
pub mod throttle;

pub use content::Spec;
pub use fault::{Fault, Kind, Target};
pub use server::{Config, Origin, Stats};
