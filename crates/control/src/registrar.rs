//! Which upstream instances were heard, and when: soft state of one replica.
//!
//! The leader removes instances that nobody heard for [`SILENCE`]. Instances report to the leader
//! where they can; what other replicas hear they tell the leader through the log, now and then.

use std::{
    cell::RefCell,
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    time::Duration,
};

use domain::{
    clock::Instant,
    command::Command,
    instance::{Instance, Write},
    name,
};
use slog::{info, warn};
use tokio::time;

use crate::{
    core::Core,
    log::{self, Role},
};

/// An instance that is silent for so long is removed. Entries notice a dead one at once, and a
/// live one may be cut off from control only, so there is no hurry.
pub const SILENCE: Duration = Duration::from_secs(12);
/// How often silent instances are looked for, and how often a replica that does not lead tells
/// whom it heard: several times within [`SILENCE`].
const PERIOD: Duration = Duration::from_secs(2);

/// When instances were last heard.
#[derive(Default)]
pub struct Registrar {
    /// By anybody, as far as it is known here.
    heard: RefCell<BTreeMap<name::Instance, Instant>>,
    /// By this replica itself.
    own: RefCell<BTreeSet<name::Instance>>,
}

impl Registrar {
    /// Notes that an instance was heard.
    pub fn hear(&self, id: &name::Instance, now: Instant) {
        self.heard.borrow_mut().insert(id.clone(), now);
    }

    /// Gives every known instance the full time again, because others may have been listening.
    fn forgive(&self, core: &Core) {
        let now = core.clock.now();
        let ids = core
            .state()
            .registry()
            .all()
            .map(|known| known.id.clone())
            .collect::<Vec<_>>();
        *self.heard.borrow_mut() = ids.into_iter().map(|id| (id, now)).collect();
    }

    /// Notes that this replica itself heard an instance.
    fn hear_here(&self, id: &name::Instance, now: Instant) {
        self.hear(id, now);
        self.own.borrow_mut().insert(id.clone());
    }

    /// The instances that this replica itself heard since the last question.
    fn take_own(&self) -> Vec<name::Instance> {
        std::mem::take(&mut *self.own.borrow_mut())
            .into_iter()
            .collect()
    }

    fn silent(&self, core: &Core) -> Vec<(name::Instance, u64)> {
        let now = core.clock.now();
        let mut heard = self.heard.borrow_mut();
        let state = core.state();
        heard.retain(|id, _| state.registry().get(id).is_some());
        state
            .registry()
            .all()
            .filter(|known| {
                let at = *heard.entry(known.id.clone()).or_insert(now);
                now.since(at) > SILENCE
            })
            .map(|known| (known.id.clone(), known.born_ms))
            .collect()
    }
}

/// Takes an instance's report. Once this returns, what the report changes is committed.
///
/// # Errors
///
/// If this replica's state is too old to judge the report, or the change could not be committed.
pub async fn report(core: &Core, report: Instance) -> Result<(), log::Error> {
    if core.staleness().is_some() {
        return Err(log::Error::NoQuorum { millis: 0 });
    }
    let (is_current, is_news) = {
        let state = core.state();
        let registry = state.registry();
        (registry.is_current(&report), registry.is_change(&report))
    };
    match (is_current, is_news) {
        (false, _) => {
            info!(core.logger, "registry: late report ignored";
                "instance" => report.id.as_str(), "born_ms" => report.born_ms,
                "sequence" => report.sequence);
            Ok(())
        }
        (true, false) => {
            core.registrar.hear_here(&report.id, core.clock.now());
            Ok(())
        }
        (true, true) => {
            let line = format!("{report:?}");
            let id = report.id.clone();
            let written = core
                .submit(Command::Registry(Write::Report(Box::new(report))))
                .await;
            match &written {
                Ok(_) => info!(core.logger, "registry: instance changed";
                    "instance" => id.as_str(), "report" => line, "commit" => core.applied()),
                Err(error) => warn!(core.logger, "registry: could not write a report";
                    "instance" => id.as_str(), "reason" => %error),
            }
            written.map(|_| ())
        }
    }
}

/// Takes the word of an instance that it leaves.
///
/// # Errors
///
/// If the change could not be committed.
pub async fn leave(
    core: &Core,
    id: name::Instance,
    born_ms: Option<u64>,
) -> Result<(), log::Error> {
    if core.staleness().is_some() {
        return Err(log::Error::NoQuorum { millis: 0 });
    }
    if core.state().registry().get(&id).is_none() {
        return Ok(());
    }
    info!(core.logger, "registry: instance leaves"; "instance" => id.as_str());
    let write = Write::Leave { id, born_ms };
    core.submit(Command::Registry(write)).await.map(|_| ())
}

/// Removes silent instances while this replica leads, and tells whom it heard while it does not.
pub async fn run(core: Rc<Core>) {
    let mut was_leader = false;
    loop {
        let begin = core.clock.now();
        time::sleep(PERIOD).await;
        let role = core.log().map(|log| log.standing().role);
        let is_leader = role == Some(Role::Leader);
        let slept = core.clock.now().since(begin);
        // A new leader has heard only a part, and one that stood still has heard nobody.
        if is_leader && (!was_leader || slept > PERIOD * 2) {
            core.registrar.forgive(&core);
        }
        was_leader = is_leader;
        let write = match is_leader {
            true => {
                let silent = core.registrar.silent(&core);
                (!silent.is_empty()).then_some(Write::Expire { silent })
            }
            false => {
                let heard = core.registrar.take_own();
                let is_useful = !heard.is_empty() && core.staleness().is_none();
                is_useful.then_some(Write::Touch { heard })
            }
        };
        let Some(write) = write else {
            continue;
        };
        info!(core.logger, "registry: hearsay"; "write" => ?write);
        // The next period tells what this one could not.
        if let Err(error) = core.submit(Command::Registry(write)).await {
            warn!(core.logger, "registry: could not write"; "reason" => %error);
        }
    }
}
