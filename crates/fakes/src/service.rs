//! A stand-in, see `docs/CONTRACTS.md`.
