//! `gypsumctl`.

fn main() {}
