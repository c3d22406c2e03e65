//! Simulates the spread of a version: every agent gets it, the origin sends about one copy, and
//! the load is balanced between agents.

#![allow(clippy::unwrap_used)]

use std::{
    collections::{BTreeMap, BTreeSet},
    ops::Range,
    time::Duration,
};

use domain::{clock::Instant, digest::Digest, name};
use policy::{
    owner::Member,
    spread::{Fetch, Miss, Source, Spread},
    switch,
};

const CHUNKS: usize = 48;
/// The time that one chunk takes on an agent's uplink and downlink, in milliseconds. Uploads leave
/// part of the link to live requests.
const CHUNK_MS: u64 = 50;
const ARRIVAL_MS: u64 = 42;
/// The delay until other agents learn that an agent holds a chunk.
const OFFER_DELAY: Duration = Duration::from_millis(40);
/// An agent with a longer upload backlog answers "busy" to agents of its region.
const MAX_BACKLOG: Duration = Duration::from_millis(100);
const BUSY_RETRY: Duration = Duration::from_millis(60);
/// How long before its turn an agent stops fetching with a reduced window.
const FULL_WINDOW_LEAD: Duration = Duration::from_millis(2_900);
/// The timeout of a fetch that gets no answer.
const FETCH_TIMEOUT: Duration = Duration::from_millis(1_500);
const STEP: Duration = Duration::from_millis(10);
const LIMIT: Duration = Duration::from_secs(60);

fn digests() -> Vec<Digest> {
    (0..CHUNKS).map(|n| Digest::of(&n.to_le_bytes())).collect()
}

fn members(regions: usize, each: usize) -> Vec<Member> {
    (0..regions * each)
        .map(|n| Member {
            vm: format!("vm-{n}").as_str().into(),
            zone: format!("z-{}", n % regions).as_str().into(),
            region: format!("r-{}", n % regions).as_str().into(),
        })
        .collect()
}

/// A fetch in progress.
struct Transfer {
    to: usize,
    fetch: Fetch,
    until: Instant,
    /// Whether the chunk was sent and only waits for the receiver's downlink.
    is_arriving: bool,
}

/// Agents with links that carry one chunk at a time.
struct World {
    members: Vec<Member>,
    spreads: Vec<Spread>,
    /// The chunks that each agent holds, and since when.
    held: Vec<BTreeMap<usize, Instant>>,
    /// When each agent's uplink becomes free.
    free_at: BTreeMap<name::Vm, Instant>,
    /// When the last chunk on each agent's downlink arrives.
    arrived_at: Vec<Instant>,
    /// The number of chunks sent by each source.
    sent: BTreeMap<Source, usize>,
    dead: BTreeSet<name::Vm>,
    /// Agents that keep their connections but answer nothing from `hung_from` on.
    hung: BTreeSet<name::Vm>,
    hung_from: Instant,
    /// The longest time until an agent answers another one for the first time, as connections are
    /// opened.
    first_answer: Duration,
    started_at: Instant,
    transfers: Vec<Transfer>,
    origin_free_at: Instant,
    /// When the origin refuses connections.
    outage: Range<Instant>,
    now: Instant,
}

impl World {
    fn new(members: Vec<Member>) -> Self {
        let now = Instant::from_millis(1_000);
        let digests = digests();
        let spread = |me: &Member| {
            let mut spread = Spread::new(me.clone(), &digests, now).with_fresh_version();
            spread.set_members(members.clone());
            spread
        };
        Self {
            spreads: members.iter().map(spread).collect(),
            held: vec![BTreeMap::new(); members.len()],
            arrived_at: vec![now; members.len()],
            members,
            free_at: BTreeMap::new(),
            sent: BTreeMap::new(),
            dead: BTreeSet::new(),
            hung: BTreeSet::new(),
            hung_from: now,
            first_answer: Duration::ZERO,
            started_at: now,
            transfers: Vec::new(),
            origin_free_at: now,
            outage: now..now,
            now,
        }
    }

    /// Replaces an agent's schedule.
    fn replace(&mut self, place: usize, mut spread: Spread) {
        spread.set_members(self.members.clone());
        self.spreads[place] = spread;
    }

    fn is_hung(&self, vm: &name::Vm) -> bool {
        self.now >= self.hung_from && self.hung.contains(vm)
    }

