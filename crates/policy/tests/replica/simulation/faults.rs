//! The faults that a simulation draws.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use domain::replica::Identity;
use rand::{Rng, RngExt};

use super::Simulation;
use crate::host::Host;

impl Simulation {
    pub(super) fn inject_faults(&mut self) {
        for index in 0..self.hosts.len() {
            if self.chance(self.plan.crash) {
                let is_written = self.chance(0.5);
                self.hosts[index].crash(is_written);
            }
            if self.chance(self.plan.lose_disk) && self.may_lose_disk(index) {
                self.lost.push(self.hosts[index].identity);
                let identity = Identity(self.rng.next_u64().max(1));
                self.hosts[index].lose_disk(identity);
                self.bootstraps.retain(|bootstrap| bootstrap.index != index);
            }
            if self.chance(self.plan.freeze) {
                let span = Duration::from_millis(self.rng.random_range(1..2_000));
                self.hosts[index].frozen_until = self.now + span;
            }
            if self.chance(self.plan.fill_disk) {
                let span = Duration::from_millis(self.rng.random_range(1..4_000));
                self.hosts[index].full_until = self.now + span;
            }
            if self.chance(self.plan.replace) && index >= self.plan.voters {
                self.replace_voter_with(index);
            }
        }
        if self.chance(self.plan.partition) {
            self.partition();
        }
    }

    /// Cuts a random set of links, each in one direction, and restores all others.
    fn partition(&mut self) {
        self.cut.clear();
        let share = [0.0, 0.2, 0.5][self.rng.random_range(0..3)];
        for from in 0..self.hosts.len() {
            for to in 0..self.hosts.len() {
                if from != to && self.chance(share) {
                    self.cut.push((from, to));
                }
            }
        }
    }

    /// Requests the replacement of a random voter by this replica, as an operator does.
    fn replace_voter_with(&mut self, index: usize) {
        let Some(leader) = self.hosts.iter().find(|host| host.is_leader()) else {
            return;
        };
        let Some(replica) = &leader.replica else {
            return;
        };
        let voters: Vec<_> = replica.members().voters.keys().copied().collect();
        let is_voter = voters.contains(&self.hosts[index].identity);
        if !is_voter && !voters.is_empty() && self.hosts[index].is_up(self.now) {
            let old = voters[self.rng.random_range(0..voters.len())];
            self.admit(index, Some(old));
        }
    }

    /// Whether a host may lose its disk: only when all hosts know that the last loss is repaired,
    /// so that a majority always keeps its disks. A group without that majority has to wait for an
    /// operator.
    fn may_lose_disk(&self, index: usize) -> bool {
        let is_repaired = |host: &Host| {
            let Some(replica) = &host.replica else {
                return false;
            };
            let members = replica.members();
            let is_lost = self
                .lost
                .iter()
                .any(|id| members.addresses().contains_key(id));
            // With one voter, the loss of its replacement during the change is final. With two
            // voters, as while a group grows from one to three, neither may be lost, because one
            // is no majority.
            let tolerates_loss = |voters: &BTreeMap<Identity, SocketAddr>| {
                !voters.contains_key(&self.hosts[index].identity) || voters.len() > 2
            };
            let is_tolerated = tolerates_loss(&members.voters) && tolerates_loss(&members.outgoing);
            !is_lost && members.voters.len() > 1 && is_tolerated
        };
        let is_formed = self.histories.values().any(|history| history.len() > 1);
        // If all other configured replicas are empty, they bootstrap a new group, as specified.
        // After a replacement the operator has to update the configured addresses.
        let mut configured = (0..self.plan.voters).filter(|other| *other != index);
        let has_group = configured.any(|other| self.hosts[other].group() != 0);
        is_formed && has_group && self.hosts.iter().all(is_repaired)
    }

    pub(super) fn chance(&mut self, rate: f64) -> bool {
        rate > 0.0 && self.rng.random_bool(rate)
    }
}
