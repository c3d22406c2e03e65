//! The agent of engines that load what is staged beside them: it brings every chunk of the version
//! that an operator named, stages them verified, and orders the engine to load them.
//!
//! Everything here runs on one thread with a `LocalSet`. Which chunk comes from where and when the
//! engine moves are decisions of `policy`. See `docs/PLATFORM.md`, "Weights".

mod bring;
mod link;
pub mod load;
pub mod port;
mod share;
mod shelf;
pub mod stager;

pub use stager::{Given, Stager};
