//! The transfer of weights without faults: every version arrives whole, once from the origin.
#![allow(clippy::unwrap_used)]

mod fixture;

use fixture::{Fleet, artifact, spec};

#[tokio::test(flavor = "multi_thread")]
async fn one_version_reaches_all_agents_with_about_one_copy_from_the_origin() {
    let spec = spec("v1", 60);
    let fleet = Fleet::new([]).await.with_nodes(9, 3);
    let pin = fleet.origin.add(&spec);
    fleet.want(&[(artifact("v1"), pin)]);
    fleet.wait_held(&artifact("v1")).await;
    let copies = fleet.origin_copies(spec.bytes);
    assert!(copies <= 1.2, "{copies} copies from the origin");
}

#[tokio::test(flavor = "multi_thread")]
async fn few_large_chunks_reach_a_small_fleet() {
    // One chunk is a large part of the upload budget here.
    for round in 0..4 {
        let spec = spec(&format!("v{round}"), 8);
        let fleet = Fleet::new([]).await.with_nodes(6, 3);
        let pin = fleet.origin.add(&spec);
        fleet.want(&[(spec.artifact.clone(), pin)]);
        fleet.wait_held(&spec.artifact).await;
    }
}
