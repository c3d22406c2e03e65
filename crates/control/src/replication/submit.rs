//! Commands on their way to the leader and back.

use std::{rc::Rc, time::Duration};

use domain::command::{Command, Reply};
use tokio::time::{self, Instant};

use super::{core::Core, link::Link};
use crate::log::Error;

/// How long a command may take before its sender hears that there is no quorum.
const LIMIT: Duration = Duration::from_secs(5);
/// Less than the timeout of the call that brought the command.
const FORWARDED_LIMIT: Duration = Duration::from_millis(900);
/// The longest wait for news before the next try.
const PAUSE: Duration = Duration::from_millis(50);

/// Brings a command through the leader, wherever it is. Commands are idempotent, so one whose
/// reply was lost is sent again.
pub(super) async fn submit(core: Rc<Core>, command: Command) -> Result<Reply, Error> {
    let started = Instant::now();
    let result = time::timeout(LIMIT, retry(&core, &command)).await;
    let seconds = started.elapsed().as_secs_f64();
    core.instruments.submit_seconds.record(seconds, &[]);
    match result {
        Ok(result) => result,
        Err(_) if core.replica().group() == 0 => Err(Error::NotFormed),
        Err(_) => Err(no_quorum(LIMIT)),
    }
}

/// Runs a command that a follower passed on; this replica must lead.
pub(super) async fn submit_forwarded(core: Rc<Core>, command: Command) -> Result<Reply, Error> {
    let reply = core.propose(&command).ok_or(Error::LeadershipLost)?;
    match time::timeout(FORWARDED_LIMIT, reply).await {
        Ok(Ok(reply)) => reply,
        Ok(Err(_)) => Err(Error::LeadershipLost),
        Err(_) => Err(no_quorum(FORWARDED_LIMIT)),
    }
}

async fn retry(core: &Core, command: &Command) -> Result<Reply, Error> {
    loop {
        match attempt(core, command).await {
            Some(Err(Error::LeadershipLost)) | None => {}
            Some(result) => return result,
        }
        let _ = time::timeout(PAUSE, core.changed.notified()).await;
    }
}

async fn attempt(core: &Core, command: &Command) -> Option<Result<Reply, Error>> {
    if let Some(reply) = core.propose(command) {
        return reply.await.ok();
    }
    let link = core.leader_link()?;
    tokio::select! {
        reply = forward(&link, command) => reply.map(Ok),
        () = leader_changed(core) => None,
    }
}

async fn forward(link: &Link, command: &Command) -> Option<Reply> {
    link.call(async |session| session.forward(command).await)
        .await
        .ok()
}

/// Ends when another replica leads, so that nobody waits for the answer of a dead one.
async fn leader_changed(core: &Core) {
    let leader = core.replica().leader();
    while core.replica().leader() == leader {
        core.changed.notified().await;
    }
}

fn no_quorum(limit: Duration) -> Error {
    let millis = u64::try_from(limit.as_millis()).unwrap_or(u64::MAX);
    Error::NoQuorum { millis }
}
