//! The plain ways to compare with: everyone draws from the origin, or a fixed chain.
//!
//! Agents keep chunks in memory and verify them; links have the same rates as in the product's
//! way, without its reserve, so the comparison favours the plain ways.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use axum::{
    Router,
    extract::{Path, State},
    http::StatusCode,
    routing::get,
};
use bytes::Bytes;
use domain::{
    clock::Clock as _,
    digest::Digest,
    manifest::{Chunk, Manifest},
};
use futures::{StreamExt, stream};
use host::clock::Boot;
use parking_lot::Mutex;
use policy::pacer::Pacer;
use tokio::{net::TcpListener, sync::watch, task::JoinHandle, time};

use super::{
    live::Counters,
    plan::{Plan, Strategy},
    report::{Figures, Share},
    site::{Site, processor_time},
};
use crate::error::Error;

/// The port of the chain's agents.
const CHUNK_PORT: u16 = 4_010;
/// How long a chunk may be awaited from the agent before.
const PATIENCE: Duration = Duration::from_secs(300);

/// One agent.
struct Node {
    region: usize,
    up: Mutex<Pacer>,
    down: Mutex<Pacer>,
    /// The link over which the agent before it sends, if that is in another region.
    across: Option<Mutex<Pacer>>,
    chunks: Mutex<HashMap<Digest, Bytes>>,
    count: watch::Sender<usize>,
    received: AtomicU64,
    remote: AtomicU64,
    sent: AtomicU64,
}

impl Node {
    fn new(plan: &Plan, index: usize) -> Self {
        let region = plan.region_of(index);
        let is_across = index > 0 && plan.region_of(index - 1) != region;
        let link = || Mutex::new(Pacer::new(plan.link_rate, 0));
        Self {
            region,
            up: link(),
            down: link(),
            across: (is_across && plan.strategy == Strategy::Chain)
                .then(|| Mutex::new(Pacer::new(plan.region_rate, 0))),
            chunks: Mutex::default(),
            count: watch::channel(0).0,
            received: AtomicU64::new(0),
            remote: AtomicU64::new(0),
            sent: AtomicU64::new(0),
        }
    }

    async fn take(&self, client: &origin::Client, chunk: Chunk) -> Result<(), Error> {
        let bytes = u64::from(chunk.bytes);
        let mut wait = self.down.lock().reserve(bytes, Boot.now());
        if let Some(across) = &self.across {
            wait = wait.max(across.lock().reserve(bytes, Boot.now()));
            self.remote.fetch_add(bytes, Ordering::Relaxed);
        }
        time::sleep(wait).await;
        let content = client
            .chunk(chunk.digest, chunk.bytes as usize)
            .await
            .map_err(Error::step("read a chunk"))?;
        if Digest::of(&content) != chunk.digest {
            let detail = format!("{} is not {}", client.peer(), chunk.digest);
            return Err(Error::Broken { detail });
        }
        self.received.fetch_add(bytes, Ordering::Relaxed);
        self.chunks.lock().insert(chunk.digest, content);
        self.count.send_modify(|count| *count += 1);
        Ok(())
    }

    async fn give(&self, digest: Digest) -> Option<Bytes> {
        let mut count = self.count.subscribe();
        loop {
            let found = self.chunks.lock().get(&digest).cloned();
            if let Some(content) = found {
                let wait = self.up.lock().reserve(content.len() as u64, Boot.now());
                time::sleep(wait).await;
                self.sent.fetch_add(content.len() as u64, Ordering::Relaxed);
                return Some(content);
            }
            count.changed().await.ok()?;
        }
    }
}

/// Runs a plain strategy once.
pub(super) async fn run(plan: &Plan) -> Result<Figures, Error> {
    let site = Site::start(plan).await?;
    let nodes: Vec<_> = (0..plan.replicas)
        .map(|index| Arc::new(Node::new(plan, index)))
        .collect();
    let mut servers = Vec::new();
    for (index, node) in nodes.iter().enumerate() {
        servers.push(serve(site.network.addr(index + 1, CHUNK_PORT), node.clone()).await?);
    }
    let load = site
        .start_load(plan, nodes.iter().map(counters).collect())
        .await?;
    let processor = processor_time();
    let started = Instant::now();
    let transfers = nodes.iter().enumerate().map(|(index, node)| {
        let source = match (plan.strategy, index) {
            (Strategy::Chain, 1..) => site.network.addr(index, CHUNK_PORT),
            _ => site.origin.addr(),
        };
        tokio::spawn(transfer(plan.pipeline, chunks(&site), node.clone(), source))
    });
    let transfers: Vec<_> = transfers.collect();
    for task in transfers {
        task.await.map_err(Error::step("run a transfer"))??;
    }
    let elapsed = started.elapsed();
    let processor = processor_time() - processor;
    let calls = load.end().await;
    servers.iter().for_each(JoinHandle::abort);
    Ok(Figures {
        elapsed,
        origin_bytes: site.origin.stats().total_bytes(),
        shares: nodes.iter().map(|node| share(node)).collect(),
        calls,
        processor,
    })
}

fn chunks(site: &Site) -> Vec<Chunk> {
    site.versions
        .iter()
        .filter_map(|version| site.origin.manifest(&version.artifact()))
        .filter_map(|bytes| Manifest::from_json(&bytes).ok())
        .flat_map(|manifest| manifest.chunks)
        .collect()
}

async fn transfer(
    pipeline: usize,
    chunks: Vec<Chunk>,
    node: Arc<Node>,
    source: SocketAddr,
) -> Result<(), Error> {
    let client = origin::Client::new(source).with_progress_timeout(PATIENCE);
    let mut fetches = stream::iter(chunks)
        .map(|chunk| node.take(&client, chunk))
        .buffered(pipeline);
    while let Some(result) = fetches.next().await {
        result?;
    }
    Ok(())
}

async fn serve(addr: SocketAddr, node: Arc<Node>) -> Result<JoinHandle<()>, Error> {
    let listener = TcpListener::bind(addr)
        .await
        .map_err(Error::step("listen for chunks"))?;
    let router = Router::new()
        .route("/chunks/{digest}", get(give))
        .with_state(node);
    Ok(tokio::spawn(async move {
        // It ends only with the task.
        let _ = axum::serve(listener, router).await;
    }))
}

async fn give(
    State(node): State<Arc<Node>>,
    Path(digest): Path<String>,
) -> Result<Bytes, StatusCode> {
    let digest = digest.parse().map_err(|_| StatusCode::BAD_REQUEST)?;
    node.give(digest).await.ok_or(StatusCode::NOT_FOUND)
}

fn counters(node: &Arc<Node>) -> Counters {
    let node = node.clone();
    Arc::new(move || {
        (
            node.received.load(Ordering::Relaxed),
            node.sent.load(Ordering::Relaxed),
        )
    })
}

fn share(node: &Node) -> Share {
    Share {
        region: node.region,
        received: node.received.load(Ordering::Relaxed),
        remote: node.remote.load(Ordering::Relaxed),
        sent: node.sent.load(Ordering::Relaxed),
        control: 0,
    }
}
