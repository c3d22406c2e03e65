//! Chunk scheduling for a version that every engine needs at once.
//!
//! The agents of a region are ordered for each chunk. The first agent, the chunk's owner, brings
//! the chunk into the region, and the others fetch it there. Across all regions one owner fetches
//! the chunk from the origin. The origin thus sends one copy, each pair of regions carries part of
//! a copy, and every agent receives one copy and sends about one, whatever the number of agents.
//! See `docs/DECISIONS.md`, "Spread".

mod rings;

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use domain::{clock::Instant, digest::Digest, name};

use self::rings::Rings;
use crate::owner::{Member, key_of, mix, text_key};

/// The most agents of its region that an agent waits for before it brings a chunk into the region.
const MAX_LOCAL: usize = 3;
/// Concurrent fetches from the origin. Sequential chunks can be passed on while the next one is
/// being fetched.
const PER_ORIGIN: usize = 1;
/// Concurrent fetches from one agent. Further ones would only queue at that agent.
const PER_PEER: usize = 1;
/// The initial and the largest number of concurrent fetches. Bytes in flight delay live requests.
const WINDOW: (usize, usize) = (4, 6);
/// Concurrent fetches while other agents need the chunks sooner. With one, agents would receive
/// too little to pass on; with three, they would take bandwidth from the agents that switch first.
const REDUCED_WINDOW: usize = 2;
/// A fetch that takes longer means that the link is full, and shrinks the window.
const SLOW_FETCH: Duration = Duration::from_millis(500);
/// A fetch that takes less means that the link has capacity left, and grows the window.
const FAST_FETCH: Duration = Duration::from_millis(250);
/// The time for other agents to report their holdings before the first request to the origin.
const OFFER_WAIT: Duration = Duration::from_millis(150);
/// The time for the first answer of another agent. All agents of a region open connections to each
/// other when a version is named, which takes the longer the more they are. If those that have not
/// answered yet counted as gone, all agents would fetch from the origin.
const FIRST_ANSWER: Duration = Duration::from_millis(1_000);
/// The time without progress after which the next agent in order takes over.
const TURN: Duration = Duration::from_millis(1_000);
/// The pause before a chunk that could not be fetched or staged is fetched again.
const RETRY_PAUSE: Duration = Duration::from_millis(150);
/// How long an agent is not asked after a fetch from it failed.
const PEER_BACKOFF: Duration = Duration::from_secs(2);
/// How long the origin is not asked after a failure. It is the only source of chunks that no agent
/// holds, and a retry costs little.
const ORIGIN_BACKOFF: Duration = Duration::from_millis(400);
/// The largest factor by which failed origin fetches lengthen the wait of an agent that is not
/// first in order. The first agent's fetches fail for the same reason, so without the factor all
/// agents would fetch from the origin after an outage.
const MAX_WAIT_FACTOR: u32 = 4;
/// The time without progress after which the agents of all regions are watched.
const STUCK_AFTER: Duration = Duration::from_secs(2);

/// An agent is unresponsive if a query for its holdings stays unanswered for this long while most
/// of the other agents answer. A query without news is answered after 400 ms. On a narrow local
/// link no agent answers in time, so none counts as unresponsive.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(650);

/// The source of a chunk.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, derive_more::Display)]
pub enum Source {
    /// Another agent.
    #[display("{_0}")]
    Peer(name::Vm),
    /// The origin of weights.
    #[display("the origin")]
    Origin,
}

/// A chunk to fetch now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fetch {
    /// The chunk's index in the version.
    pub index: usize,
    /// Where to fetch it from.
    pub source: Source,
}

/// Why a fetch ended without the chunk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Miss {
    /// The source is busy; retry after this time.
    Busy(Duration),
    /// The source does not hold the chunk that it offered.
    NotHeld,
    /// The source failed or sent bytes with another digest.
    Fault,
}

/// The state of one chunk.
#[derive(Debug, Default)]
struct Slot {
    is_held: bool,
    running: Option<Running>,
    not_before: Instant,
    /// When another agent first offered the chunk.
    offered_at: Option<Instant>,
}

impl Slot {
    /// Whether a fetch of the chunk may start.
    fn is_open(&self, now: Instant) -> bool {
        !self.is_held && self.running.is_none() && self.not_before <= now
    }
}

