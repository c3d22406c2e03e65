//! Majorities of the voters, in joint consensus of both the voters and the outgoing voters.

use std::{collections::BTreeMap, net::SocketAddr};

use domain::replica::{Identity, Members};

/// Whether `is_yes` holds for a majority of the voters, and of the outgoing ones if there are any.
pub(super) fn is_reached(members: &Members, is_yes: impl Fn(Identity) -> bool) -> bool {
    let has = |group: &BTreeMap<Identity, SocketAddr>| {
        let yes = group.keys().filter(|id| is_yes(**id)).count();
        yes * 2 > group.len()
    };
    has(&members.voters) && (members.outgoing.is_empty() || has(&members.outgoing))
}

/// The highest value that a majority of the voters has reached, and of the outgoing ones if there
/// are any.
pub(super) fn highest(members: &Members, value: impl Fn(Identity) -> u64) -> u64 {
    let middle = |group: &BTreeMap<Identity, SocketAddr>| {
        let mut values: Vec<u64> = group.keys().map(|id| value(*id)).collect();
        values.sort_unstable_by(|a, b| b.cmp(a));
        values.get(group.len() / 2).copied().unwrap_or_default()
    };
    match members.outgoing.is_empty() {
        true => middle(&members.voters),
        false => middle(&members.voters).min(middle(&members.outgoing)),
    }
}
