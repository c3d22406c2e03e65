//! Addresses of control replicas that a process is told, which may change while it runs.

use std::{net::SocketAddr, sync::Arc};

use arc_swap::ArcSwap;

/// A shared list of addresses.
#[derive(Clone, Debug, Default)]
pub struct Seeds(Arc<ArcSwap<Vec<SocketAddr>>>);

impl Seeds {
    /// A list that holds the given addresses until it is told others.
    pub fn new(addresses: impl Into<Vec<SocketAddr>>) -> Self {
        Self(Arc::new(ArcSwap::from_pointee(addresses.into())))
    }

    /// The addresses now.
    pub fn all(&self) -> Vec<SocketAddr> {
        self.0.load().as_ref().clone()
    }

    /// Replaces the addresses.
    pub fn set(&self, addresses: impl Into<Vec<SocketAddr>>) {
        self.0.store(Arc::new(addresses.into()));
    }
}
