//! When the callers of refused requests come back.

use std::{ops::Range, rc::Rc, time::Duration};

use policy::{
    placement,
    work::{self, Size},
};

use super::{Reason, Request, engine};
use crate::{call::DEADLINE_SPREAD, site::Site};

/// The longest delay after which a caller comes back: a third of the six seconds that callers wait.
const MAX_RETRY: Duration = Duration::from_secs(2);
/// The part of the time left that a caller waits at most before it comes back.
const RETRY_PART: u32 = 3;
/// The part of the delay by which callers are spread.
const RETRY_SPREAD: f64 = 0.5;

/// When the caller of a refused request should come back.
pub(super) fn after(site: &Rc<Site>, request: &Request, reason: Reason) -> Duration {
    let feed = site.feed();
    let (Reason::Shed | Reason::Full | Reason::Displaced | Reason::Expired, Some(engine)) =
        (reason, engine(&feed.view, &request.service))
    else {
        let error = match reason {
            Reason::Unserved(error) => error,
            _ => placement::Error::NoInstance,
        };
        return error.retry_after();
    };
    let fraction = site
        .gate
        .shared
        .with(&request.service, |lane| {
            lane.admitter.fraction(request.priority)
        })
        .filter(|_| reason == Reason::Shed);
    let answer = work::reading(engine, engine.usual_prompt) + Size::default().writing(engine);
    let bounds = bounds(answer, fraction.unwrap_or(1.0), request.left);
    match bounds.is_empty() {
        true => bounds.start,
        false => rand::random_range(bounds),
    }
}

/// The time within which callers come back: after at least the duration of a usual answer, when the
/// running requests have ended, and up to twice that where little is admitted. Callers are spread
/// also where the upper bounds apply, so that they don't come back together.
pub fn bounds(answer: Duration, fraction: f64, left: Duration) -> Range<Duration> {
    let most = MAX_RETRY.min(left / RETRY_PART);
    let least = answer.mul_f64(2.0 - fraction.clamp(0.0, 1.0));
    // A caller that came back earlier could not be told from one with a shorter deadline.
    let least = least.max(left / DEADLINE_SPREAD);
    let least = least.min(most.div_f64(1.0 + RETRY_SPREAD));
    least..least.mul_f64(1.0 + RETRY_SPREAD).min(most)
}
