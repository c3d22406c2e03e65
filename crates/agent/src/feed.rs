//! The link to control as the agent's parts use it.

use std::{sync::Arc, time::Duration};

use domain::ledger;
use futures::future::BoxFuture;
use peer::uplink;
use tokio::sync::watch;

/// The state, with its age.
pub trait Feed: Send + Sync {
    /// The state as it is now.
    fn current(&self) -> Arc<uplink::Feed>;
    /// Moves on with each change of the state.
    fn changes(&self) -> watch::Receiver<u64>;
}

/// The ledger of calls that may not be repeated.
pub trait Ledger: Send + Sync {
    /// Writes to it. No reply does not mean that nothing was written.
    fn write(
        &self,
        write: ledger::Write,
        deadline: Duration,
    ) -> BoxFuture<'static, Result<ledger::Reply, peer::Error>>;
}

impl Feed for uplink::Client {
    fn current(&self) -> Arc<uplink::Feed> {
        self.feed()
    }

    fn changes(&self) -> watch::Receiver<u64> {
        uplink::Client::changes(self)
    }
}

impl Ledger for uplink::Client {
    fn write(
        &self,
        write: ledger::Write,
        deadline: Duration,
    ) -> BoxFuture<'static, Result<ledger::Reply, peer::Error>> {
        let client = self.clone();
        Box::pin(async move { client.ledger(write, deadline).await })
    }
}
