//! Callers of the bench: they send calls and check every answer.

pub mod client;
pub mod http;
pub mod open;
pub mod pace;
pub mod setup;
pub mod stage;
pub mod tally;
pub mod traffic;
pub mod verdict;
