//! A simulated VM with a replica and its disk.

use std::{convert::Infallible, net::SocketAddr, time::Duration};

use domain::{
    clock::Instant,
    replica::{Identity, Message},
};
use policy::{
    age::Bound,
    replica::{Endpoint, Promotion, Replica, Role, Saved, Timing, Write},
};
use rand::{RngExt, SeedableRng, rngs::StdRng};

use crate::history::{History, decode, encode, number};

/// The longest pause before a write that found no room is tried again.
const MAX_RETRY: Duration = Duration::from_millis(200);

/// A write in progress.
pub(crate) struct Writing {
    write: Write,
    pub(crate) done_at: Instant,
}

pub(crate) struct Host {
    pub(crate) address: SocketAddr,
    pub(crate) identity: Identity,
    disk: Saved,
    pub(crate) replica: Option<Replica>,
    pub(crate) writing: Option<Writing>,
    pub(crate) numbers: Vec<u64>,
    pub(crate) frozen_until: Instant,
    pub(crate) full_until: Instant,
    pub(crate) bound: Bound,
    pub(crate) promotion: Promotion,
}

impl Host {
    pub(crate) fn new(address: SocketAddr, identity: Identity) -> Self {
        Self {
            address,
            identity,
            disk: Saved::default(),
            replica: None,
            writing: None,
            numbers: Vec::new(),
            frozen_until: Instant::ZERO,
            full_until: Instant::ZERO,
            bound: Bound::UNKNOWN,
            promotion: Promotion::Manual,
        }
    }

    pub(crate) fn is_up(&self, now: Instant) -> bool {
        self.replica.is_some() && self.frozen_until <= now
    }

    pub(crate) fn is_leader(&self) -> bool {
        let replica = self.replica.as_ref();
        replica.is_some_and(|replica| replica.role() == Role::Leader)
    }

    /// The group on the disk or in memory.
    pub(crate) fn group(&self) -> u64 {
        let replica = self.replica.as_ref();
        replica.map_or(self.disk.hard.group, Replica::group)
    }

    /// The index of the last entry on the disk.
    pub(crate) fn last_durable(&self) -> u64 {
        let last = self.disk.entries.last();
        last.map_or(self.disk.base.index, |entry| entry.index)
    }

    pub(crate) fn start(&mut self, now: Instant, timing: Timing, rng: &mut StdRng) {
        let endpoint = Endpoint {
            identity: self.identity,
            address: self.address,
        };
        let own = StdRng::seed_from_u64(rng.random());
        let replica = Replica::new(endpoint, timing, self.disk.clone(), own, now)
            .with_trailing(3)
            .with_promotion(self.promotion);
        self.replica = Some(replica);
        self.numbers.clear();
    }

    /// Stops the replica as a power failure does. A write in progress is lost, or completes
    /// unconfirmed if `is_written`.
    pub(crate) fn crash(&mut self, is_written: bool) {
        if let Some(writing) = self.writing.take().filter(|_| is_written) {
            let _ = self.persist(writing.write);
        }
        self.replica = None;
        self.bound = Bound::UNKNOWN;
    }

    /// Stops the replica and erases its disk. The next replica starts with another identity.
    pub(crate) fn lose_disk(&mut self, identity: Identity) {
        self.crash(false);
        self.disk = Saved::default();
        self.identity = identity;
    }

    /// Gives the disk room. A write in progress completes soon.
    pub(crate) fn free_disk(&mut self, now: Instant) {
        self.full_until = now;
        if let Some(writing) = &mut self.writing {
            writing.done_at = writing.done_at.min(now + MAX_RETRY);
        }
    }

    /// Completes the write in progress and confirms it to the replica.
    pub(crate) fn finish_write(&mut self, now: Instant) {
        let Some(writing) = self.writing.take() else {
            return;
        };
        let synced = self.persist(writing.write);
        if let Some(replica) = &mut self.replica {
            replica.advance(now, synced);
        }
    }

    fn persist(&mut self, write: Write) -> policy::replica::Synced {
        let disk = &mut self.disk;
        let before = disk.hard;
        let Ok(synced) = write.persist(|batch| {
            disk.apply(batch);
            Ok::<(), Infallible>(())
        });
        let after = disk.hard;
        assert!(after.term >= before.term, "the term decreased");
        assert!(after.commit >= before.commit, "the commit index decreased");
        let has_changed = after.vote != before.vote && before.vote.is_some();
        assert!(
            !has_changed || after.term > before.term,
            "the vote changed within a term"
        );
        synced
    }

    /// Does the work of the replica except writes, which take until `write_done_at`, and returns
    /// its messages.
    pub(crate) fn pump(
        &mut self,
        now: Instant,
        history: &mut History,
        snapshot_entries: u64,
        write_done_at: Instant,
    ) -> Vec<Message> {
        let mut messages = Vec::new();
        let Some(replica) = &mut self.replica else {
            return messages;
        };
        loop {
            let ready = replica.ready();
            if ready.is_empty() {
                break;
            }
            if let Some(write) = ready.write {
                assert!(self.writing.is_none(), "two writes at once");
                if self.full_until > now {
                    replica.stall(now);
                }
                let done_at = write_done_at.max(self.full_until);
                self.writing = Some(Writing { write, done_at });
            }
            messages.extend(ready.messages);
            if let Some(snapshot) = ready.restore {
                history.check_restored(&snapshot);
                self.numbers = decode(&snapshot.state);
            }
            for entry in ready.committed {
                history.record_applied(now, &entry);
                self.numbers.extend(number(&entry.payload));
            }
            if replica.applied() >= replica.snapshot_index() + snapshot_entries {
                replica.compact(encode(&self.numbers));
            }
        }
        if replica.role() == Role::Leader {
            history.record_leader(replica.term(), self.identity);
        }
        messages
    }

    /// Panics if the replica or a confirmation of its leader claims a lower age than the applied
    /// state has.
    pub(crate) fn check_age(&self, now: Instant, history: &History) {
        let Some(replica) = &self.replica else {
            return;
        };
        let ages = [replica.age(now), self.bound.age(now)];
        for age in ages.into_iter().flatten() {
            let committed = history.committed_at(now - age);
            let applied = replica.applied();
            assert!(
                applied >= committed,
                "{committed} entries were committed {age:?} ago, but only {applied} are applied: replica {}, role {:?}, ages {:?}, members {:?}",
                self.identity,
                replica.role(),
                ages,
                replica.members(),
            );
        }
    }
}
