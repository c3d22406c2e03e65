//! Entries and control together, in simulated time: instances crash by themselves or under
//! requests, and entries hear of each other late.

#![allow(clippy::unwrap_used)]

use std::collections::{BTreeMap, HashSet};

use domain::{
    clock::Instant,
    instance::{Instance, Phase},
    name,
    quarantine::{CONTENT_PREFIX, Key, Process, Reply, Write},
    record::{Batch, Cursor, Delta, Record},
};
use policy::{
    crash::{SURVIVAL, Tracker, Verdict},
    quarantine::Table,
    view::View,
};
use rand::{RngExt, SeedableRng, rngs::StdRng};

/// The granularity of the simulation, in milliseconds.
const STEP_MS: u64 = 10;
/// How long an instance that crashed is away, in milliseconds.
const AWAY_MS: u64 = 3_000;
/// How long an answer takes from its first event, in milliseconds.
const ANSWER_MS: u64 = 1_000;
/// What the users' pages allow: requests with a part that crashes instances, from so long after
/// the fifth crash on.
const CONTACT_MS: u64 = 3_000;
const MAX_LATE: usize = 3;
/// A session's part is shared by this many requests.
const SESSION: u64 = 6;

fn service() -> name::Service {
    "s".into()
}

/// A day: how large the fleet is, and what happens.
#[derive(Clone, Debug)]
struct Day {
    seed: u64,
    entries: usize,
    instances: usize,
    /// Requests per second.
    rate: f64,
    length_ms: u64,
    /// The part of the requests that crash instances, from when on, and where the part stands.
    poison: Option<(f64, u64, usize)>,
    /// When which part of the instances crashes by itself.
    crashes: Vec<(u64, f64)>,
    /// Whether requests have no prompt, so that they are known by their content. A few are the same.
    by_content: bool,
}

struct Running {
    entry: usize,
    instance: usize,
    parts: Vec<name::Part>,
    is_deadly: bool,
    is_repeat: bool,
    begins_at: u64,
    is_acquitted: bool,
}

#[derive(Default)]
struct Report {
    /// When instances crashed under a request.
    crashes: Vec<u64>,
    /// When requests with the deadly part were sent.
    deadly: Vec<u64>,
    /// Sound requests, and those of them that were refused for their parts.
    sound: usize,
    refused: usize,
    /// Sound parts that were in quarantine at some time.
    wrong: HashSet<name::Part>,
}

struct World {
    day: Day,
    rng: StdRng,
    trackers: Vec<Tracker>,
    /// When each entry hears of the state after which write.
    feeds: Vec<Vec<(u64, View)>>,
    table: Table,
    view: View,
    /// Writes on their way, by the time of their arrival.
    writes: BTreeMap<u64, Vec<(Option<usize>, Write)>>,
    born: Vec<u64>,
    away_until: Vec<u64>,
    running: Vec<Running>,
    report: Report,
    next: u64,
}

fn at(ms: u64) -> Instant {
    Instant::from_millis(100_000 + ms)
}

fn part(name: String) -> name::Part {
    name::Part::new(name)
}

impl World {
    fn new(day: Day) -> Self {
        Self {
            rng: StdRng::seed_from_u64(day.seed),
            trackers: vec![Tracker::new(); day.entries],
            feeds: vec![Vec::new(); day.entries],
            table: Table::default(),
            view: View::default(),
            writes: BTreeMap::new(),
            born: vec![1; day.instances],
            away_until: vec![0; day.instances],
            running: Vec::new(),
            report: Report::default(),
            next: 0,
            day,
        }
    }

    fn run(mut self) -> Report {
        let mut due = 0.0;
        for now in (0..self.day.length_ms).step_by(STEP_MS as usize) {
            self.receive(now);
            let own: Vec<_> = self.day.crashes.clone();
            for (_, share) in own.into_iter().filter(|(at, _)| *at == now) {
                for n in 0..self.day.instances {
                    if self.rng.random_bool(share) {
                        self.crash(n, now);
                    }
                }
            }
            due += self.day.rate * STEP_MS as f64 / 1_000.0;
            while due >= 1.0 {
                due -= 1.0;
                self.arrive(now);
            }
            self.answer(now);
            if now % 500 == 0 {
                self.trackers
                    .iter_mut()
                    .for_each(|tracker| tracker.sweep(at(now)));
            }
        }
        self.report
    }

