//! Bootstrap of a new group, which needs every configured replica to answer that it is empty.

use std::{collections::BTreeMap, net::SocketAddr};

use domain::replica::{Identity, Members};

/// Voters in a group. More voters would only slow down each commit.
pub const MAX_VOTERS: usize = 5;

/// What the replica at a configured address answered when it was asked for its state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Probe {
    /// The identity stored on the replica's disk.
    pub identity: Identity,
    /// The group that the replica belongs to, or zero if its disk is empty.
    pub group: u64,
}

/// The next step of an empty replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Probe again later: a replica did not answer, or another one bootstraps the group.
    Wait,
    /// Bootstrap the group with these members.
    Bootstrap(Box<Members>),
    /// A group exists: request to join it.
    Join,
}

/// Decides the next step of an empty replica from the answers of the configured addresses, its
/// own included.
///
/// A bootstrap needs an answer from every address. Two of three replicas that lost their disks
/// therefore can't form a second, empty group: the third one answers with its group, or does not
/// answer at all. The replica with the smallest identity bootstraps the group.
pub fn decide(
    own: Identity,
    replicas: &[SocketAddr],
    answers: &BTreeMap<SocketAddr, Probe>,
) -> Step {
    if answers.values().any(|probe| probe.group != 0) {
        return Step::Join;
    }
    let identities: Vec<(Identity, SocketAddr)> = replicas
        .iter()
        .filter_map(|address| answers.get(address).map(|probe| (probe.identity, *address)))
        .collect();
    let is_complete = identities.len() == replicas.len();
    let smallest = identities.iter().map(|(id, _)| *id).min();
    match is_complete && smallest == Some(own) {
        true => Step::Bootstrap(Box::new(initial_members(&identities))),
        false => Step::Wait,
    }
}

fn initial_members(identities: &[(Identity, SocketAddr)]) -> Members {
    let (voters, learners) = identities.split_at(identities.len().min(MAX_VOTERS));
    Members {
        group: group_id(identities),
        voters: voters.iter().copied().collect(),
        learners: learners.iter().copied().collect(),
        ..Members::default()
    }
}

/// Derives the group's number from the identities. Two different sets of identities get the same
/// number with a probability of 1 in 2^64.
fn group_id(identities: &[(Identity, SocketAddr)]) -> u64 {
    let mut sorted: Vec<Identity> = identities.iter().map(|(id, _)| *id).collect();
    sorted.sort_unstable();
    let mut hasher = blake3::Hasher::new();
    for identity in sorted {
        hasher.update(&identity.0.to_le_bytes());
    }
    let mut bytes = [0; 8];
    hasher.finalize_xof().fill(&mut bytes);
    u64::from_le_bytes(bytes).max(1)
}
