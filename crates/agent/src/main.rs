//! `gypsum-agent`.

fn main() {}
