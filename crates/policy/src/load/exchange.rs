//! Who sends which load report to whom and when, and which received reports are accepted.
//!
//! It handles a fan-out that must not grow with the fleet: an agent reports to at most
//! [`AGENT_FANOUT`] entries of its zone, an entry to at most [`ENTRY_FANOUT`] others of its zone,
//! and [`ZONE_SENDERS`] entries of a zone to as many of each other zone. All of them choose by
//! rendezvous hash over the VMs that the feed lists, so no agreement is needed. Processes whose
//! views differ for a while may choose different partners, which costs reports but counts nothing
//! twice. See `docs/design/load-reports.md`.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    net::SocketAddr,
    time::Duration,
};

use derive_more::{Display, Error};
use domain::{
    clock::Instant,
    load::{Content, Demand, Engine, Priority, Report},
    name,
    vm::{Announcement, Upstream},
};

use crate::{
    load::{self, Table},
    owner::{Member, mix, text_key},
    view::View,
};

/// The number of entries of its zone to which an agent reports.
pub const AGENT_FANOUT: usize = 8;
/// The number of other entries of its zone to which an entry reports.
pub const ENTRY_FANOUT: usize = 12;
/// The number of entries of a zone that send the zone's sum to another zone, and of those that
/// receive it there.
pub const ZONE_SENDERS: usize = 2;
/// The time between two reports of an engine. It is longer where an entry would receive more than
/// [`MAX_ENGINE_REPORTS_PER_S`].
pub const ENGINE_PERIOD: Duration = Duration::from_millis(100);
/// The longest time between two reports of an engine. Within [`load::MAX_AGE`] one may be lost.
pub const MAX_ENGINE_PERIOD: Duration = Duration::from_millis(400);
/// The time between two reports of an entry's demand.
pub const ENTRY_PERIOD: Duration = Duration::from_millis(200);
/// The time between two reports of a zone's sum.
pub const ZONE_PERIOD: Duration = Duration::from_millis(500);
/// The shortest time between two forwarded sums of one zone. Two entries send each sum, and one of
/// them per period is enough.
const FORWARD_GAP: Duration = Duration::from_millis(400);
/// Reports of engines that an entry receives in a second.
pub const MAX_ENGINE_REPORTS_PER_S: u32 = 150;

/// The size of a datagram, in bytes. Larger ones may be fragmented on the way.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;
/// Upper bound for the parts of the demand in one report. More don't fit into a datagram, however
/// short the names are.
pub const MAX_PARTS: usize = 48;
/// The size of a part of the demand in a datagram, without the name of its service, in bytes.
const PART_BYTES: usize = 23;
/// The room for the parts of the demand in a datagram, in bytes. The names of the sender and its
/// zone take the rest, at their greatest length.
const PARTS_BYTES: usize = 900;
/// Upper bound for the requests at one engine.
const MAX_REQUESTS: u32 = 10_000;
/// Upper bound for the pace, in percent.
const MAX_PACE_PERCENT: u32 = 10_000;
/// Upper bound for the occupied context memory, in percent.
const MAX_MEMORY_PERCENT: u32 = 100;
/// Upper bound for the time until an engine switches version, in milliseconds.
const MAX_MOVE_MS: u32 = 3_600_000;
/// Upper bound for the work of one part of the demand, in engine milliseconds per second: that of
/// ten times the largest planned fleet.
const MAX_WORK_MS: u32 = 42_000_000;
/// Upper bound for the waiting requests of one part of the demand.
const MAX_WAITING: u32 = 1_000_000;

/// What a process reports.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Role {
    /// An agent reports its engine, if the engine's service is shared.
    Agent(name::Service),
    /// An entry reports its demand, and may report that of its zone.
    Entry,
}

/// A report with its receivers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outgoing {
    /// The report.
    pub report: Report,
    /// The addresses to which it goes.
    pub receivers: Vec<SocketAddr>,
}

/// Why a received report was dropped.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum Refusal {
    /// The datagram is larger than [`MAX_DATAGRAM_BYTES`].
    #[display("oversized")]
    Oversized,
    /// The datagram holds no report.
    #[display("malformed")]
    Malformed,
    /// No service is shared, or this process takes no reports.
    #[display("not_shared")]
    NotShared,
    /// The report is this process's own.
    #[display("own")]
    Own,
    /// The feed doesn't list the sender.
    #[display("unknown_sender")]
    UnknownSender,
    /// The sender is in another zone than it says, or reports to the wrong zone.
    #[display("wrong_zone")]
    WrongZone,
    /// Processes of the sender's kind don't send such reports.
    #[display("wrong_kind")]
    WrongKind,
    /// The feed doesn't list the engine's address for the sender.
    #[display("unknown_address")]
    UnknownAddress,
    /// A figure is above its bound, or a part of the demand occurs twice.
    #[display("out_of_bounds")]
    OutOfBounds,
    /// A newer report of the sender, or the same one, is known.
    #[display("outdated")]
    Outdated,
}

