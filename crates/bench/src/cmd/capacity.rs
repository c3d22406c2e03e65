//! `gypsum-bench capacity`: costs of the shared state at growing sizes, for `docs/CAPACITY.md`.

use std::{fs, net::SocketAddr, time::Instant};

use clap::{ArgMatches, Command};
use domain::{
    artifact,
    edit::Revision,
    order::Fence,
    record::{Batch, Cursor, Delta, Record},
    vm::{Announcement, Holding, Lifecycle, Status, Upstream, Vm},
};
use policy::view::View;
use serde::Serialize;

use crate::error::Error;

/// Fleet sizes, in VMs.
const SIZES: [u32; 4] = [250, 1_000, 2_100, 4_200];
/// How many versions each VM serves.
const VERSIONS: u32 = 3;
/// How many changes are applied one by one.
const CHANGES: u32 = 200;

/// What one size costs.
#[derive(Serialize)]
struct Row {
    measure: &'static str,
    vms: u32,
    record_bytes: usize,
    snapshot_bytes: usize,
    snapshot_ms: f64,
    change_us: f64,
    resident_kb: u64,
}

/// The arguments.
pub fn command() -> Command {
    Command::new("capacity").about("Costs of the feed's view at growing fleet sizes")
}

/// Runs the measurement and prints one JSON object per line.
///
/// # Errors
///
/// If it could not be run to its end.
pub fn run(_: &ArgMatches) -> Result<(), Error> {
    SIZES.iter().try_for_each(|size| {
        let row = measure(*size)?;
        let line = serde_json::to_string(&row).map_err(Error::step("write a row"))?;
        println!("{line}");
        Ok(())
    })
}

fn measure(vms: u32) -> Result<Row, Error> {
    let before = resident_kb();
    let snapshot: Vec<Delta> = (0..vms).map(|i| Delta::Set(record(i, 0))).collect();
    let packs = snapshot
        .iter()
        .map(peer::pack::encode)
        .collect::<Result<Vec<_>, _>>()
        .map_err(Error::step("encode a record"))?;
    let snapshot_bytes = packs.iter().map(Vec::len).sum::<usize>();

    let mut view = View::default();
    let begin = Instant::now();
    apply(&mut view, true, decode(&packs)?)?;
    let snapshot_ms = begin.elapsed().as_secs_f64() * 1e3;
    drop((snapshot, packs));
    let resident_kb = resident_kb().saturating_sub(before);

    let begin = Instant::now();
    for i in 0..CHANGES {
        // The link keeps the old view for its readers, as a copy that shares the records.
        let mut next = view.clone();
        apply(&mut next, false, vec![Delta::Set(record(i % vms, i))])?;
        view = next;
    }
    let change_us = begin.elapsed().as_secs_f64() * 1e6 / f64::from(CHANGES);
    let record_bytes = snapshot_bytes / vms as usize;
    Ok(Row {
        measure: "view",
        vms,
        record_bytes,
        snapshot_bytes,
        snapshot_ms,
        change_us,
        resident_kb,
    })
}

fn decode(packs: &[Vec<u8>]) -> Result<Vec<Delta>, Error> {
    packs
        .iter()
        .map(|pack| peer::pack::decode(pack))
        .collect::<Result<_, _>>()
        .map_err(Error::step("decode a record"))
}

fn apply(view: &mut View, is_snapshot: bool, deltas: Vec<Delta>) -> Result<(), Error> {
    let batch = Batch {
        is_snapshot,
        deltas,
        revision: Revision(1),
        commit: 1,
        cursor: Cursor {
            epoch: 1,
            sequence: 1,
        },
        age_ms: 0,
        held_ms: 0,
    };
    view.apply(batch).map_err(Error::step("apply a batch"))
}

fn record(i: u32, limit: u32) -> Record {
    let addr = |port: u16| SocketAddr::from(([10, 0, (i / 250) as u8, (i % 250) as u8], port));
    let holdings = (0..VERSIONS).map(|n| {
        (
            artifact::Id::new("assistant", n.to_string().as_str()),
            Holding::Serving,
        )
    });
    Record::Vm(Box::new(Vm {
        announcement: Announcement {
            vm: format!("runner-{i}").as_str().into(),
            zone: format!("zone-{}", i % 13).as_str().into(),
            region: format!("region-{}", i % 5).as_str().into(),
            incarnation: 1,
            call_addr: addr(7200),
            chunk_addr: addr(7201),
            upstream: Upstream::Engine {
                checks_fencing: true,
            },
        },
        status: Status {
            lifecycle: Lifecycle::Warm,
            holdings: holdings.collect(),
            fence: Fence { term: 1, index: 1 },
            limit,
        },
    }))
}

/// The resident memory of this process, in kilobytes; zero where the system does not tell.
pub(crate) fn resident_kb() -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))
        .and_then(|rest| rest.split_whitespace().next()?.parse().ok())
        .unwrap_or_default()
}
