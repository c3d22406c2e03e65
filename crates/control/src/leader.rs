//! What only the leader does: rollouts move on, and old entries are forgotten.

use std::{rc::Rc, time::Duration};

use domain::{command::Command, rollout::Stage};
use policy::rollout::{Controller, Input, Transition};
use slog::{info, warn};
use tokio::time;

use crate::{core::Core, log::Role};

/// How often rollouts are looked at.
const TICK: Duration = Duration::from_millis(100);
/// How often old entries are forgotten.
const EXPIRE_PERIOD: Duration = Duration::from_secs(60);

/// Acts whenever this replica leads.
pub async fn run(core: Rc<Core>) {
    let mut controller = Controller::new();
    let mut expired_at = core.clock.now();
    loop {
        time::sleep(TICK).await;
        let leads = core
            .log()
            .is_some_and(|log| log.standing().role == Role::Leader);
        if !leads || !core.is_table_ready() {
            controller = Controller::new();
            continue;
        }
        for step in decide(&core, &mut controller) {
            advance(&core, step).await;
        }
        let now = core.clock.now();
        if now.since(expired_at) >= EXPIRE_PERIOD {
            expired_at = now;
            expire(&core).await;
        }
    }
}

fn decide(core: &Core, controller: &mut Controller) -> Vec<Transition> {
    let state = core.state();
    let table = core.table();
    let vms = table.all();
    let input = Input {
        rollouts: state.rollouts(),
        vms: &vms,
        zones_out: state.zones_out(),
        drains: state.drains(),
    };
    controller.decide(core.clock.now(), &input)
}

async fn advance(core: &Core, step: Transition) {
    let artifact = step.artifact.to_string();
    match &step.to {
        Stage::Halted { reason, .. } => {
            warn!(core.logger, "rollout: halted"; "artifact" => &artifact, "reason" => reason);
        }
        stage => {
            info!(core.logger, "rollout: moves on";
                "artifact" => &artifact, "stage" => %stage);
        }
    }
    let command = Command::Advance {
        artifact: step.artifact,
        from: step.from,
        to: step.to,
    };
    // Without a reply the same decision is made again at the next tick.
    if let Err(error) = core.submit(command).await {
        warn!(core.logger, "rollout: could not move on";
            "artifact" => &artifact, "reason" => %error);
    }
}

async fn expire(core: &Core) {
    let retention_ms = core.settings.retention_s.saturating_mul(1_000);
    let before_ms = core.clock.wall_ms().saturating_sub(retention_ms);
    // The next period expires what this one could not.
    if let Err(error) = core.submit(Command::Expire { before_ms }).await {
        warn!(core.logger, "ledger: could not expire old entries"; "reason" => %error);
    }
}
