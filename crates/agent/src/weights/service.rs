//! What this agent offers to others. Only verified chunks leave it.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use domain::digest::Digest;
use futures::FutureExt;
use peer::{
    chunks::{self, Fetched, Holdings},
    control::Answer,
};
use policy::swarm::upload;
use tokio::time;

use super::{admit::block, core::Core, gauge::Flow};

/// The longest that a question about holdings may wait.
const MAX_WAIT: Duration = Duration::from_secs(10);

pub(super) struct Service {
    core: Rc<Core>,
}

impl Service {
    pub(super) fn new(core: Rc<Core>) -> Self {
        Self { core }
    }
}

impl chunks::Service for Service {
    fn holdings(&self, manifest: Digest, known: u64, wait: Duration) -> Answer<Holdings> {
        let core = self.core.clone();
        async move {
            let mut changes = core.holdings.subscribe();
            let changed = async {
                loop {
                    let now = current(&core, &manifest);
                    if now.version != known || changes.changed().await.is_err() {
                        return now;
                    }
                }
            };
            match time::timeout(wait.min(MAX_WAIT), changed).await {
                Ok(holdings) => Ok(holdings),
                Err(_) => Ok(current(&core, &manifest)),
            }
        }
        .boxed_local()
    }

    fn fetch(&self, chunk: Digest, is_spare_only: bool) -> Answer<Fetched> {
        let core = self.core.clone();
        async move {
            let (answer, wait, bytes) = match decide(&core, &chunk, is_spare_only) {
                Some(decided) => decided,
                None => return Ok(Fetched::NotHeld),
            };
            if let upload::Answer::Busy(retry) = answer {
                return Ok(Fetched::Busy { retry });
            }
            time::sleep(wait).await;
            let spool = core.spool.clone();
            match block(move || spool.read(&chunk)).await {
                Some(content) => {
                    core.traffic.add(Flow::Sent, bytes);
                    Ok(Fetched::Bytes(content))
                }
                None => Ok(Fetched::NotHeld),
            }
        }
        .boxed_local()
    }

    fn manifest(&self, digest: Digest) -> Answer<Option<Bytes>> {
        let spool = self.core.spool.clone();
        async move { Ok(block(move || spool.read_manifest(&digest)).await) }.boxed_local()
    }
}

fn current(core: &Core, manifest: &Digest) -> Holdings {
    let state = core.state.borrow();
    let sent_bytes = state.uploads.sent(manifest);
    match state.swarm.held(manifest) {
        Some(held) => Holdings {
            version: held.count() as u64 + 1,
            bitmap: held.as_bytes().to_vec(),
            sent_bytes,
            is_known: true,
        },
        None => Holdings {
            version: 0,
            bitmap: Vec::new(),
            sent_bytes,
            is_known: false,
        },
    }
}

/// Whether to send the chunk, how long to wait first, and its length; nothing if it isn't held.
fn decide(
    core: &Core,
    chunk: &Digest,
    is_spare_only: bool,
) -> Option<(upload::Answer, Duration, u64)> {
    let now = core.now();
    let mut state = core.state.borrow_mut();
    let bytes = *state.verified.get(chunk)?;
    let backlog = state.links.up.backlog(now);
    let span = state.links.up.transfer_time(bytes);
    let answer = match state.swarm.version_of(chunk) {
        Some(manifest) => state
            .uploads
            .request(&manifest, bytes, is_spare_only, backlog, span),
        None => upload::Answer::Send,
    };
    let wait = match answer {
        upload::Answer::Send => state.links.up.reserve(bytes, now),
        upload::Answer::Busy(_) => Duration::ZERO,
    };
    Some((answer, wait, bytes))
}
