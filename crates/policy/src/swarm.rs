//! The exchange of chunks between agents, as one state machine per agent without I/O.
//!
//! [`Swarm`] decides which chunk to fetch next and from which source; [`upload::Budget`] decides
//! whether to send a requested chunk. Neither reads a clock or opens a socket. See
//! `docs/ARCHITECTURE.md`, "Weights".

pub mod bitmap;
pub mod machine;
mod pick;
pub mod ring;
pub mod source;
pub mod upload;
pub mod version;

pub use bitmap::Bitmap;
pub use machine::{Config, Fetch, Outcome, Stall, Swarm, Watch};
pub use source::Source;
pub use version::Offer;
