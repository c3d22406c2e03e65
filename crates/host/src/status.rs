//! The status page: health and readiness for the platform's balancer, metrics, the log level.

use std::{net::SocketAddr, sync::Arc};

use axum::{
    Json, Router,
    extract::State,
    http::StatusCode,
    response::{IntoResponse, Response},
    routing::{get, put},
};
use domain::violation::Violation;
use snafu::ResultExt;
use telemetry::{
    log::{Level, Switch},
    metrics::Metrics,
};
use tokio::net::TcpListener;

use crate::error::{Error, ListenSnafu, ServeSnafu};

/// The largest accepted request body, in bytes.
const MAX_BODY_BYTES: usize = 1_024;

/// Says whether the daemon may get new work.
pub trait Readiness: Send + Sync {
    /// Everything that keeps the daemon from taking new work; empty when it is ready.
    fn obstacles(&self) -> Vec<Violation>;
}

/// What the status page shows.
#[derive(Clone)]
pub struct Page {
    readiness: Arc<dyn Readiness>,
    metrics: Metrics,
    switch: Switch,
}

impl Page {
    /// A page over the daemon's readiness, metrics and log level.
    pub fn new(readiness: Arc<dyn Readiness>, metrics: Metrics, switch: Switch) -> Self {
        Self {
            readiness,
            metrics,
            switch,
        }
    }

    /// The routes of the page.
    pub fn router(self) -> Router {
        Router::new()
            .route("/healthz", get(async || "ok\n"))
            .route("/readyz", get(ready))
            .route("/metrics", get(metrics))
            .route("/log-level", put(set_level))
            .layer(axum::extract::DefaultBodyLimit::max(MAX_BODY_BYTES))
            .with_state(self)
    }

    /// Serves the page until the listener fails.
    ///
    /// # Errors
    ///
    /// If the address can't be listened on.
    pub async fn serve(self, addr: SocketAddr) -> Result<(), Error> {
        let listener = TcpListener::bind(addr)
            .await
            .context(ListenSnafu { addr })?;
        axum::serve(listener, self.router())
            .await
            .context(ServeSnafu)
    }
}

async fn ready(State(page): State<Page>) -> Response {
    match page.readiness.obstacles() {
        obstacles if obstacles.is_empty() => "ready\n".into_response(),
        obstacles => (StatusCode::SERVICE_UNAVAILABLE, Json(obstacles)).into_response(),
    }
}

async fn metrics(State(page): State<Page>) -> Response {
    match page.metrics.render() {
        Ok(text) => text.into_response(),
        Err(error) => (StatusCode::INTERNAL_SERVER_ERROR, error.to_string()).into_response(),
    }
}

async fn set_level(State(page): State<Page>, Json(level): Json<Level>) -> StatusCode {
    page.switch.set(level);
    StatusCode::NO_CONTENT
}
