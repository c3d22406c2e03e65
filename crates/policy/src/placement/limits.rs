//! What this entry may send to instances that take less than their slots: those that are cold, and
//! those that name a limit.

use std::time::Duration;

use domain::{clock::Instant, instance::Instance, routing::Warmup};

use super::{BUSY_RETRY, Placer};
use crate::{notice, quota::Quota};

impl Placer {
    /// The limit that the instance names, if it does.
    pub fn limit(&self, instance: &Instance) -> Option<notice::Limit> {
        self.notices.limit(instance)
    }

    /// How many instances name a limit.
    pub fn limited(&self) -> usize {
        self.notices.limited()
    }

    /// How long the instance gets nothing from this entry, because of the limit that it names.
    pub(super) fn limited_for(&mut self, instance: &Instance, now: Instant) -> Option<Duration> {
        let limit = self.notices.limit(instance)?;
        let quota = self.limited_quota(instance, limit, now);
        (!quota.has(now)).then(|| quota.wait(now))
    }

    /// The slots of the instance, less what it can't use because of the limit that it names.
    pub(super) fn bearable_slots(&self, instance: &Instance) -> f64 {
        let slots = f64::from(instance.slots);
        let limit = self.notices.limit(instance);
        limit.map_or(slots, |limit| limit.slots(BUSY_RETRY).min(slots))
    }

    /// What this entry may send to a cold instance, by the entries that are known now.
    pub(super) fn cold_quota(
        &mut self,
        instance: &Instance,
        warmup: Warmup,
        now: Instant,
    ) -> &mut Quota {
        let load = self.loads.entry(instance.id.clone()).or_default();
        let cap = self.cold_limit.cap(warmup);
        let quota = Quota::new(cap, load.cold, &self.roster, instance, now);
        load.cold.insert(quota)
    }

    /// What this entry may send to an instance that names a limit.
    pub(super) fn limited_quota(
        &mut self,
        instance: &Instance,
        limit: notice::Limit,
        now: Instant,
    ) -> &mut Quota {
        let load = self.loads.entry(instance.id.clone()).or_default();
        let quota = Quota::new(limit.cap(), load.limited, &self.roster, instance, now);
        load.limited.insert(quota)
    }
}
