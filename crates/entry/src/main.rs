//! `gypsum-entry`.

fn main() {}
