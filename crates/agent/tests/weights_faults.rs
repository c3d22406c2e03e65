//! The transfer of weights with faults: each source in each way, at each step.
#![allow(clippy::unwrap_used)]

mod fixture;

use agent::{
    depot::{Depot as _, Progress},
    weights::Peer,
};
use fakes::origin::{Fault, Kind, Spec, Target};
use fixture::{
    Fleet, artifact, check, chunk_files,
    impostor::{self, Manner},
    member, spec, wait, wait_chunks, wait_failed, wait_held,
};
use futures::future::join_all;

/// What the origin may send in any case, in copies.
const MAX_COPIES: f64 = 4.0;

#[tokio::test(flavor = "multi_thread")]
async fn a_peer_that_misbehaves_never_stops_a_version_or_spoils_it() {
    let manners = [
        Manner::Corrupt,
        Manner::Short,
        Manner::Endless,
        Manner::Stall,
        Manner::Lie,
        Manner::Busy,
        Manner::Frozen,
    ];
    join_all(manners.map(|manner| async move {
        let spec = spec("v1", 20);
        let fleet = Fleet::new([]).await.with_nodes(4, 2);
        fleet.members.set(Peer {
            member: member("impostor", "r0"),
            chunk_addr: impostor::start(manner),
        });
        let pin = fleet.origin.add(&spec);
        fleet.want(&[(artifact("v1"), pin)]);
        fleet.wait_held(&artifact("v1")).await;
        println!("{manner:?}: every honest agent holds the version");
        let copies = fleet.origin_copies(spec.bytes);
        assert!(copies <= 2.0, "{manner:?}: {copies} copies");
        let refused: u64 = fleet
            .running()
            .map(|depot| depot.traffic().volume().refused)
            .sum();
        assert_eq!(refused > 0, manner == Manner::Corrupt, "{manner:?}");
    }))
    .await;
}

const KINDS: [Kind; 8] = [
    Kind::Corrupt,
    Kind::Short,
    Kind::Cut,
    Kind::Stall,
    Kind::Endless,
    Kind::Swap,
    Kind::Throttle,
    Kind::Error,
];

