//! Messages between the replicas of control.
//!
//! See `docs/ARCHITECTURE.md`, "Replicated state".

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};

use derive_more::{Display, From};
use serde::{Deserialize, Serialize};

/// A replica, bound to its disk: drawn at random in an empty data folder.
#[derive(
    Clone, Copy, Debug, Display, From, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{_0:016x}")]
pub struct Identity(pub u64);

/// The members of the group as one entry of the log set them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Members {
    /// The group, or zero before one is formed. It never changes.
    pub group: u64,
    /// Replicas that vote, with their addresses.
    pub voters: BTreeMap<Identity, SocketAddr>,
    /// Replicas that voted before. While there are any, each decision needs a majority of these
    /// and of the voters, so that two majorities always share a replica.
    #[serde(default)]
    pub outgoing: BTreeMap<Identity, SocketAddr>,
    /// Replicas that catch up or only observe, with their addresses.
    pub learners: BTreeMap<Identity, SocketAddr>,
    /// Learners that take a voter's place once they have caught up.
    #[serde(default)]
    pub swaps: BTreeMap<Identity, Identity>,
}

impl Members {
    /// All replicas with their addresses, each once.
    pub fn addresses(&self) -> BTreeMap<Identity, SocketAddr> {
        let groups = [&self.learners, &self.outgoing, &self.voters];
        groups
            .into_iter()
            .flatten()
            .map(|(id, address)| (*id, *address))
            .collect()
    }

    /// Whether the replica's vote counts.
    pub fn is_voter(&self, identity: Identity) -> bool {
        self.voters.contains_key(&identity) || self.outgoing.contains_key(&identity)
    }
}

/// What an entry of the log holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// Nothing: a new leader commits one to learn what is committed.
    Noop,
    /// A [`crate::command::Command`], as MessagePack.
    Command(#[serde(with = "serde_bytes")] Vec<u8>),
    /// A change of the members.
    Members(Members),
}

/// An entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The term of the leader that made it.
    pub term: u64,
    /// Its place, from 1 on.
    pub index: u64,
    /// What it holds.
    pub payload: Payload,
}

/// A place in the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Position {
    /// The index of the entry, or zero for the place before the first one.
    pub index: u64,
    /// The entry's term.
    pub term: u64,
}

/// The state up to an entry, in place of the entries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The last entry that the state contains.
    pub mark: Position,
    /// The members at that entry.
    pub members: Members,
    /// The state, as MessagePack.
    #[serde(with = "serde_bytes")]
    pub state: Vec<u8>,
}

/// A message from one replica to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// The sender's group. A replica of another group drops the message.
    pub group: u64,
    /// The sender.
    pub from: Identity,
    /// Where the sender listens: a receiver that is still empty knows no members.
    pub address: SocketAddr,
    /// The receiver.
    pub to: Identity,
    /// The sender's term, or the term it would open for a pre-vote.
    pub term: u64,
    /// What it says.
    pub body: Body,
}

/// What a [`Message`] says.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Would you vote for me? Nothing is recorded.
    PreVote {
        /// The sender's last entry.
        last: Position,
    },
    /// The answer to [`Body::PreVote`].
    PreVoteReply {
        /// Whether the sender would.
        is_granted: bool,
    },
    /// Vote for me.
    Vote {
        /// The sender's last entry.
        last: Position,
    },
    /// The answer to [`Body::Vote`].
    VoteReply {
        /// Whether the sender does.
        is_granted: bool,
    },
    /// Entries, or none as a heartbeat.
    Append {
        /// The entry before the first one.
        prev: Position,
        /// The entries.
        entries: Vec<Entry>,
        /// The leader's commit index.
        commit: u64,
        /// The heartbeat round, echoed in the answer.
        round: u64,
    },
    /// The answer to [`Body::Append`].
    AppendReply {
        /// Whether the entry before was there.
        is_match: bool,
        /// The last entry known to match, or a hint from where to try again.
        index: u64,
        /// The round of the message that this answers.
        round: u64,
    },
    /// A snapshot in place of entries that are compacted.
    Install {
        /// The snapshot.
        snapshot: Arc<Snapshot>,
        /// The heartbeat round, echoed in the answer.
        round: u64,
    },
}
