//! The routes for callers: who calls, what its plan allows, and which way the call then takes.

use std::{sync::Arc, time::Duration};

use axum::{
    Json, Router,
    body::Body,
    extract::{Request, State},
    response::IntoResponse,
};
use bytes::Bytes;
use caller::{chat, key, problem, service};
use domain::{
    call::{Attempt, Peer, Problem, Step},
    header, ledger, lists, name,
};
use http::{
    HeaderMap, HeaderName, Method, Response, StatusCode,
    header::{ACCEPT, CONTENT_LENGTH, CONTENT_TYPE},
    request::Parts,
};
use http_body_util::BodyExt;
use peer::uplink::Feed;
use policy::{resolve, router::Need};
use serde::Serialize;
use tokio::time;

use crate::{
    calls,
    dispatch::Call,
    meters::{Class, End, Timer},
    once,
    shared::Shared,
    stream, unary,
    util::{fresh_attempt, millis},
};

/// The path of the list of models.
const MODELS_PATH: &str = "/v1/models";
/// When another try makes sense if too many calls run.
const BUSY_RETRY: Duration = Duration::from_secs(1);
/// The longest accepted idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 256;

/// The routes.
pub fn router(shared: Arc<Shared>) -> Router {
    Router::new().fallback(handle).with_state(shared)
}

async fn handle(State(shared): State<Arc<Shared>>, request: Request) -> Response<Body> {
    let id = fresh_attempt();
    match route(&shared, request, id).await {
        Ok(mut response) => {
            problem::mark(&mut response, id);
            response
        }
        Err(refusal) => {
            slog::debug!(shared.logger, "call: {refusal}"; "id" => %id);
            problem::respond(&refusal, id)
        }
    }
}

async fn route(
    shared: &Arc<Shared>,
    request: Request,
    id: Attempt,
) -> Result<Response<Body>, Problem> {
    let feed = shared.fresh_feed()?;
    let (head, body) = request.into_parts();
    let caller = Caller::new(&feed, &head.headers)?;
    let service = service::split(&head.uri).map(|(service, path)| (service, path.to_owned()));
    match (&head.method, head.uri.path(), service) {
        (&Method::POST, chat::PATH, _) => chat(shared, &caller, head, body, id).await,
        (&Method::GET, MODELS_PATH, _) => Ok(models(&feed, &caller)),
        (_, _, Some((service, path))) => {
            let route = Route { service, path };
            call_service(shared, &caller, head, body, id, route).await
        }
        (_, chat::PATH | MODELS_PATH, _) => {
            let status = StatusCode::METHOD_NOT_ALLOWED;
            Err(refusal(
                status,
                Step::Receive,
                "the path has another method",
            ))
        }
        _ => Err(refusal(
            StatusCode::NOT_FOUND,
            Step::Receive,
            "no such path",
        )),
    }
}

/// Who calls, by the state at its arrival.
struct Caller<'a> {
    feed: &'a Feed,
    customer: &'a lists::Customer,
    plan: &'a lists::Plan,
}

impl<'a> Caller<'a> {
    fn new(feed: &'a Feed, headers: &HeaderMap) -> Result<Self, Problem> {
        let Some(key) = key::presented(headers) else {
            let status = StatusCode::UNAUTHORIZED;
            return Err(refusal(status, Step::Authenticate, "no key was presented"));
        };
        let customer = resolve::customer(&feed.view, key).map_err(|cause| refuse(&cause))?;
        let plan = resolve::plan(&feed.view, customer).map_err(|cause| refuse(&cause))?;
        Ok(Self {
            feed,
            customer,
            plan,
        })
    }
}

