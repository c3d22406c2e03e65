//! The attempts of one call: which upstreams it tried, what they leave open, whether to go on.

use std::sync::Arc;

use domain::{
    call::{Attempt, Outcome, Problem},
    name,
};

use crate::{
    dispatch::Call,
    failure::{Failure, worst},
    shared::{self, Placement, Shared},
    util::fresh_attempt,
};

/// The attempts so far.
pub struct Course {
    tried: Vec<name::Vm>,
    outcome: Outcome,
    last: Option<Problem>,
}

impl Default for Course {
    fn default() -> Self {
        Self::new()
    }
}

impl Course {
    /// No attempt yet.
    pub fn new() -> Self {
        Self {
            tried: Vec::new(),
            outcome: Outcome::NotRun,
            last: None,
        }
    }

    /// The next attempt and its place.
    ///
    /// # Errors
    ///
    /// What the caller is told if there is no place for one.
    pub fn next(
        &mut self,
        shared: &Arc<Shared>,
        call: &Call,
    ) -> Result<(Placement, Attempt), Problem> {
        let attempt = match self.last {
            None => call.id,
            Some(_) => fresh_attempt(),
        };
        match shared::choose(shared, call, &self.tried) {
            Ok(placement) => {
                self.tried.push(placement.name().clone());
                Ok((placement, attempt))
            }
            Err(refusal) => Err(self.last.take().unwrap_or(refusal)),
        }
    }

    /// Takes a failed attempt, and returns if another one may follow.
    ///
    /// # Errors
    ///
    /// What the caller is told if none may.
    pub fn fail(&mut self, shared: &Shared, call: &Call, failure: Failure) -> Result<(), Problem> {
        self.outcome = worst(self.outcome, failure.problem.outcome);
        let is_hopeless = !failure.is_local
            || shared.remaining(call.deadline).is_zero()
            || failure.is_load() && !shared.has_room(call, &self.tried);
        let problem = Problem {
            outcome: self.outcome,
            ..failure.problem
        };
        if is_hopeless || !shared.take_retry() {
            return Err(problem);
        }
        shared.meters.retry(call.class);
        self.last = Some(problem);
        Ok(())
    }
}
