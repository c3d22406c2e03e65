//! Admission of a version: manifest, room in the spool, and what lies there already.

use std::{collections::BTreeSet, rc::Rc, sync::Arc, time::Duration};

use bytes::Bytes;
use domain::{
    artifact,
    digest::Digest,
    manifest::{Chunk, Pin},
    name,
};
use policy::{
    owner::Owners,
    swarm::{Bitmap, ring},
};
use slog::warn;
use tokio::{task::spawn_blocking, time};

use super::{
    Error,
    core::{Core, check},
};
use crate::depot::Progress;

/// The pause between two questions to peers for a manifest.
const PEER_PAUSE: Duration = Duration::from_millis(100);
/// How long each further owner waits for the one before it to read the manifest at the origin.
const OWNER_TURN: Duration = Duration::from_secs(2);
/// How many owners read the manifest at the origin while no peer has it.
const ORIGIN_READERS: usize = 4;
/// How long all others wait for a peer with the manifest.
const OTHERS_TURN: Duration = Duration::from_secs(15);
/// The pause after a failed admission.
const RETRY: Duration = Duration::from_secs(3);

/// Admits the version, and tries again until it is dropped.
pub(super) async fn run(core: Rc<Core>, artifact: artifact::Id, pin: Pin) {
    while let Err(error) = admit(&core, &artifact, &pin).await {
        warn!(core.logger, "weights: {}", error; "artifact" => %artifact);
        let reason = error.to_string().into();
        core.report(&artifact, Progress::Failed { reason });
        time::sleep(RETRY.mul_f64(rand::random_range(0.8..1.2))).await;
    }
}

async fn admit(core: &Rc<Core>, artifact: &artifact::Id, pin: &Pin) -> Result<(), Error> {
    let bytes = manifest(core, artifact, pin).await?;
    let chunks = check(artifact, pin, &bytes)?;
    reserve(core, artifact, &chunks)?;
    write_manifest(core, pin, bytes).await?;
    let held = verify(core, &chunks).await;
    let now = core.now();
    {
        let mut state = core.state.borrow_mut();
        for index in held.iter() {
            let chunk = &chunks[index];
            state.verified.insert(chunk.digest, chunk.bytes.into());
        }
        state.uploads.open(pin.digest, pin.total_bytes);
        state.swarm.want(pin.digest, chunks, held, 1, now);
    }
    core.announce();
    Ok(())
}

/// Books room for the missing chunks, beside what other versions still need.
fn reserve(core: &Core, artifact: &artifact::Id, chunks: &Arc<[Chunk]>) -> Result<(), Error> {
    let (others, may_evict) = {
        let state = core.state.borrow();
        let others = state.versions.iter().filter(|(id, _)| *id != artifact);
        let sum: u64 = others.map(|(_, version)| version.reserved).sum();
        (sum, state.in_use.is_some())
    };
    let needed = core.spool.missing_bytes(chunks);
    let mut kept = core.kept();
    kept.extend(chunks.iter().map(|chunk| chunk.digest));
    if !may_evict {
        // Until the engine's versions are known, every chunk may belong to one of them.
        kept.extend(core.spool.held());
    }
    let evicted = core.spool.make_room(needed + others, &kept)?;
    let mut state = core.state.borrow_mut();
    for digest in &evicted {
        state.verified.remove(digest);
    }
    if let Some(version) = state.versions.get_mut(artifact) {
        version.chunks = Some(chunks.clone());
        version.reserved = needed;
    }
    Ok(())
}

async fn write_manifest(core: &Core, pin: &Pin, bytes: Bytes) -> Result<(), Error> {
    let (spool, digest) = (core.spool.clone(), pin.digest);
    block(move || spool.write_manifest(&digest, &bytes)).await
}

async fn verify(core: &Core, chunks: &Arc<[Chunk]>) -> Bitmap {
    let (spool, chunks) = (core.spool.clone(), chunks.clone());
    block(move || {
        let mut held = Bitmap::new(chunks.len());
        for (index, chunk) in chunks.iter().enumerate() {
            if spool.verify(chunk) {
                held.insert(index);
            }
        }
        held
    })
    .await
}

