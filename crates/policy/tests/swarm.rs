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
