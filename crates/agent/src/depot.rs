//! The border between the transfer of weights and the orders to the engine.

use std::{collections::BTreeMap, path::PathBuf, sync::Arc};

use domain::{artifact, manifest::Pin};
use tokio::sync::watch;

/// How far the spool has come with one version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Progress {
    /// Some chunks are verified.
    Fetching {
        /// How many.
        chunks: u32,
    },
    /// Every chunk is verified and synced.
    Held(Arc<Files>),
    /// The version can't be fetched.
    Failed {
        /// What was seen.
        reason: Arc<str>,
    },
}

/// The verified files of one version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Files {
    /// The manifest's file.
    pub manifest: PathBuf,
    /// The chunks' files, in the manifest's order.
    pub chunks: Vec<PathBuf>,
}

/// The versions of the spool and how far each has come.
pub type Table = BTreeMap<artifact::Id, Progress>;

/// The spool as the orders use it.
pub trait Depot: Send + Sync {
    /// Sets the versions to fetch and keep. Those left out are dropped, also in mid-flight,
    /// unless they are in use.
    fn want(&self, wanted: BTreeMap<artifact::Id, Pin>);
    /// Sets the versions that the engine has loaded or is asked to load; they are never evicted.
    fn set_in_use(&self, in_use: Vec<artifact::Id>);
    /// How far each version has come.
    fn table(&self) -> watch::Receiver<Arc<Table>>;
}
