//! Names of the HTTP headers between entry, agent and upstream. See `docs/CONTRACTS.md`.

/// The id of the attempt, as 32 hexadecimal digits. Every answer must echo it.
pub const ATTEMPT: &str = "x-gypsum-attempt";
/// The customer on whose behalf the call is made.
pub const CUSTOMER: &str = "x-gypsum-customer";
/// The pinned model, as `name@version`.
pub const MODEL: &str = "x-gypsum-model";
/// The pinned adapter, as `name@version`.
pub const ADAPTER: &str = "x-gypsum-adapter";
/// The time left until the call's deadline, in milliseconds.
pub const DEADLINE_MS: &str = "x-gypsum-deadline-ms";
/// The idempotency key of a call that must not be repeated. A call without it may be repeated.
pub const ONCE_KEY: &str = "x-gypsum-once-key";
/// The number of tokens that the caller has already received. The answer continues after them.
pub const RESUME_FROM: &str = "x-gypsum-resume-from";
/// Whether a failed call was executed: `not-run`, `ran` or `unknown`.
pub const OUTCOME: &str = "x-gypsum-outcome";
/// Marks an answer that was stored by an earlier run of the same call.
pub const REPLAY: &str = "x-gypsum-replay";
/// The agent's load as `running/queued/limit`, on each of its answers.
pub const LOAD: &str = "x-gypsum-load";
/// The caller's idempotency key for a call that must not be repeated.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
