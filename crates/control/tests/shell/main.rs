//! Feed, sessions and edits of one replica over real sessions on loopback. The log is in memory,
//! so that the age of the state can be set.
#![allow(clippy::unwrap_used)]

mod edits;
mod feed;
mod node;
mod sessions;