/// The partners of a process, which follow from the view.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Partners {
    /// The services that are shared.
    shared: BTreeSet<name::Service>,
    /// The entries of the own zone to which the own report goes.
    zone: Vec<SocketAddr>,
    /// The other entries of the own zone, to which sums of other zones are forwarded.
    others: Vec<SocketAddr>,
    /// The entries of other zones to which the sum of the own zone goes.
    remote: Vec<SocketAddr>,
    /// The zones whose sums this entry forwards.
    forwards: BTreeSet<name::AvailabilityZone>,
    /// The time between two reports of an engine.
    engine_period: Duration,
}

/// The exchange of load reports of one process.
#[derive(Debug)]
pub struct Exchange {
    role: Role,
    vm: name::Vm,
    zone: name::AvailabilityZone,
    incarnation: u64,
    sequence: u64,
    partners: Partners,
    /// When the next report of the engine or of the demand is due.
    due_at: Instant,
    /// When the next sum of the zone is due.
    zone_due_at: Instant,
    /// When the newest sum of each other zone was forwarded.
    forwarded: HashMap<name::AvailabilityZone, Instant>,
}

impl Exchange {
    /// Creates the exchange of a process that knows no other one. `incarnation` is the time of its
    /// start, in milliseconds since the Unix epoch.
    pub fn new(role: Role, me: Member, incarnation: u64) -> Self {
        Self {
            role,
            vm: me.vm,
            zone: me.zone,
            incarnation,
            sequence: 0,
            partners: Partners::default(),
            due_at: Instant::ZERO,
            zone_due_at: Instant::ZERO,
            forwarded: HashMap::new(),
        }
    }

    /// Chooses the partners from a new view.
    pub fn observe(&mut self, view: &View) {
        let services = view.services.keys();
        let shared: BTreeSet<_> = services
            .filter(|service| load::is_shared(view, service))
            .cloned()
            .collect();
        self.partners = match (&self.role, shared.is_empty()) {
            (_, true) => Partners::default(),
            (Role::Agent(service), false) if !shared.contains(service) => Partners::default(),
            (Role::Agent(_), false) => self.agent_partners(view, shared),
            (Role::Entry, false) => self.entry_partners(view, shared),
        };
        let forwards = &self.partners.forwards;
        self.forwarded.retain(|zone, _| forwards.contains(zone));
    }

    /// Whether reports are sent and accepted.
    pub fn is_active(&self) -> bool {
        !self.partners.shared.is_empty()
    }

    /// Returns the report of an agent's engine if it is due.
    pub fn report_engine(&mut self, engine: Engine, now: Instant) -> Option<Outgoing> {
        let is_due = self.is_active() && now >= self.due_at;
        if !is_due {
            return None;
        }
        self.due_at = next(self.due_at, self.partners.engine_period, now);
        let receivers = self.partners.zone.clone();
        Some(self.send(Content::Engine(engine), receivers))
    }

    /// Whether the report of an entry's demand or of its zone's sum is due.
    pub fn is_due(&self, now: Instant) -> bool {
        self.is_active() && (now >= self.due_at || now >= self.zone_due_at)
    }

    /// Returns the reports of an entry that are due. `own` is the demand of its callers, and
    /// `table` holds what the others report.
    pub fn report_demand(&mut self, own: &[Demand], table: &Table, now: Instant) -> Vec<Outgoing> {
        let mut reports = Vec::new();
        if !self.is_active() {
            return reports;
        }
        let shared = &self.partners.shared;
        let own: Vec<_> = own
            .iter()
            .filter(|part| shared.contains(&part.service))
            .cloned()
            .collect();
        if now >= self.due_at {
            self.due_at = next(self.due_at, ENTRY_PERIOD, now);
            let receivers = self.partners.zone.clone();
            reports.push(self.send(Content::Entry(bounded(own.clone())), receivers));
        }
        if now >= self.zone_due_at {
            self.zone_due_at = next(self.zone_due_at, ZONE_PERIOD, now);
            let sum = self.zone_sum(&own, table, now);
            let receivers = self.partners.remote.clone();
            reports.push(self.send(Content::Zone(bounded(sum)), receivers));
        }
        reports.retain(|outgoing| !outgoing.receivers.is_empty());
        reports
    }

