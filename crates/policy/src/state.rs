//! The replicated state machine.
//!
//! All replicas apply the same commands in the same order. Nothing here depends on settings, clocks
//! or the iteration order of a hash table, so they all reach the same state. See
//! `docs/ARCHITECTURE.md`, "Replicated state".

mod check;
mod diff;
mod latest;

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    sync::Arc,
};

use domain::{
    artifact,
    command::{Command, Reply},
    digest::Digest,
    edit::{Change, Edit, Event, Outcome, Pins, Revision},
    lists::Lists,
    name,
    order::Fence,
    record::{Delta, Key, Record, Target},
    rollout::{Rollout, Stage},
    routing::Document,
    violation::Violation,
};
use serde::{Deserialize, Serialize};

use crate::{ledger::Ledger, quarantine, registry::Registry};

/// The maximum by which one command moves the expiry horizon, in milliseconds. It keeps a leader
/// whose clock jumps ahead from expiring everything at once: the clock has to stay ahead for hours
/// before anything expires early.
pub const MAX_EXPIRY_STEP_MS: u64 = 10 * 60 * 1_000;
/// The maximum number of events in the history. The oldest ones are dropped first.
pub const MAX_HISTORY: usize = 10_000;

/// The result of a command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Applied {
    /// The reply, the same on every replica.
    pub reply: Reply,
    /// The changed records of the feed.
    pub deltas: Vec<Delta>,
}

/// The outcome that was decided for an edit id.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Decision {
    content: Digest,
    answer: Outcome,
    at_ms: u64,
}

/// The whole replicated state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    revision: Revision,
    /// The id of the edit that made the revision.
    winner: Option<Arc<str>>,
    lists: Lists,
    zones_out: BTreeSet<name::AvailabilityZone>,
    drains: BTreeSet<name::Vm>,
    rollouts: BTreeMap<artifact::Id, Rollout>,
    ledger: Ledger,
    #[serde(default)]
    routing: Option<Arc<Document>>,
    #[serde(default)]
    targets: BTreeMap<name::Artifact, u64>,
    #[serde(default)]
    registry: Registry,
    #[serde(default)]
    quarantine: quarantine::Table,
    answers: BTreeMap<Arc<str>, Decision>,
    #[serde(default)]
    latest: latest::Table,
    history: VecDeque<Event>,
    /// The latest time of any command, in milliseconds since the Unix epoch.
    clock_ms: u64,
    /// The expiry horizon: entries that ended before this time, in milliseconds since the Unix
    /// epoch, are removed.
    horizon_ms: u64,
}

impl State {
    /// The state before the first command.
    pub fn new() -> Self {
        Self::default()
    }

    /// The revision of the last accepted edit.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// The lists in force.
    pub fn lists(&self) -> &Lists {
        &self.lists
    }

    /// The availability zones that are out of service.
    pub fn zones_out(&self) -> &BTreeSet<name::AvailabilityZone> {
        &self.zones_out
    }

    /// The VMs that an operator drains.
    pub fn drains(&self) -> &BTreeSet<name::Vm> {
        &self.drains
    }

    /// The rollouts, by artifact.
    pub fn rollouts(&self) -> &BTreeMap<artifact::Id, Rollout> {
        &self.rollouts
    }

    /// The ledger of calls that must not be repeated.
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// The routing in force, in the encoding in which the operator sent it.
    pub fn routing(&self) -> Option<&Arc<Document>> {
        self.routing.as_ref()
    }

    /// The version that each model's engines should serve.
    pub fn targets(&self) -> &BTreeMap<name::Artifact, u64> {
        &self.targets
    }

    /// The upstream instances that registered themselves.
    pub fn registry(&self) -> &Registry {
        &self.registry
    }

    /// The parts of prompts that may crash instances.
    pub fn quarantine(&self) -> &quarantine::Table {
        &self.quarantine
    }

