//! The state that entries and agents build from the records of the feed.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::Arc,
};

use domain::{
    artifact,
    digest::Digest,
    edit::Revision,
    instance::Instance,
    lists, name,
    quarantine::{self, Suspect},
    record::{Batch, Cursor, Delta, Key, Record, Routing},
    rollout::{Rollout, Stage},
    routing,
    vm::Vm,
};

use crate::routes::Routes;

/// All records of the feed, indexed for lookups. Clones share the records.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// The revision of the newest edit in the view.
    pub revision: Revision,
    /// The index of the last command of the replicated log in the view.
    pub commit: u64,
    /// The position of the view in the feed.
    pub cursor: Cursor,
    /// Customers by name.
    pub customers: BTreeMap<name::Customer, Arc<lists::Customer>>,
    /// Plans by name.
    pub plans: BTreeMap<name::Plan, Arc<lists::Plan>>,
    /// Rollouts by version.
    pub rollouts: BTreeMap<artifact::Id, Arc<Rollout>>,
    /// Availability zones that are out of service.
    pub zones_out: BTreeSet<name::AvailabilityZone>,
    /// VMs drained by an operator.
    pub drains: BTreeSet<name::Vm>,
    /// VMs by name.
    pub vms: BTreeMap<name::Vm, Arc<Vm>>,
    /// The head of the current routing, if there is one.
    pub routing: Option<Routing>,
    /// Routes by host and path.
    pub routes: Routes,
    /// Services by name.
    pub services: BTreeMap<name::Service, Arc<routing::Service>>,
    /// Upstream instances by name.
    pub instances: BTreeMap<name::Instance, Arc<Instance>>,
    /// The version that each model's engines should serve.
    pub targets: BTreeMap<name::Artifact, u64>,
    /// Parts of prompts that may crash instances.
    pub suspects: BTreeMap<quarantine::Key, Suspect>,
    callers: BTreeMap<name::Customer, Arc<routing::Caller>>,
    caller_keys: HashMap<Digest, name::Customer>,
    keys: HashMap<Digest, name::Customer>,
}

/// The batch belongs to an older state than the view and was not applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("feed went back from commit {have} to {offered}")]
pub struct Regression {
    /// The commit index of the view.
    pub have: u64,
    /// The commit index of the batch.
    pub offered: u64,
}

/// The request presents no key that a caller holds, and needs one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("no caller holds the key")]
pub struct Unauthorized;

impl View {
    /// Applies the changes of a batch, or rejects a batch of an older state.
    ///
    /// # Errors
    ///
    /// [`Regression`] if the batch is older than the view.
    pub fn apply(&mut self, batch: Batch) -> Result<(), Regression> {
        if batch.commit < self.commit || batch.revision < self.revision {
            return Err(Regression {
                have: self.commit,
                offered: batch.commit,
            });
        }
        if batch.is_snapshot {
            *self = Self::default();
        }
        for delta in batch.deltas {
            match delta {
                Delta::Set(record) => self.set(record),
                Delta::Remove(key) => self.remove(&key),
            }
        }
        self.revision = batch.revision;
        self.commit = batch.commit;
        self.cursor = batch.cursor;
        Ok(())
    }

    /// Returns the customer that holds the key with the given digest.
    pub fn customer_by_key(&self, key: &Digest) -> Option<&Arc<lists::Customer>> {
        self.customers.get(self.keys.get(key)?)
    }

    /// Returns the caller whose key a request on a route presents, or nothing if the route is open
    /// to everybody.
    ///
    /// # Errors
    ///
    /// [`Unauthorized`] if the request needs a key and presents none, or one that no caller holds.
    pub fn authorize(
        &self,
        routing: &Routing,
        route: &routing::Route,
        key: Option<&[u8]>,
    ) -> Result<Option<&Arc<routing::Caller>>, Unauthorized> {
        if route.is_public || !routing.has_callers {
            return Ok(None);
        }
        let key = key.ok_or(Unauthorized)?;
        let holder = self.caller_keys.get(&Digest::of(key));
        let caller = holder.and_then(|name| self.callers.get(name));
        caller.map(Some).ok_or(Unauthorized)
    }

