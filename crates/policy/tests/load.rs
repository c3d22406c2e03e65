//! Load reports: the table of the newest ones, and who sends which to whom.

#![allow(clippy::unwrap_used)]

mod common;

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use common::view;
use domain::{
    clock::Instant,
    load::{Content, Demand, Engine, Priority, Report},
    name,
    record::{Record, Routing},
    routing::{self, Kind, Limits, Route, Service, Share},
    vm::{Announcement, Lifecycle, Status, Upstream, Vm},
};
use policy::{
    load::{
        MAX_AGE, Table,
        exchange::{
            AGENT_FANOUT, ENGINE_PERIOD, ENTRY_FANOUT, ENTRY_PERIOD, Exchange, MAX_ENGINE_PERIOD,
            MAX_PARTS, Outgoing, Refusal, Role, ZONE_PERIOD, ZONE_SENDERS, engine as figures,
        },
        is_shared, shared,
    },
    owner::Member,
    view::View,
};

const START: Instant = Instant::from_millis(60_000);
const INCARNATION: u64 = 1_000;
const SERVICE: &str = "llm";

fn at(millis: u64) -> Instant {
    START + Duration::from_millis(millis)
}

fn service() -> Service {
    Service {
        name: SERVICE.into(),
        max_connections: 300,
        cold: None,
        engine: Some(routing::Engine {
            models: vec!["m".into()],
            slots: 12,
            stride: 7,
            step_us: 7_400,
            sequence_ns: 38_700,
            context_ns: 20_300,
            read_per_s: 31_900,
            read_chunk: 2_048,
            memory_tokens: 1_640_000,
            usual_prompt: 964,
            usual_answer: 119,
            layers: 16,
            chunks: 48,
            chunk_bytes: 49_152,
            load_ms: 300,
        }),
        origin: None,
    }
}

/// The head of a routing with these routes, as control writes it.
fn head(routes: &[Route]) -> Record {
    let table = routing::Table {
        routes: routes.to_vec(),
        services: vec![service()],
        ..Default::default()
    };
    Record::Routing(Routing {
        version: 1,
        limits: Limits::default(),
        has_callers: false,
        shared: shared(&table),
    })
}

fn route(name: &str, priority: u8) -> Route {
    Route {
        name: name.into(),
        host: "h".into(),
        prefix: format!("/{name}").into(),
        kind: Kind::Idempotent,
        timeout_ms: 6_000,
        target_ms: 400,
        pause_ms: Some(400),
        priority,
        attempts: 3,
        is_public: true,
        shares: vec![Share {
            service: SERVICE.into(),
            weight: 1,
        }],
        regions: Vec::new(),
    }
}

/// An entry or an agent. Each has an address of its own.
#[derive(Clone, Debug)]
struct Process {
    name: String,
    zone: String,
    is_entry: bool,
    address: SocketAddr,
}

impl Process {
    fn new(kind: &str, zone: &str, zone_number: usize, n: usize) -> Self {
        let is_entry = kind == "entry";
        let ip = [10, u8::from(is_entry), zone_number as u8, 0];
        Self {
            name: format!("{kind}-{zone}-{n}"),
            zone: zone.to_owned(),
            is_entry,
            address: (ip, 1_000 + n as u16).into(),
        }
    }

    fn record(&self) -> Record {
        let upstream = match self.is_entry {
            true => Upstream::Entry,
            false => Upstream::Engine {
                checks_fencing: false,
            },
        };
        Record::Vm(Box::new(Vm {
            announcement: Announcement {
                vm: self.vm(),
                zone: self.zone.as_str().into(),
                region: self.zone.as_str().into(),
                incarnation: INCARNATION,
                call_addr: self.address,
                chunk_addr: self.address,
                upstream,
            },
            status: Status {
                lifecycle: Lifecycle::Warm,
                holdings: Default::default(),
                fence: Default::default(),
                limit: 0,
            },
        }))
    }

    fn vm(&self) -> name::Vm {
        self.name.as_str().into()
    }

    fn exchange(&self, view: &View) -> Exchange {
        let role = match self.is_entry {
            true => Role::Entry,
            false => Role::Agent(SERVICE.into()),
        };
        let me = Member {
            vm: self.vm(),
            zone: self.zone.as_str().into(),
            region: self.zone.as_str().into(),
        };
        let mut exchange = Exchange::new(role, me, INCARNATION);
        exchange.observe(view);
        exchange
    }

