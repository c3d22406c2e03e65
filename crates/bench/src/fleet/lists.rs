//! Lists for a fleet: customers, plans, models and services.

use domain::{
    digest::Digest,
    lists::{Adapter, Customer, Grant, Lists, Plan},
};

/// Builds the two lists in `with_` steps.
#[derive(Clone, Debug, Default)]
pub struct Builder {
    lists: Lists,
}

impl Builder {
    /// Empty lists.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a plan with a share of capacity.
    #[must_use]
    pub fn with_plan(mut self, name: &str, share: u32) -> Self {
        let plan = Plan {
            name: name.into(),
            share,
            models: Vec::new(),
            services: Vec::new(),
        };
        self.lists.plans.push(plan);
        self
    }

    /// Lets the last plan use a model in the given versions.
    #[must_use]
    pub fn with_model(mut self, model: &str, versions: &[&str]) -> Self {
        let versions = versions.iter().map(|version| (*version).into()).collect();
        let grant = Grant {
            model: model.into(),
            versions,
            adapters: Vec::new(),
        };
        if let Some(plan) = self.lists.plans.last_mut() {
            plan.models.push(grant);
        }
        self
    }

    /// Lets the last plan use an adapter with its last model.
    #[must_use]
    pub fn with_adapter(mut self, name: &str, versions: &[&str]) -> Self {
        let versions = versions.iter().map(|version| (*version).into()).collect();
        let grant = self
            .lists
            .plans
            .last_mut()
            .and_then(|plan| plan.models.last_mut());
        if let Some(grant) = grant {
            grant.adapters.push(Adapter {
                name: name.into(),
                versions,
            });
        }
        self
    }

    /// Lets the last plan use a plain service.
    #[must_use]
    pub fn with_service(mut self, name: &str) -> Self {
        if let Some(plan) = self.lists.plans.last_mut() {
            plan.services.push(name.into());
        }
        self
    }

    /// Adds a customer of a plan; its key is [`key`] of its name.
    #[must_use]
    pub fn with_customer(mut self, name: &str, plan: &str) -> Self {
        let key_digests = vec![Digest::of(key(name).as_bytes())];
        self.lists.customers.push(Customer {
            name: name.into(),
            plan: plan.into(),
            key_digests,
        });
        self
    }

    /// The lists.
    pub fn build(self) -> Lists {
        self.lists
    }
}

/// The caller key of a customer of the bench.
pub fn key(customer: &str) -> String {
    format!("key-of-{customer}")
}
