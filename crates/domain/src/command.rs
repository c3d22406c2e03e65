//! Commands of the replicated log and their replies.

use serde::{Deserialize, Serialize};

use crate::{artifact, edit, instance, ledger, rollout::Stage, violation::Violation};

/// One command. All replicas apply the same ones in the same order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// An operator's edit with the manifests that it needs.
    Edit {
        /// The edit.
        edit: edit::Edit,
        /// Pins of artifacts that the edit names for the first time.
        pins: edit::Pins,
        /// What speaks against the edit by the replica's view of the origin and of the VMs. They
        /// are committed with it, so that a resend gets the same refusal.
        objections: Vec<Violation>,
        /// When the leader took it, in milliseconds since the Unix epoch.
        at_ms: u64,
    },
    /// A write to the ledger.
    Ledger {
        /// The write.
        write: ledger::Write,
        /// How many entries the ledger may hold. It travels with the command, so that replicas
        /// with different settings still agree.
        max_entries: u64,
        /// When the leader took it, in milliseconds since the Unix epoch.
        at_ms: u64,
    },
    /// A rollout moves on.
    Advance {
        /// The version.
        artifact: artifact::Id,
        /// The stage from which it was decided; another one makes the command void.
        from: Stage,
        /// The new stage.
        to: Stage,
    },
    /// A write to the registry of upstream instances.
    Registry(instance::Write),
    /// Forget ledger entries and edit ids that ended before this time.
    Expire {
        /// Milliseconds since the Unix epoch.
        before_ms: u64,
    },
}

/// The reply to a command, the same on every replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// To an edit.
    Edit(edit::Outcome),
    /// To a ledger write.
    Ledger(ledger::Reply),
    /// To the rest.
    Done,
}
