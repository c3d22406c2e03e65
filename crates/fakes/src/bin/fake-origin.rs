//! `fake-origin`.

fn main() {}