    /// Checks a received report against the view.
    ///
    /// # Errors
    ///
    /// [`Refusal`] if the report must not be used.
    pub fn check(&self, view: &View, report: &Report) -> Result<(), Refusal> {
        if self.role != Role::Entry || !self.is_active() {
            return Err(Refusal::NotShared);
        }
        if report.sender == self.vm {
            return Err(Refusal::Own);
        }
        let Some(vm) = view.vms.get(&report.sender) else {
            return Err(Refusal::UnknownSender);
        };
        let sender = &vm.announcement;
        let is_local = report.zone == self.zone;
        match (&report.content, &sender.upstream) {
            _ if report.zone != sender.zone => Err(Refusal::WrongZone),
            (Content::Engine(_) | Content::Entry(_), _) if !is_local => Err(Refusal::WrongZone),
            (Content::Zone(_), _) if is_local => Err(Refusal::WrongZone),
            (Content::Engine(engine), Upstream::Engine { .. }) => check_engine(engine, sender),
            (Content::Entry(demand) | Content::Zone(demand), Upstream::Entry) => {
                check_demand(demand)
            }
            _ => Err(Refusal::WrongKind),
        }
    }

    /// Returns the report with its receivers if it is the sum of another zone that this entry
    /// forwards. It must be called once for each accepted report: [`Table::observe`] accepts each
    /// number once, which ends a loop between entries with different views.
    pub fn forward(&mut self, report: &Report, now: Instant) -> Option<Outgoing> {
        let is_mine = matches!(report.content, Content::Zone(_))
            && self.partners.forwards.contains(&report.zone);
        let last = self.forwarded.get(&report.zone);
        let is_early = last.is_some_and(|at| now.since(*at) < FORWARD_GAP);
        if !is_mine || is_early {
            return None;
        }
        self.forwarded.insert(report.zone.clone(), now);
        Some(Outgoing {
            report: report.clone(),
            receivers: self.partners.others.clone(),
        })
    }

    fn send(&mut self, content: Content, receivers: Vec<SocketAddr>) -> Outgoing {
        self.sequence += 1;
        Outgoing {
            report: Report {
                sender: self.vm.clone(),
                zone: self.zone.clone(),
                incarnation: self.incarnation,
                sequence: self.sequence,
                content,
            },
            receivers,
        }
    }

    /// The demand at all entries of the zone.
    fn zone_sum(&self, own: &[Demand], table: &Table, now: Instant) -> Vec<Demand> {
        let mut sum = Vec::new();
        for service in &self.partners.shared {
            let mut parts = table.demand_in_zone(service, now);
            load::add(&mut parts, own.iter().cloned(), service);
            sum.extend(parts.into_values());
        }
        sum
    }

    fn agent_partners(&self, view: &View, shared: BTreeSet<name::Service>) -> Partners {
        let key = text_key(self.vm.as_str());
        let entries = entries(view, |who| who.zone == self.zone);
        let agents = announcements(view)
            .filter(|who| is_engine(&who.upstream) && who.zone == self.zone)
            .count();
        let receivers = entries.len().min(AGENT_FANOUT);
        // The mean number of reports that an entry receives if each agent sends one.
        let round = agents * receivers / entries.len().max(1);
        let micros = round as u64 * 1_000_000 / u64::from(MAX_ENGINE_REPORTS_PER_S);
        let period = Duration::from_micros(micros).clamp(ENGINE_PERIOD, MAX_ENGINE_PERIOD);
        Partners {
            shared,
            zone: highest(entries, |vm| mix(key, vm), AGENT_FANOUT),
            engine_period: period,
            ..Partners::default()
        }
    }

    fn entry_partners(&self, view: &View, shared: BTreeSet<name::Service>) -> Partners {
        let mut zones = BTreeMap::<_, Vec<_>>::new();
        for entry in entries(view, |who| who.vm != self.vm) {
            zones.entry(entry.zone.clone()).or_default().push(entry);
        }
        let others = zones.remove(&self.zone).unwrap_or_default();
        let key = text_key(self.vm.as_str());
        let mut partners = Partners {
            shared,
            others: others.iter().map(|entry| entry.address).collect(),
            ..Partners::default()
        };
        for (zone, entries) in zones {
            let pair = pair(text_key(self.zone.as_str()), text_key(zone.as_str()));
            let mine = mix(pair, key);
            let above = others.iter().filter(|other| mix(pair, other.key) > mine);
            if above.count() < ZONE_SENDERS {
                let senders = highest(entries, |vm| mix(pair, vm), ZONE_SENDERS);
                partners.remote.extend(senders);
                partners.forwards.insert(zone);
            }
        }
        partners.zone = highest(others, |vm| pair(key, vm), ENTRY_FANOUT);
        partners
    }
}

