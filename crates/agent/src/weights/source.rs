//! Sources of chunks behind one border: peers, the weight store and the origin.

use std::{cell::RefCell, collections::HashMap, net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use domain::{manifest::Chunk, name};
use futures::{FutureExt, future::LocalBoxFuture};
use peer::{
    chunks::{Fetched, Session},
    connection::Dialer,
};
use settings::agent::Weights;

/// Why a source gave no chunk.
#[derive(Debug)]
pub(super) enum Failure {
    /// It does not hold it.
    NotHeld,
    /// It asked to come back later.
    Busy(Duration),
    /// It could not be reached or refused; no bytes came.
    Refused(String),
    /// It stalled, broke off or sent another number of bytes.
    Failed(String),
}

/// Something that may have a chunk. What it gives is not verified.
pub(super) trait Source {
    /// The bytes of a chunk.
    fn fetch(&self, chunk: Chunk) -> LocalBoxFuture<'_, Result<Bytes, Failure>>;
}

impl Source for origin::Client {
    fn fetch(&self, chunk: Chunk) -> LocalBoxFuture<'_, Result<Bytes, Failure>> {
        let bytes = chunk.bytes as usize;
        async move {
            self.chunk(chunk.digest, bytes)
                .await
                .map_err(|error| match &error {
                    origin::Error::Throttled { retry, .. } => Failure::Busy(*retry),
                    origin::Error::Status { status, .. } if status.as_u16() == 404 => {
                        Failure::NotHeld
                    }
                    origin::Error::Status { .. } | origin::Error::Request { .. } => {
                        Failure::Refused(error.to_string())
                    }
                    origin::Error::Connection { .. }
                    | origin::Error::Stalled { .. }
                    | origin::Error::Endless { .. }
                    | origin::Error::Short { .. } => Failure::Failed(error.to_string()),
                })
        }
        .boxed_local()
    }
}

/// A peer, and how it is asked.
pub(super) struct Peer {
    pub(super) session: Rc<Session>,
    pub(super) is_spare_only: bool,
    pub(super) patience: Duration,
}

impl Source for Peer {
    fn fetch(&self, chunk: Chunk) -> LocalBoxFuture<'_, Result<Bytes, Failure>> {
        async move {
            let fetched = self
                .session
                .fetch(chunk.digest, self.is_spare_only, self.patience)
                .await;
            match fetched {
                Ok(Fetched::Bytes(bytes)) if bytes.len() == chunk.bytes as usize => Ok(bytes),
                Ok(Fetched::Bytes(bytes)) => Err(Failure::Failed(format!(
                    "{} sent {} of {} bytes",
                    self.session.connection().peer(),
                    bytes.len(),
                    chunk.bytes
                ))),
                Ok(Fetched::NotHeld) => Err(Failure::NotHeld),
                Ok(Fetched::Busy { retry }) => Err(Failure::Busy(retry)),
                Err(error) => Err(Failure::Failed(error.to_string())),
            }
        }
        .boxed_local()
    }
}

/// The sources outside the system.
pub(super) struct Sources {
    origin: origin::Client,
    store: Option<origin::Client>,
}

impl Sources {
    pub(super) fn new(weights: &Weights) -> Self {
        Self {
            origin: origin::Client::new(weights.origin),
            store: weights.store.map(origin::Client::new),
        }
    }

    pub(super) fn origin(&self) -> &origin::Client {
        &self.origin
    }

    pub(super) fn store(&self) -> Option<&origin::Client> {
        self.store.as_ref()
    }
}

/// Sessions with peers, one for each.
pub(super) struct Pool {
    dialer: Dialer,
    slots: RefCell<HashMap<name::Vm, Rc<Slot>>>,
}

#[derive(Default)]
struct Slot(tokio::sync::Mutex<Option<Rc<Session>>>);

impl Pool {
    pub(super) fn new(dialer: Dialer) -> Self {
        Self {
            dialer,
            slots: RefCell::default(),
        }
    }

    /// The session with a peer, opened if there is none.
    pub(super) async fn session(
        &self,
        vm: &name::Vm,
        addr: SocketAddr,
    ) -> Result<Rc<Session>, peer::Error> {
        let slot = self
            .slots
            .borrow_mut()
            .entry(vm.clone())
            .or_default()
            .clone();
        let mut session = slot.0.lock().await;
        match &*session {
            Some(open) if !open.connection().is_closed() && open.connection().peer() == addr => {
                Ok(open.clone())
            }
            _ => {
                *session = None;
                let open = Rc::new(Session::open(&self.dialer, addr).await?);
                *session = Some(open.clone());
                Ok(open)
            }
        }
    }

    /// Forgets a session that failed, so that the next use opens another one.
    pub(super) fn close(&self, vm: &name::Vm, failed: &Rc<Session>) {
        let slot = self.slots.borrow().get(vm).cloned();
        if let Some(mut session) = slot.as_ref().and_then(|slot| slot.0.try_lock().ok())
            && session
                .as_ref()
                .is_some_and(|open| Rc::ptr_eq(open, failed))
        {
            *session = None;
        }
    }
}
