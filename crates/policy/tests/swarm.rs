//! The exchange of chunks, without and with faults.
#![allow(clippy::unwrap_used)]

mod exchange;

use std::time::Duration;

use exchange::Exchange;

const LIMIT: Duration = Duration::from_secs(120);

#[test]
fn small_fleets_finish_with_few_large_chunks() {
    // One chunk more than the budget allows must still be sent when no other holder is left.
    for seed in 0..200 {
        let mut exchange = Exchange::new(6, 3, 8, seed);
        assert!(exchange.run(LIMIT), "seed {seed} is stuck");
        let copies = exchange.copies();
        assert!(copies <= 1.5, "seed {seed}: {copies} copies");
    }
}

#[test]
fn fleets_of_every_size_finish_with_about_one_copy_from_the_origin() {
    let cases = [
        (1, 1, 20),
        (2, 2, 20),
        (8, 3, 64),
        (30, 3, 64),
        (30, 1, 40),
        (60, 5, 100),
        (100, 3, 40),
    ];
    for (agents, regions, chunks) in cases {
        for seed in 0..5 {
            let mut exchange = Exchange::new(agents, regions, chunks, seed);
            let case = format!("{agents} agents, {regions} regions, {chunks} chunks, seed {seed}");
            assert!(exchange.run(LIMIT), "{case}: stuck");
            let copies = exchange.copies();
            assert!(copies <= 1.2, "{case}: {copies} copies");
        }
    }
}