    /// Accepted edits, the newest last.
    pub fn history(&self) -> impl DoubleEndedIterator<Item = &Event> {
        self.history.iter()
    }

    /// The outcome of an edit that was sent before, or a refusal if its id was used for a different
    /// edit. `None` if the id is unknown.
    pub fn answer(&self, edit: &Edit) -> Option<Outcome> {
        let decision = self.answers.get(&edit.id)?;
        match decision.content == content(edit) {
            true => Some(decision.answer.clone()),
            false => Some(Outcome::Refused {
                violations: vec![Violation::new(
                    "$.id",
                    format!("edit id {} was used for another edit", edit.id),
                )],
            }),
        }
    }

    /// All violations of an edit that follow from the state alone.
    pub fn violations(&self, edit: &Edit) -> Vec<Violation> {
        check::violations(self, edit)
    }

    /// All records of the feed that follow from the state.
    pub fn records(&self) -> Vec<Record> {
        diff::records(self)
    }

    /// Applies the command at the given term and index of the log. The same commands lead to the
    /// same state and replies on every replica.
    pub fn apply(&mut self, term: u64, index: u64, command: Command) -> Applied {
        let fence = Fence { term, index };
        match command {
            Command::Edit {
                edit,
                pins,
                objections,
                at_ms,
                seen,
            } => {
                let at_ms = self.advance_clock(at_ms);
                self.edit(fence, &edit, &pins, objections, at_ms, seen)
            }
            Command::Ledger {
                write,
                max_entries,
                at_ms,
            } => {
                let at_ms = self.advance_clock(at_ms);
                Applied {
                    reply: Reply::Ledger(self.ledger.apply(write, max_entries, at_ms)),
                    deltas: Vec::new(),
                }
            }
            Command::Advance { artifact, from, to } => Applied {
                reply: Reply::Done,
                deltas: self.advance(fence, &artifact, &from, to),
            },
            Command::Registry(write) => Applied {
                reply: Reply::Done,
                deltas: self.registry.apply(write),
            },
            Command::Quarantine { write, at_ms } => {
                let (reply, deltas) = self.quarantine.apply(write, at_ms);
                Applied {
                    reply: Reply::Quarantine(reply),
                    deltas,
                }
            }
            Command::Expire { before_ms } => {
                self.expire(before_ms);
                Applied {
                    reply: Reply::Done,
                    deltas: Vec::new(),
                }
            }
        }
    }

    /// Advances the clock to `at_ms` and returns it. The clock never goes back, so that entries
    /// written by a replica with a slow clock don't expire early.
    fn advance_clock(&mut self, at_ms: u64) -> u64 {
        self.clock_ms = self.clock_ms.max(at_ms);
        self.clock_ms
    }

    fn expire(&mut self, before_ms: u64) {
        let limit_ms = match self.horizon_ms {
            0 => before_ms,
            horizon_ms => horizon_ms + MAX_EXPIRY_STEP_MS,
        };
        self.horizon_ms = before_ms.min(limit_ms).max(self.horizon_ms);
        let horizon_ms = self.horizon_ms;
        self.ledger.expire(horizon_ms);
        self.answers
            .retain(|_, decision| decision.at_ms >= horizon_ms);
        self.latest.expire(horizon_ms);
    }

    /// The outcome of an edit whose subject was changed after the edit was sent: a conflict. It is
    /// not recorded, because the operator may send the edit again after reading what is in force.
    /// An edit that sets what is in force is made as any other, so that it counts as the latest.
    fn overtaken(&self, edit: &Edit, seen: Option<Revision>) -> Option<Outcome> {
        let conflict = self.latest.conflict(&edit.change, seen?)?;
        (!self.is_in_force(&edit.change)).then_some(conflict)
    }