/// An entry that the feed lists.
struct Entry {
    key: u64,
    zone: name::AvailabilityZone,
    address: SocketAddr,
}

fn announcements(view: &View) -> impl Iterator<Item = &Announcement> {
    view.vms.values().map(|vm| &vm.announcement)
}

fn is_engine(upstream: &Upstream) -> bool {
    matches!(upstream, Upstream::Engine { .. })
}

fn entries(view: &View, is_wanted: impl Fn(&Announcement) -> bool) -> Vec<Entry> {
    announcements(view)
        .filter(|who| who.upstream == Upstream::Entry && is_wanted(who))
        .map(|who| Entry {
            key: text_key(who.vm.as_str()),
            zone: who.zone.clone(),
            address: who.chunk_addr,
        })
        .collect()
}

/// The addresses of the entries with the highest weights.
fn highest(mut entries: Vec<Entry>, weight: impl Fn(u64) -> u64, count: usize) -> Vec<SocketAddr> {
    entries.sort_by_key(|entry| (std::cmp::Reverse(weight(entry.key)), entry.address));
    entries.truncate(count);
    entries.into_iter().map(|entry| entry.address).collect()
}

/// The key of an unordered pair.
fn pair(a: u64, b: u64) -> u64 {
    mix(a.min(b), a.max(b))
}

/// The next due time. A process that was late doesn't send the missed reports.
fn next(due_at: Instant, period: Duration, now: Instant) -> Instant {
    let next = due_at + period;
    match next > now {
        true => next,
        false => now + period,
    }
}

/// The parts with the most work, as many as fit into one datagram, without figures above their
/// bounds.
pub fn bounded(mut demand: Vec<Demand>) -> Vec<Demand> {
    demand.sort_by_key(|part| std::cmp::Reverse(part.offered_ms));
    let mut bytes = 0;
    let fitting = demand.into_iter().take_while(|part| {
        bytes += PART_BYTES + part.service.as_str().len();
        bytes <= PARTS_BYTES
    });
    fitting
        .map(|part| Demand {
            offered_ms: part.offered_ms.min(MAX_WORK_MS),
            admitted_ms: part.admitted_ms.min(MAX_WORK_MS),
            waiting: part.waiting.min(MAX_WAITING),
            ..part
        })
        .collect()
}

fn check_engine(engine: &Engine, sender: &Announcement) -> Result<(), Refusal> {
    let is_bounded = engine.active <= MAX_REQUESTS
        && engine.queued <= MAX_REQUESTS
        && (1..=MAX_PACE_PERCENT).contains(&engine.pace_percent)
        && engine.memory_percent <= MAX_MEMORY_PERCENT
        && engine.moves_in_ms.is_none_or(|left| left <= MAX_MOVE_MS);
    match is_bounded {
        _ if engine.address != sender.call_addr => Err(Refusal::UnknownAddress),
        true => Ok(()),
        false => Err(Refusal::OutOfBounds),
    }
}

fn check_demand(demand: &[Demand]) -> Result<(), Refusal> {
    let mut seen = BTreeSet::<(&name::Service, Priority)>::new();
    let is_bounded = demand.len() <= MAX_PARTS
        && demand.iter().all(|part| {
            part.offered_ms <= MAX_WORK_MS
                && part.admitted_ms <= MAX_WORK_MS
                && part.waiting <= MAX_WAITING
                && part.service.as_str().len() <= name::MAX_BYTES
                && seen.insert((&part.service, part.priority))
        });
    match is_bounded {
        true => Ok(()),
        false => Err(Refusal::OutOfBounds),
    }
}

/// Puts an engine's figures into a report. Figures above their bounds are cut, so that a report
/// isn't lost because of one of them.
pub fn engine(
    address: SocketAddr,
    (active, queued): (u32, u32),
    pace: f64,
    (memory_used, memory_total): (u64, u64),
    moves_in: Option<Duration>,
) -> Engine {
    let pace_percent = match pace.is_finite() && pace > 0.0 {
        true => (pace * 100.0).round() as u32,
        false => 100,
    };
    let used = memory_used.saturating_mul(100) / memory_total.max(1);
    let moves_in_ms = moves_in.map(|left| {
        let millis = u32::try_from(left.as_millis()).unwrap_or(MAX_MOVE_MS);
        millis.min(MAX_MOVE_MS)
    });
    Engine {
        address,
        active: active.min(MAX_REQUESTS),
        queued: queued.min(MAX_REQUESTS),
        pace_percent: pace_percent.clamp(1, MAX_PACE_PERCENT),
        memory_percent: u32::try_from(used)
            .unwrap_or(MAX_MEMORY_PERCENT)
            .min(MAX_MEMORY_PERCENT),
        moves_in_ms,
    }
}