#[tokio::test(flavor = "multi_thread")]
async fn wrong_chunks_from_the_origin_are_drawn_again() {
    join_all(KINDS.map(|kind| async move {
        let spec = spec("v1", 20);
        let fleet = Fleet::new([]).await.with_nodes(4, 2);
        let pin = fleet.origin.add(&spec);
        let fault = Fault::new(kind, Target::Chunk).with_count(3);
        fleet.origin.set_faults([fault]);
        fleet.want(&[(artifact("v1"), pin)]);
        fleet.wait_held(&artifact("v1")).await;
        let copies = fleet.origin_copies(spec.bytes);
        assert!(copies <= MAX_COPIES, "{kind:?}: {copies} copies");
    }))
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn the_weight_store_helps_out_even_when_it_is_wrong_at_first() {
    join_all(KINDS.map(|kind| async move {
        let spec = spec("v1", 12);
        let fleet = Fleet::new([]).await.with_store([spec.clone()]).await;
        let fleet = fleet.with_nodes(4, 2);
        let pin = fleet.origin.add(&spec);
        // The origin serves the manifest and no chunk.
        let down = Fault::new(Kind::Error, Target::Chunk);
        fleet.origin.set_faults([down]);
        let fault = Fault::new(kind, Target::Chunk).with_count(2);
        fleet.store.as_ref().unwrap().set_faults([fault]);
        fleet.want(&[(artifact("v1"), pin)]);
        fleet.wait_held(&artifact("v1")).await;
        assert_eq!(fleet.origin.stats().total_bytes(), 0, "{kind:?}");
    }))
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn wrong_manifests_are_refused_and_read_again() {
    join_all(KINDS.map(|kind| async move {
        let spec = spec("v1", 6);
        let fleet = Fleet::new([]).await.with_nodes(3, 1);
        let pin = fleet.origin.add(&spec);
        let fault = Fault::new(kind, Target::Manifest).with_count(2);
        fleet.origin.set_faults([fault]);
        fleet.want(&[(artifact("v1"), pin)]);
        fleet.wait_held(&artifact("v1")).await;
    }))
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_manifest_swapped_after_acceptance_is_never_held() {
    let spec = spec("v1", 6);
    let mut fleet = Fleet::new([]).await.with_nodes(2, 1);
    let pin = fleet.origin.add(&spec);
    fleet
        .origin
        .set_faults([Fault::new(Kind::Swap, Target::Manifest)]);
    fleet.want(&[(artifact("v1"), pin)]);
    for depot in fleet.running() {
        wait_failed(depot, &artifact("v1"), "not the pinned").await;
    }
    assert_eq!(fleet.origin.stats().chunks, 0);
    // Once one agent has the pinned one, others get it from there, whatever the origin says.
    fleet.origin.set_faults([]);
    fleet.wait_held(&artifact("v1")).await;
    fleet
        .origin
        .set_faults([Fault::new(Kind::Swap, Target::Manifest)]);
    let newcomer = fleet.add(member("newcomer", "r0"));
    fleet.want(&[(artifact("v1"), pin)]);
    let files = wait_held(fleet.depot(newcomer), &artifact("v1")).await;
    check(&files);
}

#[tokio::test(flavor = "multi_thread")]
async fn agents_killed_in_the_middle_are_replaced_and_resume() {
    join_all((0..6).map(|victim| async move {
        let spec = spec("v1", 40);
        let rate = spec.bytes / 3;
        let mut fleet = Fleet::with_rate([], rate).await.with_nodes(6, 3);
        let pin = fleet.origin.add(&spec);
        let wanted = [(artifact("v1"), pin)];
        fleet.want(&wanted);
        wait_chunks(fleet.depot(victim), &artifact("v1"), 10).await;
        fleet.stop(victim);
        fleet.wait_held(&artifact("v1")).await;
        let before = fleet.origin_copies(spec.bytes);
        assert!(before <= 2.0, "victim {victim}: {before} copies");
        let kept = chunk_files(&fleet.nodes[victim]);
        assert!(kept >= 10, "{kept} chunks outlived the agent");
        fleet.start(victim);
        fleet.want(&wanted);
        let files = wait_held(fleet.depot(victim), &artifact("v1")).await;
        check(&files);
        let received = fleet.depot(victim).traffic().volume().received();
        let missing = spec.bytes - kept as u64 * u64::from(fixture::CHUNK_BYTES);
        assert_eq!(received, missing, "victim {victim}");
    }))
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_crash_before_the_load_order_costs_no_byte() {
    let spec = spec("v1", 12);
    let mut fleet = Fleet::new([]).await.with_nodes(1, 1);
    let pin = fleet.origin.add(&spec);
    let wanted = [(artifact("v1"), pin)];
    fleet.want(&wanted);
    fleet.wait_held(&artifact("v1")).await;
    fleet.stop(0);
    fleet.start(0);
    fleet.want(&wanted);
    fleet.wait_held(&artifact("v1")).await;
    assert_eq!(fleet.depot(0).traffic().volume().received(), 0);
    assert_eq!(fleet.origin.stats().manifests, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn what_the_disk_spoiled_is_fetched_again() {
    let spec = spec("v1", 12);
    let mut fleet = Fleet::new([]).await.with_nodes(2, 1);
    let pin = fleet.origin.add(&spec);
    let wanted = [(artifact("v1"), pin)];
    fleet.want(&wanted);
    fleet.wait_held(&artifact("v1")).await;
    let files = wait_held(fleet.depot(0), &artifact("v1")).await;
    fleet.stop(0);
    std::fs::write(&files.chunks[3], b"spoiled").unwrap();
    let mut bytes = std::fs::read(&files.chunks[5]).unwrap();
    bytes[100] ^= 1;
    std::fs::write(&files.chunks[5], bytes).unwrap();
    std::fs::write(&files.manifest, b"spoiled").unwrap();
    fleet.start(0);
    fleet.want(&wanted);
    fleet.wait_held(&artifact("v1")).await;
    let received = fleet.depot(0).traffic().volume().received();
    assert_eq!(received, 2 * u64::from(fixture::CHUNK_BYTES));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_version_changed_twice_in_the_middle_leaves_only_the_last() {
    let shared = |version: &str| -> Spec { spec(version, 30).with_shared_chunks(6) };
    let rate = shared("v1").bytes / 3;
    let fleet = Fleet::with_rate([], rate).await.with_nodes(4, 2);
    let mut sum = 0;
    for version in ["v1", "v2", "v3"] {
        let pin = fleet.origin.add(&shared(version));
        sum += pin.total_bytes;
        fleet.want(&[(artifact(version), pin)]);
        let least = if version == "v3" { 30 } else { 8 };
        wait_chunks(fleet.depot(0), &artifact(version), least).await;
    }
    fleet.wait_held(&artifact("v3")).await;
    for node in &fleet.nodes {
        let depot = node.depot.as_ref().unwrap();
        wait(depot, "alone", |table| table.len() == 1).await;
        assert_eq!(chunk_files(node), 30, "{}", node.member.vm);
    }
    assert!(fleet.origin.stats().total_bytes() <= sum * 12 / 10);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_full_spool_says_so_and_never_gives_up_a_version_in_use() {
    let mut fleet = Fleet::new([]).await;
    let (old, new) = (spec("v1", 10), spec("v2", 10));
    let node = fleet.add(member("vm0", "r0"));
    fleet.stop(node);
    fleet.nodes[node].spool_bytes = old.bytes * 3 / 2;
    fleet.start(node);
    let old_pin = fleet.origin.add(&old);
    let new_pin = fleet.origin.add(&new);
    let depot = fleet.depot(node);
    fleet.want(&[(artifact("v1"), old_pin)]);
    let files = wait_held(depot, &artifact("v1")).await;
    depot.set_in_use(vec![artifact("v1")]);
    fleet.want(&[(artifact("v2"), new_pin)]);
    wait_failed(depot, &artifact("v2"), "the spool is full").await;
    check(&files);
    // After a restart the engine still uses the old version, which nobody wants any more.
    fleet.stop(node);
    fleet.start(node);
    let depot = fleet.depot(node);
    depot.set_in_use(vec![artifact("v1")]);
    fleet.want(&[(artifact("v2"), new_pin)]);
    wait_failed(depot, &artifact("v2"), "the spool is full").await;
    check(&files);
    // Once the engine lets go of it, there is room.
    depot.set_in_use(Vec::new());
    let files = wait_held(depot, &artifact("v2")).await;
    check(&files);
    let is_alone = |progress: Option<&Progress>| progress.is_none();
    assert!(is_alone(depot.table().borrow().get(&artifact("v1"))));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_newcomer_in_the_middle_adds_no_copy_at_the_origin() {
    let spec = spec("v1", 40);
    let mut fleet = Fleet::with_rate([], spec.bytes / 3).await.with_nodes(6, 3);
    let pin = fleet.origin.add(&spec);
    let wanted = [(artifact("v1"), pin)];
    fleet.want(&wanted);
    wait_chunks(fleet.depot(0), &artifact("v1"), 10).await;
    for index in 0..3 {
        fleet.add(member(&format!("newcomer{index}"), "r1"));
    }
    fleet.want(&wanted);
    fleet.wait_held(&artifact("v1")).await;
    let copies = fleet.origin_copies(spec.bytes);
    assert!(copies <= 1.5, "{copies} copies");
}

#[tokio::test(flavor = "multi_thread")]
async fn several_versions_at_once_all_arrive() {
    let specs: Vec<_> = ["v1", "v2", "v3"].map(|version| spec(version, 20)).into();
    let fleet = Fleet::new([]).await.with_nodes(6, 3);
    let wanted: Vec<_> = specs
        .iter()
        .map(|spec| (spec.artifact.clone(), fleet.origin.add(spec)))
        .collect();
    fleet.want(&wanted);
    for (artifact, _) in &wanted {
        fleet.wait_held(artifact).await;
    }
    let bytes: u64 = specs.iter().map(|spec| spec.bytes).sum();
    let copies = fleet.origin_copies(bytes);
    assert!(copies <= 1.2, "{copies} copies");
}

#[tokio::test(flavor = "multi_thread")]
async fn chunks_on_their_way_to_disk_do_not_outlive_a_dropped_version() {
    let bytes = spec("v0", 40).bytes;
    // Slow enough that no version is whole when the next one replaces it.
    let fleet = Fleet::with_rate([], bytes).await.with_nodes(3, 1);
    for round in 0..40 {
        let version = format!("v{round}");
        let pin = fleet.origin.add(&spec(&version, 40));
        fleet.want(&[(artifact(&version), pin)]);
        wait_chunks(fleet.depot(round % 3), &artifact(&version), 1).await;
    }
    let pin = fleet.origin.add(&spec("last", 4));
    fleet.want(&[(artifact("last"), pin)]);
    fleet.wait_held(&artifact("last")).await;
    let count = || fleet.nodes.iter().map(chunk_files).sum::<usize>();
    let begin = std::time::Instant::now();
    while count() != 12 && begin.elapsed() < fixture::LIMIT {
        tokio::time::sleep(std::time::Duration::from_millis(10)).await;
    }
    assert_eq!(count(), 12, "chunks of dropped versions lie in the spools");
}
