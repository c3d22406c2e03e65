//! The two lists that operators edit: customers with their plans, and plans with what they may use.

use std::collections::BTreeSet;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::{artifact, digest::Digest, name, violation::Violation};

/// The smallest share of a plan. Shares are relative to the sum of the shares of all plans.
pub const MIN_SHARE: u32 = 1;
/// The largest share of a plan.
pub const MAX_SHARE: u32 = 10_000;

/// Both lists, as one document that is accepted or refused as a whole.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Lists {
    /// The customers and their plans.
    pub customers: Vec<Customer>,
    /// The plans and what each may use.
    pub plans: Vec<Plan>,
}

/// A customer, its plan and the digests of its keys.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Customer {
    /// The customer's name.
    pub name: name::Customer,
    /// The customer's plan.
    pub plan: name::Plan,
    /// Digests of the keys of its callers. The keys themselves are not stored.
    pub key_digests: Vec<Digest>,
}

/// What the customers of one plan may use.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// The plan's name.
    pub name: name::Plan,
    /// The share of capacity, relative to the sum of the shares of all plans.
    pub share: u32,
    /// The models that the plan may use.
    #[serde(default)]
    pub models: Vec<Grant>,
    /// The plain services that the plan may use.
    #[serde(default)]
    pub services: Vec<name::Service>,
}

/// Permission to use a model.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Grant {
    /// The model.
    pub model: name::Artifact,
    /// Its permitted versions, the preferred one first.
    pub versions: Vec<name::Version>,
    /// The adapters that may be used with it.
    #[serde(default)]
    pub adapters: Vec<Adapter>,
}

/// Permission to use an adapter.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Adapter {
    /// The adapter.
    pub name: name::Artifact,
    /// Its permitted versions, the preferred one first.
    pub versions: Vec<name::Version>,
}

impl Grant {
    /// The artifact ids of the model's permitted versions, the preferred one first.
    pub fn models(&self) -> impl Iterator<Item = artifact::Id> {
        self.versions
            .iter()
            .map(|version| artifact::Id::new(self.model.clone(), version.clone()))
    }

    /// The artifact ids of the permitted versions of all adapters.
    pub fn adapters(&self) -> impl Iterator<Item = artifact::Id> {
        self.adapters.iter().flat_map(Adapter::artifacts)
    }
}

impl Adapter {
    /// The artifact ids of the permitted versions, the preferred one first.
    pub fn artifacts(&self) -> impl Iterator<Item = artifact::Id> {
        self.versions
            .iter()
            .map(|version| artifact::Id::new(self.name.clone(), version.clone()))
    }
}

impl Lists {
    /// The artifacts that at least one plan may use.
    pub fn artifacts(&self) -> BTreeSet<artifact::Id> {
        self.plans
            .iter()
            .flat_map(|plan| &plan.models)
            .flat_map(|grant| grant.models().chain(grant.adapters()))
            .collect()
    }

    /// The plan of the given name, if there is one.
    pub fn plan(&self, name: &name::Plan) -> Option<&Plan> {
        self.plans.iter().find(|plan| plan.name == *name)
    }

    /// Validates the document and returns all violations, each with its JSON path.
    pub fn violations(&self) -> Vec<Violation> {
        let mut found = Vec::new();
        self.check_customers(&mut found);
        self.check_plans(&mut found);
        found
    }

    fn check_customers(&self, found: &mut Vec<Violation>) {
        let mut names = BTreeSet::new();
        let mut digests = BTreeSet::new();
        for (i, customer) in self.customers.iter().enumerate() {
            let path = format!("$.customers[{i}]");
            check_name(&format!("{path}.name"), customer.name.as_str(), found);
            if !names.insert(&customer.name) {
                found.push(Violation::new(
                    format!("{path}.name"),
                    "customer is listed twice",
                ));
            }
            if self.plan(&customer.plan).is_none() {
                let message = format!("no plan is named {}", customer.plan);
                found.push(Violation::new(format!("{path}.plan"), message));
            }
            for (k, digest) in customer.key_digests.iter().enumerate() {
                if !digests.insert(digest) {
                    let path = format!("{path}.key_digests[{k}]");
                    found.push(Violation::new(path, "key digest is listed twice"));
                }
            }
        }
    }

    fn check_plans(&self, found: &mut Vec<Violation>) {
        let mut names = BTreeSet::new();
        for (i, plan) in self.plans.iter().enumerate() {
            let path = format!("$.plans[{i}]");
            check_name(&format!("{path}.name"), plan.name.as_str(), found);
            if !names.insert(&plan.name) {
                found.push(Violation::new(
                    format!("{path}.name"),
                    "plan is listed twice",
                ));
            }
            if !(MIN_SHARE..=MAX_SHARE).contains(&plan.share) {
                let message = format!("share {} is not in {MIN_SHARE}..={MAX_SHARE}", plan.share);
                found.push(Violation::new(format!("{path}.share"), message));
            }
            check_grants(&path, plan, found);
        }
    }
}

fn check_grants(path: &str, plan: &Plan, found: &mut Vec<Violation>) {
    let mut models = BTreeSet::new();
    for (i, grant) in plan.models.iter().enumerate() {
        let path = format!("{path}.models[{i}]");
        check_name(&format!("{path}.model"), grant.model.as_str(), found);
        if !models.insert(&grant.model) {
            found.push(Violation::new(
                format!("{path}.model"),
                "model is listed twice",
            ));
        }
        check_versions(&path, &grant.versions, found);
        for (k, adapter) in grant.adapters.iter().enumerate() {
            let path = format!("{path}.adapters[{k}]");
            check_name(&format!("{path}.name"), adapter.name.as_str(), found);
            check_versions(&path, &adapter.versions, found);
        }
    }
    for (i, service) in plan.services.iter().enumerate() {
        check_name(&format!("{path}.services[{i}]"), service.as_str(), found);
    }
}

fn check_versions(path: &str, versions: &[name::Version], found: &mut Vec<Violation>) {
    if versions.is_empty() {
        found.push(Violation::new(
            format!("{path}.versions"),
            "no version is listed",
        ));
    }
    let mut seen = BTreeSet::new();
    for (i, version) in versions.iter().enumerate() {
        let path = format!("{path}.versions[{i}]");
        check_name(&path, version.as_str(), found);
        if !seen.insert(version) {
            found.push(Violation::new(path, "version is listed twice"));
        }
    }
}

fn check_name(path: &str, text: &str, found: &mut Vec<Violation>) {
    if !name::is_valid(text) {
        let message = format!("not a name of letters, digits, '.', '_' and '-': {text:?}");
        found.push(Violation::new(path, message));
    }
}
