//! The HTTP side of the stand-in.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use axum::{
    Json, Router,
    body::Body,
    extract::{Path, State},
    http::{StatusCode, header},
    response::{IntoResponse, Response},
    routing::{get, post},
};
use bytes::Bytes;
use domain::{artifact, digest::Digest, manifest::Pin};
use futures::{Stream, StreamExt, future, stream};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tokio::{net::TcpListener, task::JoinHandle};

use super::{
    content::{Library, Spec},
    fault::{Fault, Faults, Kind, Target},
    throttle::Throttle,
};

/// How much is sent at a time, so that answers share the rate.
const PIECE_BYTES: usize = 16 * 1024;
/// A stand-in that refuses for rate does so beyond this wait.
const MAX_BACKLOG: Duration = Duration::from_millis(500);

/// What is served and how fast.
#[derive(Clone, Debug, Default)]
pub struct Config {
    /// The versions.
    pub artifacts: Vec<Spec>,
    /// The rate of all answers together, in bytes per second.
    pub bytes_per_s: Option<u64>,
    /// Whether it answers 429 when the rate is used up, as the weight store does.
    pub is_refusing: bool,
}

/// What was sent.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stats {
    /// Bytes of chunks, by the version in which the chunk first stood.
    pub chunk_bytes: BTreeMap<String, u64>,
    /// Answers with a manifest.
    pub manifests: u64,
    /// Answers with a chunk.
    pub chunks: u64,
    /// Answers 429 because the rate was used up.
    pub refusals: u64,
}

impl Stats {
    /// Bytes of chunks of all versions.
    pub fn total_bytes(&self) -> u64 {
        self.chunk_bytes.values().sum()
    }
}

struct Shared {
    library: Mutex<Library>,
    faults: Mutex<Faults>,
    stats: Mutex<Stats>,
    sent: Mutex<BTreeMap<artifact::Id, Arc<AtomicU64>>>,
    throttle: Throttle,
    is_refusing: bool,
}

/// A running stand-in. Dropping it closes its listener.
pub struct Origin {
    addr: SocketAddr,
    shared: Arc<Shared>,
    task: JoinHandle<()>,
}

impl Origin {
    /// Starts on the given address; port 0 takes a free one.
    ///
    /// # Errors
    ///
    /// If the address can't be listened on.
    pub async fn start(addr: SocketAddr, config: Config) -> std::io::Result<Self> {
        let listener = TcpListener::bind(addr).await?;
        let addr = listener.local_addr()?;
        let mut library = Library::default();
        for spec in &config.artifacts {
            library.add(spec);
        }
        let shared = Arc::new(Shared {
            library: Mutex::new(library),
            faults: Mutex::default(),
            stats: Mutex::default(),
            sent: Mutex::default(),
            throttle: Throttle::new(config.bytes_per_s),
            is_refusing: config.is_refusing,
        });
        let router = router(shared.clone());
        let task = tokio::spawn(async move {
            // It ends only with the task.
            let _ = axum::serve(listener, router).await;
        });
        Ok(Self { addr, shared, task })
    }

    /// Where it listens.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Adds a version, and says what control would pin.
    pub fn add(&self, spec: &Spec) -> Pin {
        self.shared.library.lock().add(spec)
    }

    /// The manifest of a version, as it is served.
    pub fn manifest(&self, artifact: &artifact::Id) -> Option<Bytes> {
        self.shared.library.lock().manifest(artifact)
    }

    /// Sets the faults from now on.
    pub fn set_faults(&self, faults: impl IntoIterator<Item = Fault>) {
        self.shared.faults.lock().set(faults.into_iter().collect());
    }

    /// What was sent so far.
    pub fn stats(&self) -> Stats {
        self.shared.stats()
    }

    /// Serves until the process ends.
    pub async fn run(mut self) {
        // The task ends only when the process does.
        let _ = (&mut self.task).await;
    }
}

impl Drop for Origin {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Shared {
    fn stats(&self) -> Stats {
        let mut stats = self.stats.lock().clone();
        stats.chunk_bytes = self
            .sent
            .lock()
            .iter()
            .map(|(id, bytes)| (id.to_string(), bytes.load(Ordering::Relaxed)))
            .collect();
        stats
    }

    fn counter(&self, artifact: &artifact::Id) -> Arc<AtomicU64> {
        self.sent
            .lock()
            .entry(artifact.clone())
            .or_default()
            .clone()
    }