/// A fetch in progress.
#[derive(Clone, Debug)]
struct Running {
    source: Source,
    since: Instant,
}

/// The queries sent to one agent for its holdings.
#[derive(Debug, Default)]
struct Query {
    /// When the unanswered query was sent.
    open_since: Option<Instant>,
    /// When the last query was answered.
    answered_at: Option<Instant>,
    /// Whether the last query failed.
    has_failed: bool,
}

/// The agents that are expected to get a chunk before this agent.
#[derive(Clone, Debug, Default)]
struct Predecessors {
    /// Agents of the own region.
    local: Vec<name::Vm>,
    /// The chunk's owners in other regions.
    remote: Vec<name::Vm>,
}

/// Schedules the fetches of one version for one agent.
#[derive(Debug)]
pub struct Spread {
    me: Member,
    keys: Vec<u64>,
    slots: Vec<Slot>,
    members: Vec<Member>,
    /// Each chunk's predecessors among the current members.
    predecessors: Vec<Predecessors>,
    /// The other agents of the region.
    local: Vec<name::Vm>,
    /// The agents of other regions.
    remote: Vec<name::Vm>,
    /// The chunk indices in fetch order, for the current members.
    order: Vec<usize>,
    /// The chunks that other agents hold.
    offers: BTreeMap<name::Vm, BTreeSet<usize>>,
    /// The queries for the holdings of other agents.
    queries: BTreeMap<name::Vm, Query>,
    /// Sources that failed or are busy, and until when they are not asked.
    avoided: BTreeMap<Source, Instant>,
    /// The number of chunks received from each agent.
    received: BTreeMap<name::Vm, usize>,
    /// Whether the version was just announced, so that only agents that fetched from the origin
    /// can hold chunks.
    is_fresh: bool,
    started_at: Instant,
    progress_at: Instant,
    /// When the last fetch from the origin failed.
    origin_failed_at: Instant,
    /// Failed fetches from the origin since the last success.
    origin_failures: u32,
    window: usize,
    /// Until when the window is reduced in favour of agents whose engines switch first.
    reduced_until: Instant,
}

impl Spread {
    /// A schedule that starts now, for a version whose chunks have the given digests.
    pub fn new(me: Member, digests: &[Digest], now: Instant) -> Self {
        let mut spread = Self {
            members: vec![me.clone()],
            me,
            keys: digests.iter().map(key_of).collect(),
            slots: digests.iter().map(|_| Slot::default()).collect(),
            predecessors: Vec::new(),
            local: Vec::new(),
            remote: Vec::new(),
            order: Vec::new(),
            offers: BTreeMap::new(),
            queries: BTreeMap::new(),
            avoided: BTreeMap::new(),
            received: BTreeMap::new(),
            is_fresh: false,
            started_at: now,
            progress_at: now,
            origin_failed_at: now,
            origin_failures: 0,
            window: WINDOW.0,
            reduced_until: Instant::ZERO,
        };
        spread.update_order();
        spread
    }

    /// Marks the version as just announced. No other agent holds it yet, so the first agent in
    /// order asks the origin without waiting for the other agents' holdings.
    #[must_use]
    pub fn with_fresh_version(mut self) -> Self {
        self.is_fresh = true;
        self
    }

    /// Reduces the number of concurrent fetches until the given time, because other engines need
    /// the version sooner and their agents should have the links.
    #[must_use]
    pub fn with_reduced_window(mut self, until: Instant) -> Self {
        self.reduced_until = until;
        self
    }

    /// The agents to query for their holdings.
    pub fn watched(&self, now: Instant) -> BTreeSet<name::Vm> {
        let unresponsive = self.unresponsive(now);
        let own = self
            .predecessors
            .iter()
            .filter(|before| self.awaited_count(&before.local, &unresponsive, now) == 0);
        let owners = own.flat_map(|before| &before.remote);
        let is_stuck = now.since(self.progress_at) >= STUCK_AFTER;
        let remote = self.remote.iter().filter(|_| is_stuck);
        self.local
            .iter()
            .chain(owners)
            .chain(remote)
            .cloned()
            .collect()
    }

    /// Records that a query for its holdings was sent to another agent.
    pub fn record_query(&mut self, vm: &name::Vm, now: Instant) {
        let query = self.queries.entry(vm.clone()).or_default();
        query.open_since = Some(now);
    }

