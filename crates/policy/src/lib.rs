//! The decision logic of the system, as state machines without I/O.
//!
//! Nothing here reads a clock, opens a socket or creates randomness. Inputs are messages and a
//! [`domain::clock::Instant`], outputs are values, and random number generators are passed in, so
//! the same code runs in the daemons, the tests and the benchmarks. See `docs/ARCHITECTURE.md`.

pub mod admission;
pub mod affinity;
pub mod age;
pub mod breaker;
pub mod bucket;
pub mod changes;
pub mod cold;
pub mod crash;
pub mod drain;
pub mod fair;
pub mod gate;
pub mod kept;
pub mod ledger;
pub mod level;
pub mod lifecycle;
pub mod listing;
pub mod load;
pub mod loading;
pub mod membership;
pub mod memory;
pub mod naming;
pub mod notice;
pub mod orders;
pub mod owner;
pub mod pacer;
pub mod placement;
pub mod quarantine;
pub mod queue;
pub mod quota;
pub mod registry;
pub mod replica;
pub mod resolve;
pub mod retry;
pub mod rollout;
pub mod roster;
pub mod round_robin;
pub mod router;
pub mod routes;
pub mod silence;
pub mod spillover;
pub mod spool;
pub mod spread;
pub mod sse;
pub mod state;
pub mod swarm;
pub mod switch;
pub mod view;
pub mod wait;
pub mod warmup;
pub mod work;
