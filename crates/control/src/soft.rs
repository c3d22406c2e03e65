//! Objections to an edit by the VMs that are there now.
//!
//! They are no part of the replicated state, so the replica that takes the edit looks at them and
//! commits what it finds with the edit.

use std::collections::BTreeSet;

use domain::{
    edit::Change,
    name,
    rollout::Stage,
    violation::Violation,
    vm::{Upstream, Vm},
};
use policy::state::State;

/// What a change would leave without any VM to serve it.
pub fn objections(state: &State, vms: &[&Vm], change: &Change) -> Vec<Violation> {
    let path = match change {
        Change::Zone { .. } => "$.change.zone.zone",
        Change::Drain { .. } => "$.change.drain.vm",
        Change::Lists(_) | Change::Resume { .. } | Change::Routing(_) | Change::Target { .. } => {
            return Vec::new();
        }
    };
    let before: Vec<&Vm> = vms
        .iter()
        .copied()
        .filter(|vm| is_in_service(state, vm))
        .collect();
    let after: Vec<&Vm> = before
        .iter()
        .copied()
        .filter(|vm| !takes_out(change, vm))
        .collect();
    let lost = served(state, &before);
    let kept = served(state, &after);
    lost.difference(&kept)
        .map(|what| Violation::new(path, format!("{what} would be left with no upstream")))
        .collect()
}

fn takes_out(change: &Change, vm: &Vm) -> bool {
    let who = &vm.announcement;
    match change {
        Change::Zone { zone, in_service } => !in_service && who.zone == *zone,
        Change::Drain { vm, is_draining } => *is_draining && who.vm == *vm,
        Change::Lists(_) | Change::Resume { .. } | Change::Routing(_) | Change::Target { .. } => {
            false
        }
    }
}

fn is_in_service(state: &State, vm: &Vm) -> bool {
    let who = &vm.announcement;
    vm.status.lifecycle.is_serving()
        && !state.zones_out().contains(&who.zone)
        && !state.drains().contains(&who.vm)
}

/// What the plans may use and some of the VMs serve.
fn served(state: &State, vms: &[&Vm]) -> BTreeSet<String> {
    let plans = &state.lists().plans;
    let services = plans
        .iter()
        .flat_map(|plan| &plan.services)
        .filter(|service| vms.iter().any(|vm| offers(vm, service)))
        .map(|service| format!("service {service}"));
    let models = plans.iter().flat_map(|plan| {
        plan.models
            .iter()
            .filter(|grant| {
                let in_force = grant.models().find(|id| {
                    let rollout = state.rollouts().get(id);
                    rollout.is_some_and(|rollout| rollout.stage == Stage::Ready)
                });
                in_force.is_some_and(|id| vms.iter().any(|vm| vm.status.serves(&id)))
            })
            .map(|grant| format!("model {} of plan {}", grant.model, plan.name))
    });
    services.chain(models).collect()
}

fn offers(vm: &Vm, service: &name::Service) -> bool {
    matches!(&vm.announcement.upstream, Upstream::Service { name } if name == service)
}
