//! The way of an edit: what it needs is read, what speaks against it is gathered, and then it is
//! committed with both, so that every replica and every resend comes to the same answer.

use std::{rc::Rc, time::Duration};

use domain::{
    command::{Command, Reply},
    edit::{Change, Edit, Outcome},
    lists::Lists,
    violation::Violation,
};
use operator::service::Failure;
use origin::Client;
use slog::info;
use tokio::time;

use crate::{core::Core, log, pins, soft};

/// How long a replica waits to catch up with the revision from which an edit was made.
const CATCH_UP: Duration = Duration::from_secs(1);

/// Makes an edit, or repeats the answer that its id already got.
pub async fn run(core: Rc<Core>, origin: Client, edit: Edit) -> Result<Outcome, Failure> {
    if let Some(answer) = core.state().answer(&edit) {
        return Ok(answer);
    }
    catch_up(&core, &edit).await;
    let reading = read_pins(&core, &origin, &edit).await;
    commit(core, edit, reading).await
}

/// Commits an edit with what was read for it, or repeats the answer that its id already got.
///
/// # Errors
///
/// If it may not have been committed.
pub async fn commit(
    core: Rc<Core>,
    edit: Edit,
    reading: pins::Reading,
) -> Result<Outcome, Failure> {
    if let Some(answer) = core.state().answer(&edit) {
        return Ok(answer);
    }
    let seen = core.state().revision();
    if let Change::Routing(document) = &edit.change
        && let Err(violations) = core.routing.read(document).await
    {
        info!(core.logger, "edit: refused"; "edit" => &*edit.id, "violations" => ?violations);
        return Ok(Outcome::Refused { violations });
    }
    let objections = match edit.allow_outage {
        true => Vec::new(),
        false => soft::objections(&core.state(), &core.table().all(), &edit.change),
    };
    let (id, author) = (edit.id.clone(), edit.author.clone());
    let command = Command::Edit {
        edit,
        pins: reading.pins,
        objections: reading.objections.into_iter().chain(objections).collect(),
        at_ms: core.clock.wall_ms(),
        seen: Some(seen),
    };
    let answer = match core.submit(command).await {
        Ok(Reply::Edit(answer)) => Ok(answer),
        Ok(reply) => Err(Failure::Unknown {
            detail: format!("an edit got {reply:?}"),
        }),
        Err(error) => Err(failure(&error)),
    };
    info!(core.logger, "edit: answered";
        "edit" => &*id, "author" => author.as_deref(), "answer" => format!("{answer:?}"));
    answer
}

/// Puts a failure of the log in the operators' terms.
pub fn failure(error: &log::Error) -> Failure {
    let detail = error.to_string();
    match error {
        log::Error::NotFormed => Failure::Unavailable { detail },
        log::Error::NoQuorum { .. } | log::Error::LeadershipLost | log::Error::Disk { .. } => {
            Failure::Unknown { detail }
        }
    }
}

async fn catch_up(core: &Core, edit: &Edit) {
    let Some(base) = edit.base else {
        return;
    };
    // A replica that stays behind leaves the verdict to the leader's state.
    let _ = time::timeout(CATCH_UP, core.reach(base)).await;
}

async fn read_pins(core: &Core, origin: &Client, edit: &Edit) -> pins::Reading {
    let Change::Lists(lists) = &edit.change else {
        return pins::Reading::default();
    };
    let unread = {
        let state = core.state();
        let is_void = edit.base != Some(state.revision()) || !state.violations(edit).is_empty();
        match is_void {
            // It will be refused whatever the manifests are.
            true => return pins::Reading::default(),
            false => lists
                .artifacts()
                .into_iter()
                .filter(|id| !state.rollouts().contains_key(id))
                .collect(),
        }
    };
    pins::read(origin, lists, unread).await
}

/// Everything that would be wrong with new lists, made from the revision in force.
pub async fn check(core: &Core, origin: &Client, lists: Lists) -> Vec<Violation> {
    let edit = Edit {
        id: "check".into(),
        base: Some(core.state().revision()),
        change: Change::Lists(lists),
        allow_outage: false,
        author: None,
    };
    let violations = core.state().violations(&edit);
    let reading = read_pins(core, origin, &edit).await;
    violations.into_iter().chain(reading.objections).collect()
}
