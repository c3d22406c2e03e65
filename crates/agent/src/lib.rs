//! `gypsum-agent`: the last gate before an upstream, on the upstream's own VM.
//!
//! See `docs/ARCHITECTURE.md`, "Agent".

pub mod args;
pub mod cmd;
pub mod daemon;
pub mod depot;
pub mod error;
pub mod feed;
pub mod gate;
pub mod listener;
pub mod memory;
pub mod metrics;
pub mod model;
pub mod once;
pub mod orders;
pub mod presence;
pub mod problem;
pub mod request;
pub mod response;
pub mod service;
pub mod site;
pub mod util;
pub mod watch;
pub mod weights;