    /// Whether a zone or upstream already is as the change sets it.
    fn is_in_force(&self, change: &Change) -> bool {
        match change {
            Change::Zone { zone, in_service } => self.zones_out.contains(zone) != *in_service,
            Change::Drain { vm, is_draining } => self.drains.contains(vm) == *is_draining,
            Change::Lists(_)
            | Change::Resume { .. }
            | Change::Routing(_)
            | Change::Target { .. } => false,
        }
    }

    fn edit(
        &mut self,
        fence: Fence,
        edit: &Edit,
        pins: &Pins,
        objections: Vec<Violation>,
        at_ms: u64,
        seen: Option<Revision>,
    ) -> Applied {
        let known = self.answer(edit);
        if let Some(answer) = known.or_else(|| self.overtaken(edit, seen)) {
            return Applied {
                reply: Reply::Edit(answer),
                deltas: Vec::new(),
            };
        }
        let (answer, deltas) = self.decide(fence, edit, pins, objections, at_ms);
        let decision = Decision {
            content: content(edit),
            answer: answer.clone(),
            at_ms,
        };
        self.answers.insert(edit.id.clone(), decision);
        Applied {
            reply: Reply::Edit(answer),
            deltas,
        }
    }

    fn decide(
        &mut self,
        fence: Fence,
        edit: &Edit,
        pins: &Pins,
        objections: Vec<Violation>,
        at_ms: u64,
    ) -> (Outcome, Vec<Delta>) {
        if edit.base.is_some_and(|base| base != self.revision) {
            let conflict = Outcome::Conflict {
                revision: self.revision,
                winner: self.winner.clone().unwrap_or_default(),
            };
            return (conflict, Vec::new());
        }
        let mut violations = check::violations(self, edit);
        violations.extend(objections);
        if violations.is_empty() && self.is_superseded(&edit.change) {
            let revision = self.revision;
            return (Outcome::Accepted { revision }, Vec::new());
        }
        // Missing manifests are reported last, because other violations explain a refusal better.
        if violations.is_empty() {
            violations = check::missing_pins(self, edit, pins);
        }
        if !violations.is_empty() {
            return (Outcome::Refused { violations }, Vec::new());
        }
        let deltas = self.change(fence, &edit.change, pins);
        self.revision = Revision(self.revision.0 + 1);
        self.winner = Some(edit.id.clone());
        self.latest
            .record(&edit.change, self.revision, &edit.id, at_ms);
        self.record(edit, at_ms);
        let accepted = Outcome::Accepted {
            revision: self.revision,
        };
        (accepted, deltas)
    }

    /// Whether the state already contains what the change sets, or a newer version of it.
    fn is_superseded(&self, change: &Change) -> bool {
        match change {
            Change::Routing(document) => self
                .routing
                .as_ref()
                .is_some_and(|held| held.version >= document.version),
            Change::Target { model, version } => {
                self.targets.get(model).is_some_and(|held| held >= version)
            }
            Change::Lists(_)
            | Change::Zone { .. }
            | Change::Drain { .. }
            | Change::Resume { .. } => false,
        }
    }

    fn change(&mut self, fence: Fence, change: &Change, pins: &Pins) -> Vec<Delta> {
        match change {
            Change::Lists(lists) => self.replace_lists(fence, lists, pins),
            Change::Zone { zone, in_service } => {
                match in_service {
                    true => self.zones_out.remove(zone),
                    false => self.zones_out.insert(zone.clone()),
                };
                vec![match in_service {
                    true => Delta::Remove(Key::ZoneOut(zone.clone())),
                    false => Delta::Set(Record::ZoneOut(zone.clone())),
                }]
            }
            Change::Drain { vm, is_draining } => {
                match is_draining {
                    true => self.drains.insert(vm.clone()),
                    false => self.drains.remove(vm),
                };
                vec![match is_draining {
                    true => Delta::Set(Record::Drain(vm.clone())),
                    false => Delta::Remove(Key::Drain(vm.clone())),
                }]
            }
            Change::Resume { artifact } => self.resume(fence, artifact),
            // The format is not known here, so the process that applies the command derives the
            // records of the routing.
            Change::Routing(document) => {
                self.routing = Some(Arc::new(document.clone()));
                Vec::new()
            }
            Change::Target { model, version } => {
                self.targets.insert(model.clone(), *version);
                vec![Delta::Set(Record::Target(Target {
                    model: model.clone(),
                    version: *version,
                }))]
            }
        }
    }

