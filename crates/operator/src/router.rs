//! The routes of the HTTP interface over a [`Service`].

use std::sync::Arc;

use axum::{
    Extension, Json, Router,
    extract::{DefaultBodyLimit, Path, Request, State},
    http::{HeaderMap, StatusCode, header::AUTHORIZATION},
    middleware::{self, Next},
    response::{IntoResponse, Response},
    routing::{get, post},
};
use domain::{
    artifact,
    edit::{Edit, Outcome},
    lists::Lists,
    name,
};
use serde::Serialize;

use crate::{
    access::Access,
    api::{Problem, Replace},
    service::{Failure, Service},
};

/// The largest accepted request body, in bytes.
pub const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;

type Shared = State<Arc<dyn Service>>;

/// Who sent the request.
#[derive(Clone, Debug)]
struct Author(Arc<str>);

/// The routes, each behind the check of the operator's key.
pub fn router(service: Arc<dyn Service>, access: Access) -> Router {
    Router::new()
        .route("/v1/lists", get(lists))
        .route("/v1/lists/check", post(check))
        .route("/v1/edits", post(edit))
        .route("/v1/history", get(history))
        .route("/v1/zones", get(zones))
        .route("/v1/upstreams", get(upstreams))
        .route("/v1/upstreams/{vm}", get(upstream))
        .route("/v1/rollouts", get(rollouts))
        .route("/v1/rollouts/{name}/{version}", get(rollout))
        .route("/v1/control", get(status))
        .route("/v1/control/members", get(members))
        .route("/v1/control/replace", post(replace))
        .layer(middleware::from_fn_with_state(access, authenticate))
        .layer(DefaultBodyLimit::max(MAX_BODY_BYTES))
        .with_state(service)
}

async fn authenticate(
    State(access): State<Access>,
    headers: HeaderMap,
    mut request: Request,
    next: Next,
) -> Response {
    let key = headers
        .get(AUTHORIZATION)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.strip_prefix("Bearer "));
    match key.and_then(|key| access.operator(key)) {
        Some(name) => {
            request.extensions_mut().insert(Author(name));
            next.run(request).await
        }
        None => problem(StatusCode::UNAUTHORIZED, "no operator holds this key"),
    }
}

async fn lists(State(service): Shared) -> Response {
    reply(service.lists().await)
}

async fn check(State(service): Shared, Json(lists): Json<Lists>) -> Response {
    reply(service.check(lists).await)
}

async fn edit(
    State(service): Shared,
    Extension(author): Extension<Author>,
    Json(edit): Json<Edit>,
) -> Response {
    let edit = Edit {
        author: Some(author.0),
        ..edit
    };
    let answer = service.edit(edit).await;
    let status = match &answer {
        Ok(Outcome::Conflict { .. }) => StatusCode::CONFLICT,
        Ok(Outcome::Refused { .. }) => StatusCode::UNPROCESSABLE_ENTITY,
        Ok(Outcome::Accepted { .. }) | Err(_) => StatusCode::OK,
    };
    match answer {
        Ok(answer) => (status, Json(answer)).into_response(),
        Err(failure) => failure.into_response(),
    }
}

async fn history(State(service): Shared) -> Response {
    reply(service.history().await)
}

async fn zones(State(service): Shared) -> Response {
    reply(service.zones().await)
}

async fn upstreams(State(service): Shared) -> Response {
    reply(service.upstreams().await)
}

async fn upstream(State(service): Shared, Path(vm): Path<String>) -> Response {
    reply(service.upstream(name::Vm::new(vm)).await)
}

async fn rollouts(State(service): Shared) -> Response {
    reply(service.rollouts().await)
}

async fn rollout(
    State(service): Shared,
    Path((name, version)): Path<(String, String)>,
) -> Response {
    let id = artifact::Id::new(name.as_str(), version.as_str());
    reply(service.rollout(id).await)
}

async fn status(State(service): Shared) -> Response {
    reply(service.status().await)
}

async fn members(State(service): Shared) -> Response {
    reply(service.members().await)
}

async fn replace(State(service): Shared, Json(wish): Json<Replace>) -> Response {
    reply(service.replace(wish).await)
}

fn reply<T: Serialize>(answer: Result<T, Failure>) -> Response {
    match answer {
        Ok(document) => Json(document).into_response(),
        Err(failure) => failure.into_response(),
    }
}

fn problem(status: StatusCode, detail: &str) -> Response {
    let body = Problem {
        detail: detail.into(),
    };
    (status, Json(body)).into_response()
}

impl IntoResponse for Failure {
    fn into_response(self) -> Response {
        let status = match &self {
            Self::Absent { .. } => StatusCode::NOT_FOUND,
            Self::Invalid { .. } => StatusCode::BAD_REQUEST,
            Self::Unavailable { .. } => StatusCode::SERVICE_UNAVAILABLE,
            Self::Unknown { .. } => StatusCode::GATEWAY_TIMEOUT,
        };
        problem(status, &self.to_string())
    }
}
