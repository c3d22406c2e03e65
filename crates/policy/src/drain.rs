//! What an entry that is about to end still takes.
//!
//! Callers that have not heard of it yet keep sending for a while. A request that is taken must end
//! before the process does, or its caller gets no answer; one that is refused as not run is served
//! by another entry at once. This handles planned stops under any load.

use std::time::Duration;

use domain::routing::Kind;

/// The part of its patience that a request which may be repeated must have left, in hundredths. Most
/// answers need less, and one that is cut can be sent again.
const REPEATABLE_PERCENT: u32 = 50;

/// Whether a request whose caller waits for `patience` is taken by an entry that ends in `left`.
pub fn admits(kind: Kind, patience: Duration, left: Duration) -> bool {
    let needed = match kind.is_repeatable() {
        true => patience * REPEATABLE_PERCENT / 100,
        false => patience,
    };
    left >= needed
}