    /// The bytes in pieces, each as soon as the rate allows it.
    fn pieces(
        self: &Arc<Self>,
        bytes: Bytes,
        counter: Arc<AtomicU64>,
    ) -> impl Stream<Item = std::io::Result<Bytes>> + use<> {
        let shared = self.clone();
        stream::unfold(bytes, move |mut rest| {
            let (shared, counter) = (shared.clone(), counter.clone());
            async move {
                if rest.is_empty() {
                    return None;
                }
                let piece = rest.split_to(rest.len().min(PIECE_BYTES));
                shared.throttle.pass(piece.len()).await;
                counter.fetch_add(piece.len() as u64, Ordering::Relaxed);
                Some((Ok(piece), rest))
            }
        })
    }
}

fn router(shared: Arc<Shared>) -> Router {
    Router::new()
        .route("/manifests/{name}/{version}", get(manifest))
        .route("/chunks/{digest}", get(chunk))
        .route("/stats", get(stats))
        .route("/faults", post(faults))
        .route("/artifacts", post(artifacts))
        .with_state(shared)
}

#[derive(Deserialize)]
struct ManifestPath {
    name: String,
    version: String,
}

async fn manifest(State(shared): State<Arc<Shared>>, Path(path): Path<ManifestPath>) -> Response {
    let id = artifact::Id::new(path.name.as_str(), path.version.as_str());
    let Some(bytes) = shared.library.lock().manifest(&id) else {
        return StatusCode::NOT_FOUND.into_response();
    };
    shared.stats.lock().manifests += 1;
    let kind = shared.faults.lock().take(Target::Manifest, &id);
    let swapped = || {
        let spec = Spec::new(id.clone(), 4_096).with_chunk_bytes(1_024);
        let mut library = Library::default();
        library.add(&Spec { seed: 1, ..spec });
        library.manifest(&id).unwrap_or_default()
    };
    // Manifests are small and not counted as weights.
    answer(&shared, bytes, kind, Arc::default(), swapped)
}

async fn chunk(State(shared): State<Arc<Shared>>, Path(digest): Path<String>) -> Response {
    let Ok(digest) = digest.parse::<Digest>() else {
        return StatusCode::BAD_REQUEST.into_response();
    };
    if shared.is_refusing && shared.throttle.backlog() > MAX_BACKLOG {
        shared.stats.lock().refusals += 1;
        return too_many();
    }
    let Some((id, bytes)) = shared.library.lock().chunk(&digest) else {
        return StatusCode::NOT_FOUND.into_response();
    };
    shared.stats.lock().chunks += 1;
    let kind = shared.faults.lock().take(Target::Chunk, &id);
    let counter = shared.counter(&id);
    let length = bytes.len();
    answer(&shared, bytes, kind, counter, || vec![0; length].into())
}

fn answer(
    shared: &Arc<Shared>,
    bytes: Bytes,
    kind: Option<Kind>,
    counter: Arc<AtomicU64>,
    swapped: impl FnOnce() -> Bytes,
) -> Response {
    let length = bytes.len();
    let half = bytes.slice(..length / 2);
    let broken = || stream::iter([Err(std::io::Error::other("cut on request"))]);
    match kind {
        None => sized(length, shared.pieces(bytes, counter)),
        Some(Kind::Corrupt) => {
            let mut bytes = bytes.to_vec();
            if let Some(byte) = bytes.first_mut() {
                *byte ^= 1;
            }
            sized(length, shared.pieces(bytes.into(), counter))
        }
        Some(Kind::Swap) => {
            let bytes = swapped();
            sized(bytes.len(), shared.pieces(bytes, counter))
        }
        Some(Kind::Short) => sized(half.len(), shared.pieces(half, counter)),
        Some(Kind::Cut) => sized(length, shared.pieces(half, counter).chain(broken())),
        Some(Kind::Stall) => {
            let silence = stream::once(future::pending());
            sized(length, shared.pieces(half, counter).chain(silence))
        }
        Some(Kind::Endless) => {
            let noise = stream::repeat_with(|| Ok(Bytes::from_static(&[0; PIECE_BYTES])));
            let body = shared.pieces(bytes, counter).chain(noise);
            Body::from_stream(body).into_response()
        }
        Some(Kind::Throttle) => too_many(),
        Some(Kind::Error) => StatusCode::INTERNAL_SERVER_ERROR.into_response(),
    }
}

fn sized(
    length: usize,
    body: impl Stream<Item = std::io::Result<Bytes>> + Send + 'static,
) -> Response {
    let length = [(header::CONTENT_LENGTH, length.to_string())];
    (length, Body::from_stream(body)).into_response()
}

fn too_many() -> Response {
    (StatusCode::TOO_MANY_REQUESTS, [(header::RETRY_AFTER, "1")]).into_response()
}

async fn stats(State(shared): State<Arc<Shared>>) -> Json<Stats> {
    Json(shared.stats())
}

async fn faults(State(shared): State<Arc<Shared>>, Json(faults): Json<Vec<Fault>>) -> StatusCode {
    shared.faults.lock().set(faults);
    StatusCode::NO_CONTENT
}

async fn artifacts(State(shared): State<Arc<Shared>>, Json(spec): Json<Spec>) -> Json<Pin> {
    Json(shared.library.lock().add(&spec))
}
