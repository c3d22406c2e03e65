//! The border between the replicated log and the rest of control.
//!
//! Everything here lives on one thread with a `LocalSet`.

use std::{net::SocketAddr, time::Duration};

use domain::{
    command::{Command, Reply},
    replica::{Identity, Members},
};
use futures::future::LocalBoxFuture;
use snafu::Snafu;

/// A command got no reply.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// No leader with a quorum is known.
    #[snafu(display("no leader with a quorum for {millis} ms"))]
    NoQuorum {
        /// How long was waited, in milliseconds.
        millis: u64,
    },
    /// The group is not formed yet.
    #[snafu(display("the group is not formed"))]
    NotFormed,
    /// The leader changed while the command was under way. Send it again; it is idempotent.
    #[snafu(display("leadership was lost while the command was under way"))]
    LeadershipLost,
    /// The disk failed.
    #[snafu(display("could not write the log: {detail}"))]
    Disk {
        /// What the store said.
        detail: String,
    },
}

/// How a replica stands in its group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Standing {
    /// Its identity.
    pub identity: Identity,
    /// Its term.
    pub term: u64,
    /// The leader that it knows of.
    pub leader: Option<Identity>,
    /// The last committed entry.
    pub commit: u64,
    /// The last applied entry.
    pub applied: u64,
    /// The members.
    pub members: Members,
    /// Whether it is forming a group, learning, following or leading.
    pub role: Role,
}

/// The part that a replica takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// Waits until every initial peer says that it is empty too.
    #[display("forming")]
    Forming,
    /// Catches up before it votes.
    #[display("learner")]
    Learner,
    /// Follows a leader.
    #[display("follower")]
    Follower,
    /// Asks for votes.
    #[display("candidate")]
    Candidate,
    /// Leads.
    #[display("leader")]
    Leader,
}

/// Applies committed commands. The log calls it in order, each command once per start.
pub trait Machine {
    /// Applies one command and returns the reply, the same on every replica.
    fn apply(&mut self, term: u64, index: u64, command: Command) -> Reply;
    /// The whole state, as MessagePack.
    fn snapshot(&self) -> Vec<u8>;
    /// Replaces the whole state.
    ///
    /// # Errors
    ///
    /// If the bytes are not a snapshot.
    fn restore(&mut self, index: u64, snapshot: &[u8]) -> Result<(), rmp_serde::decode::Error>;
}

/// The replicated log as the rest of control uses it.
pub trait Log {
    /// Submits a command through the leader, wherever it is, and waits for the reply.
    fn submit(&self, command: Command) -> LocalBoxFuture<'static, Result<Reply, Error>>;
    /// An upper bound on how long ago a quorum confirmed that what is applied here is the newest
    /// state, or nothing if that is not known.
    fn age(&self) -> Option<Duration>;
    /// How this replica stands.
    fn standing(&self) -> Standing;
    /// Addresses of the other replicas.
    fn peers(&self) -> Vec<SocketAddr>;
    /// Swaps a member for the replica with a new identity at the given address.
    fn replace(
        &self,
        old: Identity,
        address: SocketAddr,
    ) -> LocalBoxFuture<'static, Result<(), Error>>;
}
