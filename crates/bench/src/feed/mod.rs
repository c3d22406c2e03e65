//! Parts of the feed's measurement.

pub mod crowd;
pub mod meter;
pub mod relay;
