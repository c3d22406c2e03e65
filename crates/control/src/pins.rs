//! Manifests of artifacts that an edit names for the first time, read from the origin.

use std::time::Duration;

use domain::{
    artifact,
    digest::Digest,
    edit::Pins,
    lists::Lists,
    manifest::{MAX_CHUNK_BYTES, Manifest, Pin},
    violation::Violation,
};
use futures::{StreamExt, stream};
use origin::Client;
use tokio::time;

/// How many manifests are read at once.
const PARALLEL: usize = 8;
/// How long one manifest may take.
const TIMEOUT: Duration = Duration::from_secs(3);

/// What was read: pins, and a complaint for each manifest that could not be read.
#[derive(Debug, Default)]
pub struct Reading {
    /// The pins.
    pub pins: Pins,
    /// The complaints.
    pub objections: Vec<Violation>,
}

/// Reads the manifests of the given artifacts.
pub async fn read(origin: &Client, lists: &Lists, ids: Vec<artifact::Id>) -> Reading {
    let answers = stream::iter(ids)
        .map(|id| async move {
            let answer = read_one(origin, &id).await;
            (id, answer)
        })
        .buffer_unordered(PARALLEL);
    let mut reading = answers
        .fold(Reading::default(), async |mut reading, (id, answer)| {
            match answer {
                Ok(pin) => {
                    reading.pins.insert(id.to_string(), pin);
                }
                Err(message) => reading
                    .objections
                    .push(Violation::new(path_of(lists, &id), message)),
            }
            reading
        })
        .await;
    reading.objections.sort();
    reading
}

async fn read_one(origin: &Client, id: &artifact::Id) -> Result<Pin, String> {
    let bytes = time::timeout(TIMEOUT, origin.manifest(id))
        .await
        .map_err(|_| format!("no manifest of {id} from the origin for {TIMEOUT:?}"))?
        .map_err(|error| format!("could not read the manifest of {id}: {error}"))?;
    let manifest = Manifest::from_json(&bytes)
        .map_err(|error| format!("the manifest of {id} is not valid: {error}"))?;
    check(&manifest, id)?;
    Ok(Pin {
        digest: Digest::of(&bytes),
        total_bytes: manifest.total_bytes(),
        chunks: u32::try_from(manifest.chunks.len()).unwrap_or(u32::MAX),
    })
}

fn check(manifest: &Manifest, id: &artifact::Id) -> Result<(), String> {
    let too_large = manifest
        .chunks
        .iter()
        .find(|chunk| chunk.bytes == 0 || chunk.bytes > MAX_CHUNK_BYTES);
    match too_large {
        _ if manifest.artifact != *id => Err(format!(
            "the manifest of {id} says that it is {}",
            manifest.artifact
        )),
        _ if manifest.chunks.is_empty() => Err(format!("the manifest of {id} has no chunks")),
        Some(chunk) => Err(format!(
            "the manifest of {id} has a chunk of {} bytes",
            chunk.bytes
        )),
        None => Ok(()),
    }
}

/// The first place of the lists that names the artifact.
fn path_of(lists: &Lists, id: &artifact::Id) -> String {
    let places = lists.plans.iter().enumerate().flat_map(|(i, plan)| {
        let grants = plan.models.iter().enumerate();
        grants.flat_map(move |(k, grant)| {
            let path = format!("$.plans[{i}].models[{k}]");
            let adapters = grant.adapters.iter().enumerate().flat_map({
                let path = path.clone();
                move |(a, adapter)| {
                    let path = format!("{path}.adapters[{a}]");
                    let ids = adapter.artifacts().enumerate();
                    ids.map(move |(v, id)| (id, format!("{path}.versions[{v}]")))
                }
            });
            let ids = grant.models().enumerate();
            ids.map(move |(v, id)| (id, format!("{path}.versions[{v}]")))
                .chain(adapters)
        })
    });
    places
        .into_iter()
        .find(|(named, _)| named == id)
        .map_or_else(|| "$.plans".to_owned(), |(_, path)| path)
}
