//! Little helpers.

use domain::vm::Upstream;
use settings::agent::Agent;

use crate::error::Error;

/// Checks what the schema can't say.
///
/// # Errors
///
/// If an engine has no spool, or if nothing stands beside the agent.
pub fn check(settings: &Agent) -> Result<(), Error> {
    match (&settings.upstream, &settings.weights) {
        (Upstream::Engine { .. }, None) => Err(Error::NoWeights),
        (Upstream::Entry | Upstream::Control, _) => Err(Error::NoUpstream),
        _ => Ok(()),
    }
}
