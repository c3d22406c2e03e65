//! `gypsum-entry`: takes callers' calls and sends each to an upstream that may run it.
//!
//! It keeps nothing on disk: its tables are rebuilt from the feed. The threads of the runtime share
//! them; the lock order stands in [`shared`]. See `docs/ARCHITECTURE.md`, "A call's way".

pub mod api;
pub mod args;
pub mod calls;
pub mod control;
pub mod course;
pub mod dispatch;
pub mod error;
pub mod failure;
pub mod meters;
pub mod once;
pub mod pool;
pub mod readiness;
pub mod run;
pub mod shared;
pub mod stream;
pub mod unary;
pub mod util;

pub use error::Error;
