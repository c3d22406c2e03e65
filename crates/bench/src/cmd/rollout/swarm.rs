//! The product's way: the agents' own transfer, with the members handed in.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use agent::{
    depot::{Depot as _, Progress, Table},
    weights::{Config, Depot, Peer, Roster, Traffic, Volume},
};
use domain::artifact;
use host::clock::Boot;
use parking_lot::Mutex;
use peer::connection::Dialer;
use policy::owner::Member;
use settings::{agent::Weights, common::Place};
use telemetry::{log, metrics::Metrics};
use tempfile::TempDir;
use tokio::{sync::watch, time};

use super::{
    live::Counters,
    plan::Plan,
    report::{Figures, Share},
    site::{Site, processor_time},
};
use crate::error::Error;

/// The port of chunk exchange.
const CHUNK_PORT: u16 = 4_010;
/// A run that takes longer than this many times the bound has failed.
const MAX_BOUNDS: f64 = 20.0;
/// Room for everything; the spool's limit is not what is measured.
const SPOOL_BYTES: u64 = 1 << 40;

struct Members {
    peers: Mutex<Vec<Peer>>,
    changes: watch::Sender<u64>,
}

impl Roster for Members {
    fn peers(&self) -> Vec<Peer> {
        self.peers.lock().clone()
    }

    fn changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }
}

struct Node {
    member: Member,
    region: usize,
    folder: TempDir,
    depot: Option<Depot>,
    traffic: Arc<Traffic>,
    before: Volume,
}

/// Runs the transfer once.
pub(super) async fn run(plan: &Plan) -> Result<Figures, Error> {
    let site = Site::start(plan).await?;
    let members = Arc::new(Members {
        peers: Mutex::default(),
        changes: watch::channel(0).0,
    });
    let mut nodes = (0..plan.replicas)
        .map(|index| start(plan, &site, &members, index))
        .collect::<Result<Vec<_>, _>>()?;
    publish(&members, &nodes);
    let counters = nodes.iter().map(counters).collect();
    let load = site.start_load(plan, counters).await?;
    let processor = processor_time();
    let started = Instant::now();
    nodes.iter().for_each(|node| want(&site, node));
    restart_some(plan, &site, &members, &mut nodes).await?;
    let limit = Duration::from_secs_f64(plan.bound_seconds() * MAX_BOUNDS);
    for node in &nodes {
        let rest = limit.saturating_sub(started.elapsed());
        wait_held(&site, node, rest).await?;
    }
    let elapsed = started.elapsed();
    let processor = processor_time() - processor;
    let calls = load.end().await;
    let shares = nodes.iter().map(share).collect();
    let origin_bytes = site.origin.stats().total_bytes();
    drop(nodes);
    Ok(Figures {
        elapsed,
        origin_bytes,
        shares,
        calls,
        processor,
    })
}

fn start(plan: &Plan, site: &Site, members: &Arc<Members>, index: usize) -> Result<Node, Error> {
    let region = plan.region_of(index);
    let folder = tempfile::tempdir().map_err(Error::step("create a folder"))?;
    let member = Member {
        vm: format!("vm{index}").as_str().into(),
        zone: format!("r{region}-{}", index % 2).as_str().into(),
        region: format!("r{region}").as_str().into(),
    };
    let depot = open(plan, site, members, &member, &folder, index)?;
    Ok(Node {
        member,
        region,
        folder,
        traffic: depot.traffic(),
        depot: Some(depot),
        before: Volume::default(),
    })
}

