//! Where an agent gets each chunk of a version from, when every agent of a region shares the work.
//!
//! For each chunk the agents of a region stand in an order. The first one brings the chunk into the
//! region and sends it to all others there; over all regions one of them draws it from the
//! origin. So the origin sends one copy, each pair of regions carries a part of one, and every
//! agent receives one copy and sends about one, however many there are. This answers the load of
//! one version that all engines must have at once; see `docs/DECISIONS.md`, "Spread".

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use domain::{clock::Instant, digest::Digest, name};

use crate::owner::{Member, key_of, mix, text_key};

/// How many agents of the region come before an agent, at most, before it brings a chunk in itself.
const MAX_LOCAL: usize = 3;
/// Fetches from the origin at once. Chunks that come one after the other can be passed on while the
/// next one comes.
const PER_ORIGIN: usize = 1;
/// Fetches from one agent at once. More of them wait there behind each other.
const PER_PEER: usize = 1;
/// How many fetches run at first, and at most. What is on its way delays live requests.
const WINDOW: (usize, usize) = (4, 6);
/// How many run while other agents need the chunks sooner. With one, agents would get too little
/// to pass on; with three, they would leave less to those whose turn is first.
const UNHURRIED_WINDOW: usize = 2;
/// A fetch that takes longer fills the link: fewer run then.
const SLOW_FETCH: Duration = Duration::from_millis(500);
/// A fetch that takes less leaves room for more.
const FAST_FETCH: Duration = Duration::from_millis(250);
/// How long other agents get to tell what they hold before the origin is asked.
const FIRST_OFFERS: Duration = Duration::from_millis(150);
/// How long each agent that comes before waits without progress for the one before it.
const TURN: Duration = Duration::from_millis(1_000);
/// The pause before a chunk that could not be kept is looked for again.
const ROUND_PAUSE: Duration = Duration::from_millis(150);
/// A source that failed is left alone for so long.
const AVOIDANCE: Duration = Duration::from_secs(2);
/// The origin is the only source of what nobody holds, and costs little to ask again.
const ORIGIN_AVOIDANCE: Duration = Duration::from_millis(400);
/// By how much longer an agent that is not the first in turn waits after each of its own draws that
/// failed, at most: the first one fails for the same reason, and after an outage all would draw.
const MAX_PATIENCE: u32 = 4;
/// Without progress for so long, every agent is asked what it holds.
const STUCK: Duration = Duration::from_secs(2);

/// An agent that leaves a question about its holdings unanswered for so long stands still, if most
/// of the others answered meanwhile: an answer without news comes after 400 ms. Where the own link
/// is narrow nobody answers in time, and nobody is passed over.
const STANDSTILL: Duration = Duration::from_millis(650);

/// Where a chunk comes from.
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
    /// Its place in the version.
    pub index: usize,
    /// From where.
    pub source: Source,
}

/// Why a fetch ended without the chunk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Miss {
    /// The source asks to come back later.
    Busy(Duration),
    /// The source does not hold it after all.
    NotHeld,
    /// The source failed or sent something else.
    Fault,
}

#[derive(Debug, Default)]
struct Slot {
    is_held: bool,
    running: Option<Running>,
    not_before: Instant,
    /// When another agent first offered it.
    offered_at: Option<Instant>,
}

impl Slot {
    /// Whether a fetch may begin.
    fn is_open(&self, now: Instant) -> bool {
        !self.is_held && self.running.is_none() && self.not_before <= now
    }
}

#[derive(Clone, Debug)]
struct Running {
    source: Source,
    since: Instant,
}

/// The questions to one agent about its holdings.
#[derive(Debug, Default)]
struct Question {
    /// Since when one is without an answer.
    open_since: Option<Instant>,
    /// When the last one was answered.
    answered_at: Option<Instant>,
}

/// Who has a chunk before an agent.
#[derive(Clone, Debug, Default)]
struct Before {
    /// Agents of the region.
    local: Vec<name::Vm>,
    /// Owners in other regions.
    remote: Vec<name::Vm>,
}