/// Runs something that waits for the disk. A panic in it is passed on.
pub(super) async fn block<T: Send + 'static>(work: impl FnOnce() -> T + Send + 'static) -> T {
    match spawn_blocking(work).await {
        Ok(value) => value,
        Err(error) => std::panic::resume_unwind(error.into_panic()),
    }
}

/// The manifest's bytes from the spool, a peer or the origin, in that order.
async fn manifest(core: &Rc<Core>, artifact: &artifact::Id, pin: &Pin) -> Result<Bytes, Error> {
    let (spool, digest) = (core.spool.clone(), pin.digest);
    if let Some(bytes) = block(move || spool.read_manifest(&digest)).await {
        return Ok(bytes);
    }
    let started = core.now();
    let jitter = rand::random_range(1.0..1.5);
    let mut is_asked = false;
    let mut asked = 0;
    loop {
        let (peers, turn) = helpers(core, &pin.digest);
        let is_due = core.now().since(started) >= turn.mul_f64(jitter);
        if is_due && !is_asked {
            is_asked = true;
            match from_origin(core, artifact, pin).await {
                Ok(bytes) => return Ok(bytes),
                Err(error) if peers.is_empty() => return Err(error),
                Err(error) => {
                    warn!(core.logger, "weights: {}", error; "artifact" => %artifact);
                    let reason = error.to_string().into();
                    core.report(artifact, Progress::Failed { reason });
                }
            }
        }
        if let Some(vm) = peers.get(asked % peers.len().max(1))
            && let Some(bytes) = from_peer(core, vm, &pin.digest).await
        {
            return Ok(bytes);
        }
        asked += 1;
        if core.now().since(started) > OTHERS_TURN * 2 {
            let detail = "no peer has it, and the origin gave none".to_owned();
            let artifact = artifact.clone();
            return super::error::UnreadableSnafu { artifact, detail }.fail();
        }
        time::sleep(PEER_PAUSE.mul_f64(rand::random_range(0.5..1.5))).await;
    }
}

/// The peers to ask for the manifest, and how long to wait before the origin is asked.
fn helpers(core: &Core, manifest: &Digest) -> (Vec<name::Vm>, Duration) {
    let state = core.state.borrow();
    let mut members: Vec<_> = state.members.values().cloned().collect();
    members.retain(|member| member.vm != core.me.vm);
    members.push(core.me.clone());
    let owners = Owners::new(manifest, &members);
    let order = owners.global(manifest);
    let place = order.iter().position(|vm| **vm == core.me.vm);
    let turn = match place {
        Some(place) if place < ORIGIN_READERS => {
            OWNER_TURN * u32::try_from(place).unwrap_or_default()
        }
        _ => OTHERS_TURN,
    };
    let count = core.config.weights.neighbours;
    let near = ring::neighbours(manifest, &core.me, &members, count);
    let first = order.into_iter().take(ORIGIN_READERS).cloned();
    let mut peers: BTreeSet<_> = first.chain(near).collect();
    peers.remove(&core.me.vm);
    let mut peers: Vec<_> = peers.into_iter().collect();
    let turns = rand::random_range(0..peers.len().max(1));
    peers.rotate_left(turns);
    (peers, turn)
}

async fn from_origin(core: &Core, artifact: &artifact::Id, pin: &Pin) -> Result<Bytes, Error> {
    let read = core.sources.origin().manifest(artifact).await;
    let bytes = read.map_err(|error| Error::Unreadable {
        artifact: artifact.clone(),
        detail: error.to_string(),
    })?;
    check(artifact, pin, &bytes)?;
    Ok(bytes)
}

async fn from_peer(core: &Rc<Core>, vm: &name::Vm, manifest: &Digest) -> Option<Bytes> {
    let addr = *core.state.borrow().addresses.get(vm)?;
    let session = core.pool.session(vm, addr).await.ok()?;
    match session.manifest(*manifest).await {
        Ok(bytes) => bytes.filter(|bytes| Digest::of(bytes) == *manifest),
        Err(_) => {
            core.pool.close(vm, &session);
            None
        }
    }
}