    /// Sets the chunks that another agent holds; `None` if they are unknown.
    pub fn set_offer(&mut self, vm: &name::Vm, held: Option<BTreeSet<usize>>, now: Instant) {
        let query = self.queries.entry(vm.clone()).or_default();
        query.open_since = None;
        query.answered_at = held.is_some().then_some(now).or(query.answered_at);
        query.has_failed = held.is_none();
        for index in held.iter().flatten() {
            if let Some(slot) = self.slots.get_mut(*index) {
                slot.offered_at.get_or_insert(now);
            }
        }
        match held {
            Some(held) => drop(self.offers.insert(vm.clone(), held)),
            None => drop(self.offers.remove(vm)),
        }
    }

    /// Drops the queries to another agent that is no longer watched, so that an unanswered one
    /// does not count against it.
    pub fn unwatch(&mut self, vm: &name::Vm) {
        self.queries.remove(vm);
    }

    /// Whether a fetch brings a chunk in from another region, so that agents of this region wait
    /// for it.
    pub fn is_urgent(&self, fetch: &Fetch) -> bool {
        matches!(&fetch.source, Source::Peer(vm) if !self.local.contains(vm))
    }

    /// Sets the agents that take part. This agent is always included.
    pub fn set_members(&mut self, members: impl IntoIterator<Item = Member>) {
        let me = &self.me;
        let others = members.into_iter().filter(|other| other.vm != me.vm);
        let members: Vec<_> = others.chain([me.clone()]).collect();
        if members != self.members {
            let is_known = |vm: &name::Vm| members.iter().any(|member| member.vm == *vm);
            self.queries.retain(|vm, _| is_known(vm));
            self.members = members;
            self.update_order();
        }
    }

    /// Recomputes everything that depends on the members: predecessors, local and remote agents,
    /// and the fetch order.
    fn update_order(&mut self) {
        let rings = Rings::new(&self.members, &self.keys);
        let chunks = 0..self.keys.len();
        let predecessors: Vec<_> = chunks
            .clone()
            .map(|index| self.predecessors_of(index, &rings))
            .collect();
        let others = self.members.iter().filter(|other| other.vm != self.me.vm);
        let (local, remote): (Vec<_>, Vec<_>) =
            others.partition(|other| other.region == self.me.region);
        let names = |members: Vec<&Member>| members.into_iter().map(|m| m.vm.clone()).collect();
        let (local, remote) = (names(local), names(remote));
        let count = self.keys.len().max(1);
        let offset = (text_key(self.me.vm.as_str()) % count as u64) as usize;
        // Own chunks come first because other agents wait for them. The rest start at an offset
        // that differs between agents, so that they don't all ask for the same chunk at once.
        let is_own = |index: &usize| predecessors[*index].local.is_empty();
        let own: Vec<usize> = chunks.clone().filter(is_own).collect();
        let rotated = chunks.map(|step| (offset + step) % count);
        let others = rotated.filter(|index| !is_own(index));
        self.order = own.iter().copied().chain(others).collect();
        (self.predecessors, self.local, self.remote) = (predecessors, local, remote);
    }

    /// Whether every chunk is held.
    pub fn is_complete(&self) -> bool {
        self.slots.iter().all(|slot| slot.is_held)
    }

    /// The number of chunks held.
    pub fn held_count(&self) -> usize {
        self.slots.iter().filter(|slot| slot.is_held).count()
    }

    /// Marks a chunk as held: it is verified and staged. Adapts the window to how long its fetch
    /// took.
    pub fn mark_held(&mut self, index: usize, now: Instant) {
        let Some(slot) = self.slots.get_mut(index) else {
            return;
        };
        slot.is_held = true;
        self.progress_at = now;
        let Some(running) = slot.running.take() else {
            return;
        };
        match running.source {
            Source::Origin => self.origin_failures = 0,
            Source::Peer(vm) => *self.received.entry(vm).or_default() += 1,
        }
        let took = now.since(running.since);
        match took {
            took if took > SLOW_FETCH => self.window = (self.window - 1).max(1),
            took if took < FAST_FETCH => self.window = (self.window + 1).min(WINDOW.1),
            _ => {}
        }
    }

