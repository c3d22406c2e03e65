//! Control as the entry uses it.

use std::{sync::Arc, time::Duration};

use domain::ledger;
use futures::future::BoxFuture;
use peer::uplink::{Client, Feed};

/// The feed and the ledger.
pub trait Control: Send + Sync {
    /// The state as it is now known.
    fn feed(&self) -> Arc<Feed>;
    /// Writes to the ledger.
    fn ledger(
        &self,
        write: ledger::Write,
        deadline: Duration,
    ) -> BoxFuture<'_, Result<ledger::Reply, peer::Error>>;
}

impl Control for Client {
    fn feed(&self) -> Arc<Feed> {
        Client::feed(self)
    }

    fn ledger(
        &self,
        write: ledger::Write,
        deadline: Duration,
    ) -> BoxFuture<'_, Result<ledger::Reply, peer::Error>> {
        Box::pin(Client::ledger(self, write, deadline))
    }
}