    fn is_down(&self, vm: &name::Vm) -> bool {
        self.dead.contains(vm) || self.is_hung(vm)
    }

    /// Lets an agent hold the given chunks from the start.
    fn preload(&mut self, place: usize, chunks: impl IntoIterator<Item = usize>) {
        for index in chunks {
            self.spreads[place].mark_held(index, self.now);
            self.held[place].insert(index, Instant::ZERO);
        }
    }

    /// Runs until every running agent holds every chunk, and returns the elapsed time.
    fn run(&mut self) -> Duration {
        let started_at = self.now;
        while !self.is_done() {
            assert!(
                self.now.since(started_at) < LIMIT,
                "{:?}",
                self.held.iter().map(BTreeMap::len).collect::<Vec<_>>()
            );
            self.step();
        }
        self.now.since(started_at)
    }

    fn is_done(&self) -> bool {
        let mut alive =
            (0..self.members.len()).filter(|place| !self.is_down(&self.members[*place].vm));
        alive.all(|place| self.spreads[place].is_complete())
    }

    fn step(&mut self) {
        self.now = self.now + STEP;
        let now = self.now;
        for transfer in &mut self.transfers {
            if transfer.until <= now && !transfer.is_arriving {
                let arrived_at = &mut self.arrived_at[transfer.to];
                *arrived_at = now.max(*arrived_at + Duration::from_millis(ARRIVAL_MS));
                (transfer.until, transfer.is_arriving) = (*arrived_at, true);
            }
        }
        let due: Vec<_> = self
            .transfers
            .extract_if(.., |transfer| transfer.until <= now)
            .collect();
        for transfer in due {
            let has_failed = match &transfer.fetch.source {
                Source::Peer(vm) => self.is_down(vm),
                Source::Origin => self.outage.contains(&now),
            };
            match has_failed {
                true => self.spreads[transfer.to].miss(&transfer.fetch, Miss::Fault, now),
                false => {
                    self.spreads[transfer.to].mark_held(transfer.fetch.index, now);
                    self.held[transfer.to].insert(transfer.fetch.index, now);
                    *self.sent.entry(transfer.fetch.source).or_default() += 1;
                }
            }
        }
        for to in 0..self.members.len() {
            if self.is_down(&self.members[to].vm) {
                continue;
            }
            self.deliver_offers(to);
            for fetch in self.spreads[to].poll(now) {
                match self.send(to, &fetch) {
                    Some(until) => self.transfers.push(Transfer {
                        to,
                        fetch,
                        until,
                        is_arriving: false,
                    }),
                    None => self.spreads[to].miss(&fetch, Miss::Busy(BUSY_RETRY), now),
                }
            }
        }
    }

    /// Gives an agent the current holdings of the agents that it watches.
    fn deliver_offers(&mut self, to: usize) {
        let watched = self.spreads[to].watched(self.now);
        let others = self.members.iter().map(|member| &member.vm);
        for vm in others.filter(|vm| !watched.contains(vm)) {
            self.spreads[to].unwatch(vm);
        }
        for vm in watched {
            let place = self
                .members
                .iter()
                .position(|member| member.vm == vm)
                .unwrap();
            if self.is_hung(&vm) || !self.has_connected(to, place) {
                continue;
            }
            let is_known = |(_, since): &(&usize, &Instant)| self.now.since(**since) >= OFFER_DELAY;
            let known = self.held[place].iter().filter(is_known);
            let held = (!self.dead.contains(&vm)).then(|| known.map(|(index, _)| *index).collect());
            self.spreads[to].set_offer(&vm, held, self.now);
            self.spreads[to].record_query(&vm, self.now);
        }
    }

    /// Whether one agent has answered another one yet; each pair takes another part of
    /// [`World::first_answer`].
    fn has_connected(&self, to: usize, from: usize) -> bool {
        let part = (to * 31 + from * 17) % 10 + 1;
        self.now.since(self.started_at) >= self.first_answer * part as u32 / 10
    }