    fn report(&self, sequence: u64, content: Content) -> Report {
        Report {
            sender: self.vm(),
            zone: self.zone.as_str().into(),
            incarnation: INCARNATION,
            sequence,
            content,
        }
    }
}

/// So many entries and agents in each of the zones.
fn processes(zones: usize, entries: usize, agents: usize) -> Vec<Process> {
    let mut all = Vec::new();
    for zone in 0..zones {
        let name = format!("z{zone}");
        all.extend((0..entries).map(|n| Process::new("entry", &name, zone, n)));
        all.extend((0..agents).map(|n| Process::new("agent", &name, zone, n)));
    }
    all
}

fn view_of(processes: &[Process]) -> View {
    let routes = vec![route("urgent", 0), route("other", 1)];
    let head = head(&routes);
    let routes = routes.into_iter().map(Record::Route).chain([head]);
    let services = [Record::Service(Box::new(service()))];
    let vms = processes.iter().map(Process::record);
    view(services.into_iter().chain(routes).chain(vms))
}

fn demand(priority: u8, offered_ms: u32) -> Demand {
    Demand {
        service: SERVICE.into(),
        priority: Priority {
            customer: 1,
            route: priority,
        },
        offered_ms,
        admitted_ms: offered_ms / 2,
        waiting: 1,
    }
}

fn engine(address: SocketAddr, active: u32) -> Engine {
    Engine {
        address,
        active,
        queued: 0,
        pace_percent: 100,
        memory_percent: 10,
        moves_in_ms: None,
    }
}

fn offered(sums: &BTreeMap<Priority, Demand>) -> u32 {
    sums.values().map(|sum| sum.offered_ms).sum()
}

fn entry_report(sender: &str, number: (u64, u64), offered_ms: u32) -> Report {
    Report {
        sender: sender.into(),
        zone: "z0".into(),
        incarnation: number.0,
        sequence: number.1,
        content: Content::Entry(vec![demand(0, offered_ms)]),
    }
}

