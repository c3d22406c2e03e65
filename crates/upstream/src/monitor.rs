//! A connection that shows an upstream's state and the end of its process.
//!
//! The kernel closes a process's connections with it, so an idle connection tells of a crash or a
//! restart before the next call is sent.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use futures::future::BoxFuture;
use http::{Method, Request, header};
use http_body_util::Full;
use policy::kept::Kept;
use tokio_util::sync::CancellationToken;

use crate::{
    body,
    connection::Connection,
    engine::{State, refused},
    error::{Error, MalformedSnafu, UnsentSnafu},
};

/// A connection to watch an upstream by.
pub trait Monitor: Send {
    /// Fires when the connection has ended.
    fn closed(&self) -> CancellationToken;
    /// Asks an engine for its state.
    fn state(&mut self) -> BoxFuture<'_, Result<State, Error>>;
}

/// A [`Monitor`] over HTTP.
pub struct Line {
    connection: Connection,
    peer: SocketAddr,
    patience: Duration,
    kept: Kept,
}

impl Line {
    /// Watches over a connection.
    pub fn new(connection: Connection, peer: SocketAddr, patience: Duration) -> Self {
        Self {
            connection,
            peer,
            patience,
            kept: body::kept(),
        }
    }

    async fn ask(&mut self) -> Result<State, Error> {
        let peer = self.peer;
        let request = Request::builder()
            .method(Method::GET)
            .uri("/state")
            .header(header::HOST, peer.to_string())
            .body(Full::new(Bytes::new()))
            .map_err(|error| {
                let detail = error.to_string();
                UnsentSnafu { peer, detail }.build()
            })?;
        let sent = self.connection.send(peer, request, self.patience).await;
        let response = sent.map_err(|(error, _)| error)?;
        let status = response.status();
        let body = response.into_body();
        let text = body::whole(&self.kept, body, peer, self.patience).await?;
        if !status.is_success() {
            return refused(peer, status, &text);
        }
        serde_json::from_slice(&text).map_err(|error| {
            let detail = error.to_string();
            MalformedSnafu { peer, detail }.build()
        })
    }
}

impl Monitor for Line {
    fn closed(&self) -> CancellationToken {
        self.connection.closed()
    }

    fn state(&mut self) -> BoxFuture<'_, Result<State, Error>> {
        Box::pin(self.ask())
    }
}
