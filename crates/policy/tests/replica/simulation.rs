//! The simulated hosts, the network between them and the injected faults.

mod faults;

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use domain::{
    clock::Instant,
    replica::{Identity, Members, Message},
};
use policy::{
    age::Bound,
    replica::{
        JoinRequest, Promotion, Replica, Timing,
        bootstrap::{self, Probe, Step},
    },
};
use rand::{Rng, RngExt, SeedableRng, rngs::StdRng};

use crate::{history::History, host::Host, plan::Plan};

const HEARTBEAT: Duration = Duration::from_millis(50);
pub(crate) const ELECTION: Duration = Duration::from_millis(300);
/// Simulated time within which a group must recover once all faults have ended.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(60);

/// Simulated time within which a spare must have replaced a lost voter. On the known deployments
/// a replacement has to vote within four seconds.
const REPLACEMENT_TIMEOUT: Duration = Duration::from_secs(4);

/// Simulated time after which a replaced host counts as present again.
const CATCH_UP: Duration = Duration::from_secs(6);

/// The address of a host after so many replacements.
fn address_of(replacements: u32, index: usize) -> SocketAddr {
    let [_, _, high, low] = replacements.to_be_bytes();
    SocketAddr::from(([10, high, low, index as u8], 1))
}

/// A message in flight.
struct Delivery {
    at: Instant,
    message: Message,
}

/// A decision to bootstrap the group, carried out a little later.
struct Bootstrap {
    index: usize,
    at: Instant,
    members: Members,
}

/// A group of hosts with a simulated network and clock, replayed from a seed.
pub(crate) struct Simulation {
    plan: Plan,
    rng: StdRng,
    now: Instant,
    timing: Timing,
    hosts: Vec<Host>,
    lost: Vec<Identity>,
    deliveries: Vec<Delivery>,
    bootstraps: Vec<Bootstrap>,
    cut: Vec<(usize, usize)>,
    swaps: BTreeSet<Identity>,
    histories: BTreeMap<u64, History>,
    next_number: u64,
    is_healed: bool,
}

