//! `fake-service`.

fn main() {}