async fn chat(
    shared: &Arc<Shared>,
    caller: &Caller<'_>,
    head: Parts,
    body: Body,
    id: Attempt,
) -> Result<Response<Body>, Problem> {
    let guard = begin(shared, caller, &head, id)?;
    let body = receive(shared, &head.headers, body).await?;
    let request = chat::Request::from_json(&body).map_err(|error| {
        let detail = format!("not a chat completion: {error}");
        refusal(StatusCode::BAD_REQUEST, Step::Receive, detail)
    })?;
    let adapter = request.adapter.as_deref();
    let target = resolve::target(&caller.feed.view, caller.plan, &request.model, adapter);
    let target = target.map_err(|cause| refuse(&cause))?;
    let class = match request.stream {
        true => Class::Stream,
        false => Class::Chat,
    };
    let prefix = Some(request.prefix());
    let call = Call {
        prefix,
        ..new_call(
            shared,
            caller,
            &head,
            body.clone(),
            id,
            Need::Model(target.clone()),
            class,
        )
    };
    let mut timer = Timer::new(shared.meters.clone(), &call.customer, class);
    if class == Class::Stream {
        return stream::run(shared, call, &target, guard, timer).await;
    }
    let result = unary::run(shared, &call).await;
    timer.set_end(end(&result));
    result
}

struct Route {
    service: name::Service,
    path: String,
}

async fn call_service(
    shared: &Arc<Shared>,
    caller: &Caller<'_>,
    head: Parts,
    body: Body,
    id: Attempt,
    route: Route,
) -> Result<Response<Body>, Problem> {
    resolve::service(caller.plan, &route.service).map_err(|cause| refuse(&cause))?;
    let _guard = begin(shared, caller, &head, id)?;
    let body = receive(shared, &head.headers, body).await?;
    let is_idempotent = is_idempotent(shared, &route, &head.method);
    let class = match is_idempotent {
        true => Class::Service,
        false => Class::Once,
    };
    let need = Need::Service(route.service);
    let mut call = new_call(shared, caller, &head, body, id, need, class);
    let mut timer = Timer::new(shared.meters.clone(), &call.customer, class);
    let result = if is_idempotent {
        unary::run(shared, &call).await
    } else {
        let given = idempotency_key(&head.headers)?;
        let text: Arc<str> = given.unwrap_or_else(|| id.to_string().into());
        call.once_key = Some(text.clone());
        let (method, path) = (head.method.as_str(), head.uri.path());
        let key = ledger::Key::of_call(call.customer.clone(), text, method, path);
        once::run(shared, &call, &key).await
    };
    timer.set_end(end(&result));
    result
}

fn end(result: &Result<Response<Body>, Problem>) -> End {
    match result {
        Ok(_) => End::Whole,
        Err(problem) => problem.outcome.into(),
    }
}

fn new_call(
    shared: &Shared,
    caller: &Caller<'_>,
    head: &Parts,
    body: Bytes,
    id: Attempt,
    need: Need,
    class: Class,
) -> Call {
    shared.count_call();
    let mut headers = HeaderMap::new();
    for name in [CONTENT_TYPE, ACCEPT] {
        if let Some(value) = head.headers.get(&name) {
            headers.insert(name, value.clone());
        }
    }
    Call {
        id,
        customer: caller.customer.name.clone(),
        need,
        class,
        method: head.method.clone(),
        uri: agent_uri(head),
        headers,
        body,
        prefix: None,
        once_key: None,
        deadline: shared.clock.now() + shared.config.max_call,
    }
}

/// HTTP/2 needs a scheme and an authority; agents look at neither.
fn agent_uri(head: &Parts) -> http::Uri {
    let path = head.uri.path_and_query().cloned();
    let mut parts = http::uri::Parts::default();
    parts.scheme = Some(http::uri::Scheme::HTTP);
    parts.authority = Some(http::uri::Authority::from_static("agent"));
    parts.path_and_query = path;
    http::Uri::from_parts(parts).unwrap_or_default()
}

fn begin(
    shared: &Shared,
    caller: &Caller<'_>,
    head: &Parts,
    id: Attempt,
) -> Result<calls::Guard, Problem> {
    let info = calls::Info {
        id,
        customer: caller.customer.name.clone(),
        path: head.uri.path().into(),
    };
    shared.calls.begin(info).ok_or_else(|| {
        let status = StatusCode::SERVICE_UNAVAILABLE;
        let busy = refusal(status, Step::Receive, "too many calls run at this entry");
        problem::with_retry_after(busy, BUSY_RETRY)
    })
}

