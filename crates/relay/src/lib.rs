//! The relay: requests of callers go by route to an instance of a service and answers come back
//! whole, through an entry that knows the state.
//!
//! Everything here runs on one thread with a `LocalSet`. Decisions are those of `policy`; how heads
//! are written is the matter of a [`dialect::Dialect`]. See `docs/PLATFORM.md`, "Requests".

pub mod answer;
mod attempt;
mod body;
pub mod call;
pub mod dialect;
pub mod front;
pub mod gate;
pub mod journal;
pub mod load;
pub mod meters;
pub mod pool;
pub mod site;
mod socket;
mod stream;
mod upload;
pub mod whole;
pub mod witness;
