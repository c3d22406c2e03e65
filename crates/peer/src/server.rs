//! The listening side: login, then the services that this process offers.

use std::{rc::Rc, sync::Arc};

use capnp_rpc::{RpcSystem, new_client, rpc_twoparty_capnp::Side, twoparty};
use subtle::ConstantTimeEq;
use tokio::{net::TcpListener, sync::Semaphore};
use tokio_util::compat::{TokioAsyncReadCompatExt, TokioAsyncWriteCompatExt};

use crate::{chunks, control, replica, wire_capnp::login};

/// Connections beyond this many wait in the listener's backlog.
pub const MAX_CONNECTIONS: usize = 8_192;

/// What a process offers to the others.
#[derive(Clone)]
pub struct Server {
    secret: Arc<[u8]>,
    control: Option<Rc<dyn control::Service>>,
    replica: Option<Rc<dyn replica::Service>>,
    chunks: Option<Rc<dyn chunks::Service>>,
}

impl Server {
    /// A server that offers nothing yet.
    pub fn new(secret: impl Into<Arc<[u8]>>) -> Self {
        Self {
            secret: secret.into(),
            control: None,
            replica: None,
            chunks: None,
        }
    }

    /// Offers control to entries and agents.
    #[must_use]
    pub fn with_control(mut self, service: Rc<dyn control::Service>) -> Self {
        self.control = Some(service);
        self
    }

    /// Offers the replica to the other replicas.
    #[must_use]
    pub fn with_replica(mut self, service: Rc<dyn replica::Service>) -> Self {
        self.replica = Some(service);
        self
    }

    /// Offers chunks to other agents.
    #[must_use]
    pub fn with_chunks(mut self, service: Rc<dyn chunks::Service>) -> Self {
        self.chunks = Some(service);
        self
    }

    /// Accepts connections until the listener fails. It must run inside a `LocalSet`.
    pub async fn run(self, listener: TcpListener) -> std::io::Result<()> {
        let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
        loop {
            let Ok(permit) = permits.clone().acquire_owned().await else {
                return Ok(());
            };
            let stream = match listener.accept().await {
                Ok((stream, _)) => stream,
                Err(error) if is_transient(&error) => continue,
                Err(error) => return Err(error),
            };
            if stream.set_nodelay(true).is_err() {
                continue;
            }
            let (reader, writer) = stream.into_split();
            let network = twoparty::VatNetwork::new(
                reader.compat(),
                writer.compat_write(),
                Side::Server,
                Default::default(),
            );
            let door: login::Client = new_client(self.clone());
            let system = RpcSystem::new(Box::new(network), Some(door.client));
            tokio::task::spawn_local(async move {
                // The error only says how the other end went away.
                let _ = system.await;
                drop(permit);
            });
        }
    }

    fn check(&self, secret: capnp::Result<&[u8]>) -> capnp::Result<()> {
        let is_match: bool = secret?.ct_eq(&self.secret).into();
        match is_match {
            true => Ok(()),
            false => Err(capnp::Error::failed(
                "the shared secret does not match".to_owned(),
            )),
        }
    }
}

fn is_transient(error: &std::io::Error) -> bool {
    use std::io::ErrorKind::{ConnectionAborted, ConnectionReset, Interrupted};
    matches!(
        error.kind(),
        ConnectionAborted | ConnectionReset | Interrupted
    )
}

fn missing() -> capnp::Error {
    capnp::Error::unimplemented("this process does not offer that".to_owned())
}

impl login::Server for Server {
    async fn control(
        self: Rc<Self>,
        params: login::ControlParams,
        mut results: login::ControlResults,
    ) -> capnp::Result<()> {
        self.check(params.get()?.get_secret())?;
        let service = self.control.clone().ok_or_else(missing)?;
        results
            .get()
            .set_control(new_client(control::Adapter::new(service)));
        Ok(())
    }

    async fn replica(
        self: Rc<Self>,
        params: login::ReplicaParams,
        mut results: login::ReplicaResults,
    ) -> capnp::Result<()> {
        self.check(params.get()?.get_secret())?;
        let service = self.replica.clone().ok_or_else(missing)?;
        results
            .get()
            .set_replica(new_client(replica::Adapter::new(service)));
        Ok(())
    }

    async fn chunks(
        self: Rc<Self>,
        params: login::ChunksParams,
        mut results: login::ChunksResults,
    ) -> capnp::Result<()> {
        self.check(params.get()?.get_secret())?;
        let service = self.chunks.clone().ok_or_else(missing)?;
        results
            .get()
            .set_chunks(new_client(chunks::Adapter::new(service)));
        Ok(())
    }
}
