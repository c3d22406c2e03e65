//! `gypsum-control`: the replicated state, its feed and the operators' interface.
//!
//! See `docs/ARCHITECTURE.md`, "Control".

pub mod args;
pub mod cmd;
pub mod core;
pub mod daemon;
pub mod desk;
pub mod edits;
pub mod error;
pub mod exchange;
pub mod health;
pub mod lane;
pub mod leader;
pub mod log;
pub mod machine;
pub mod metrics;
pub mod node;
pub mod pins;
pub mod registrar;
pub mod replication;
pub mod routing;
pub mod service;
pub mod single;
pub mod soft;
pub mod util;

pub use error::Error;
