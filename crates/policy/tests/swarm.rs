//! The exchange of chunks without faults.
#![allow(clippy::unwrap_used)]

mod exchange;

use std::time::Duration;

use exchange::Exchange;

const LIMIT: Duration = Duration::from_secs(120);

#[test]
fn small_fleet_with_few_chunks_completes() {
    // A chunk beyond the upload budget must still be sent if there is no other holder.
    for seed in 0..200 {
        let mut exchange = Exchange::new(6, 3, 8, seed);
        assert!(exchange.run(LIMIT), "seed {seed} is stuck");
        let copies = exchange.copies();
        assert!(copies <= 1.5, "seed {seed}: {copies} copies");
    }
}

#[test]
fn origin_sends_about_one_copy_for_any_fleet_size() {
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
