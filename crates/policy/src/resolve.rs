//! Resolves a caller's key to its customer and plan, and a requested model to a version. The
//! version of a call is pinned here and never changes.
//!
//! See `docs/ARCHITECTURE.md`, "A call's way".

use domain::{artifact, call::Target, digest::Digest, lists, name};
use snafu::Snafu;

use crate::view::View;

/// Why a call is not admitted. Nothing was executed.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum Error {
    /// No customer has the key.
    #[snafu(display("the key is not known"))]
    UnknownKey,
    /// The customer's plan does not exist.
    #[snafu(display("no plan is named {plan}"))]
    NoPlan {
        /// The plan.
        plan: name::Plan,
    },
    /// The plan does not include what was requested.
    #[snafu(display("plan {plan} may not use {wanted}"))]
    NotPermitted {
        /// The plan.
        plan: name::Plan,
        /// The requested name.
        wanted: String,
    },
    /// The plan includes what was requested, but no permitted version is ready.
    #[snafu(display("no version of {wanted} that plan {plan} may use is in service"))]
    NotInService {
        /// The plan.
        plan: name::Plan,
        /// The requested name.
        wanted: String,
    },
}

/// Returns the customer that holds a key.
///
/// # Errors
///
/// [`Error::UnknownKey`] if no customer holds the key.
pub fn customer<'a>(view: &'a View, key: &str) -> Result<&'a lists::Customer, Error> {
    view.customer_by_key(&Digest::of(key.as_bytes()))
        .map(AsRef::as_ref)
        .ok_or(Error::UnknownKey)
}

/// Returns the plan of a customer.
///
/// # Errors
///
/// [`Error::NoPlan`] if the plan does not exist.
pub fn plan<'a>(view: &'a View, customer: &lists::Customer) -> Result<&'a lists::Plan, Error> {
    let found = view.plans.get(&customer.plan).map(AsRef::as_ref);
    found.ok_or_else(|| Error::NoPlan {
        plan: customer.plan.clone(),
    })
}

/// Resolves the requested model and adapter to the versions that serve the call.
///
/// A name may end with `@version`; then only that version is accepted.
///
/// # Errors
///
/// [`Error::NotPermitted`] if the plan does not include a name or version, and
/// [`Error::NotInService`] if no permitted version is ready.
pub fn target(
    view: &View,
    plan: &lists::Plan,
    model: &str,
    adapter: Option<&str>,
) -> Result<Target, Error> {
    let (name, version) = split(model);
    let grant = plan
        .models
        .iter()
        .find(|grant| grant.model.as_str() == name);
    let grant = grant.ok_or_else(|| not_permitted(plan, model))?;
    let model = pick(view, plan, model, version, grant.models())?;
    let adapter = match adapter {
        None => None,
        Some(text) => {
            let (name, version) = split(text);
            let listed = grant.adapters.iter().find(|a| a.name.as_str() == name);
            let listed = listed.ok_or_else(|| not_permitted(plan, text))?;
            Some(pick(view, plan, text, version, listed.artifacts())?)
        }
    };
    Ok(Target { model, adapter })
}

/// Checks that a plan may use a plain service.
///
/// # Errors
///
/// [`Error::NotPermitted`] if the plan does not include the service.
pub fn service(plan: &lists::Plan, service: &name::Service) -> Result<(), Error> {
    match plan.services.contains(service) {
        true => Ok(()),
        false => Err(not_permitted(plan, service.as_str())),
    }
}

/// Whether the newest lists still permit the customer to use the versions of an admitted call.
pub fn is_permitted(view: &View, customer: &name::Customer, target: &Target) -> bool {
    let plan = view
        .customers
        .get(customer)
        .and_then(|c| view.plans.get(&c.plan));
    let grants = plan.iter().flat_map(|plan| &plan.models);
    grants
        .filter(|grant| grant.models().any(|id| id == target.model))
        .any(|grant| match &target.adapter {
            None => true,
            Some(adapter) => grant.adapters().any(|id| id == *adapter),
        })
}

/// Whether the newest lists still permit the customer to use a plain service.
pub fn is_service_permitted(
    view: &View,
    customer: &name::Customer,
    service: &name::Service,
) -> bool {
    let plan = view
        .customers
        .get(customer)
        .and_then(|c| view.plans.get(&c.plan));
    plan.is_some_and(|plan| plan.services.contains(service))
}

/// Returns the models that a plan may use now, each with the version that is served.
pub fn models(view: &View, plan: &lists::Plan) -> Vec<artifact::Id> {
    let grants = plan.models.iter();
    grants
        .filter_map(|grant| view.served_version(grant))
        .collect()
}

fn pick(
    view: &View,
    plan: &lists::Plan,
    wanted: &str,
    version: Option<&str>,
    mut listed: impl Iterator<Item = artifact::Id>,
) -> Result<artifact::Id, Error> {
    let Some(version) = version else {
        return listed
            .find(|id| view.is_ready(id))
            .ok_or_else(|| not_in_service(plan, wanted));
    };
    let found = listed.find(|id| id.version.as_str() == version);
    let id = found.ok_or_else(|| not_permitted(plan, wanted))?;
    match view.is_ready(&id) {
        true => Ok(id),
        false => Err(not_in_service(plan, wanted)),
    }
}

fn split(text: &str) -> (&str, Option<&str>) {
    match text.split_once('@') {
        Some((name, version)) => (name, Some(version)),
        None => (text, None),
    }
}

fn not_permitted(plan: &lists::Plan, wanted: &str) -> Error {
    Error::NotPermitted {
        plan: plan.name.clone(),
        wanted: wanted.to_owned(),
    }
}

fn not_in_service(plan: &lists::Plan, wanted: &str) -> Error {
    Error::NotInService {
        plan: plan.name.clone(),
        wanted: wanted.to_owned(),
    }
}
