//! The bench: starts the system on loopback and measures it. Never linked into the product.

pub mod cmd;
pub mod demo;
pub mod error;
pub mod feed;
pub mod fleet;
pub mod load;
pub mod replicas;
