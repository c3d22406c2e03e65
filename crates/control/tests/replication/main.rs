//! Replicas over loopback, each on a thread of its own.

#![allow(clippy::unwrap_used)]

mod formation;
mod group;
mod node;
mod restart;
