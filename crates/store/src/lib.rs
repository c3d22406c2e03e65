//! The durable state of a replica: one file in the data folder.
//!
//! The file binds an identity to its disk. What it holds is changed by atomic, durable commits,
//! and each entry and the snapshot carry a BLAKE3 checksum. A file that does not hold exactly what
//! was last made durable is never used again: see [`Store::set_aside`] and
//! `docs/ARCHITECTURE.md`, "Replicated state".

mod codec;
mod error;
mod file;

pub use error::Error;
pub use file::{Medium, Opened, Store};