    /// When the source has sent a chunk; `None` if the source is busy.
    fn send(&mut self, to: usize, fetch: &Fetch) -> Option<Instant> {
        let now = self.now;
        Some(match &fetch.source {
            Source::Origin if self.outage.contains(&now) => now + STEP,
            // The origin's link is 1.5 times as fast as an agent's.
            Source::Origin => {
                self.origin_free_at =
                    self.origin_free_at.max(now) + Duration::from_millis(CHUNK_MS * 2 / 3);
                self.origin_free_at
            }
            Source::Peer(vm) if self.is_hung(vm) => now + FETCH_TIMEOUT,
            Source::Peer(vm) => {
                let is_urgent = self.spreads[to].is_urgent(fetch);
                let free_at = self.free_at.entry(vm.clone()).or_insert(now);
                *free_at = (*free_at).max(now);
                if !is_urgent && free_at.since(now) > MAX_BACKLOG {
                    return None;
                }
                *free_at = *free_at + Duration::from_millis(CHUNK_MS);
                *free_at
            }
        })
    }

    fn origin_chunks(&self) -> usize {
        self.sent.get(&Source::Origin).copied().unwrap_or_default()
    }

    /// The largest number of chunks that one agent sent.
    fn most_sent(&self) -> usize {
        let peers = self
            .sent
            .iter()
            .filter(|(source, _)| **source != Source::Origin);
        peers.map(|(_, count)| *count).max().unwrap_or_default()
    }
}

/// One copy takes 2.4 s on a link, and a version must serve everywhere within 8 s, half of which is
/// reserved for switching the engines. With rendezvous hashing in place of the ring, the busiest of
/// eight agents sent up to twice its share; with the owner of a chunk asked first, nineteen agents
/// in each of three regions took 4.3 s.
#[test]
fn new_version_reaches_every_agent_in_time_with_balanced_load() {
    for (regions, each) in [(1, 3), (3, 3), (3, 5), (3, 8), (4, 13), (3, 19), (4, 22)] {
        let mut world = World::new(members(regions, each));
        let took = world.run();
        let name = format!("{regions} x {each}");
        assert!(took < Duration::from_millis(4_000), "{name}: {took:?}");
        assert!(
            world.origin_chunks() <= CHUNKS + CHUNKS / 8,
            "{name}: {}",
            world.origin_chunks()
        );
        assert!(
            world.most_sent() <= CHUNKS * 3 / 2,
            "{name}: {}",
            world.most_sent()
        );
    }
}

/// Engines switch one after another, so those with an early turn need the version first. Fails if
/// all agents fetch as fast as they can and ask the owner of a chunk first: with eight agents in
/// each of three regions the version is 310 ms late. The bound is a twelfth of the time in which
/// all engines switch.
#[test]
fn version_is_ready_at_each_engines_turn() {
    let limit = Duration::from_secs(8);
    let version = Digest::of(b"m@2");
    for (regions, each) in [(3, 5), (3, 8), (4, 13), (3, 19), (4, 22)] {
        let mut world = World::new(members(regions, each));
        let named_at = world.now;
        let turn = |me| switch::due_at(me, &world.members, &version, named_at, named_at, limit);
        let turns: Vec<_> = world.members.iter().map(turn).collect();
        for (place, turn) in turns.iter().enumerate() {
            let spread = Spread::new(world.members[place].clone(), &digests(), named_at)
                .with_fresh_version()
                .with_reduced_window(*turn - FULL_WINDOW_LEAD);
            world.replace(place, spread);
        }
        world.run();
        let ready = world.held.iter().map(|held| held.values().max().unwrap());
        let late = turns.iter().zip(ready).map(|(turn, at)| at.since(*turn));
        let latest = late.max().unwrap();
        let name = format!("{regions} x {each}");
        assert!(latest < Duration::from_millis(300), "{name}: {latest:?}");
    }
}

/// Some agents hang just after they reported their holdings, and soon afterwards the origin goes
/// down for longer than a rollout may take. Fails if a dropped query still counts as open: most
/// agents then seem unresponsive, none is skipped, and no agent has the version before the origin
/// is back.
#[test]
fn hung_holders_are_skipped_during_an_origin_outage() {
    for (regions, each) in [(3, 8), (3, 19)] {
        let mut world = World::new(members(regions, each));
        let started_at = world.now;
        let down_at = started_at + Duration::from_millis(2_400);
        world.outage = down_at..down_at + Duration::from_secs(6);
        world.hung_from = started_at + Duration::from_millis(700);
        world.hung = world
            .members
            .iter()
            .step_by(8)
            .map(|m| m.vm.clone())
            .collect();
        let took = world.run();
        let name = format!("{regions} x {each}");
        assert!(took < Duration::from_millis(5_000), "{name}: {took:?}");
    }
}

