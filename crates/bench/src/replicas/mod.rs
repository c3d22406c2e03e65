//! Replicas of control's log inside this process, each on a thread of its own, for measurements
//! of the log alone.

pub mod group;
mod node;
mod relay;

pub use group::Group;
