//! Messages between the replicas of control.
//!
//! See `docs/ARCHITECTURE.md`, "Replicated state".

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};

use derive_more::{Display, From};
use serde::{Deserialize, Serialize};

/// The identity of a replica. It is drawn at random when the data directory is empty, and stored
/// there.
#[derive(
    Clone, Copy, Debug, Display, From, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{_0:016x}")]
pub struct Identity(pub u64);

/// The members of the group, as set by an entry of the log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Members {
    /// The id of the group, or zero before the group is formed. It never changes after that.
    pub group: u64,
    /// The voting replicas, with their addresses.
    pub voters: BTreeMap<Identity, SocketAddr>,
    /// The voters of the previous configuration. While there are any, each decision needs a
    /// majority of these and a majority of `voters`, so that any two quorums overlap.
    #[serde(default)]
    pub outgoing: BTreeMap<Identity, SocketAddr>,
    /// Replicas without a vote that catch up or only observe, with their addresses.
    pub learners: BTreeMap<Identity, SocketAddr>,
    /// Voters to replace, by the learner that takes over once it has caught up.
    #[serde(default)]
    pub swaps: BTreeMap<Identity, Identity>,
}

impl Members {
    /// The addresses of all replicas.
    pub fn addresses(&self) -> BTreeMap<Identity, SocketAddr> {
        let groups = [&self.learners, &self.outgoing, &self.voters];
        groups
            .into_iter()
            .flatten()
            .map(|(id, address)| (*id, *address))
            .collect()
    }

    /// Whether the replica has a vote.
    pub fn is_voter(&self, identity: Identity) -> bool {
        self.voters.contains_key(&identity) || self.outgoing.contains_key(&identity)
    }
}

/// The content of a log entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// No change. A new leader appends one to learn which earlier entries are committed.
    Noop,
    /// A [`crate::command::Command`], encoded as MessagePack.
    Command(#[serde(with = "serde_bytes")] Vec<u8>),
    /// New members of the group.
    Members(Members),
}

/// A log entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The term of the leader that appended the entry.
    pub term: u64,
    /// The index in the log, starting at 1.
    pub index: u64,
    /// The content.
    pub payload: Payload,
}

/// A position in the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Position {
    /// The index of the entry, or zero for the position before the first entry.
    pub index: u64,
    /// The term of the entry.
    pub term: u64,
}

/// A snapshot of the state, which replaces all log entries up to a position.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The position of the last entry that the state includes.
    pub mark: Position,
    /// The members of the group at that position.
    pub members: Members,
    /// The state, encoded as MessagePack.
    #[serde(with = "serde_bytes")]
    pub state: Vec<u8>,
}

/// A message from one replica to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// The group of the sender. A replica of another group drops the message.
    pub group: u64,
    /// The sender.
    pub from: Identity,
    /// The address of the sender, because a receiver with an empty log knows no members.
    pub address: SocketAddr,
    /// The receiver.
    pub to: Identity,
    /// The term of the sender, or for a pre-vote the term of the election that it would start.
    pub term: u64,
    /// The content of the message.
    pub body: Body,
}

/// The content of a [`Message`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Asks whether the receiver would vote for the sender. The receiver records nothing.
    PreVote {
        /// The sender's last entry.
        last: Position,
    },
    /// The answer to [`Body::PreVote`].
    PreVoteReply {
        /// Whether the sender of the reply would grant its vote.
        is_granted: bool,
    },
    /// Asks for the vote of the receiver.
    Vote {
        /// The sender's last entry.
        last: Position,
    },
    /// The answer to [`Body::Vote`].
    VoteReply {
        /// Whether the sender of the reply grants its vote.
        is_granted: bool,
    },
    /// Log entries to append, or none as a heartbeat.
    Append {
        /// The position before the first of the entries.
        prev: Position,
        /// The entries to append.
        entries: Vec<Entry>,
        /// The commit index of the leader.
        commit: u64,
        /// The heartbeat round, echoed in the answer.
        round: u64,
    },
    /// The answer to [`Body::Append`].
    AppendReply {
        /// Whether the sender's log has an entry at `prev`.
        is_match: bool,
        /// The index of the last entry known to match, or on a mismatch a hint at which index to
        /// try again.
        index: u64,
        /// The heartbeat round of the message that is answered.
        round: u64,
    },
    /// A snapshot, sent in place of entries that have been compacted.
    Install {
        /// The snapshot.
        snapshot: Arc<Snapshot>,
        /// The heartbeat round, echoed in the answer.
        round: u64,
    },
}
