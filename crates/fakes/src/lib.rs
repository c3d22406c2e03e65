//! Small stand-ins for the systems outside: engines, plain services, the origin of weights.
//!
//! They speak the contracts of `docs/CONTRACTS.md` and make faults on request.

pub mod endless;
pub mod engine;
pub mod origin;
pub mod server;
pub mod service;