/// Reads the request body within its limits of size and time.
async fn receive(shared: &Shared, headers: &HeaderMap, mut body: Body) -> Result<Bytes, Problem> {
    let limit = shared.config.max_body_bytes;
    let too_large = || {
        let detail = format!("the body is larger than {limit} bytes");
        refusal(StatusCode::PAYLOAD_TOO_LARGE, Step::Receive, detail)
    };
    let length = headers
        .get(CONTENT_LENGTH)
        .and_then(|value| value.to_str().ok());
    let length: usize = length.and_then(|text| text.parse().ok()).unwrap_or(0);
    if length > limit {
        return Err(too_large());
    }
    let patience = shared.config.progress_timeout;
    let mut whole = Vec::with_capacity(length);
    loop {
        let frame = time::timeout(patience, body.frame()).await.map_err(|_| {
            let detail = format!("no byte of the body for {} ms", millis(patience));
            refusal(StatusCode::REQUEST_TIMEOUT, Step::Receive, detail)
        })?;
        let frame = match frame {
            None => return Ok(whole.into()),
            Some(Ok(frame)) => frame,
            Some(Err(error)) => {
                let detail = format!("the body broke off: {error}");
                return Err(refusal(StatusCode::BAD_REQUEST, Step::Receive, detail));
            }
        };
        if let Ok(data) = frame.into_data() {
            if whole.len() + data.len() > limit {
                return Err(too_large());
            }
            whole.extend_from_slice(&data);
        }
    }
}

/// Whether the settings, or else the method, say that a call may be repeated.
fn is_idempotent(shared: &Shared, route: &Route, method: &Method) -> bool {
    let routes = shared.config.services.get(&route.service);
    let listed = routes.into_iter().flatten().find(|listed| {
        let is_method = match &listed.method {
            Some(wanted) => wanted.eq_ignore_ascii_case(method.as_str()),
            None => true,
        };
        is_method && route.path.starts_with(&listed.path_prefix)
    });
    match listed {
        Some(listed) => listed.is_idempotent,
        None => matches!(*method, Method::GET | Method::HEAD),
    }
}

fn idempotency_key(headers: &HeaderMap) -> Result<Option<Arc<str>>, Problem> {
    let name = HeaderName::from_static(header::IDEMPOTENCY_KEY);
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    match value.to_str() {
        Ok(text) if !text.is_empty() && text.len() <= MAX_KEY_BYTES => Ok(Some(text.into())),
        _ => {
            let detail = format!("not an idempotency key of 1 to {MAX_KEY_BYTES} characters");
            Err(refusal(StatusCode::BAD_REQUEST, Step::Receive, detail))
        }
    }
}

#[derive(Serialize)]
struct Models {
    data: Vec<Model>,
}

#[derive(Serialize)]
struct Model {
    id: name::Artifact,
    version: name::Version,
}

fn models(feed: &Feed, caller: &Caller<'_>) -> Response<Body> {
    let served = resolve::models(&feed.view, caller.plan).into_iter();
    let data = served.map(|id| Model {
        id: id.name,
        version: id.version,
    });
    let data = data.collect();
    Json(Models { data }).into_response()
}

fn refuse(cause: &resolve::Error) -> Problem {
    let (status, step) = match cause {
        resolve::Error::UnknownKey => (StatusCode::UNAUTHORIZED, Step::Authenticate),
        resolve::Error::NoPlan { .. } | resolve::Error::NotPermitted { .. } => {
            (StatusCode::FORBIDDEN, Step::Resolve)
        }
        resolve::Error::NotInService { .. } => (StatusCode::SERVICE_UNAVAILABLE, Step::Resolve),
    };
    let refusal = refusal(status, step, cause.to_string());
    match status {
        StatusCode::SERVICE_UNAVAILABLE => problem::with_retry_after(refusal, BUSY_RETRY),
        _ => refusal,
    }
}

fn refusal(status: StatusCode, step: Step, detail: impl Into<String>) -> Problem {
    let peer = match step {
        Step::Receive | Step::Authenticate => Peer::Caller,
        _ => Peer::Entry,
    };
    problem::not_run(status, step, peer, detail)
}