/// The fetching of one version.
#[derive(Debug)]
pub struct Spread {
    me: Member,
    keys: Vec<u64>,
    slots: Vec<Slot>,
    members: Vec<Member>,
    /// Who has each chunk before this agent, by the members as they are.
    before: Vec<Before>,
    /// The other agents of the region, and those of other regions.
    near: Vec<name::Vm>,
    far: Vec<name::Vm>,
    /// The chunks in the order in which they are wanted, by the members as they are.
    order: Vec<usize>,
    /// What other agents hold.
    offers: BTreeMap<name::Vm, BTreeSet<usize>>,
    /// How the questions about their holdings stand.
    questions: BTreeMap<name::Vm, Question>,
    avoided: BTreeMap<Source, Instant>,
    /// How many chunks came from each agent.
    received: BTreeMap<name::Vm, usize>,
    /// Whether it was named just now, so that no agent can hold it that did not draw it.
    is_fresh: bool,
    begun_at: Instant,
    progress_at: Instant,
    /// When the last draw from the origin failed, and how many did since one succeeded.
    draw_failed_at: Instant,
    failed_draws: u32,
    window: usize,
    /// Until when the links are left to agents whose engines move first.
    unhurried_until: Instant,
}

impl Spread {
    /// The fetching, from now on, of a version whose chunks have the given digests.
    pub fn new(me: Member, digests: &[Digest], now: Instant) -> Self {
        let mut spread = Self {
            members: vec![me.clone()],
            me,
            keys: digests.iter().map(key_of).collect(),
            slots: digests.iter().map(|_| Slot::default()).collect(),
            before: Vec::new(),
            near: Vec::new(),
            far: Vec::new(),
            order: Vec::new(),
            offers: BTreeMap::new(),
            questions: BTreeMap::new(),
            avoided: BTreeMap::new(),
            received: BTreeMap::new(),
            is_fresh: false,
            begun_at: now,
            progress_at: now,
            draw_failed_at: now,
            failed_draws: 0,
            window: WINDOW.0,
            unhurried_until: Instant::ZERO,
        };
        spread.arrange();
        spread
    }

    /// The same for a version that was named just now. No other agent holds it yet, so that those
    /// whose turn is first need not hear the others before they ask the origin.
    #[must_use]
    pub fn with_fresh_version(mut self) -> Self {
        self.is_fresh = true;
        self
    }

    /// The same where the engine needs the version a while after others do: until then the links
    /// are left to their agents.
    #[must_use]
    pub fn with_reduced_window(mut self, until: Instant) -> Self {
        self.unhurried_until = until;
        self
    }

    /// The agents whose holdings matter now.
    pub fn watched(&self, now: Instant) -> BTreeSet<name::Vm> {
        let still = self.standing_still(now);
        let own = self
            .before
            .iter()
            .filter(|before| self.answering(&before.local, &still) == 0);
        let owners = own.flat_map(|before| &before.remote);
        let is_stuck = now.since(self.progress_at) >= STUCK;
        let far = self.far.iter().filter(|_| is_stuck);
        self.near.iter().chain(owners).chain(far).cloned().collect()
    }

    /// Another agent is asked what it holds.
    pub fn record_query(&mut self, vm: &name::Vm, now: Instant) {
        let question = self.questions.entry(vm.clone()).or_default();
        question.open_since = Some(now);
    }