    fn arrive(&mut self, now: u64) {
        self.next += 1;
        let n = self.next;
        let kind = self.rng.random_range(0..3_u64);
        let session = (n / (SESSION * 8)) * 8 + self.rng.random_range(0..8);
        let mut parts = vec![
            part(format!("kind-{kind}")),
            part(format!("session-{session}")),
            part(format!("own-{n}")),
        ];
        let poison = self.day.poison.filter(|(_, from, _)| now >= *from);
        let mut is_deadly = false;
        if let Some((share, _, place)) = poison
            && self.rng.random_bool(share)
        {
            parts.insert(place, part("deadly".to_owned()));
            is_deadly = true;
        }
        if self.day.by_content {
            let content = match is_deadly {
                true => "deadly".to_owned(),
                false => session.to_string(),
            };
            parts = vec![part(format!("{CONTENT_PREFIX}{content}"))];
        }
        let entry = self.rng.random_range(0..self.day.entries);
        self.report.sound += usize::from(!is_deadly);
        match self.trackers[entry].judge(&service(), &parts, at(now)) {
            Verdict::Free => self.send(entry, parts, is_deadly, false, now),
            Verdict::Refused(_) => self.report.refused += usize::from(!is_deadly),
            Verdict::Due { key, probes } => {
                self.report.refused += usize::from(!is_deadly);
                self.trackers[entry].ask(&key, true);
                self.write(Some(entry), Write::Probe { key, probes }, now);
            }
        }
    }

    fn send(
        &mut self,
        entry: usize,
        parts: Vec<name::Part>,
        is_deadly: bool,
        is_repeat: bool,
        now: u64,
    ) {
        let up: Vec<_> = (0..self.day.instances)
            .filter(|n| self.away_until[*n] <= now)
            .collect();
        if up.is_empty() {
            return;
        }
        let instance = up[self.rng.random_range(0..up.len())];
        if is_deadly {
            self.report.deadly.push(now);
        }
        let begins_at = now + self.rng.random_range(60..400);
        self.running.push(Running {
            entry,
            instance,
            parts,
            is_deadly,
            is_repeat,
            begins_at,
            is_acquitted: false,
        });
    }

    fn answer(&mut self, now: u64) {
        let begun = |one: &&Running| one.is_deadly && one.begins_at <= now;
        let crashed: HashSet<_> = self
            .running
            .iter()
            .filter(begun)
            .map(|one| one.instance)
            .collect();
        for n in crashed {
            self.report.crashes.push(now);
            self.crash(n, now);
        }
        let survival = SURVIVAL.as_millis() as u64;
        for one in &mut self.running {
            if !one.is_acquitted && one.begins_at + survival <= now {
                one.is_acquitted = true;
                self.trackers[one.entry].acquit(&service(), &one.parts, at(now));
            }
        }
        self.running.retain(|one| one.begins_at + ANSWER_MS > now);
        for entry in 0..self.day.entries {
            let keys = self.trackers[entry].take_acquittals(at(now));
            if !keys.is_empty() {
                self.write(None, Write::Acquit(keys), now);
            }
        }
    }

    fn crash(&mut self, n: usize, now: u64) {
        if self.away_until[n] > now {
            return;
        }
        let process = Process {
            instance: format!("i-{n}").as_str().into(),
            born_ms: self.born[n],
        };
        let instance = Instance {
            id: process.instance.clone(),
            born_ms: process.born_ms,
            service: service(),
            address: ([10, 0, 0, 1], 80).into(),
            zone: "z".into(),
            slots: 16,
            phase: Phase::Ready,
            cold_ms: 0,
            layers: Vec::new(),
            sequence: 1,
        };
        self.away_until[n] = now + AWAY_MS + self.rng.random_range(0..500);
        self.born[n] += 1;
        let (lost, kept): (Vec<_>, Vec<_>) = std::mem::take(&mut self.running)
            .into_iter()
            .partition(|one| one.instance == n);
        self.running = kept;
        let mut entries = HashSet::new();
        for one in lost.iter().filter(|one| !one.is_acquitted) {
            self.trackers[one.entry].lose(&instance, &one.parts, at(now));
            entries.insert(one.entry);
        }
        for one in lost {
            let tracker = &self.trackers[one.entry];
            let may_repeat =
                !one.is_repeat && !tracker.is_suspected(&service(), &one.parts, at(now));
            if may_repeat {
                self.send(one.entry, one.parts, one.is_deadly, true, now);
            }
        }
        for entry in entries {
            // An entry that is busy notices late.
            let delay = self.rng.random_range(20..200);
            let seen = at(now + delay);
            let crash = self.trackers[entry].settle(&process, true, seen);
            if let Some(crash) = crash.filter(|crash| !crash.parts.is_empty()) {
                self.write(None, Write::Crashes(vec![crash]), now + delay);
            }
        }
    }

    fn write(&mut self, entry: Option<usize>, write: Write, now: u64) {
        let arrival = now + self.rng.random_range(5..100);
        self.writes.entry(arrival).or_default().push((entry, write));
    }

