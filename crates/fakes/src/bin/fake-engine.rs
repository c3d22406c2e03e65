//! `fake-engine`.

fn main() {}
