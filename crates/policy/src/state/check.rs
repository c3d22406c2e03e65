//! Validation of an edit against the state. Each violation has its JSON path.

use domain::{
    edit::{Change, Edit, Pins},
    lists::{Grant, Lists, Plan},
    name,
    rollout::Stage,
    violation::Violation,
};

use super::State;

/// The longest accepted edit id, in bytes.
const MAX_ID_BYTES: usize = 128;

pub(super) fn violations(state: &State, edit: &Edit) -> Vec<Violation> {
    let mut found = Vec::new();
    if edit.id.is_empty() || edit.id.len() > MAX_ID_BYTES {
        let message = format!(
            "an edit id has 1 to {MAX_ID_BYTES} bytes, not {}",
            edit.id.len()
        );
        found.push(Violation::new("$.id", message));
    }
    match &edit.change {
        Change::Lists(lists) => {
            if edit.base.is_none() {
                let message = "a change of the lists needs the revision from which it was made";
                found.push(Violation::new("$.base", message));
            }
            found.extend(lists.violations());
            if !edit.allow_outage {
                found.extend(outages(state, lists));
            }
        }
        Change::Zone { zone, .. } => check_name("$.change.zone.zone", zone.as_str(), &mut found),
        Change::Drain { vm, .. } => check_name("$.change.drain.vm", vm.as_str(), &mut found),
        // The replica that receives the edit validates the document of the routing.
        Change::Routing(_) => {}
        Change::Target { model, .. } => {
            check_name("$.change.target.model", model.as_str(), &mut found);
        }
        Change::Resume { artifact } => match state.rollouts.get(artifact) {
            Some(rollout) if matches!(rollout.stage, Stage::Halted { .. }) => {}
            Some(rollout) => {
                let message = format!("rollout {artifact} is not halted but in {}", rollout.stage);
                found.push(Violation::new("$.change.resume.artifact", message));
            }
            None => {
                let message = format!("no rollout of {artifact}");
                found.push(Violation::new("$.change.resume.artifact", message));
            }
        },
    }
    found
}

/// A violation for each artifact that the lists name for the first time and whose manifest could
/// not be read.
pub(super) fn missing_pins(state: &State, edit: &Edit, pins: &Pins) -> Vec<Violation> {
    let Change::Lists(lists) = &edit.change else {
        return Vec::new();
    };
    lists
        .artifacts()
        .into_iter()
        .filter(|id| !state.rollouts.contains_key(id) && !pins.contains_key(&id.to_string()))
        .map(|id| Violation::new("$.plans", format!("no manifest was read for {id}")))
        .collect()
}

/// A violation for each plan that has a version in service now and would have none after the edit.
fn outages(state: &State, lists: &Lists) -> Vec<Violation> {
    lists
        .plans
        .iter()
        .enumerate()
        .filter_map(|(i, plan)| {
            let old = state.lists.plan(&plan.name)?;
            Some(plan_outages(state, old, plan, &format!("$.plans[{i}]")))
        })
        .flatten()
        .collect()
}

fn plan_outages(state: &State, old: &Plan, new: &Plan, path: &str) -> Vec<Violation> {
    let is_served = |grant: &Grant| grant.models().any(|id| is_ready(state, &id));
    if old.models.iter().any(is_served) && !new.models.iter().any(is_served) {
        let message = format!("plan {} would have no version in service", new.name);
        return vec![Violation::new(format!("{path}.models"), message)];
    }
    new.models
        .iter()
        .enumerate()
        .filter(|(_, grant)| {
            let was_served = old
                .models
                .iter()
                .any(|other| other.model == grant.model && is_served(other));
            was_served && !is_served(grant)
        })
        .map(|(k, grant)| {
            let message = format!(
                "plan {} would have no version of {} in service",
                new.name, grant.model
            );
            Violation::new(format!("{path}.models[{k}].versions"), message)
        })
        .collect()
}

fn is_ready(state: &State, id: &domain::artifact::Id) -> bool {
    state
        .rollouts
        .get(id)
        .is_some_and(|rollout| rollout.stage == Stage::Ready)
}

fn check_name(path: &str, text: &str, found: &mut Vec<Violation>) {
    if !name::is_valid(text) {
        found.push(Violation::new(path, format!("not a name: {text:?}")));
    }
}
