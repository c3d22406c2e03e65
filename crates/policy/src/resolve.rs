//! From a caller's key to what its plan allows: the version is pinned here and never changes.
//!
//! See `docs/ARCHITECTURE.md`, "A call's way".

use domain::{artifact, call::Target, digest::Digest, lists, name};
use snafu::Snafu;

use crate::view::View;

/// Why a call is not admitted. Nothing ran.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum Error {
    /// The key is in no list.
    #[snafu(display("the key is not known"))]
    UnknownKey,
    /// The customer's plan is in no list.
    #[snafu(display("no plan is named {plan}"))]
    NoPlan {
        /// The plan.
        plan: name::Plan,
    },
    /// The plan does not contain it.
    #[snafu(display("plan {plan} may not use {wanted}"))]
    NotPermitted {
        /// The plan.
        plan: name::Plan,
        /// What was asked for.
        wanted: String,
    },
    /// The plan contains it, but no permitted version is ready.
    #[snafu(display("no version of {wanted} that plan {plan} may use is in service"))]
    NotInService {
        /// The plan.
        plan: name::Plan,
        /// What was asked for.
        wanted: String,
    },
}

/// The customer that holds a key.
///
/// # Errors
///
/// [`Error::UnknownKey`].
pub fn customer<'a>(view: &'a View, key: &str) -> Result<&'a lists::Customer, Error> {
    view.customer_by_key(&Digest::of(key.as_bytes()))
        .map(AsRef::as_ref)
        .ok_or(Error::UnknownKey)
}

/// The plan of a customer.
///
/// # Errors
///
/// [`Error::NoPlan`].
pub fn plan<'a>(view: &'a View, customer: &lists::Customer) -> Result<&'a lists::Plan, Error> {
    let found = view.plans.get(&customer.plan).map(AsRef::as_ref);
    found.ok_or_else(|| Error::NoPlan {
        plan: customer.plan.clone(),
    })
}

/// The versions that a call is served by, from the names that the caller asked for.
///
/// A name may carry `@version`; then only that version will do.
///
/// # Errors
///
/// Why the plan does not allow it, or that nothing permitted is in service.
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
/// [`Error::NotPermitted`].
pub fn service(plan: &lists::Plan, service: &name::Service) -> Result<(), Error> {
    match plan.services.contains(service) {
        true => Ok(()),
        false => Err(not_permitted(plan, service.as_str())),
    }
}

/// Whether the newest lists still allow the customer what its call was admitted to.
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

/// Whether the newest lists still allow the customer a plain service.
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

/// The models that a plan may use now, with the version served.
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
