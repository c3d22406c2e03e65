//! One fetch: pace, ask, verify, write, report.

use std::rc::Rc;

use bytes::Bytes;
use domain::digest::Digest;
use policy::swarm::{Fetch, Outcome, Source as Place};
use slog::{debug, error, warn};
use tokio::time;

use super::{
    admit::block,
    core::Core,
    gauge::Flow,
    source::{Failure, Peer, Source},
};

/// Runs the fetch and reports its outcome, which it always does.
pub(super) async fn run(core: Rc<Core>, fetch: Fetch) {
    pace(&core, &fetch).await;
    let outcome = match ask(&core, &fetch).await {
        Ok(bytes) => take(&core, &fetch, bytes).await,
        Err(failure) => explain(&core, &fetch, failure),
    };
    if outcome != Outcome::Verified {
        core.traffic.fail(kind(&fetch), label(outcome));
    }
    let now = core.now();
    core.state.borrow_mut().swarm.finish(fetch.id, outcome, now);
    match outcome {
        Outcome::Verified => core.announce(),
        _ => core.work.notify_one(),
    }
}

/// Waits until the links may carry the chunk.
async fn pace(core: &Core, fetch: &Fetch) {
    let wait = {
        let now = core.now();
        let mut state = core.state.borrow_mut();
        let sharers = state.swarm.active_owners();
        let region = match &fetch.source {
            Place::Peer(vm) if fetch.is_remote => {
                state.members.get(vm).map(|member| member.region.clone())
            }
            _ => None,
        };
        let bytes = fetch.chunk.bytes.into();
        let down = state.links.down.reserve(bytes, now);
        match region {
            Some(region) => {
                let pacer = state.links.region(&region, sharers);
                down.max(pacer.reserve(bytes, now))
            }
            None => down,
        }
    };
    time::sleep(wait).await;
}

async fn ask(core: &Rc<Core>, fetch: &Fetch) -> Result<Bytes, Failure> {
    match &fetch.source {
        Place::Origin => core.sources.origin().fetch(fetch.chunk).await,
        Place::Store => match core.sources.store() {
            Some(store) => store.fetch(fetch.chunk).await,
            None => Err(Failure::NotHeld),
        },
        Place::Peer(vm) => {
            let addr = core.state.borrow().addresses.get(vm).copied();
            let Some(addr) = addr else {
                return Err(Failure::Refused(format!("{vm} has no address")));
            };
            let session = core
                .pool
                .session(vm, addr)
                .await
                .map_err(|error| Failure::Refused(error.to_string()))?;
            let peer = Peer {
                session: session.clone(),
                is_spare_only: fetch.is_spare_only,
                patience: core.patience(fetch.chunk.bytes),
            };
            let result = peer.fetch(fetch.chunk).await;
            if matches!(result, Err(Failure::Failed(_))) {
                core.pool.close(vm, &session);
            }
            result
        }
    }
}

/// Verifies the bytes and writes them. Nothing else ever marks a chunk as held.
async fn take(core: &Core, fetch: &Fetch, bytes: Bytes) -> Outcome {
    let length = bytes.len() as u64;
    core.traffic.add(flow(fetch), length);
    let digest = fetch.chunk.digest;
    if !core.state.borrow().swarm.is_wanted(&digest) {
        return Outcome::Unwanted;
    }
    let spool = core.spool.clone();
    let written = block(move || match Digest::of(&bytes) == digest {
        true => Some(spool.store(&digest, &bytes)),
        false => None,
    })
    .await;
    match written {
        // Its version was dropped while it was written, after that version's chunks were removed.
        Some(Ok(())) if !core.state.borrow().swarm.is_wanted(&digest) => {
            let kept = core.kept();
            if let Err(error) = core.spool.discard(&[fetch.chunk], &kept) {
                warn!(core.logger, "weights: {}", error);
            }
            Outcome::Unwanted
        }
        Some(Ok(())) => {
            core.traffic.add(Flow::Stored, length);
            let mut state = core.state.borrow_mut();
            state.verified.insert(digest, length);
            Outcome::Verified
        }
        Some(Err(error)) => {
            error!(core.logger, "weights: {}", error);
            Outcome::Refused
        }
        None => {
            warn!(
                core.logger,
                "weights: {} sent another chunk than {}", fetch.source, digest
            );
            Outcome::Corrupt
        }
    }
}

fn explain(core: &Core, fetch: &Fetch, failure: Failure) -> Outcome {
    match failure {
        Failure::NotHeld => Outcome::NotHeld,
        Failure::Busy(retry) => {
            let bytes = fetch.chunk.bytes.into();
            core.state.borrow_mut().links.down.refund(bytes);
            Outcome::Busy(retry)
        }
        Failure::Refused(detail) => {
            debug!(core.logger, "weights: {} refused: {}", fetch.source, detail);
            Outcome::Refused
        }
        Failure::Failed(detail) => {
            debug!(core.logger, "weights: {} failed: {}", fetch.source, detail);
            Outcome::Failed
        }
    }
}

fn flow(fetch: &Fetch) -> Flow {
    match &fetch.source {
        Place::Peer(_) if fetch.is_remote => Flow::Remote,
        Place::Peer(_) => Flow::Local,
        Place::Store => Flow::Store,
        Place::Origin => Flow::Origin,
    }
}

fn kind(fetch: &Fetch) -> &'static str {
    match &fetch.source {
        Place::Peer(_) => "peer",
        Place::Store => "store",
        Place::Origin => "origin",
    }
}

fn label(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Verified => "verified",
        Outcome::Corrupt => "corrupt",
        Outcome::NotHeld => "not-held",
        Outcome::Busy(_) => "busy",
        Outcome::Failed => "failed",
        Outcome::Refused => "refused",
        Outcome::Unwanted => "unwanted",
    }
}
