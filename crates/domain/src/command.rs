//! Commands of the replicated log and their replies.

use serde::{Deserialize, Serialize};

use crate::{artifact, edit, instance, ledger, quarantine, rollout::Stage, violation::Violation};

/// A command of the replicated log. All replicas apply the same commands in the same order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// An operator's edit, with the manifests that it needs.
    Edit {
        /// The edit.
        edit: edit::Edit,
        /// Manifests of the artifacts that the edit names for the first time.
        pins: edit::Pins,
        /// Violations that only the replica that accepted the edit can see, from the origin and
        /// the VMs. They are committed with the edit, so that a resend gets the same refusal.
        objections: Vec<Violation>,
        /// When the leader took it, in milliseconds since the Unix epoch.
        at_ms: u64,
        /// The revision of the replica that received the edit, at that time. If what the edit
        /// changes has been changed since, the edit was held up on its way and must not undo the
        /// later one.
        #[serde(default)]
        seen: Option<edit::Revision>,
    },
    /// A write to the ledger.
    Ledger {
        /// The write.
        write: ledger::Write,
        /// The maximum number of ledger entries. It is part of the command, so that replicas
        /// with different settings still agree.
        max_entries: u64,
        /// When the leader took it, in milliseconds since the Unix epoch.
        at_ms: u64,
    },
    /// Moves a rollout to another stage.
    Advance {
        /// The artifact that is rolled out.
        artifact: artifact::Id,
        /// The stage on which the decision was based. The command does nothing if the rollout is
        /// in another stage.
        from: Stage,
        /// The new stage.
        to: Stage,
    },
    /// A write to the registry of upstream instances.
    Registry(instance::Write),
    /// Removes ledger entries and edit ids that ended before the given time.
    Expire {
        /// Milliseconds since the Unix epoch.
        before_ms: u64,
    },
    /// Evidence of parts of prompts that crash instances.
    Quarantine {
        /// The write.
        write: quarantine::Write,
        /// When the replica took it, in milliseconds since the Unix epoch.
        at_ms: u64,
    },
}

/// The reply to a command, the same on every replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// The reply to an edit.
    Edit(edit::Outcome),
    /// The reply to a ledger write.
    Ledger(ledger::Reply),
    /// The reply to a write to the quarantine.
    Quarantine(quarantine::Reply),
    /// The reply to all other commands.
    Done,
}
