//! Callers of the bench: they send calls and check every answer.

pub mod client;
pub mod tally;
pub mod traffic;
pub mod verdict;
