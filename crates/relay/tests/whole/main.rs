//! A relay at work, before instances that answer by a script.

#![allow(clippy::unwrap_used)]

mod attempts;
mod broken;
mod common;
mod crashes;
mod ends;
mod gate;
mod given_up;
mod heads;
mod limits;
mod notices;
mod shared;
mod stale;
