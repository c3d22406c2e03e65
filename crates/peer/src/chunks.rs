//! Chunk exchange between agents.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use domain::digest::Digest;

use crate::{
    connection::{Connection, Dialer},
    control::Answer,
    error::{Error, Step},
    wire_capnp::{chunks as wire, fetched},
};

/// Which chunks of one manifest an agent holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Holdings {
    /// Grows with each chunk; a later question with it waits for the next one.
    pub version: u64,
    /// One bit for each chunk in the manifest's order, the lowest bit of each byte first.
    pub bitmap: Vec<u8>,
    /// How much the agent has sent of this manifest's chunks, in bytes.
    pub sent_bytes: u64,
    /// Whether the agent knows the manifest at all.
    pub is_known: bool,
}

/// The answer to a fetch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fetched {
    /// The chunk, not verified yet.
    Bytes(Bytes),
    /// The agent does not hold it.
    NotHeld,
    /// The agent's upload budget is used up for now.
    Busy {
        /// When to ask again.
        retry: Duration,
    },
}

/// What an agent offers to other agents.
pub trait Service {
    /// Which chunks of a manifest the agent holds; waits while that is still `known`.
    fn holdings(&self, manifest: Digest, known: u64, wait: Duration) -> Answer<Holdings>;
    /// One chunk. With `is_spare_only` the agent answers only within its upload budget.
    fn fetch(&self, chunk: Digest, is_spare_only: bool) -> Answer<Fetched>;
    /// The bytes of a manifest, if the agent holds them.
    fn manifest(&self, digest: Digest) -> Answer<Option<Bytes>>;
}

/// Serves a [`Service`] over the wire.
pub(crate) struct Adapter {
    service: Rc<dyn Service>,
}

impl Adapter {
    pub(crate) fn new(service: Rc<dyn Service>) -> Self {
        Self { service }
    }
}

impl wire::Server for Adapter {
    async fn holdings(
        self: Rc<Self>,
        params: wire::HoldingsParams,
        mut results: wire::HoldingsResults,
    ) -> capnp::Result<()> {
        let (manifest, known, wait) = {
            let params = params.get()?;
            let wait = Duration::from_millis(params.get_wait_ms().into());
            (
                read_digest(params.get_manifest()?)?,
                params.get_known_version(),
                wait,
            )
        };
        let holdings = self.service.holdings(manifest, known, wait).await?;
        let mut results = results.get();
        results.set_version(holdings.version);
        results.set_bitmap(&holdings.bitmap);
        results.set_sent_bytes(holdings.sent_bytes);
        results.set_is_known(holdings.is_known);
        Ok(())
    }

    async fn fetch(
        self: Rc<Self>,
        params: wire::FetchParams,
        mut results: wire::FetchResults,
    ) -> capnp::Result<()> {
        let (chunk, is_spare_only) = {
            let params = params.get()?;
            (read_digest(params.get_chunk()?)?, params.get_spare_only())
        };
        let fetched = self.service.fetch(chunk, is_spare_only).await?;
        let mut result = results.get().init_result();
        match fetched {
            Fetched::Bytes(bytes) => result.set_bytes(&bytes),
            Fetched::NotHeld => result.set_not_held(()),
            Fetched::Busy { retry } => {
                result.set_busy_ms(u32::try_from(retry.as_millis()).unwrap_or(u32::MAX));
            }
        }
        Ok(())
    }

    async fn manifest(
        self: Rc<Self>,
        params: wire::ManifestParams,
        mut results: wire::ManifestResults,
    ) -> capnp::Result<()> {
        let digest = read_digest(params.get()?.get_digest()?)?;
        if let Some(bytes) = self.service.manifest(digest).await? {
            results.get().set_is_held(true);
            results.get().set_bytes(&bytes);
        }
        Ok(())
    }
}

/// A session with another agent, bound to one connection and one thread.
pub struct Session {
    connection: Connection,
    chunks: wire::Client,
}

impl Session {
    /// Opens a connection and logs in.
    pub async fn open(dialer: &Dialer, peer: SocketAddr) -> Result<Self, Error> {
        let connection = dialer.dial(peer).await?;
        let mut request = connection.login.chunks_request();
        request.get().set_secret(dialer.secret());
        let answer = async { request.send().promise.await?.get()?.get_chunks() };
        let chunks = connection.login(answer).await?;
        Ok(Self { connection, chunks })
    }

    /// The connection under the session.
    pub fn connection(&self) -> &Connection {
        &self.connection
    }

    /// See [`Service::holdings`].
    pub async fn holdings(
        &self,
        manifest: Digest,
        known: u64,
        wait: Duration,
    ) -> Result<Holdings, Error> {
        let mut request = self.chunks.holdings_request();
        request.get().set_manifest(manifest.as_bytes());
        request.get().set_known_version(known);
        request
            .get()
            .set_wait_ms(u32::try_from(wait.as_millis()).unwrap_or(u32::MAX));
        let answer = async {
            let response = request.send().promise.await?;
            let holdings = response.get()?;
            Ok(Holdings {
                version: holdings.get_version(),
                bitmap: holdings.get_bitmap()?.to_vec(),
                sent_bytes: holdings.get_sent_bytes(),
                is_known: holdings.get_is_known(),
            })
        };
        self.connection
            .call(Step::Call("holdings"), wait, answer)
            .await
    }

    /// See [`Service::fetch`]. `patience` bounds the wait for the whole chunk.
    pub async fn fetch(
        &self,
        chunk: Digest,
        is_spare_only: bool,
        patience: Duration,
    ) -> Result<Fetched, Error> {
        let mut request = self.chunks.fetch_request();
        request.get().set_chunk(chunk.as_bytes());
        request.get().set_spare_only(is_spare_only);
        let answer = async {
            let response = request.send().promise.await?;
            Ok(match response.get()?.get_result()?.which()? {
                fetched::Bytes(bytes) => Fetched::Bytes(Bytes::copy_from_slice(bytes?)),
                fetched::NotHeld(()) => Fetched::NotHeld,
                fetched::BusyMs(millis) => Fetched::Busy {
                    retry: Duration::from_millis(millis.into()),
                },
            })
        };
        self.connection
            .call(Step::Call("fetch"), patience, answer)
            .await
    }

    /// See [`Service::manifest`].
    pub async fn manifest(&self, digest: Digest) -> Result<Option<Bytes>, Error> {
        let mut request = self.chunks.manifest_request();
        request.get().set_digest(digest.as_bytes());
        let answer = async {
            let response = request.send().promise.await?;
            let manifest = response.get()?;
            match manifest.get_is_held() {
                true => Ok(Some(Bytes::copy_from_slice(manifest.get_bytes()?))),
                false => Ok(None),
            }
        };
        self.connection
            .call(Step::Call("manifest"), Duration::ZERO, answer)
            .await
    }
}

fn read_digest(bytes: &[u8]) -> capnp::Result<Digest> {
    let bytes = bytes
        .try_into()
        .map_err(|_| capnp::Error::failed(format!("a digest has 32 bytes, not {}", bytes.len())))?;
    Ok(Digest::from_bytes(bytes))
}