    fn replace_lists(&mut self, fence: Fence, lists: &Lists, pins: &Pins) -> Vec<Delta> {
        let old = std::mem::replace(&mut self.lists, lists.clone());
        let mut deltas = diff::lists(&old, lists);
        let listed = lists.artifacts();
        let unlisted: Vec<_> = self
            .rollouts
            .keys()
            .filter(|id| !listed.contains(id))
            .cloned()
            .collect();
        for id in unlisted {
            self.rollouts.remove(&id);
            deltas.push(Delta::Remove(Key::Rollout(id.to_string().into())));
        }
        for id in listed {
            let Some(pin) = pins.get(&id.to_string()) else {
                continue;
            };
            self.rollouts.entry(id.clone()).or_insert_with(|| {
                let rollout = Rollout {
                    artifact: id,
                    pin: *pin,
                    stage: Stage::Prefetch,
                    fence,
                };
                deltas.push(Delta::Set(Record::Rollout(rollout.clone())));
                rollout
            });
        }
        deltas
    }

    fn resume(&mut self, fence: Fence, artifact: &artifact::Id) -> Vec<Delta> {
        let stage = self.rollouts.get(artifact).map(|rollout| &rollout.stage);
        let Some(halted @ Stage::Halted { width, .. }) = stage.cloned() else {
            return Vec::new();
        };
        let to = match width {
            0 => Stage::Prefetch,
            width => Stage::Wave { width },
        };
        self.advance(fence, artifact, &halted, to)
    }

    fn advance(
        &mut self,
        fence: Fence,
        artifact: &artifact::Id,
        from: &Stage,
        to: Stage,
    ) -> Vec<Delta> {
        match self.rollouts.get_mut(artifact) {
            Some(rollout) if rollout.stage == *from => {
                rollout.stage = to;
                rollout.fence = fence;
                vec![Delta::Set(Record::Rollout(rollout.clone()))]
            }
            _ => Vec::new(),
        }
    }

    fn record(&mut self, edit: &Edit, at_ms: u64) {
        if self.history.len() >= MAX_HISTORY {
            self.history.pop_front();
        }
        self.history.push_back(Event {
            revision: self.revision,
            id: edit.id.clone(),
            author: edit.author.clone(),
            at_ms,
            summary: summary(&edit.change),
        });
    }
}

/// The digest of what an edit asks for, by which a reused id is detected. The base revision is not
/// part of it, because an operator who resends after a lost answer may have read a newer one.
fn content(edit: &Edit) -> Digest {
    let content = (&edit.change, edit.allow_outage);
    // Encoding into memory can't fail for values of these types.
    Digest::of(&rmp_serde::to_vec(&content).unwrap_or_default())
}

fn summary(change: &Change) -> String {
    match change {
        Change::Lists(lists) => format!(
            "lists: {} customers, {} plans",
            lists.customers.len(),
            lists.plans.len()
        ),
        Change::Zone {
            zone,
            in_service: true,
        } => format!("zone {zone} in service"),
        Change::Zone { zone, .. } => format!("zone {zone} out of service"),
        Change::Drain {
            vm,
            is_draining: true,
        } => format!("upstream {vm} draining"),
        Change::Drain { vm, .. } => format!("upstream {vm} returned"),
        Change::Resume { artifact } => format!("rollout {artifact} resumed"),
        Change::Routing(document) => format!("routing {}", document.version),
        Change::Target { model, version } => format!("{model} to version {version}"),
    }
}
