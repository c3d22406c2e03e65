//! Calls of plain services that may be repeated.

use std::sync::Arc;

use domain::{
    call::{Problem, Step},
    name,
};
use http::{HeaderValue, Response, StatusCode};
use policy::gate::{self, End};
use tokio::time;
use upstream::service::{Answer, Call, Service as Client};

use crate::{
    gate::Permit,
    request::Request,
    response::{self, Body},
    site::{Need, Site},
};

/// What a call of a service costs in the fair queue.
const COST: u32 = 1;

/// Answers look-ups.
#[derive(Clone)]
pub struct Service {
    site: Arc<Site>,
    client: Arc<dyn Client>,
}

impl Service {
    /// A service beside the agent.
    pub fn new(site: Arc<Site>, client: Arc<dyn Client>) -> Self {
        Self { site, client }
    }

    /// Answers a look-up.
    ///
    /// # Errors
    ///
    /// The failure answer.
    pub async fn answer(
        &self,
        request: Request,
        path: Arc<str>,
    ) -> Result<Response<Body>, Box<Problem>> {
        let site = &self.site;
        let customer = request.customer.clone();
        let mut permit = enter(site, &request, Need::LookUp).await?;
        let call = call(&request, path, None);
        let since = time::Instant::now();
        permit.send();
        match self.client.call(call).await {
            Ok(answer) => {
                permit.confirm();
                permit.finish(end_of(&answer), COST);
                site.metrics.duration(customer.as_str(), since.elapsed());
                Ok(respond(answer))
            }
            Err(error) => {
                permit.finish(End::Failed, COST);
                Err(Box::new(site.problems.failed(&error)))
            }
        }
    }
}

/// Waits for the turn of a call and checks that it may be sent.
pub(crate) async fn enter(
    site: &Site,
    request: &Request,
    need: Need<'_>,
) -> Result<Permit, Box<Problem>> {
    let check = || {
        site.check(need)
            .map_err(|obstacle| Box::new(site.problems.not_run(Step::Queue, obstacle.to_string())))
    };
    check()?;
    let asked_at = site.clock.now();
    let asked = gate::Call {
        owner: site.owner(request.customer.clone()),
        cost: COST,
        bytes: u32::try_from(request.body.len()).unwrap_or(u32::MAX),
        deadline: request.deadline,
    };
    let entered = site.gate.enter(asked).await;
    let permit = entered.map_err(|denial| Box::new(site.problems.denied(denial)))?;
    let waited = site.clock.now().since(asked_at);
    site.metrics.queued(request.customer.as_str(), waited);
    check()?;
    Ok(permit)
}

/// The call as the service gets it.
pub(crate) fn call(request: &Request, path: Arc<str>, once_key: Option<Arc<str>>) -> Call {
    Call {
        attempt: request.attempt,
        method: request.method.clone(),
        path,
        headers: request.headers.clone(),
        body: request.body.clone(),
        once_key,
    }
}

/// What an answer says about the service.
pub(crate) fn end_of(answer: &Answer) -> End {
    match answer.status {
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => End::Refused,
        status if status.is_server_error() => End::Failed,
        _ => End::Succeeded,
    }
}

/// The answer as the entry gets it.
pub(crate) fn respond(answer: Answer) -> Response<Body> {
    let kind = answer
        .content_type
        .unwrap_or_else(|| HeaderValue::from_static("application/octet-stream"));
    response::answer(answer.status, kind, response::full(answer.body))
}

/// Whether a service of this name stands beside an agent with this announcement.
pub(crate) fn is_beside(site: &Site, service: &name::Service) -> bool {
    matches!(
        &site.announcement.upstream,
        domain::vm::Upstream::Service { name } if name == service
    )
}
