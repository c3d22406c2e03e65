//! Callers of the bench: they send calls and check every answer.

pub mod client;
pub mod http;
pub mod pace;
pub mod stage;
pub mod tally;
