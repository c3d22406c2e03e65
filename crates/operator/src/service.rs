//! What control does for operators, behind the HTTP interface.

use domain::{
    artifact,
    edit::{Edit, Event, Outcome},
    lists, name,
    violation::Violation,
};
use futures::future::BoxFuture;
use snafu::Snafu;

use crate::api;

/// Why a request got no answer.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub))]
pub enum Failure {
    /// Nothing of that name is there.
    #[snafu(display("no {kind} is named {name}"))]
    Absent {
        /// The kind of thing.
        kind: &'static str,
        /// The name.
        name: String,
    },
    /// The request is not understood.
    #[snafu(display("{detail}"))]
    Invalid {
        /// What is wrong.
        detail: String,
    },
    /// This replica can't answer now; nothing was done.
    #[snafu(display("{detail}"))]
    Unavailable {
        /// What was seen.
        detail: String,
    },
    /// It is not known whether the request took effect. A resend with the same edit id is safe.
    #[snafu(display("{detail}"))]
    Unknown {
        /// What was seen.
        detail: String,
    },
}

/// A future that any thread may drive.
pub type Answer<T> = BoxFuture<'static, Result<T, Failure>>;

/// What control does for operators.
pub trait Service: Send + Sync {
    /// The lists in force.
    fn lists(&self) -> Answer<api::Lists>;
    /// Everything that would be wrong with new lists.
    fn check(&self, lists: lists::Lists) -> Answer<Vec<Violation>>;
    /// Makes an edit, or repeats the answer that its id already got.
    fn edit(&self, edit: Edit) -> Answer<Outcome>;
    /// Accepted edits, the newest first.
    fn history(&self) -> Answer<Vec<Event>>;
    /// Every availability zone that has VMs or is out of service.
    fn zones(&self) -> Answer<Vec<api::Zone>>;
    /// Every upstream that announced itself.
    fn upstreams(&self) -> Answer<Vec<api::Upstream>>;
    /// One upstream.
    fn upstream(&self, vm: name::Vm) -> Answer<api::Upstream>;
    /// Every rollout.
    fn rollouts(&self) -> Answer<Vec<api::Rollout>>;
    /// One rollout.
    fn rollout(&self, artifact: artifact::Id) -> Answer<api::Rollout>;
    /// How the replica that answers stands.
    fn status(&self) -> Answer<api::Status>;
    /// The members of the group.
    fn members(&self) -> Answer<Vec<api::Member>>;
    /// Swaps a member.
    fn replace(&self, replace: api::Replace) -> Answer<()>;
}