    /// Marks a chunk as missing because its staged copy is corrupt or gone, or because it could not
    /// be staged. It is fetched again after a pause.
    pub fn mark_missing(&mut self, index: usize, now: Instant) {
        if let Some(slot) = self.slots.get_mut(index) {
            *slot = Slot {
                not_before: now + RETRY_PAUSE,
                ..Slot::default()
            };
        }
    }

    /// Handles a fetch that ended without the chunk.
    pub fn miss(&mut self, fetch: &Fetch, miss: Miss, now: Instant) {
        let Some(slot) = self.slots.get_mut(fetch.index) else {
            return;
        };
        let ended = slot.running.take_if(|run| run.source == fetch.source);
        let Some(Running { source, .. }) = ended else {
            return;
        };
        match (miss, source) {
            (Miss::Busy(retry), source) => drop(self.avoided.insert(source, now + retry)),
            (Miss::NotHeld, Source::Peer(vm)) => {
                if let Some(held) = self.offers.get_mut(&vm) {
                    held.remove(&fetch.index);
                }
            }
            (Miss::NotHeld | Miss::Fault, source) => {
                let span = match source {
                    Source::Origin => {
                        self.origin_failed_at = now;
                        self.origin_failures += 1;
                        ORIGIN_BACKOFF
                    }
                    Source::Peer(_) => PEER_BACKOFF,
                };
                self.avoided.insert(source, now + span);
                slot.not_before = now + RETRY_PAUSE;
            }
        }
    }

    /// The fetches to start now. Each counts as running until [`Spread::mark_held`],
    /// [`Spread::mark_missing`] or [`Spread::miss`] ends it.
    pub fn poll(&mut self, now: Instant) -> Vec<Fetch> {
        let unresponsive = self.unresponsive(now);
        let mut running = BTreeMap::<Source, usize>::new();
        for running_now in self.slots.iter().filter_map(|slot| slot.running.as_ref()) {
            *running.entry(running_now.source.clone()).or_default() += 1;
        }
        let mut total: usize = running.values().sum();
        let window = match now < self.reduced_until {
            true => self.window.min(REDUCED_WINDOW),
            false => self.window,
        };
        let mut fetches = Vec::new();
        for index in self.order.clone() {
            if !self.slots[index].is_open(now) {
                continue;
            }
            if total >= window {
                break;
            }
            let Some(source) = self.source(index, &running, &unresponsive, now) else {
                continue;
            };
            *running.entry(source.clone()).or_default() += 1;
            total += 1;
            self.slots[index].running = Some(Running {
                source: source.clone(),
                since: now,
            });
            fetches.push(Fetch { index, source });
        }
        fetches
    }

    /// The source to fetch a chunk from now, if any. A holder in the own region comes first. Other
    /// regions and the origin are asked by the chunk's owner, and by further agents one after
    /// another while there is no progress.
    fn source(
        &self,
        index: usize,
        running: &BTreeMap<Source, usize>,
        unresponsive: &BTreeSet<name::Vm>,
        now: Instant,
    ) -> Option<Source> {
        let is_avoided =
            |source: &Source| self.avoided.get(source).is_some_and(|until| *until > now);
        let has_room = |source: &Source, limit: usize| {
            !is_avoided(source) && running.get(source).is_none_or(|count| *count < limit)
        };
        let is_holder = |vm: &&name::Vm| {
            let offer = self.offers.get(*vm);
            offer.is_some_and(|held| held.contains(&index))
                && !unresponsive.contains(*vm)
                && !is_avoided(&Source::Peer((*vm).clone()))
        };
        let may_be_asked =
            |vm: &&name::Vm| is_holder(vm) && has_room(&Source::Peer((*vm).clone()), PER_PEER);
        let before = &self.predecessors[index];
        // A chunk that was first offered recently is still being sent to the predecessors.
        let offered_at = self.slots[index].offered_at;
        let idle = now.since(self.progress_at.max(offered_at.unwrap_or_default()));
        let turn = |place: usize| TURN * u32::try_from(place).unwrap_or(u32::MAX);
        let local = || {
            let holders = self.local.iter().filter(may_be_asked);
            holders.min_by_key(|vm| self.preference(index, vm))
        };
        let remote = || {
            let may_cross = idle >= turn(self.awaited_count(&before.local, unresponsive, now));
            let found = before.remote.iter().chain(&self.remote).find(may_be_asked);
            found.filter(|_| may_cross)
        };
        let origin = || {
            let place = self.awaited_count(&before.local, unresponsive, now)
                + self.awaited_count(&before.remote, unresponsive, now);
            let wait = turn(place) * self.origin_failures.clamp(1, MAX_WAIT_FACTOR);
            let has_waited = self.origin_failures == 0 || now.since(self.origin_failed_at) >= wait;
            let is_first = before.local.is_empty() && before.remote.is_empty();
            let are_offers_in = match now.since(self.started_at) {
                _ if self.is_fresh && is_first => true,
                waited if waited >= FIRST_ANSWER => true,
                waited => waited >= OFFER_WAIT && self.have_locals_answered(),
            };
            // A holder that sends this agent another chunk is free soon.
            let is_offered = self
                .local
                .iter()
                .chain(&before.remote)
                .any(|vm| is_holder(&vm));
            let is_due = are_offers_in && idle >= turn(place) && has_waited && !is_offered;
            (is_due && has_room(&Source::Origin, PER_ORIGIN)).then_some(Source::Origin)
        };
        let peer = local().or_else(remote);
        peer.map(|vm| Source::Peer(vm.clone())).or_else(origin)
    }

