//! A failed attempt: what the caller may be told, and whether another attempt makes sense.

use domain::{
    call::{Outcome, Peer, Problem, Step},
    name,
};
use http::StatusCode;

/// How an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Nothing of it left this process.
    Unsent,
    /// The agent said what became of it.
    Stated,
    /// No answer came, or not a whole one.
    Broken,
}

/// A failed attempt.
#[derive(Clone, Debug)]
pub struct Failure {
    /// How it failed.
    pub kind: Kind,
    /// What the caller is told if nothing better comes.
    pub problem: Problem,
    /// Whether the cause lies with this upstream, so that another one may do better.
    pub is_local: bool,
}

impl Failure {
    /// A failure before anything left this process.
    pub fn unsent(step: Step, peer: Peer, detail: impl Into<String>) -> Self {
        Self {
            kind: Kind::Unsent,
            problem: problem(
                StatusCode::SERVICE_UNAVAILABLE,
                Outcome::NotRun,
                step,
                peer,
                detail,
            ),
            is_local: true,
        }
    }

    /// The agent's answer did not come, or not whole.
    pub fn broken(vm: &name::Vm, outcome: Outcome, step: Step, detail: impl Into<String>) -> Self {
        let peer = Peer::Agent(vm.clone());
        Self {
            kind: Kind::Broken,
            problem: problem(StatusCode::BAD_GATEWAY, outcome, step, peer, detail),
            is_local: true,
        }
    }

    /// The deadline passed while the attempt ran.
    pub fn late(vm: &name::Vm, step: Step) -> Self {
        let mut failure = Self::broken(vm, Outcome::Unknown, step, "the call's deadline passed");
        failure.problem.status = StatusCode::GATEWAY_TIMEOUT.as_u16();
        failure.is_local = false;
        failure
    }

    /// The agent's own words.
    pub fn stated(problem: Problem) -> Self {
        // A refusal for what the call itself is would meet every other agent too.
        let is_local = matches!(problem.status, 429 | 500..);
        Self {
            kind: Kind::Stated,
            problem,
            is_local,
        }
    }

    /// Another attempt would meet the same.
    #[must_use]
    pub fn into_final(mut self) -> Self {
        self.is_local = false;
        self
    }

    /// Whether it is proved that nothing ran.
    pub fn is_not_run(&self) -> bool {
        self.problem.outcome == Outcome::NotRun
    }

    /// Whether the agent refused for want of room.
    pub fn is_load(&self) -> bool {
        self.kind == Kind::Stated && self.is_not_run() && self.problem.step == Step::Queue
    }
}

/// What is known of a call after several attempts: the worst that any of them leaves open.
pub fn worst(earlier: Outcome, later: Outcome) -> Outcome {
    match (earlier, later) {
        (Outcome::Ran, _) | (_, Outcome::Ran) => Outcome::Ran,
        (Outcome::Unknown, _) | (_, Outcome::Unknown) => Outcome::Unknown,
        (Outcome::NotRun, Outcome::NotRun) => Outcome::NotRun,
    }
}

/// A problem without a hint when to try again.
pub fn problem(
    status: StatusCode,
    outcome: Outcome,
    step: Step,
    peer: Peer,
    detail: impl Into<String>,
) -> Problem {
    Problem {
        status: status.as_u16(),
        detail: detail.into(),
        outcome,
        step,
        peer,
        retry_after_ms: None,
    }
}
