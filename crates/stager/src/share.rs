//! What this agent offers to others: the chunks that it holds.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use domain::digest::Digest;
use futures::FutureExt;
use peer::{
    chunks::{Fetched, Holdings, Service},
    control::Answer,
    pack,
};
use tokio::time;

use crate::{link::Link, shelf::Shelf};

/// The longest that a question about holdings waits for news.
const MAX_WAIT: Duration = Duration::from_secs(1);
/// What waits to be sent beyond this, two chunks on a usual link, is left to later questions, so
/// that whoever asks turns to another agent and can tell a busy one from a dead one.
const MAX_BACKLOG: Duration = Duration::from_millis(100);
/// How long a less urgent question waits, so that more urgent ones for the same chunk go first.
const YIELD: Duration = Duration::from_millis(5);
/// How long a question for a list waits for it: less than a step of a session may take.
pub(crate) const LIST_WAIT: Duration = Duration::from_millis(300);
/// When to ask a busy agent again.
const BUSY_RETRY: Duration = Duration::from_millis(60);

/// The chunks of one agent, as others ask for them.
pub(crate) struct Share {
    pub(crate) shelf: Rc<Shelf>,
    pub(crate) link: Rc<Link>,
}

impl Service for Share {
    fn holdings(&self, version: Digest, known: u64, wait: Duration) -> Answer<Holdings> {
        let shelf = self.shelf.clone();
        async move {
            let held = shelf.wait(&version, known, wait.min(MAX_WAIT)).await;
            Ok(Holdings {
                is_known: held.is_some(),
                version: held.as_ref().map_or(0, |held| held.count + 1),
                bitmap: held.map(|held| held.bitmap).unwrap_or_default(),
                sent_bytes: 0,
            })
        }
        .boxed_local()
    }

    /// Agents of the same region ask with `is_spare_only`: others wait for what goes elsewhere.
    fn fetch(&self, chunk: Digest, is_spare_only: bool) -> Answer<Fetched> {
        let (shelf, link) = (self.shelf.clone(), self.link.clone());
        async move {
            if is_spare_only {
                time::sleep(YIELD).await;
            }
            Ok(match shelf.get(&chunk) {
                Some(_) if is_spare_only && link.backlog() > MAX_BACKLOG => {
                    Fetched::Busy { retry: BUSY_RETRY }
                }
                Some(bytes) => {
                    link.send(bytes.len()).await;
                    Fetched::Bytes(bytes)
                }
                None => Fetched::NotHeld,
            })
        }
        .boxed_local()
    }

    /// The list of a version's chunks; an agent that reads it from the origin may have it soon.
    fn manifest(&self, version: Digest) -> Answer<Option<Bytes>> {
        let shelf = self.shelf.clone();
        async move {
            let manifest = shelf.manifest(&version, LIST_WAIT).await;
            let bytes = manifest
                .map(|manifest| pack::encode(&manifest))
                .transpose()?;
            Ok(bytes.map(Bytes::from))
        }
        .boxed_local()
    }
}
