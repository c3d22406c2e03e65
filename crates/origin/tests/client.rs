//! The contract with the origin, and every fault of it at both steps.
#![allow(clippy::unwrap_used)]

use std::time::Duration;

use domain::{artifact, digest::Digest, manifest::Manifest};
use fakes::origin::{Config, Fault, Kind, Origin, Spec, Target};
use origin::{Client, Error};

const PROGRESS: Duration = Duration::from_millis(300);

fn artifact() -> artifact::Id {
    artifact::Id::new("oak", "v1")
}

async fn start() -> (Origin, Client) {
    let spec = Spec::new(artifact(), 100_000).with_chunk_bytes(40_000);
    let config = Config {
        artifacts: vec![spec],
        ..Config::default()
    };
    let origin = Origin::start(([127, 30, 0, 1], 0).into(), config)
        .await
        .unwrap();
    let client = Client::new(origin.addr()).with_progress_timeout(PROGRESS);
    (origin, client)
}

#[tokio::test]
async fn reads_a_manifest_and_its_chunks() {
    let (origin, client) = start().await;
    let bytes = client.manifest(&artifact()).await.unwrap();
    let manifest = Manifest::from_json(&bytes).unwrap();
    assert_eq!(manifest.artifact, artifact());
    assert_eq!(manifest.total_bytes(), 100_000);
    for chunk in &manifest.chunks {
        let bytes = client
            .chunk(chunk.digest, chunk.bytes as usize)
            .await
            .unwrap();
        assert_eq!(Digest::of(&bytes), chunk.digest);
    }
    assert_eq!(origin.stats().total_bytes(), 100_000);
}

/// The name of the error, so that the table below is easy to read.
fn name<T>(result: &Result<T, Error>) -> &'static str {
    match result {
        Ok(_) => "ok",
        Err(Error::Request { .. }) => "request",
        Err(Error::Connection { .. }) => "connection",
        Err(Error::Status { .. }) => "status",
        Err(Error::Throttled { .. }) => "throttled",
        Err(Error::Stalled { .. }) => "stalled",
        Err(Error::Endless { .. }) => "endless",
        Err(Error::Short { .. }) => "short",
    }
}

#[tokio::test]
async fn tells_each_fault_of_a_chunk() {
    // Corrupt and swapped chunks have the right length: only the digest tells them.
    let cases = [
        (Kind::Corrupt, "ok"),
        (Kind::Swap, "ok"),
        (Kind::Short, "short"),
        (Kind::Cut, "connection"),
        (Kind::Stall, "stalled"),
        (Kind::Endless, "endless"),
        (Kind::Throttle, "throttled"),
        (Kind::Error, "status"),
    ];
    let (origin, client) = start().await;
    let manifest = Manifest::from_json(&client.manifest(&artifact()).await.unwrap()).unwrap();
    let chunk = manifest.chunks[0];
    for (kind, expected) in cases {
        origin.set_faults([Fault::new(kind, Target::Chunk)]);
        let result = client.chunk(chunk.digest, chunk.bytes as usize).await;
        if let Ok(bytes) = &result {
            assert_ne!(Digest::of(bytes), chunk.digest, "{kind:?}");
        }
        if let Err(error) = &result {
            let text = error.to_string();
            assert!(text.contains(&origin.addr().to_string()), "{text}");
            assert!(text.contains(&chunk.digest.to_string()), "{text}");
        }
        assert_eq!(name(&result), expected, "{kind:?}");
    }
}

#[tokio::test]
async fn tells_each_fault_of_a_manifest() {
    // A manifest's length is not known beforehand, so only its digest tells a short one.
    let cases = [
        (Kind::Corrupt, "ok"),
        (Kind::Swap, "ok"),
        (Kind::Short, "ok"),
        (Kind::Cut, "connection"),
        (Kind::Stall, "stalled"),
        (Kind::Endless, "endless"),
        (Kind::Throttle, "throttled"),
        (Kind::Error, "status"),
    ];
    let (origin, client) = start().await;
    let whole = client.manifest(&artifact()).await.unwrap();
    for (kind, expected) in cases {
        origin.set_faults([Fault::new(kind, Target::Manifest)]);
        let result = client.manifest(&artifact()).await;
        if let Ok(bytes) = &result {
            assert_ne!(Digest::of(bytes), Digest::of(&whole), "{kind:?}");
        }
        assert_eq!(name(&result), expected, "{kind:?}");
    }
}

#[tokio::test]
async fn tells_an_origin_that_is_not_there() {
    let (origin, client) = start().await;
    drop(origin);
    let result = client.manifest(&artifact()).await;
    assert_eq!(name(&result), "connection");
}

#[tokio::test]
async fn keeps_the_rate_and_refuses_beyond_it() {
    let spec = Spec::new(artifact(), 400_000).with_chunk_bytes(50_000);
    let config = Config {
        artifacts: vec![spec],
        bytes_per_s: Some(100_000),
        is_refusing: true,
    };
    let store = Origin::start(([127, 30, 0, 1], 0).into(), config)
        .await
        .unwrap();
    let client = Client::new(store.addr());
    let manifest = Manifest::from_json(&client.manifest(&artifact()).await.unwrap()).unwrap();
    let started = std::time::Instant::now();
    let fetches: Vec<_> = manifest
        .chunks
        .iter()
        .map(|chunk| {
            let client = client.clone();
            let chunk = *chunk;
            tokio::spawn(async move { client.chunk(chunk.digest, chunk.bytes as usize).await })
        })
        .collect();
    let mut names = Vec::new();
    for fetch in fetches {
        names.push(name(&fetch.await.unwrap()));
    }
    let count = |wanted| names.iter().filter(|name| **name == wanted).count();
    let (served, refused) = (count("ok"), count("throttled"));
    assert_eq!(served + refused, names.len(), "{names:?}");
    assert!(served > 0 && refused > 0, "{names:?}");
    assert_eq!(store.stats().refusals, refused as u64);
    let least = Duration::from_millis(480) * u32::try_from(served).unwrap();
    assert!(started.elapsed() >= least, "faster than the rate");
}