    fn receive(&mut self, now: u64) {
        while let Some((arrival, writes)) = self.writes.first_key_value()
            && *arrival <= now
        {
            let (arrival, writes) = (*arrival, writes.clone());
            self.writes.remove(&arrival);
            for (entry, write) in writes {
                self.commit(entry, write, now);
            }
        }
        for entry in 0..self.day.entries {
            let (heard, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.feeds[entry])
                .into_iter()
                .partition(|(at, _)| *at <= now);
            self.feeds[entry] = later;
            if let Some((_, view)) = heard.last() {
                self.trackers[entry].observe(view, at(now));
            }
        }
    }

    fn commit(&mut self, entry: Option<usize>, write: Write, now: u64) {
        let asked = match &write {
            Write::Probe { key, .. } => Some(key.clone()),
            _ => None,
        };
        let (reply, deltas) = self.table.apply(write, 1_000_000 + now);
        if let (Some(entry), Some(key)) = (entry, asked) {
            self.trackers[entry].ask(&key, false);
            self.probe(entry, &key, reply, now);
        }
        for delta in &deltas {
            if let Delta::Set(Record::Suspect(suspect)) = delta
                && suspect.is_quarantined
                && suspect.key.part.as_str() != "deadly"
                && !suspect.key.part.as_str().starts_with("own-")
            {
                self.report.wrong.insert(suspect.key.part.clone());
            }
        }
        let commit = self.view.commit + 1;
        self.view
            .apply(Batch {
                is_snapshot: false,
                deltas,
                revision: Default::default(),
                commit,
                cursor: Cursor::default(),
                age_ms: 0,
                held_ms: 0,
            })
            .unwrap();
        for feed in &mut self.feeds {
            let delay = self.rng.random_range(5..300);
            // A feed keeps its order.
            let after = feed.last().map_or(0, |(at, _)| *at);
            feed.push(((now + delay).max(after), self.view.clone()));
        }
    }

    fn probe(&mut self, entry: usize, key: &Key, reply: Reply, now: u64) {
        if reply == Reply::Granted {
            let parts = vec![key.part.clone(), part(format!("own-probe-{now}"))];
            let is_deadly = key.part.as_str() == "deadly";
            self.send(entry, parts, is_deadly, true, now);
        }
    }
}

/// Fails where requests that crash instances go on: at least 20 more of them were sent on each of
/// the users' days.
#[test]
fn a_part_that_crashes_instances_is_hardly_sent_after_the_fifth_crash() {
    for seed in 0..40 {
        let mut rng = StdRng::seed_from_u64(seed);
        let instances = rng.random_range(4..200);
        let day = Day {
            seed,
            entries: rng.random_range(1..30),
            instances,
            rate: (instances as f64 * rng.random_range(4.0..10.0)).min(400.0),
            length_ms: 25_000,
            poison: Some((
                rng.random_range(0.01..0.3),
                rng.random_range(0..6_000),
                rng.random_range(0..3),
            )),
            crashes: vec![(rng.random_range(0..20) * 1_000, rng.random_range(0.0..0.4))],
            by_content: seed % 2 == 1,
        };
        let report = World::new(day.clone()).run();
        let fifth = report.crashes.get(4).or(report.crashes.last()).copied();
        let bound = fifth.map_or(u64::MAX, |at| at + CONTACT_MS);
        let late = report.deadly.iter().filter(|sent| **sent > bound).count();
        assert!(
            late <= MAX_LATE,
            "{late} late, {day:?}: {:?}",
            report.crashes
        );
        let refused = report.refused * 10;
        assert!(
            refused < report.sound,
            "{} of {}, {day:?}, {:?}",
            report.refused,
            report.sound,
            report.wrong
        );
    }
}

/// Fails where a crash alone speaks against what was running: a zone's loss put the parts of whole
/// kinds of requests into quarantine.
#[test]
fn crashes_without_a_cause_in_requests_put_no_part_into_quarantine() {
    for seed in 0..20 {
        let mut rng = StdRng::seed_from_u64(1_000 + seed);
        let instances = rng.random_range(1..500);
        let crashes = (0..rng.random_range(1..12)).map(|_| {
            let at = rng.random_range(0..20) * 1_000;
            (at, [0.02, 0.3, 0.6, 1.0][rng.random_range(0..4)])
        });
        let crashes: Vec<_> = crashes.collect();
        let day = Day {
            seed,
            entries: rng.random_range(1..40),
            instances,
            rate: (instances as f64 * rng.random_range(0.5..10.0)).min(300.0),
            length_ms: 22_000,
            poison: None,
            crashes,
            by_content: seed % 2 == 1,
        };
        let report = World::new(day.clone()).run();
        assert!(report.wrong.is_empty(), "{:?}, {day:?}", report.wrong);
        assert_eq!(report.refused, 0, "{day:?}");
    }
}