    /// Sets what another agent holds, or that it is not known.
    pub fn set_offer(&mut self, vm: &name::Vm, held: Option<BTreeSet<usize>>, now: Instant) {
        let question = self.questions.entry(vm.clone()).or_default();
        question.open_since = None;
        question.answered_at = held.is_some().then_some(now).or(question.answered_at);
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

    /// Another agent is asked no more, so that an open question says nothing about it.
    pub fn unwatch(&mut self, vm: &name::Vm) {
        self.questions.remove(vm);
    }

    /// Whether a fetch brings a chunk into the region, so that others wait for it.
    pub fn is_urgent(&self, fetch: &Fetch) -> bool {
        matches!(&fetch.source, Source::Peer(vm) if !self.near.contains(vm))
    }

    /// Sets the agents that take part. The agent itself always does.
    pub fn set_members(&mut self, members: impl IntoIterator<Item = Member>) {
        let me = &self.me;
        let others = members.into_iter().filter(|other| other.vm != me.vm);
        let members: Vec<_> = others.chain([me.clone()]).collect();
        if members != self.members {
            let is_known = |vm: &name::Vm| members.iter().any(|member| member.vm == *vm);
            self.questions.retain(|vm, _| is_known(vm));
            self.members = members;
            self.arrange();
        }
    }

    fn arrange(&mut self) {
        let ranks = Ranks::new(&self.members, &self.keys);
        let chunks = 0..self.keys.len();
        let before: Vec<_> = chunks
            .clone()
            .map(|index| self.before(index, &ranks))
            .collect();
        let others = self.members.iter().filter(|other| other.vm != self.me.vm);
        let (near, far): (Vec<_>, Vec<_>) =
            others.partition(|other| other.region == self.me.region);
        let names = |members: Vec<&Member>| members.into_iter().map(|m| m.vm.clone()).collect();
        let (near, far) = (names(near), names(far));
        let count = self.keys.len().max(1);
        let offset = (text_key(self.me.vm.as_str()) % count as u64) as usize;
        // Own chunks first, because others wait for them; the rest from a place of one's own on,
        // so that agents don't all ask for the same one at once.
        let is_own = |index: &usize| before[*index].local.is_empty();
        let own: Vec<usize> = chunks.clone().filter(is_own).collect();
        let turned = chunks.map(|step| (offset + step) % count);
        let others = turned.filter(|index| !is_own(index));
        self.order = own.iter().copied().chain(others).collect();
        (self.before, self.near, self.far) = (before, near, far);
    }

    /// Whether every chunk is held.
    pub fn is_complete(&self) -> bool {
        self.slots.iter().all(|slot| slot.is_held)
    }

    /// How many chunks are held.
    pub fn held_count(&self) -> usize {
        self.slots.iter().filter(|slot| slot.is_held).count()
    }

    /// A chunk is verified.
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
            Source::Origin => self.failed_draws = 0,
            Source::Peer(vm) => *self.received.entry(vm).or_default() += 1,
        }
        let took = now.since(running.since);
        match took {
            took if took > SLOW_FETCH => self.window = (self.window - 1).max(1),
            took if took < FAST_FETCH => self.window = (self.window + 1).min(WINDOW.1),
            _ => {}
        }
    }

    /// A chunk turned out to be spoilt after all, or could not be staged.
    pub fn mark_missing(&mut self, index: usize, now: Instant) {
        if let Some(slot) = self.slots.get_mut(index) {
            *slot = Slot {
                not_before: now + ROUND_PAUSE,
                ..Slot::default()
            };
        }
    }

    /// A fetch ended without the chunk.
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
                        self.draw_failed_at = now;
                        self.failed_draws += 1;
                        ORIGIN_AVOIDANCE
                    }
                    Source::Peer(_) => AVOIDANCE,
                };
                self.avoided.insert(source, now + span);
                slot.not_before = now + ROUND_PAUSE;
            }
        }
    }

    /// The fetches that should begin now; they count as running from here on.
    pub fn poll(&mut self, now: Instant) -> Vec<Fetch> {
        let still = self.standing_still(now);
        let mut running = BTreeMap::<Source, usize>::new();
        for running_now in self.slots.iter().filter_map(|slot| slot.running.as_ref()) {
            *running.entry(running_now.source.clone()).or_default() += 1;
        }
        let mut total: usize = running.values().sum();
        let window = match now < self.unhurried_until {
            true => self.window.min(UNHURRIED_WINDOW),
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
            let Some(source) = self.source(index, &running, &still, now) else {
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

    /// Whom to ask for a chunk now: an agent of the region that holds it. Another region and the
    /// origin are asked by the agents whose part that is, and by others one after the other while
    /// nothing comes.
    fn source(
        &self,
        index: usize,
        running: &BTreeMap<Source, usize>,
        still: &BTreeSet<name::Vm>,
        now: Instant,
    ) -> Option<Source> {
        let has_room = |source: &Source, limit: usize| {
            let is_avoided = self.avoided.get(source).is_some_and(|until| *until > now);
            !is_avoided && running.get(source).is_none_or(|count| *count < limit)
        };
        let may_be_asked = |vm: &&name::Vm| {
            let offer = self.offers.get(*vm);
            offer.is_some_and(|held| held.contains(&index))
                && !still.contains(*vm)
                && has_room(&Source::Peer((*vm).clone()), PER_PEER)
        };
        let before = &self.before[index];
        // What was offered only now is on its way to those whose turn comes first.
        let offered_at = self.slots[index].offered_at;
        let idle = now.since(self.progress_at.max(offered_at.unwrap_or_default()));
        let turn = |place: usize| TURN * u32::try_from(place).unwrap_or(u32::MAX);
        let local = || {
            let holders = self.near.iter().filter(may_be_asked);
            holders.min_by_key(|vm| self.preference(index, vm))
        };
        let remote = || {
            let may_cross = idle >= turn(self.answering(&before.local, still));
            let found = before.remote.iter().chain(&self.far).find(may_be_asked);
            found.filter(|_| may_cross)
        };
        let origin = || {
            let place =
                self.answering(&before.local, still) + self.answering(&before.remote, still);
            let patience = turn(place) * self.failed_draws.clamp(1, MAX_PATIENCE);
            let has_waited = self.failed_draws == 0 || now.since(self.draw_failed_at) >= patience;
            let is_first = before.local.is_empty() && before.remote.is_empty();
            let is_told = now.since(self.begun_at) >= FIRST_OFFERS || (self.is_fresh && is_first);
            let is_due = is_told && idle >= turn(place) && has_waited;
            (is_due && has_room(&Source::Origin, PER_ORIGIN)).then_some(Source::Origin)
        };
        let peer = local().or_else(remote);
        peer.map(|vm| Source::Peer(vm.clone())).or_else(origin)
    }

    /// Which of a chunk's holders is asked first: the one that sent least to this agent, and among
    /// equals each agent prefers others. Were all to ask the owner, it alone would send a new chunk
    /// to everybody, while those that hold it already have nothing to send.
    fn preference(&self, index: usize, vm: &name::Vm) -> (usize, u64) {
        let received = self.received.get(vm).copied().unwrap_or_default();
        let own = mix(self.keys[index], text_key(self.me.vm.as_str()));
        (received, mix(own, text_key(vm.as_str())))
    }

    /// How many of the agents answer. Nobody waits for the others.
    fn answering(&self, vms: &[name::Vm], still: &BTreeSet<name::Vm>) -> usize {
        vms.iter()
            .filter(|vm| self.offers.contains_key(*vm) && !still.contains(*vm))
            .count()
    }

    /// The agents that leave a question open while most of the others answer theirs.
    fn standing_still(&self, now: Instant) -> BTreeSet<name::Vm> {
        let open = self.questions.iter().filter_map(|(vm, question)| {
            let since = question.open_since?;
            (now.since(since) >= STANDSTILL).then_some((vm, since))
        });
        let is_alone = |since: Instant| {
            let answered = |question: &&Question| question.answered_at.is_some_and(|at| at > since);
            let answered = self.questions.values().filter(answered).count();
            // The silent agent itself is not among the others.
            answered > self.questions.len() - 1 - answered
        };
        open.filter(|(_, since)| is_alone(*since))
            .map(|(vm, _)| vm.clone())
            .collect()
    }

    /// Who has a chunk before this agent: agents of the region that come before it, and the owners
    /// in regions that come before its own. Nobody comes before the one that draws the chunk from
    /// the origin.
    fn before(&self, index: usize, ranks: &Ranks<'_>) -> Before {
        let local = ranks.of(index, &self.me.region);
        let place = local.iter().position(|vm| **vm == self.me.vm).unwrap_or(0);
        let local = local.into_iter().take(place.min(MAX_LOCAL)).cloned();
        let remote = ranks.owners_before(index, &self.me.region);
        Before {
            local: local.collect(),
            remote: remote.into_iter().cloned().collect(),
        }
    }
}

/// The agents of each region in a ring. Chunks go round it, so that each agent owns as many as the
/// others: the one that owns most decides when the last chunk comes.
struct Ranks<'a> {
    regions: BTreeMap<&'a name::Region, Vec<&'a name::Vm>>,
    chunks: usize,
}

impl<'a> Ranks<'a> {
    fn new(members: &'a [Member], keys: &[u64]) -> Self {
        // Another version has another ring, so that no agent always comes first.
        let seed = keys.first().copied().unwrap_or_default();
        let mut regions = BTreeMap::<_, Vec<_>>::new();
        for member in members {
            regions.entry(&member.region).or_default().push(&member.vm);
        }
        for ring in regions.values_mut() {
            ring.sort_by_key(|vm| (mix(seed, text_key(vm.as_str())), *vm));
        }
        Self {
            regions,
            chunks: keys.len(),
        }
    }

    /// The agents of a region for a chunk, its owner there first.
    fn of(&self, index: usize, region: &name::Region) -> Vec<&'a name::Vm> {
        let Some(ring) = self.regions.get(region) else {
            return Vec::new();
        };
        let count = self.regions.len();
        let turn = index / count + index % count * self.chunks.div_ceil(count);
        let place = turn % ring.len();
        ring[place..]
            .iter()
            .chain(&ring[..place])
            .copied()
            .collect()
    }

    /// The owners of a chunk in the regions that come before the given one. The first region
    /// draws it from the origin.
    fn owners_before(&self, index: usize, region: &name::Region) -> Vec<&'a name::Vm> {
        let names: Vec<_> = self.regions.keys().copied().collect();
        let first = index % names.len().max(1);
        let order = names[first..].iter().chain(&names[..first]);
        order
            .take_while(|other| **other != region)
            .filter_map(|other| self.of(index, other).into_iter().next())
            .collect()
    }
}
