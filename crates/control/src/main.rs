//! `gypsum-control`.

fn main() {}