/// Guards against counting a sender twice, or by an older report, when reports are lost, doubled,
/// reordered or delayed from before a restart.
#[test]
fn sum_holds_only_the_newest_report_of_each_sender() {
    type Reports<'a> = &'a [(u64, u64, u32)];
    let cases: [(&str, Reports<'_>, u32); 6] = [
        ("in order", &[(1, 1, 10), (1, 2, 20)], 20),
        ("lost", &[(1, 1, 10), (1, 9, 30)], 30),
        ("doubled", &[(1, 1, 10), (1, 1, 10)], 10),
        ("reordered", &[(1, 2, 20), (1, 1, 10)], 20),
        ("restarted", &[(1, 7, 10), (2, 1, 20)], 20),
        (
            "from before a restart",
            &[(1, 7, 10), (2, 1, 20), (1, 8, 99)],
            20,
        ),
    ];
    for (case, reports, expected) in cases {
        let mut table = Table::new();
        for (incarnation, sequence, offered_ms) in reports {
            let report = entry_report("e", (*incarnation, *sequence), *offered_ms);
            table.observe(report, at(0));
        }
        assert_eq!(
            offered(&table.demand(&SERVICE.into(), at(0))),
            expected,
            "{case}"
        );
    }
}

/// Guards against load that remains after its sender is gone or a zone is cut off, and against a
/// delayed report that brings it back.
#[test]
fn reports_of_senders_that_are_gone_no_longer_count() {
    let contents = [
        Content::Engine(engine(([10, 0, 0, 1], 1).into(), 3)),
        Content::Entry(vec![demand(0, 10)]),
        Content::Zone(vec![demand(0, 10)]),
    ];
    for content in contents {
        let report = Report {
            content,
            ..entry_report("e", (1, 5), 0)
        };
        let mut table = Table::new();
        assert!(table.observe(report.clone(), at(0)));
        let count = |table: &Table, now| {
            let engine = table.occupancy(([10, 0, 0, 1], 1).into(), now);
            offered(&table.demand(&SERVICE.into(), now)) + engine.map_or(0, |load| load.requests)
        };
        assert_ne!(count(&table, at(0)), 0, "{report:?}");
        let later = at(0) + MAX_AGE;
        assert_eq!(count(&table, later), 0, "{report:?}");
        table.sweep(later);
        assert!(!table.observe(report, later));
        assert_eq!(count(&table, later), 0);
    }
}

/// Guards against a restart with an earlier clock that is ignored for ever.
#[test]
fn restart_with_an_earlier_clock_counts_once_its_number_is_forgotten() {
    let mut table = Table::new();
    table.observe(entry_report("e", (2, 5), 10), at(0));
    assert!(!table.observe(entry_report("e", (1, 1), 20), at(1_000)));
    let later = at(0) + MAX_AGE * 60;
    table.sweep(later);
    assert!(table.observe(entry_report("e", (1, 2), 20), later));
    assert_eq!(offered(&table.demand(&SERVICE.into(), later)), 20);
}

/// Guards against adding the sums that two entries send of the same zone.
#[test]
fn sums_of_one_zone_replace_each_other() {
    let mut table = Table::new();
    for sender in ["a", "b"] {
        let mut report = entry_report(sender, (1, 1), 0);
        report.zone = "z1".into();
        report.content = Content::Zone(vec![demand(0, 40)]);
        table.observe(report, at(0));
    }
    table.observe(entry_report("c", (1, 1), 7), at(0));
    assert_eq!(offered(&table.demand(&SERVICE.into(), at(0))), 47);
    assert_eq!(offered(&table.demand_in_zone(&SERVICE.into(), at(0))), 7);
}

/// Guards against sums that lack the entries which report to others, in a zone with more entries
/// than each reports to.
#[test]
fn sum_of_a_large_zone_is_scaled_to_all_its_entries() {
    let mut table = Table::new();
    let heard = ENTRY_FANOUT as u32;
    for n in 0..heard {
        table.observe(entry_report(&format!("e{n}"), (1, 1), 100), at(0));
    }
    for (others, expected) in [(0, 1_200), (12, 1_200), (36, 3_600)] {
        table.set_others(others);
        let sums = table.demand_in_zone(&SERVICE.into(), at(0));
        assert_eq!(offered(&sums), expected, "{others} others");
    }
}

/// Guards against sums above what the senders' newest reports add up to, whatever the order of
/// losses, repetitions, restarts and silences.
#[test]
fn sums_stay_within_bounds() {
    bolero::check!()
        .with_type::<Vec<(u8, u8, u8, u8, u8)>>()
        .for_each(|steps| {
            let mut table = Table::new();
            let mut now = at(0);
            let mut newest = BTreeMap::<u8, ((u64, u64), u32, Instant)>::new();
            for (sender, incarnation, sequence, offered_ms, pause) in steps {
                now = now + Duration::from_millis(u64::from(*pause) * 4);
                let sender = sender % 5;
                let number = (u64::from(incarnation % 3), u64::from(*sequence));
                let work = u32::from(*offered_ms);
                let is_new = table.observe(entry_report(&format!("e{sender}"), number, work), now);
                let known = newest.get(&sender).map(|(number, ..)| *number);
                assert_eq!(is_new, known.is_none_or(|known| known < number));
                if is_new {
                    newest.insert(sender, (number, work, now));
                }
                let recent = newest.values().filter(|(.., at)| now.since(*at) < MAX_AGE);
                let expected: u32 = recent.map(|(_, work, _)| work).sum();
                assert_eq!(offered(&table.demand(&SERVICE.into(), now)), expected);
            }
        });
}

/// Guards against agents that can't tell whether their service is shared, since they get no routes.
#[test]
fn head_of_the_routing_says_which_services_are_shared() {
    for (priorities, expected) in [([0, 0], false), ([0, 1], true)] {
        let head = head(&[route("a", priorities[0]), route("b", priorities[1])]);
        let records = [Record::Service(Box::new(service())), head];
        assert_eq!(is_shared(&view(records), &SERVICE.into()), expected);
    }
}

/// Guards against reports in deployments that don't share by priority.
#[test]
fn nothing_is_sent_or_accepted_where_no_service_is_shared() {
    let all = processes(2, 3, 2);
    let vms = all.iter().map(Process::record);
    let routes = vec![route("a", 1), route("b", 1)];
    let head = head(&routes);
    let routes = routes.into_iter().map(Record::Route).chain([head]);
    let services = [Record::Service(Box::new(service()))];
    let view = view(services.into_iter().chain(routes).chain(vms));
    for process in &all {
        let mut exchange = process.exchange(&view);
        assert!(
            exchange
                .report_engine(engine(process.address, 1), at(0))
                .is_none()
        );
        let sent = exchange.report_demand(&[demand(0, 1)], &Table::new(), at(0));
        assert!(sent.is_empty());
        let report = all[1].report(1, Content::Entry(Vec::new()));
        assert_eq!(exchange.check(&view, &report), Err(Refusal::NotShared));
    }
}

/// Guards against a fan-out that grows with the fleet, and against entries that nobody reports to.
#[test]
fn receivers_are_bounded_and_cover_the_zone() {
    for (entries, agents) in [(1, 1), (4, 14), (9, 10), (13, 10), (35, 323)] {
        let all = processes(3, entries, agents);
        let view = view_of(&all);
        let mut heard = BTreeMap::<SocketAddr, usize>::new();
        for process in all.iter().filter(|process| process.zone == "z0") {
            let mut exchange = process.exchange(&view);
            let (sent, bound) = match process.is_entry {
                true => {
                    let own = [demand(0, 1)];
                    let sent = exchange.report_demand(&own, &Table::new(), at(0));
                    let is_own = |one: &Outgoing| matches!(one.report.content, Content::Entry(_));
                    (sent.into_iter().find(is_own), ENTRY_FANOUT.min(entries - 1))
                }
                false => {
                    let sent = exchange.report_engine(engine(process.address, 1), at(0));
                    (sent, AGENT_FANOUT.min(entries))
                }
            };
            let receivers = sent.map(|sent| sent.receivers).unwrap_or_default();
            assert_eq!(receivers.len(), bound, "{}", process.name);
            let zone: BTreeSet<_> = all
                .iter()
                .filter(|other| other.is_entry && other.zone == "z0")
                .map(|other| other.address)
                .collect();
            assert!(receivers.iter().all(|receiver| zone.contains(receiver)));
            assert!(!receivers.contains(&process.address) || !process.is_entry);
            for receiver in receivers {
                *heard.entry(receiver).or_default() += 1;
            }
        }
        assert_eq!(heard.len(), entries, "each entry is reported to");
    }
}

/// Guards against sums that don't reach a zone, or reach it more often than from two senders.
#[test]
fn two_entries_send_the_sum_of_a_zone_to_two_of_each_other_zone() {
    for entries in [1, 2, 6] {
        let all = processes(3, entries, 0);
        let view = view_of(&all);
        let mut pairs = BTreeMap::<(String, String), BTreeSet<(String, String)>>::new();
        for process in &all {
            let mut exchange = process.exchange(&view);
            for sent in exchange.report_demand(&[demand(0, 1)], &Table::new(), at(0)) {
                if !matches!(sent.report.content, Content::Zone(_)) {
                    continue;
                }
                for receiver in &sent.receivers {
                    let other = all.iter().find(|other| other.address == *receiver).unwrap();
                    let mut other_exchange = other.exchange(&view);
                    assert_eq!(other_exchange.check(&view, &sent.report), Ok(()));
                    let forwarded = other_exchange.forward(&sent.report, at(0)).unwrap();
                    assert_eq!(forwarded.report, sent.report, "forwarded unchanged");
                    assert_eq!(forwarded.receivers.len(), entries - 1);
                    let pair = (process.zone.clone(), other.zone.clone());
                    let between = (process.name.clone(), other.name.clone());
                    pairs.entry(pair).or_default().insert(between);
                }
            }
        }
        let bound = ZONE_SENDERS.min(entries);
        assert_eq!(pairs.len(), 6, "each zone hears of each other one");
        for (pair, between) in pairs {
            assert_eq!(between.len(), bound * bound, "{pair:?}");
        }
    }
}

/// Guards against sums that entries forward to each other without end, or more than once a period.
#[test]
fn sum_of_a_zone_is_forwarded_once() {
    let all = processes(2, 4, 0);
    let view = view_of(&all);
    let sender = &all[4];
    let content = Content::Zone(vec![demand(0, 9)]);
    let mut deliveries = 0;
    let mut nodes: Vec<_> = all[..4]
        .iter()
        .map(|process| (process.exchange(&view), Table::new()))
        .collect();
    // Every entry gets it at first, as if all views differed.
    let mut queue: Vec<_> = (0..4)
        .map(|n| (n, sender.report(1, content.clone())))
        .collect();
    while let Some((n, report)) = queue.pop() {
        deliveries += 1;
        let (exchange, table) = &mut nodes[n];
        if !table.observe(report.clone(), at(0)) {
            continue;
        }
        for address in exchange
            .forward(&report, at(0))
            .map(|forwarded| forwarded.receivers)
            .unwrap_or_default()
        {
            let place = all
                .iter()
                .position(|other| other.address == address)
                .unwrap();
            queue.push((place, report.clone()));
        }
    }
    assert_eq!(deliveries, 4 + ZONE_SENDERS * 3);
    let next = sender.report(2, content);
    for (millis, expected) in [(200, 0), (500, ZONE_SENDERS)] {
        let forwarding = nodes
            .iter_mut()
            .filter_map(|(exchange, _)| exchange.forward(&next, at(millis)));
        assert_eq!(forwarding.count(), expected, "{millis} ms later");
    }
}

/// Guards against reports that come more often than the network and processor of a small machine
/// bear, and against bursts after a pause.
#[test]
fn reports_keep_their_periods() {
    let all = processes(2, 2, 1);
    let view = view_of(&all);
    let own = [demand(0, 1)];
    let (mut engines, mut entries, mut zones) = (0, 0, 0);
    let mut agent = all[2].exchange(&view);
    let mut entry = all[0].exchange(&view);
    let span = Duration::from_secs(10);
    for millis in (0..10_000).step_by(20) {
        let now = at(millis);
        engines += u32::from(
            agent
                .report_engine(engine(all[2].address, 1), now)
                .is_some(),
        );
        for sent in entry.report_demand(&own, &Table::new(), now) {
            match sent.report.content {
                Content::Zone(_) => zones += 1,
                _ => entries += 1,
            }
        }
    }
    for (count, period) in [
        (engines, ENGINE_PERIOD),
        (entries, ENTRY_PERIOD),
        (zones, ZONE_PERIOD),
    ] {
        assert_eq!(count, (span.as_millis() / period.as_millis()) as u32);
    }
    assert!(
        agent
            .report_engine(engine(all[2].address, 1), at(60_000))
            .is_some()
    );
    assert!(
        agent
            .report_engine(engine(all[2].address, 1), at(60_000))
            .is_none()
    );
}

/// Guards against entries that receive the reports of more engines than they bear.
#[test]
fn engines_report_less_often_where_many_share_an_entry() {
    for (agents, period) in [(14, ENGINE_PERIOD), (400, MAX_ENGINE_PERIOD)] {
        let all = processes(1, 4, agents);
        let mut agent = all[4].exchange(&view_of(&all));
        let mut send = |now| {
            agent
                .report_engine(engine(all[4].address, 1), now)
                .is_some()
        };
        assert!(send(at(0)));
        assert!(!send(at(0) + period - Duration::from_millis(1)), "{agents}");
        assert!(send(at(0) + period), "{agents}");
    }
}

/// Guards against reports of strangers, for foreign engines, between wrong zones, of wrong kinds
/// or with figures that would outweigh the whole fleet.
#[test]
fn reports_are_validated() {
    let all = processes(2, 2, 2);
    let view = view_of(&all);
    let (me, peer, agent) = (&all[0], &all[1], &all[2]);
    let (remote, remote_agent) = (&all[4], &all[6]);
    let exchange = me.exchange(&view);
    let stranger = Process::new("entry", "z0", 0, 77);
    let of = |process: &Process| engine(process.address, 1);
    let with = |change: fn(&mut Engine)| {
        let mut engine = of(agent);
        change(&mut engine);
        Content::Engine(engine)
    };
    let work = |offered_ms| vec![demand(0, offered_ms)];
    let many = (0..=MAX_PARTS as u8).map(|n| demand(n, 1)).collect();
    let mut liar = peer.clone();
    liar.zone = "z1".to_owned();
    let cases = [
        (agent, Content::Engine(of(agent)), Ok(())),
        (peer, Content::Entry(work(1)), Ok(())),
        (peer, Content::Entry(Vec::new()), Ok(())),
        (remote, Content::Zone(work(1)), Ok(())),
        (me, Content::Entry(work(1)), Err(Refusal::Own)),
        (
            &stranger,
            Content::Entry(work(1)),
            Err(Refusal::UnknownSender),
        ),
        (
            agent,
            Content::Engine(of(remote_agent)),
            Err(Refusal::UnknownAddress),
        ),
        (peer, Content::Engine(of(agent)), Err(Refusal::WrongKind)),
        (agent, Content::Entry(work(1)), Err(Refusal::WrongKind)),
        (
            remote_agent,
            Content::Zone(work(1)),
            Err(Refusal::WrongKind),
        ),
        (
            remote_agent,
            Content::Engine(of(remote_agent)),
            Err(Refusal::WrongZone),
        ),
        (remote, Content::Entry(work(1)), Err(Refusal::WrongZone)),
        (peer, Content::Zone(work(1)), Err(Refusal::WrongZone)),
        (&liar, Content::Zone(work(1)), Err(Refusal::WrongZone)),
        (
            agent,
            with(|engine| engine.active = u32::MAX),
            Err(Refusal::OutOfBounds),
        ),
        (
            agent,
            with(|engine| engine.queued = u32::MAX),
            Err(Refusal::OutOfBounds),
        ),
        (
            agent,
            with(|engine| engine.pace_percent = 0),
            Err(Refusal::OutOfBounds),
        ),
        (
            agent,
            with(|engine| engine.memory_percent = 101),
            Err(Refusal::OutOfBounds),
        ),
        (
            agent,
            with(|engine| engine.moves_in_ms = Some(u32::MAX)),
            Err(Refusal::OutOfBounds),
        ),
        (
            peer,
            Content::Entry(work(u32::MAX)),
            Err(Refusal::OutOfBounds),
        ),
        (
            peer,
            Content::Entry(vec![demand(0, 1), demand(0, 1)]),
            Err(Refusal::OutOfBounds),
        ),
        (peer, Content::Entry(many), Err(Refusal::OutOfBounds)),
    ];
    for (sender, content, expected) in cases {
        let report = sender.report(1, content);
        assert_eq!(exchange.check(&view, &report), expected, "{report:?}");
    }
}

/// Guards against figures of a faulty engine that make receivers drop its reports.
#[test]
fn figures_of_an_engine_are_cut_to_their_bounds() {
    let all = processes(1, 1, 1);
    let view = view_of(&all);
    let exchange = all[0].exchange(&view);
    let address = all[1].address;
    let most = Some(Duration::MAX);
    for (counts, pace, memory) in [
        ((0, 0), 1.0, (0, 0)),
        ((u32::MAX, u32::MAX), f64::INFINITY, (u64::MAX, 1)),
        ((1, 1), f64::NAN, (5, 10)),
        ((1, 1), -3.0, (5, 10)),
        ((1, 1), 1e30, (5, 10)),
    ] {
        let engine = figures(address, counts, pace, memory, most);
        let report = all[1].report(1, Content::Engine(engine));
        assert_eq!(exchange.check(&view, &report), Ok(()), "{report:?}");
    }
}

/// A network of entries without sockets. Each has a view and a table of its own.
struct Net {
    processes: Vec<Process>,
    nodes: Vec<(Exchange, Table, View)>,
    seed: u64,
}

impl Net {
    fn new(processes: Vec<Process>, seed: u64) -> Self {
        let view = view_of(&processes);
        let nodes = processes
            .iter()
            .map(|process| (process.exchange(&view), Table::new(), view.clone()))
            .collect();
        Self {
            processes,
            nodes,
            seed,
        }
    }

    /// A number below `bound`.
    fn draw(&mut self, bound: u64) -> u64 {
        self.seed = policy::owner::mix(self.seed, 1);
        self.seed % bound
    }

    /// Lets all entries work for a while. `is_alive` says who runs, `reaches` who reaches whom.
    /// Datagrams are lost, doubled and reordered.
    fn run(
        &mut self,
        span: (u64, u64),
        own: u32,
        is_alive: impl Fn(&Process) -> bool,
        reaches: impl Fn(&Process, &Process) -> bool,
        mut inspect: impl FnMut(&Process, u32),
    ) {
        let mut transit = Vec::<(u64, usize, Report)>::new();
        for millis in (span.0..span.1).step_by(20) {
            let now = at(millis);
            for from in 0..self.nodes.len() {
                if !is_alive(&self.processes[from]) {
                    continue;
                }
                let (exchange, table, _) = &mut self.nodes[from];
                let sent = exchange.report_demand(&[demand(0, own)], table, now);
                self.post(&mut transit, millis, from, sent, &reaches);
            }
            let (due, later) = transit.drain(..).partition(|(at, ..)| *at <= millis);
            transit = later;
            let due: Vec<_> = due;
            for (_, to, report) in due {
                if !is_alive(&self.processes[to]) {
                    continue;
                }
                let (exchange, table, view) = &mut self.nodes[to];
                if exchange.check(view, &report).is_err() || !table.observe(report.clone(), now) {
                    continue;
                }
                let forwarded = exchange.forward(&report, now).into_iter().collect();
                self.post(&mut transit, millis, to, forwarded, &reaches);
            }
            for (process, (_, table, _)) in self.processes.iter().zip(&self.nodes) {
                if is_alive(process) {
                    inspect(process, offered(&table.demand(&SERVICE.into(), now)) + own);
                }
            }
        }
    }

    fn post(
        &mut self,
        transit: &mut Vec<(u64, usize, Report)>,
        millis: u64,
        from: usize,
        sent: Vec<Outgoing>,
        reaches: &impl Fn(&Process, &Process) -> bool,
    ) {
        for outgoing in sent {
            for receiver in &outgoing.receivers {
                let is_receiver = |process: &Process| process.address == *receiver;
                let Some(to) = self.processes.iter().position(is_receiver) else {
                    continue;
                };
                if !reaches(&self.processes[from], &self.processes[to]) {
                    continue;
                }
                // A tenth is lost and a tenth comes twice.
                let copies = [0, 1, 1, 1, 1, 1, 1, 1, 1, 2][self.draw(10) as usize];
                for _ in 0..copies {
                    let at = millis + self.draw(60);
                    transit.push((at, to, outgoing.report.clone()));
                }
            }
        }
    }
}

/// Guards against demand that is counted twice or remains: the sum at no entry is above the real
/// demand, and it is whole once reports have come and falls when a zone is cut off or an entry is
/// gone.
#[test]
fn sums_follow_the_fleet_through_losses_cuts_and_deaths() {
    const OWN: u32 = 100;
    for seed in 0..20 {
        let mut net = Net::new(processes(3, 4, 0), seed);
        let always = |_: &Process| true;
        let mut seen = BTreeMap::new();
        net.run(
            (0, 6_000),
            OWN,
            always,
            |_, _| true,
            |process, sum| {
                assert!(sum <= 12 * OWN, "seed {seed}: {sum}");
                let most = seen.entry(process.name.clone()).or_insert(0);
                *most = sum.max(*most);
            },
        );
        assert!(
            seen.values().all(|most| *most == 12 * OWN),
            "seed {seed}: {seen:?}"
        );

        let is_cut = |process: &Process| process.zone == "z2";
        let reaches = |a: &Process, b: &Process| is_cut(a) == is_cut(b);
        // Reports from before the cut are outdated a second later.
        net.run((6_000, 7_200), OWN, always, reaches, |_, _| {});
        net.run((7_200, 9_000), OWN, always, reaches, |process, sum| {
            let visible = if is_cut(process) { 4 } else { 8 };
            assert!(sum <= visible * OWN, "seed {seed}: {} {sum}", process.name);
        });

        // An entry dies. Its demand leaves the sums of its zone after a second, and those of other
        // zones after the sum that still holds it.
        let is_alive = |process: &Process| process.name != "entry-z0-1";
        net.run((9_000, 12_000), OWN, is_alive, |_, _| true, |_, _| {});
        net.run(
            (12_000, 14_000),
            OWN,
            is_alive,
            |_, _| true,
            |process, sum| {
                assert!(sum <= 11 * OWN, "seed {seed}: {} {sum}", process.name);
            },
        );
    }
}

/// Guards against double counting while entries see different lists of each other.
#[test]
fn sums_stay_within_bounds_while_views_differ() {
    const OWN: u32 = 100;
    for seed in 0..20 {
        let all = processes(3, 4, 0);
        let mut net = Net::new(all.clone(), seed);
        for n in 0..all.len() {
            // Each lacks two of the others.
            let lacking = [net.draw(12) as usize, net.draw(12) as usize];
            let listed = all.iter().enumerate();
            let known: Vec<_> = listed
                .filter(|(place, _)| *place == n || !lacking.contains(place))
                .map(|(_, process)| process.clone())
                .collect();
            let view = view_of(&known);
            net.nodes[n] = (all[n].exchange(&view), Table::new(), view);
        }
        net.run(
            (0, 4_000),
            OWN,
            |_| true,
            |_, _| true,
            |process, sum| {
                assert!(sum <= 12 * OWN, "seed {seed}: {} {sum}", process.name);
            },
        );
    }
}