/// A version must serve everywhere within 8 s. Fails if agents wait for the turns of dead agents:
/// 12.9 s with three of twelve dead.
#[test]
fn version_completes_in_time_with_dead_agents() {
    for dead in 1..=3 {
        let members = members(3, 4);
        let mut world = World::new(members.clone());
        world.dead = members
            .iter()
            .take(dead)
            .map(|member| member.vm.clone())
            .collect();
        let took = world.run();
        assert!(took < Duration::from_secs(8), "{dead} dead: {took:?}");
        assert!(
            world.origin_chunks() <= 2 * CHUNKS,
            "{dead} dead: {}",
            world.origin_chunks()
        );
    }
}

/// The number of chunks that an agent fetches from the origin within 700 ms while another agent
/// is hung.
fn fetched_beside_hung(hung: usize, do_others_answer: bool) -> usize {
    let members = members(1, 5);
    let started_at = Instant::from_millis(1_000);
    let mut spread = Spread::new(members[0].clone(), &digests(), started_at);
    spread.set_members(members.clone());
    for member in &members[1..] {
        spread.set_offer(&member.vm, Some(BTreeSet::new()), started_at);
        spread.record_query(&member.vm, started_at);
    }
    let others = (1..5).filter(|place| do_others_answer && *place != hung);
    let mut fetched = 0;
    for step in 1..=70 {
        let now = started_at + STEP * step;
        for member in others.clone().map(|place| &members[place]) {
            spread.set_offer(&member.vm, Some(BTreeSet::new()), now);
            spread.record_query(&member.vm, now);
        }
        for fetch in spread.poll(now) {
            fetched += 1;
            spread.mark_held(fetch.index, now);
        }
    }
    fetched
}

/// If most other agents answer, a hung agent is skipped before its turn of one second is over. If
/// no agent answers, the local link is assumed to be narrow and none is skipped.
#[test]
fn hung_agent_is_skipped_only_while_others_answer() {
    let fetched = |do_others_answer| -> usize {
        let hung_agents = 1..5;
        hung_agents
            .map(|hung| fetched_beside_hung(hung, do_others_answer))
            .sum()
    };
    // The chunks that the agent owns are fetched from the origin in both cases.
    let (skipped, waited) = (fetched(true), fetched(false));
    assert!(skipped > waited, "{skipped} fetched, {waited} of its own");
}

/// The origin comes back after six seconds without progress. Fails if all agents then take the
/// first in order for idle, and ask for each chunk from other regions as soon as an agent there
/// holds it: 5.2 s with nineteen agents in each of three regions.
#[test]
fn origin_recovery_does_not_trigger_fetches_by_all_agents() {
    for (regions, each) in [(3, 5), (3, 19), (4, 13)] {
        let mut world = World::new(members(regions, each));
        let down_at = world.now + Duration::from_millis(500);
        let up_at = down_at + Duration::from_secs(6);
        world.outage = down_at..up_at;
        world.run();
        let after = world.now.since(up_at);
        let name = format!("{regions} x {each}");
        assert!(
            world.origin_chunks() <= CHUNKS * 3 / 2,
            "{name}: {}",
            world.origin_chunks()
        );
        assert!(after < Duration::from_millis(4_800), "{name}: {after:?}");
    }
}

/// Fails if an agent fetches the chunks that it owns from the origin although other agents hold
/// them: three agents that joined fetched 1.3 copies.
#[test]
fn joining_agent_fetches_from_holders_only() {
    let members = members(3, 3);
    let mut world = World::new(members);
    (1..9).for_each(|place| world.preload(place, 0..CHUNKS));
    world.run();
    assert_eq!(world.origin_chunks(), 0);
}

#[test]
fn region_without_the_version_fetches_it_from_other_regions() {
    let members = members(3, 3);
    let regions: Vec<_> = members.iter().map(|member| member.region.clone()).collect();
    let mut world = World::new(members);
    for place in (0..9).filter(|place| regions[*place] != regions[0]) {
        world.preload(place, 0..CHUNKS);
    }
    let took = world.run();
    assert!(took < Duration::from_secs(9), "{took:?}");
    // For the chunks that rank the empty region first, no region precedes the origin.
    assert!(
        world.origin_chunks() <= CHUNKS / 3,
        "{}",
        world.origin_chunks()
    );
}