impl Simulation {
    pub(crate) fn new(seed: u64, plan: Plan) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let hosts = (0..plan.voters + plan.spares)
            .map(|index| Host::new(address_of(0, index), Identity(rng.next_u64().max(1))))
            .collect();
        Self {
            plan,
            rng,
            now: Instant::from_millis(1_000),
            timing: Timing::new(HEARTBEAT, ELECTION),
            hosts,
            lost: Vec::new(),
            deliveries: Vec::new(),
            bootstraps: Vec::new(),
            cut: Vec::new(),
            swaps: BTreeSet::new(),
            histories: BTreeMap::new(),
            next_number: 0,
            is_healed: false,
        }
    }

    /// Makes all hosts promote learners automatically.
    pub(crate) fn with_promotion(mut self) -> Self {
        for host in &mut self.hosts {
            host.promotion = Promotion::Automatic {
                silence: ELECTION * 5,
            };
        }
        self
    }

    /// Disconnects a follower for good and expects a spare host to replace it as a voter within
    /// [`REPLACEMENT_TIMEOUT`].
    pub(crate) fn replace_lost_voter(&mut self) {
        let leader = self.wait_for_leader(None);
        (0..400).for_each(|_| self.step());
        let lost = (0..self.plan.voters)
            .find(|index| *index != leader)
            .unwrap();
        let others = (0..self.hosts.len()).filter(|index| *index != lost);
        self.cut = others
            .flat_map(|index| [(index, lost), (lost, index)])
            .collect();
        let (lost_identity, spare) = (
            self.hosts[lost].identity,
            self.hosts[self.plan.voters].identity,
        );
        let end = self.now + REPLACEMENT_TIMEOUT;
        let is_replaced = |simulation: &Self| {
            let leaders = simulation.hosts.iter().filter(|host| host.is_leader());
            let mut members = leaders.filter_map(|host| host.replica.as_ref());
            members.any(|replica| {
                let voters = &replica.members().voters;
                replica.is_settled()
                    && voters.contains_key(&spare)
                    && !voters.contains_key(&lost_identity)
            })
        };
        while self.now < end && !is_replaced(self) {
            self.step();
        }
        assert!(
            is_replaced(self),
            "the spare is not a voter: {}",
            self.describe()
        );
    }

    /// Runs the steps of the plan with its faults.
    pub(crate) fn run(&mut self) {
        for _ in 0..self.plan.steps {
            self.inject_faults();
            self.step();
        }
    }

    /// Drops all messages to the leader but not those from it, and expects the others to elect a
    /// new leader that commits a proposal.
    pub(crate) fn cut_off_inbound(&mut self) {
        self.wait_for_leader(None);
        // The others must have the initial members before they can elect another leader.
        (0..200).for_each(|_| self.step());
        let leader = self.wait_for_leader(None);
        let indices = 0..self.hosts.len();
        self.cut = indices
            .filter(|index| *index != leader)
            .map(|index| (index, leader))
            .collect();
        let next = self.wait_for_leader(Some(leader));
        let number = self.propose(next);
        self.pump(next);
        let end = self.now + RECOVERY_TIMEOUT;
        while self.now < end && !self.is_applied(number) {
            self.step();
        }
        assert!(
            self.is_applied(number),
            "the proposal is not committed: {}",
            self.describe()
        );
    }

    /// Fills the disks of all hosts, one after another and never two at once, with changes all the
    /// while. Expects that each change made after the last disk has room is committed.
    pub(crate) fn fill_disks_in_turn(&mut self, span: Duration, pause: Duration) {
        self.wait_for_leader(None);
        for index in (0..self.hosts.len()).chain(0..self.hosts.len()) {
            self.hosts[index].full_until = self.now + span;
            let end = self.now + span + pause;
            while self.now < end {
                self.propose_at_leader();
                self.step();
            }
        }
        self.heal();
    }

    /// Replaces hosts by empty ones at other addresses, in a random order and up to `at_once` at a
    /// time. Expects after each replacement that the newcomers are members and that a change is
    /// committed.
    pub(crate) fn replace_hosts(&mut self, replacements: u32, at_once: usize) {
        self.wait_for_leader(None);
        (0..400).for_each(|_| self.step());
        for number in 0..replacements {
            let count = self.rng.random_range(1..=at_once);
            let mut indices: Vec<_> = (0..self.hosts.len()).collect();
            let chosen: Vec<_> = (0..count)
                .map(|_| indices.swap_remove(self.rng.random_range(0..indices.len())))
                .collect();
            for index in &chosen {
                let identity = Identity(self.rng.next_u64().max(1));
                self.hosts[*index].lose_disk(identity);
                self.hosts[*index].address = address_of(number + 1, *index);
            }
            let end = self.now + CATCH_UP;
            let first = self.next_number;
            while self.now < end {
                self.propose_at_leader();
                self.step();
            }
            assert!(
                chosen.iter().all(|index| self.is_member(*index)),
                "replacement {number} was not admitted: {}",
                self.describe()
            );
            assert!(
                (first..self.next_number).any(|change| self.is_applied(change)),
                "no change was committed after replacement {number}: {}",
                self.describe()
            );
        }
        self.heal();
    }

    /// Whether a leader counts the host among the members.
    fn is_member(&self, index: usize) -> bool {
        let leaders = self.hosts.iter().filter(|host| host.is_leader());
        let mut replicas = leaders.filter_map(|host| host.replica.as_ref());
        replicas.any(|replica| {
            let members = replica.members().addresses();
            members.contains_key(&self.hosts[index].identity)
        })
    }

    /// Stops and restarts all replicas at the same moment. Returns the time until there is a
    /// leader.
    pub(crate) fn restart_all(&mut self) -> Duration {
        self.wait_for_leader(None);
        (0..400).for_each(|_| self.step());
        let now = self.now;
        for host in &mut self.hosts {
            host.crash(false);
            host.start(now, self.timing, &mut self.rng);
        }
        self.wait_for_leader(None);
        self.now.since(now)
    }

    fn wait_for_leader(&mut self, except: Option<usize>) -> usize {
        let end = self.now + RECOVERY_TIMEOUT;
        while self.now < end {
            self.step();
            let mut indices = 0..self.hosts.len();
            let is_leader = |index: &usize| self.hosts[*index].is_leader();
            if let Some(index) = indices.find(|index| is_leader(index) && Some(*index) != except) {
                return index;
            }
        }
        panic!("no leader: {}", self.describe());
    }

    /// Ends all faults and expects the group to recover without having lost an entry.
    pub(crate) fn heal(&mut self) {
        self.is_healed = true;
        self.cut.clear();
        self.plan.propose = 0.0;
        // Replies must arrive within the election timeout, or no leader keeps its quorum.
        self.plan.max_delay_ms = self.plan.max_delay_ms.min(20);
        self.plan.max_write_ms = self.plan.max_write_ms.min(20);
        let now = self.now;
        self.hosts.iter_mut().for_each(|host| {
            host.frozen_until = now;
            host.free_disk(now);
        });
        let end = self.now + RECOVERY_TIMEOUT;
        let mut proposed = None;
        let mut propose_at = self.now;
        while self.now < end && !self.is_recovered(proposed) {
            // An entry proposed at a leader that has been deposed may be lost for good.
            if propose_at <= self.now && proposed.is_none_or(|number| !self.is_applied(number)) {
                proposed = self.propose_at_leader().or(proposed);
                propose_at = self.now + RECOVERY_TIMEOUT / 10;
            }
            self.step();
        }
        assert!(
            self.is_recovered(proposed),
            "the group did not recover: {}",
            self.describe()
        );
        assert_eq!(self.histories.len(), 1, "two groups committed");
    }

    fn is_applied(&self, number: u64) -> bool {
        self.hosts.iter().any(|host| host.numbers.contains(&number))
    }

    /// Whether every member has applied the proposal and all other entries, and the current
    /// members are committed and contain no lost voter.
    fn is_recovered(&self, proposed: Option<u64>) -> bool {
        let Some(history) = self.histories.values().next() else {
            return false;
        };
        let numbers = history.numbers(history.len());
        let is_proposed = proposed.is_some_and(|number| numbers.contains(&number));
        let identities: Vec<_> = self.hosts.iter().map(|host| host.identity).collect();
        let is_replaced = self
            .hosts
            .iter()
            .filter(|host| host.is_leader())
            .all(|host| {
                let replica = host.replica.as_ref().unwrap();
                let voters = &replica.members().voters;
                replica.is_settled() && voters.keys().all(|id| identities.contains(id))
            });
        let mut members = (0..self.hosts.len()).filter(|index| self.is_member(*index));
        is_proposed && is_replaced && members.all(|index| self.hosts[index].numbers == numbers)
    }

    fn describe(&self) -> String {
        let lines = self.hosts.iter().map(|host| {
            let replica = host.replica.as_ref();
            let state = replica.map(|replica| {
                (
                    replica.role(),
                    replica.term(),
                    replica.commit(),
                    replica.members().clone(),
                )
            });
            format!("\n{} group {:x}: {state:?}", host.identity, host.group())
        });
        lines.collect()
    }

    fn step(&mut self) {
        let span = Duration::from_millis(self.rng.random_range(1..15));
        self.now = self.now + span;
        for index in 0..self.hosts.len() {
            if self.hosts[index].replica.is_none() && (self.is_healed || self.chance(0.05)) {
                let (now, timing) = (self.now, self.timing);
                self.hosts[index].start(now, timing, &mut self.rng);
            }
            if self.hosts[index].is_up(self.now) {
                self.step_host(index);
            }
        }
        self.deliver();
        for host in self.hosts.iter().filter(|host| host.is_up(self.now)) {
            if let Some(history) = self.histories.get(&host.group()) {
                host.check_age(self.now, history);
            }
        }
    }

    fn step_host(&mut self, index: usize) {
        let now = self.now;
        let host = &mut self.hosts[index];
        if host
            .writing
            .as_ref()
            .is_some_and(|writing| writing.done_at <= now)
        {
            host.finish_write(now);
        }
        if let Some(replica) = &mut host.replica {
            replica.tick(now);
        }
        if self.chance(self.plan.propose) && self.hosts[index].is_leader() {
            self.propose(index);
        }
        self.pump(index);
        if self.chance(0.05) {
            self.join_group(index);
        }
        if self.chance(0.05) {
            self.update_bound(index);
        }
    }

    fn propose_at_leader(&mut self) -> Option<u64> {
        let is_leader = |index: &usize| self.hosts[*index].is_leader();
        let index = (0..self.hosts.len()).find(is_leader)?;
        let number = self.propose(index);
        self.pump(index);
        Some(number)
    }

    fn propose(&mut self, index: usize) -> u64 {
        let number = self.next_number;
        self.next_number += 1;
        if let Some(replica) = &mut self.hosts[index].replica {
            let _ = replica.propose(self.now, number.to_le_bytes().to_vec());
        }
        number
    }

    fn pump(&mut self, index: usize) {
        let range = self.plan.min_write_ms..=self.plan.max_write_ms;
        let write_done_at = self.now + Duration::from_millis(self.rng.random_range(range));
        let host = &mut self.hosts[index];
        let mut unbound = History::default();
        let history = match host.group() {
            0 => &mut unbound,
            group => self.histories.entry(group).or_default(),
        };
        let entries = self.plan.snapshot_entries;
        let messages = host.pump(self.now, history, entries, write_done_at);
        if history.len() == 0 {
            let group = host.group();
            self.histories.remove(&group);
        }
        messages.iter().for_each(|message| self.send(message));
        self.check_swap(index);
    }

    /// Panics if a leader makes a replica a voter that does not hold all committed entries.
    fn check_swap(&mut self, index: usize) {
        let Some(replica) = self.hosts[index].replica.as_ref() else {
            return;
        };
        let members = replica.members();
        if !self.hosts[index].is_leader() || members.outgoing.is_empty() {
            return;
        }
        let is_new = |id: &&Identity| !members.outgoing.contains_key(*id);
        for id in members.voters.keys().filter(is_new) {
            let newcomer = self.hosts.iter().find(|host| host.identity == *id);
            let is_first = !self.swaps.contains(id);
            if let Some(newcomer) = newcomer.filter(|_| is_first) {
                assert!(
                    newcomer.last_durable() >= replica.commit(),
                    "a new voter lacks committed entries"
                );
            }
        }
        self.swaps.extend(members.voters.keys());
    }

    fn send(&mut self, message: &Message) {
        let is_duplicate = self.chance(self.plan.duplicate);
        for _ in 0..=usize::from(is_duplicate) {
            let delay = Duration::from_millis(self.rng.random_range(0..=self.plan.max_delay_ms));
            let is_dropped = !self.is_healed && self.chance(self.plan.drop);
            if !is_dropped {
                let at = self.now + delay;
                let message = message.clone();
                self.deliveries.push(Delivery { at, message });
            }
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let due = |delivery: &mut Delivery| delivery.at <= now;
        let due: Vec<Delivery> = self.deliveries.extract_if(.., due).collect();
        for mut delivery in due {
            let index = |id| self.hosts.iter().position(|host| host.identity == id);
            let message = &delivery.message;
            let (Some(from), Some(to)) = (index(message.from), index(message.to)) else {
                continue;
            };
            if self.cut.contains(&(from, to)) || self.hosts[to].replica.is_none() {
                continue;
            }
            if self.hosts[to].frozen_until > now {
                delivery.at = self.hosts[to].frozen_until;
                self.deliveries.push(delivery);
                continue;
            }
            if let Some(replica) = &mut self.hosts[to].replica {
                replica.step(now, delivery.message);
            }
            self.pump(to);
        }
    }

    /// Bootstraps a group if the replica is empty, or requests to join if it is not a member or
    /// knows no leader.
    fn join_group(&mut self, index: usize) {
        let now = self.now;
        let host = &mut self.hosts[index];
        let due = |bootstrap: &mut Bootstrap| bootstrap.index == index && bootstrap.at <= now;
        for bootstrap in self.bootstraps.extract_if(.., due) {
            if let Some(replica) = &mut host.replica {
                replica.bootstrap(bootstrap.members);
            }
        }
        let Some(replica) = &host.replica else {
            return;
        };
        let is_member = replica.members().addresses().contains_key(&host.identity);
        // A replica without contact to a leader may have been replaced without notice.
        let is_lost = !is_member || replica.leader().is_none();
        match replica.group() {
            0 => self.bootstrap(index),
            _ if is_lost => self.admit(index, None),
            _ => {}
        }
        self.pump(index);
    }

    fn bootstrap(&mut self, index: usize) {
        let replicas: Vec<_> = self.hosts[..self.plan.voters]
            .iter()
            .map(|host| host.address)
            .collect();
        let answers = (0..self.plan.voters)
            .filter(|other| self.is_connected(index, *other))
            .map(|other| {
                let host = &self.hosts[other];
                let (identity, group) = (host.identity, host.group());
                (host.address, Probe { identity, group })
            })
            .collect();
        match bootstrap::decide(self.hosts[index].identity, &replicas, &answers) {
            Step::Wait => {}
            Step::Join => self.admit(index, None),
            Step::Bootstrap(members) => {
                let delay = Duration::from_millis(self.rng.random_range(0..500));
                self.bootstraps.push(Bootstrap {
                    index,
                    at: self.now + delay,
                    members: *members,
                });
            }
        }
    }

    fn admit(&mut self, index: usize, replaces: Option<Identity>) {
        let (identity, address) = (self.hosts[index].identity, self.hosts[index].address);
        let request = JoinRequest {
            identity,
            address,
            replaces,
        };
        let is_leader =
            |other: &usize| self.is_connected(index, *other) && self.hosts[*other].is_leader();
        let Some(leader) = (0..self.hosts.len()).find(is_leader) else {
            return;
        };
        if let Some(replica) = &mut self.hosts[leader].replica {
            let _ = replica.admit(self.now, request);
        }
        self.pump(leader);
    }

    /// Updates a follower's bound on the age of its state from its leader's confirmation. The
    /// request counts as sent up to 300 ms ago.
    fn update_bound(&mut self, index: usize) {
        let Some(replica) = &self.hosts[index].replica else {
            return;
        };
        let Some(leader) = self
            .hosts
            .iter()
            .position(|host| Some(host.identity) == replica.leader())
        else {
            return;
        };
        if !self.is_connected(index, leader) {
            return;
        }
        let confirmed = self.hosts[leader]
            .replica
            .as_ref()
            .and_then(Replica::confirmed);
        if let Some(confirmed) = confirmed.filter(|confirmed| confirmed.commit <= replica.applied())
        {
            let delay = Duration::from_millis(self.rng.random_range(0..300));
            let age = self.now.since(confirmed.sent_at);
            let bound = Bound::new(self.now - delay, age);
            let host = &mut self.hosts[index];
            host.bound = host.bound.tightest(bound);
        }
    }

    fn is_connected(&self, from: usize, to: usize) -> bool {
        self.hosts[to].is_up(self.now)
            && !self.cut.contains(&(from, to))
            && !self.cut.contains(&(to, from))
    }
}
