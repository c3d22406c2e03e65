//! Follows what one peer holds of one version.

use std::{rc::Rc, time::Duration};

use policy::swarm::{Bitmap, Offer, Watch};
use tokio::time;

use super::{core::Core, gauge::Flow};

/// How long one question waits for a change.
const WAIT: Duration = Duration::from_secs(1);
/// The pause between two questions, which bounds the cost of a neighbour.
const PAUSE: Duration = Duration::from_millis(100);
/// The pause after a failure.
const RETRY: Duration = Duration::from_millis(500);
/// No version of holdings has this number, so the first question is answered at once.
const NONE_KNOWN: u64 = u64::MAX;

/// Follows until the task is aborted.
pub(super) async fn run(core: Rc<Core>, watch: Watch) {
    loop {
        follow(&core, &watch).await;
        let now = core.now();
        core.state.borrow_mut().swarm.disconnect(&watch.vm, now);
        core.work.notify_one();
        time::sleep(RETRY.mul_f64(rand::random_range(0.5..1.5))).await;
    }
}

/// Follows until the session fails.
async fn follow(core: &Rc<Core>, watch: &Watch) {
    let addr = core.state.borrow().addresses.get(&watch.vm).copied();
    let Some(addr) = addr else {
        return;
    };
    let Ok(session) = core.pool.session(&watch.vm, addr).await else {
        return;
    };
    let mut known = NONE_KNOWN;
    loop {
        let answer = session.holdings(watch.manifest, known, WAIT).await;
        let Ok(holdings) = answer else {
            return core.pool.close(&watch.vm, &session);
        };
        known = holdings.version;
        core.traffic
            .add(Flow::Control, holdings.bitmap.len() as u64);
        take(core, watch, &holdings);
        time::sleep(PAUSE).await;
    }
}

fn take(core: &Core, watch: &Watch, holdings: &peer::chunks::Holdings) {
    let now = core.now();
    let mut state = core.state.borrow_mut();
    let Some(len) = state.swarm.chunk_count(&watch.manifest) else {
        return;
    };
    let offer = holdings.is_known.then(|| Offer {
        held: Bitmap::from_bytes(&holdings.bitmap, len),
        sent_bytes: holdings.sent_bytes,
    });
    state.swarm.set_offer(watch, offer, now);
    core.work.notify_one();
}