#[test]
fn slow_link_shrinks_the_window_to_one_fetch() {
    let members = members(1, 4);
    let mut spread = Spread::new(members[0].clone(), &digests(), Instant::ZERO);
    spread.set_members(members.clone());
    for member in &members[1..] {
        spread.set_offer(&member.vm, Some((0..CHUNKS).collect()), Instant::ZERO);
    }
    let mut now = Instant::from_millis(1_000);
    let mut running = spread.poll(now);
    for _ in 0..12 {
        now = now + Duration::from_millis(900);
        let fetch = running.remove(0);
        spread.mark_held(fetch.index, now);
        running.extend(spread.poll(now));
    }
    assert_eq!(running.len(), 1);
}

#[test]
fn turns_are_spaced_out_within_the_limit() {
    let members = members(3, 5);
    let version = Digest::of(b"m@2");
    let named_at = Instant::from_millis(10_000);
    let limit = Duration::from_millis(8_000);
    let due = |ready_ms| {
        let ready_at = named_at + Duration::from_millis(ready_ms);
        let mut due: Vec<_> = members
            .iter()
            .map(|me| switch::due_at(me, &members, &version, named_at, ready_at, limit))
            .map(|at| at.since(named_at).as_millis())
            .collect();
        due.sort_unstable();
        due
    };
    let early = due(2_000);
    assert!(early[0] >= 2_500 && early[14] <= 6_400, "{early:?}");
    let crowded = early
        .windows(4)
        .filter(|turn| turn[3] - turn[0] < 600)
        .count();
    assert_eq!(crowded, 0, "{early:?}");
    let late = due(6_000);
    assert!(late[0] >= 6_000 && late[14] <= 7_100, "{late:?}");
    // The old weights serve no requests any more, so all engines switch at once.
    let over = due(7_000);
    assert_eq!((over[0], over[14]), (7_000, 7_000), "{over:?}");
}

/// Agents open connections to all others of their region when a version is named. Fails where those
/// that have not answered yet count as gone: the origin sent 1.56 copies with 20 agents in each of
/// three regions.
#[test]
fn slow_first_answers_send_nobody_to_the_origin() {
    for (regions, each, bound_ms) in [
        (1, 15, 4_000),
        (3, 20, 4_000),
        (5, 18, 4_500),
        (5, 30, 4_500),
    ] {
        let mut world = World::new(members(regions, each));
        world.first_answer = Duration::from_millis(700);
        let took = world.run();
        let copies = world.origin_chunks() as f64 / CHUNKS as f64;
        let case = format!("{regions} regions of {each}: {copies} copies, {took:?}");
        assert!(copies <= 1.3, "{case}");
        assert!(took <= Duration::from_millis(bound_ms), "{case}");
    }
}

/// Agents that join open connections too. Fails where they ask the origin for the chunks that they
/// own before anybody could answer: 60 of 63 agents fetched a chunk from it.
#[test]
fn joining_agents_with_slow_first_answers_leave_the_origin_alone() {
    let members = members(3, 20);
    let joined = |place: usize| place.is_multiple_of(3);
    let mut world = World::new(members.clone());
    world.first_answer = Duration::from_millis(700);
    for (place, me) in members.iter().enumerate() {
        match joined(place) {
            true => world.replace(place, Spread::new(me.clone(), &digests(), world.now)),
            false => world.preload(place, 0..CHUNKS),
        }
    }
    let took = world.run();
    assert_eq!(world.origin_chunks(), 0, "{took:?}");
}

/// Fails where an agent that has just started, and knows no other one yet, asks the origin after
/// 0.15 s.
#[test]
fn agent_that_knows_no_other_one_waits_before_it_asks_the_origin() {
    let members = members(1, 2);
    let now = Instant::from_millis(1_000);
    let mut spread = Spread::new(members[0].clone(), &digests(), now);
    for millis in (0..1_000).step_by(50) {
        let fetches = spread.poll(now + Duration::from_millis(millis));
        assert_eq!(fetches, [], "after {millis} ms");
    }
    let fetches = spread.poll(now + Duration::from_millis(1_000));
    assert_eq!(
        fetches[0].source,
        Source::Origin,
        "there may be no other one"
    );
}
