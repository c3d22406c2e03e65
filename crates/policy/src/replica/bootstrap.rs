//! The birth of a group: only when every configured replica says that it is empty.

use std::{collections::BTreeMap, net::SocketAddr};

use domain::replica::{Identity, Members};

/// Replicas that vote; more of them only slow each decision down.
pub const MAX_VOTERS: usize = 5;

/// What a configured address answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Probe {
    /// The identity on its disk.
    pub identity: Identity,
    /// The group that it belongs to, or zero if its disk is empty.
    pub group: u64,
}

/// What an empty replica does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Ask again later: somebody did not answer, or another replica founds the group.
    Wait,
    /// Found the group with these members.
    Bootstrap(Box<Members>),
    /// A group exists: ask it for admission.
    Join,
}

/// What an empty replica does after it asked every configured address, itself included.
///
/// A group is founded only by unanimity, so two of three replicas that lost their disks never
/// found a second, empty one: the third one answers with its group, or does not answer.
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
    let is_unanimous = identities.len() == replicas.len();
    let founder = identities.iter().map(|(id, _)| *id).min();
    match is_unanimous && founder == Some(own) {
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

/// A number that no other set of identities has, but by a chance of 1 in 2^64.
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
