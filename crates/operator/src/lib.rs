//! Operators: the HTTP interface that control offers them, and the client of `gypsumctl`.
//!
//! See `docs/CONTRACTS.md`, "Operator → control".

pub mod access;
pub mod api;
pub mod client;
pub mod error;
pub mod router;
pub mod server;
pub mod service;

pub use client::Client;
pub use error::Error;
pub use service::Service;
