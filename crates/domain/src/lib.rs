//! Shared vocabulary: names, lists, identifiers and messages.
//!
//! Every process of the system and every peer package speaks in these types, so that no decision
//! depends on the shape of a particular wire or file. See `docs/ARCHITECTURE.md`.

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
pub mod manifest;
pub mod name;
pub mod order;
pub mod record;
pub mod replica;
pub mod rollout;
pub mod routing;
pub mod secret;
pub mod violation;
pub mod vm;
