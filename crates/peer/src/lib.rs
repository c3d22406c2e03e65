//! Sessions between the system's own processes, over Cap'n Proto RPC.
//!
//! The sessions of `capnp-rpc` are bound to one thread, so everything here but [`uplink::Client`]
//! runs on a `LocalSet`. See `docs/ARCHITECTURE.md`, "Wire".

pub mod chunks;
pub mod connection;
pub mod control;
pub mod error;
pub mod load;
pub mod pack;
pub mod replica;
pub mod seeds;
pub mod server;
pub mod uplink;

#[allow(clippy::all, clippy::pedantic, clippy::unwrap_used, unreachable_pub, missing_docs)]
#[rustfmt::skip]
pub mod wire_capnp;

pub use error::Error;