    /// Returns the version of a model that is served to a plan now: the first of the plan's
    /// versions that is ready.
    ///
    /// Readiness is a committed state, so that all entries switch together.
    pub fn served_version(&self, grant: &lists::Grant) -> Option<artifact::Id> {
        grant.models().find(|id| self.is_ready(id))
    }

    /// Whether the version's rollout is ready: enough warm capacity serves it.
    pub fn is_ready(&self, id: &artifact::Id) -> bool {
        self.rollouts
            .get(id)
            .is_some_and(|rollout| rollout.stage == Stage::Ready)
    }

    /// Whether the VM and its zone accept new work: neither is drained or out of service.
    pub fn is_in_service(&self, vm: &Vm) -> bool {
        let announcement = &vm.announcement;
        !self.zones_out.contains(&announcement.zone) && !self.drains.contains(&announcement.vm)
    }

    fn set(&mut self, record: Record) {
        match record {
            Record::Customer(customer) => self.set_customer(customer),
            Record::Plan(plan) => {
                self.plans.insert(plan.name.clone(), Arc::new(plan));
            }
            Record::Rollout(rollout) => {
                self.rollouts
                    .insert(rollout.artifact.clone(), Arc::new(rollout));
            }
            Record::ZoneOut(zone) => {
                self.zones_out.insert(zone);
            }
            Record::Drain(vm) => {
                self.drains.insert(vm);
            }
            Record::Vm(vm) => {
                self.vms.insert(vm.announcement.vm.clone(), Arc::from(vm));
            }
            Record::Routing(routing) => self.routing = Some(routing),
            Record::Route(route) => self.routes.insert(Arc::new(route)),
            Record::Service(service) => {
                self.services
                    .insert(service.name.clone(), Arc::from(service));
            }
            Record::Caller(caller) => self.set_caller(caller),
            Record::Instance(instance) => {
                self.instances
                    .insert(instance.id.clone(), Arc::from(instance));
            }
            Record::Target(target) => {
                self.targets.insert(target.model, target.version);
            }
            Record::Suspect(suspect) => {
                self.suspects.insert(suspect.key.clone(), suspect);
            }
        }
    }

    fn set_caller(&mut self, caller: routing::Caller) {
        self.remove_caller_keys(&caller.name);
        for digest in &caller.key_digests {
            self.caller_keys.insert(*digest, caller.name.clone());
        }
        self.callers.insert(caller.name.clone(), Arc::new(caller));
    }

    fn set_customer(&mut self, customer: lists::Customer) {
        self.remove_keys(&customer.name);
        for digest in &customer.key_digests {
            self.keys.insert(*digest, customer.name.clone());
        }
        self.customers
            .insert(customer.name.clone(), Arc::new(customer));
    }

    fn remove(&mut self, key: &Key) {
        match key {
            Key::Customer(name) => {
                self.remove_keys(name);
                self.customers.remove(name);
            }
            Key::Plan(name) => {
                self.plans.remove(name);
            }
            Key::Rollout(text) => {
                if let Some(id) = artifact::Id::parse(text) {
                    self.rollouts.remove(&id);
                }
            }
            Key::ZoneOut(zone) => {
                self.zones_out.remove(zone);
            }
            Key::Drain(vm) => {
                self.drains.remove(vm);
            }
            Key::Vm(vm) => {
                self.vms.remove(vm);
            }
            Key::Routing => self.routing = None,
            Key::Route(place) => self.routes.remove(place),
            Key::Service(name) => {
                self.services.remove(name);
            }
            Key::Caller(name) => {
                self.remove_caller_keys(name);
                self.callers.remove(name);
            }
            Key::Instance(id) => {
                self.instances.remove(id);
            }
            Key::Target(model) => {
                self.targets.remove(model);
            }
            Key::Suspect(key) => {
                self.suspects.remove(key);
            }
        }
    }

    fn remove_caller_keys(&mut self, name: &name::Customer) {
        // A key may have moved to another caller in the same batch.
        self.caller_keys.retain(|_, holder| holder != name);
    }

    fn remove_keys(&mut self, name: &name::Customer) {
        let Some(old) = self.customers.get(name) else {
            return;
        };
        for digest in &old.key_digests {
            // A key may have moved to another customer in the same batch.
            if self.keys.get(digest) == Some(name) {
                self.keys.remove(digest);
            }
        }
    }
}
