//! How a replica that doesn't lead learns the age of its state.

use std::{collections::VecDeque, time::Duration};

use peer::replica::Confirmation;
use policy::age::Bound;
use tokio::time;

use super::core::Core;

/// Short enough that a follower's feed is at most a fraction of a second older than the leader's.
const PERIOD: Duration = Duration::from_millis(200);
/// The same until the first answer after a start, because subscribers wait for it.
const FIRST_PERIOD: Duration = Duration::from_millis(25);
/// Confirmations that wait until their commit index is applied.
const MAX_PENDING: usize = 16;

/// A leader's word about an index that may not be applied here yet.
struct Pending {
    commit: u64,
    bound: Bound,
}

/// Asks the leader again and again.
pub(super) async fn run(core: &Core) {
    let mut pending = VecDeque::new();
    loop {
        if let Some(answer) = ask(core).await {
            pending.push_back(answer);
        }
        if pending.len() > MAX_PENDING {
            pending.pop_back();
        }
        settle(core, &mut pending);
        let period = match core.age() {
            Some(_) => PERIOD,
            None => FIRST_PERIOD,
        };
        time::sleep(period).await;
    }
}

async fn ask(core: &Core) -> Option<Pending> {
    let link = core.leader_link()?;
    let asked_at = core.now();
    let answer = link.call(async |session| session.confirm().await).await;
    let Confirmation { commit, age_ms, .. } = answer.ok()?;
    Some(Pending {
        commit,
        bound: Bound::new(asked_at, Duration::from_millis(age_ms)),
    })
}

fn settle(core: &Core, pending: &mut VecDeque<Pending>) {
    let applied = core.replica().applied();
    while let Some(first) = pending.pop_front_if(|first| first.commit <= applied) {
        core.confirm(first.bound);
    }
}
