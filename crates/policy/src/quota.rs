//! One entry's part of what all entries together may send to an instance.
//!
//! A rate can't be shared by dividing it alone: a fraction of a request still begins one, so that as
//! many requests as there are entries may begin at once. Only a few entries have a place at an
//! instance, by [`Roster`], and each of these gets a rate that is worth having. The others send
//! nothing, or, where an instance can change its mind, so little that they hear of it. This handles
//! instances that take less than the entries before them would send, whatever each of these knows.

use std::time::Duration;

use domain::{clock::Instant, instance::Instance};

use crate::{bucket::Bucket, roster::Roster};

/// Requests that an entry may send at once where the cap allows no more.
const BURST: u64 = 1;
/// The number of thousandths in one.
const MILLI: u64 = 1_000;

/// What all entries together may send to one instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Cap {
    /// How many entries have a place.
    pub places: u32,
    /// The rate of all places together, in thousandths of a request per second.
    pub millicalls_per_s: u64,
    /// How much an entry with a place may send at once, in thousandths of a request: one, and what is
    /// left of the next one if it had nothing to send for a while.
    pub burst_millis: u64,
    /// The rate at which all entries without a place together ask whether the cap still holds, in
    /// thousandths of a request per second.
    pub asks_per_s: u64,
    /// Whether an entry with a place may send its first request at once.
    pub starts_full: bool,
}

/// One entry's part of a cap.
#[derive(Clone, Copy, Debug)]
pub struct Quota {
    /// The cap that it is a part of.
    cap: Cap,
    /// The roster's epoch for which it holds.
    epoch: u64,
    has_place: bool,
    bucket: Bucket,
}

impl Quota {
    /// This entry's part of the cap at an instance, by the entries that are known now. What was
    /// used of an earlier part counts.
    pub fn new(
        cap: Cap,
        earlier: Option<Self>,
        roster: &Roster,
        instance: &Instance,
        now: Instant,
    ) -> Self {
        let epoch = roster.epoch(now);
        if let Some(same) = earlier.filter(|old| old.epoch == epoch && old.cap == cap) {
            return same;
        }
        let most = roster.most(now);
        let places = cap.places.min(most);
        let has_place = roster.has_place(&instance.id, &instance.zone, places, now);
        let rate = match has_place {
            true => (cap.millicalls_per_s / u64::from(places.max(1))).max(1),
            false => cap.asks_per_s / u64::from((most - places).max(1)),
        };
        let mut bucket = match earlier {
            None if cap.starts_full => Bucket::new(rate, BURST, now),
            None if has_place => Bucket::new(rate, BURST, now).with_first_after(interval(rate)),
            // Entries that hear of a cap together ask one after the other.
            None => {
                let rank = roster.rank(&instance.id);
                let wait = interval(cap.asks_per_s).saturating_mul(rank.saturating_add(1));
                Bucket::new(rate, BURST, now).with_first_after(wait)
            }
            Some(old) => {
                let mut bucket = old.bucket;
                bucket.set_rate(rate, now);
                // One that gains a place begins with no burst: another one may just have lost it.
                if has_place && !old.has_place {
                    bucket.take(now);
                }
                bucket
            }
        };
        bucket.set_size(match has_place {
            true => cap.burst_millis,
            false => BURST * MILLI,
        });
        Self {
            cap,
            epoch,
            has_place,
            bucket,
        }
    }

    /// Whether a request may be sent now.
    pub fn has(&mut self, now: Instant) -> bool {
        (self.has_place || self.cap.asks_per_s > 0) && self.bucket.has(now)
    }

    /// Counts a request that is sent.
    pub fn take(&mut self, now: Instant) {
        self.bucket.take(now);
    }

    /// How long a caller should wait until some entry may send a request again.
    pub fn wait(&mut self, now: Instant) -> Duration {
        let own = self.bucket.wait(now).unwrap_or(Duration::MAX);
        own.min(interval(self.cap.millicalls_per_s))
    }
}

/// The time between two requests at a rate in thousandths of a request per second.
fn interval(millicalls_per_s: u64) -> Duration {
    Duration::from_secs(MILLI) / u32::try_from(millicalls_per_s.max(1)).unwrap_or(u32::MAX)
}
