//! `gypsumctl`: the operators' command line.
//!
//! See `docs/OPERATIONS.md`.

pub mod args;
pub mod cmd;
pub mod context;
pub mod error;
pub mod util;

pub use error::Error;
