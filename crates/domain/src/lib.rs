//! Types shared by all processes: names, lists, identifiers and messages.
//!
//! Decision code depends only on these types and not on any wire or file format. See
//! `docs/ARCHITECTURE.md`.

pub mod artifact;
pub mod call;
pub mod clock;
pub mod command;
pub mod digest;
pub mod edit;
pub mod header;
pub mod instance;
pub mod ledger;
pub mod lists;
pub mod load;
pub mod manifest;
pub mod name;
pub mod order;
pub mod quarantine;
pub mod record;
pub mod replica;
pub mod rollout;
pub mod routing;
pub mod secret;
pub mod violation;
pub mod vm;
