//! Failure answers.

use std::time::Duration;

use domain::{
    call::{Outcome, Peer, Problem, Step},
    name,
};
use http::StatusCode;
use policy::gate::{Cause, Refusal};

use crate::gate::Denial;

/// When to try again after the upstream could not have a call, but another one may.
const SOON: Duration = Duration::from_millis(100);

/// Makes the failure answers of one agent.
#[derive(Clone, Debug)]
pub struct Maker {
    vm: name::Vm,
}

impl Maker {
    /// For the agent on the given VM.
    pub fn new(vm: name::Vm) -> Self {
        Self { vm }
    }

    /// The agent itself.
    pub fn agent(&self) -> Peer {
        Peer::Agent(self.vm.clone())
    }

    /// What stands beside it.
    pub fn upstream(&self) -> Peer {
        Peer::Upstream(self.vm.clone())
    }

    /// A call that was not run, with a time after which another try makes sense.
    pub fn not_run(&self, step: Step, detail: impl Into<String>) -> Problem {
        Problem {
            status: StatusCode::SERVICE_UNAVAILABLE.as_u16(),
            detail: detail.into(),
            outcome: Outcome::NotRun,
            step,
            peer: self.agent(),
            retry_after_ms: Some(as_millis(SOON)),
        }
    }

    /// A request that can't be understood or is not allowed; another try makes no sense.
    pub fn bad(&self, status: StatusCode, detail: impl Into<String>) -> Problem {
        Problem {
            status: status.as_u16(),
            retry_after_ms: None,
            ..self.not_run(Step::Receive, detail)
        }
    }

    /// A call that got no turn.
    pub fn denied(&self, denial: Denial) -> Problem {
        match denial {
            Denial::Refused(refusal) => self.refused(refusal),
            Denial::Expired => Problem {
                status: StatusCode::GATEWAY_TIMEOUT.as_u16(),
                ..self.not_run(Step::Queue, "the deadline passed in the queue")
            },
            Denial::Flushed => self.not_run(Step::Queue, "the upstream can't have calls now"),
        }
    }

    fn refused(&self, refusal: Refusal) -> Problem {
        let status = match refusal.cause {
            Cause::OverShare => StatusCode::TOO_MANY_REQUESTS,
            Cause::Draining | Cause::Full | Cause::Deadline => StatusCode::SERVICE_UNAVAILABLE,
        };
        Problem {
            status: status.as_u16(),
            retry_after_ms: Some(as_millis(refusal.retry_after)),
            ..self.not_run(Step::Queue, refusal.cause.to_string())
        }
    }

    /// A call that failed at the upstream.
    pub fn failed(&self, error: &upstream::Error) -> Problem {
        let outcome = error.outcome();
        let status = match (error, outcome) {
            (_, Outcome::NotRun) => StatusCode::SERVICE_UNAVAILABLE,
            (upstream::Error::Silent { .. }, _) => StatusCode::GATEWAY_TIMEOUT,
            _ => StatusCode::BAD_GATEWAY,
        };
        let step = match (error, outcome) {
            (upstream::Error::Connect { .. }, _) => Step::Connect,
            (_, Outcome::NotRun) => Step::Send,
            _ => Step::Run,
        };
        Problem {
            status: status.as_u16(),
            detail: error.to_string(),
            outcome,
            step,
            peer: self.upstream(),
            retry_after_ms: (outcome == Outcome::NotRun).then_some(as_millis(SOON)),
        }
    }
}

fn as_millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