    /// The sort key by which a chunk's holder is chosen, the smallest first: the holder that has
    /// sent the least to this agent, with ties broken differently by each agent. If all agents
    /// asked the owner, it alone would send a new chunk to everybody while the other holders were
    /// idle.
    fn preference(&self, index: usize, vm: &name::Vm) -> (usize, u64) {
        let received = self.received.get(vm).copied().unwrap_or_default();
        let own = mix(self.keys[index], text_key(self.me.vm.as_str()));
        (received, mix(own, text_key(vm.as_str())))
    }

    /// Whether each agent of the region has answered a query or failed to. An agent that has just
    /// started may not know any other one yet.
    fn have_locals_answered(&self) -> bool {
        let has_answered = |vm: &name::Vm| {
            let query = self.queries.get(vm);
            query.is_some_and(|query| query.answered_at.is_some() || query.has_failed)
        };
        !self.local.is_empty() && self.local.iter().all(has_answered)
    }

    /// How many of the given agents answer queries, or may still answer their first one. Only these
    /// are waited for.
    fn awaited_count(
        &self,
        vms: &[name::Vm],
        unresponsive: &BTreeSet<name::Vm>,
        now: Instant,
    ) -> usize {
        let is_early = now.since(self.started_at) < FIRST_ANSWER;
        let has_failed = |vm: &name::Vm| self.queries.get(vm).is_some_and(|it| it.has_failed);
        let is_awaited = |vm: &&name::Vm| {
            let answers = self.offers.contains_key(*vm);
            (answers || (is_early && !has_failed(vm))) && !unresponsive.contains(*vm)
        };
        vms.iter().filter(is_awaited).count()
    }

    /// The agents with a query unanswered for [`RESPONSE_TIMEOUT`] while most of the other agents
    /// answered theirs.
    fn unresponsive(&self, now: Instant) -> BTreeSet<name::Vm> {
        let open = self.queries.iter().filter_map(|(vm, query)| {
            let since = query.open_since?;
            (now.since(since) >= RESPONSE_TIMEOUT).then_some((vm, since))
        });
        let did_most_answer = |since: Instant| {
            let answered = |query: &&Query| query.answered_at.is_some_and(|at| at > since);
            let answered = self.queries.values().filter(answered).count();
            // Subtract the unresponsive agent itself.
            answered > self.queries.len() - 1 - answered
        };
        open.filter(|(_, since)| did_most_answer(*since))
            .map(|(vm, _)| vm.clone())
            .collect()
    }

    /// The agents that come before this agent for a chunk: those of its region that precede it in
    /// the ring, and the owners in the regions that precede its own. The agent that fetches the
    /// chunk from the origin has no predecessors.
    fn predecessors_of(&self, index: usize, rings: &Rings<'_>) -> Predecessors {
        let local = rings.of(index, &self.me.region);
        let place = local.iter().position(|vm| **vm == self.me.vm).unwrap_or(0);
        let local = local.into_iter().take(place.min(MAX_LOCAL)).cloned();
        let remote = rings.owners_before(index, &self.me.region);
        Predecessors {
            local: local.collect(),
            remote: remote.into_iter().cloned().collect(),
        }
    }
}