fn open(
    plan: &Plan,
    site: &Site,
    members: &Arc<Members>,
    member: &Member,
    folder: &TempDir,
    index: usize,
) -> Result<Depot, Error> {
    let config = Config {
        weights: Weights {
            spool: folder.path().to_owned(),
            spool_bytes: SPOOL_BYTES,
            origin: site.origin.addr(),
            store: None,
            link_bytes_per_s: plan.link_rate,
            region_link_bytes_per_s: plan.region_rate,
            live_percent: 10,
            neighbours: plan.neighbours,
            pipeline: plan.pipeline,
            origin_percent_max: plan.origin_percent,
            slots: 8,
            artifacts: None,
        },
        place: Place {
            vm: member.vm.clone(),
            zone: member.zone.clone(),
            region: member.region.clone(),
        },
        chunk_listen: site.network.addr(index + 1, CHUNK_PORT),
    };
    let metrics = Metrics::new().map_err(Error::step("set up metrics"))?;
    let depot = Depot::new(
        config,
        members.clone(),
        Dialer::new(b"bench".as_slice()),
        Arc::new(Boot),
        log::discard(),
        &metrics,
    )
    .map_err(Error::step("start an agent's transfer"))?;
    depot.set_in_use(Vec::new());
    Ok(depot)
}

fn publish(members: &Members, nodes: &[Node]) {
    *members.peers.lock() = nodes
        .iter()
        .filter_map(|node| {
            Some(Peer {
                member: node.member.clone(),
                chunk_addr: node.depot.as_ref()?.chunk_addr(),
            })
        })
        .collect();
    members.changes.send_modify(|count| *count += 1);
}

fn want(site: &Site, node: &Node) {
    let wanted = site
        .versions
        .iter()
        .map(|version| (version.artifact(), version.pin))
        .collect();
    if let Some(depot) = &node.depot {
        depot.want(wanted);
    }
}

fn counters(node: &Node) -> Counters {
    let traffic = node.traffic.clone();
    Arc::new(move || {
        let volume = traffic.volume();
        (volume.received(), volume.sent)
    })
}

/// Restarts agents spread over the run's expected time, each on its folder.
async fn restart_some(
    plan: &Plan,
    site: &Site,
    members: &Arc<Members>,
    nodes: &mut [Node],
) -> Result<(), Error> {
    let turns = plan.restarts.min(nodes.len());
    if turns == 0 {
        return Ok(());
    }
    let pause = Duration::from_secs_f64(plan.bound_seconds() / (turns + 1) as f64);
    let stride = nodes.len() / turns;
    for turn in 0..turns {
        time::sleep(pause).await;
        let index = turn * stride;
        let node = &mut nodes[index];
        node.before = sum(node.before, node.traffic.volume());
        node.depot = None;
        let depot = open(plan, site, members, &node.member, &node.folder, index)?;
        node.traffic = depot.traffic();
        node.depot = Some(depot);
        want(site, node);
    }
    Ok(())
}

async fn wait_held(site: &Site, node: &Node, limit: Duration) -> Result<(), Error> {
    let Some(depot) = &node.depot else {
        return Ok(());
    };
    let artifacts: Vec<artifact::Id> = site.versions.iter().map(|v| v.artifact()).collect();
    let is_done = |table: &Arc<Table>| {
        artifacts
            .iter()
            .all(|artifact| matches!(table.get(artifact), Some(Progress::Held(_))))
    };
    let mut table = depot.table();
    let is_held = time::timeout(limit, table.wait_for(is_done)).await.is_ok();
    match is_held {
        true => Ok(()),
        false => Err(Error::Broken {
            detail: format!(
                "{} does not hold every version after {:?} more: {:?}",
                node.member.vm,
                limit,
                depot.table().borrow()
            ),
        }),
    }
}

fn share(node: &Node) -> Share {
    let volume = sum(node.before, node.traffic.volume());
    Share {
        region: node.region,
        received: volume.received(),
        remote: volume.remote,
        sent: volume.sent,
        control: volume.control,
    }
}

fn sum(a: Volume, b: Volume) -> Volume {
    Volume {
        local: a.local + b.local,
        remote: a.remote + b.remote,
        store: a.store + b.store,
        origin: a.origin + b.origin,
        sent: a.sent + b.sent,
        refused: a.refused + b.refused,
        control: a.control + b.control,
        stored: a.stored + b.stored,
    }
}
