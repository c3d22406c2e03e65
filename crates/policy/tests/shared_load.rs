//! Entries and engines of a service that is shared by priority, under more load than its capacity.

#![allow(clippy::unwrap_used)]

mod common;

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    time::Duration,
};

use common::view;
use domain::{
    clock::Instant,
    instance::{Instance, Layers, Phase},
    load::{self, Content, Demand, Priority, Report},
    name,
    record::Record,
    routing::{Engine, Service},
};
use policy::{
    admission::Timeliness,
    level::{Admitter, Correction, Load, Rates, fractions},
    placement::{Grace, LATE_RANK, Placer, Requirements, Share},
    queue::{Bounds, Place, Queue},
    view::View,
    work::Size,
};
use rand::{RngExt, SeedableRng, rngs::StdRng};

const START: Instant = Instant::from_millis(60_000);
const TICK: Duration = Duration::from_millis(5);
const ENGINES: usize = 40;
const ENTRIES: usize = 12;
const SLOTS: u32 = 12;
/// Milliseconds that the simulation runs, and after which it counts.
const SPAN_MS: u64 = 25_000;
const SETTLING_MS: u64 = 8_000;
/// The capacity of the engines, in engine milliseconds per second.
const CAPACITY: f64 = 1_000.0 * ENGINES as f64;
/// The mean work of a request, by route. See docs/LOAD.md, "Work of a request".
const WORK_MS: [f64; 3] = [130.0, 114.0, 70.0];

fn description() -> Engine {
    Engine {
        models: vec!["m".into()],
        slots: SLOTS,
        stride: 7,
        step_us: 7_400,
        sequence_ns: 38_700,
        context_ns: 20_300,
        read_per_s: 31_900,
        read_chunk: 2_048,
        memory_tokens: 1_000_000,
        usual_prompt: 950,
        usual_answer: 112,
        layers: 16,
        chunks: 1,
        chunk_bytes: 1,
        load_ms: 300,
    }
}

fn fleet() -> View {
    let service = Record::Service(Box::new(Service {
        name: "s".into(),
        max_connections: 10_000,
        cold: None,
        engine: Some(description()),
        origin: None,
    }));
    let instances = (0..ENGINES).map(|n| {
        Record::Instance(Box::new(Instance {
            id: format!("i-{n}").as_str().into(),
            born_ms: 1,
            service: "s".into(),
            address: address(n),
            zone: "z".into(),
            slots: SLOTS,
            phase: Phase::Ready,
            cold_ms: 0,
            layers: vec![Layers {
                model: "m".into(),
                version: 1,
                begin: 0,
                end: Some(16),
            }],
            sequence: 1,
        }))
    });
    view([service].into_iter().chain(instances))
}

fn address(n: usize) -> std::net::SocketAddr {
    ([10, 0, 0, n as u8], 80).into()
}

#[derive(Clone, Debug)]
struct Job {
    entry: usize,
    priority: Priority,
    customer: name::Customer,
    size: Size,
    target: Duration,
    asked_at: Instant,
    is_late: bool,
    /// Milliseconds left of reading and of writing.
    reading: f64,
    writing: f64,
}

#[derive(Default)]
struct Batch {
    running: Vec<(Job, bool)>,
    queued: VecDeque<Job>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Sum {
    asked: f64,
    on_time: f64,
    late: f64,
}

struct Entry {
    placer: Placer,
    admitter: Admitter,
    correction: Correction,
    demand: Rates,
    queue: Queue,
    jobs: BTreeMap<Place, Job>,
    running: usize,
}

/// Requests per second, latency target in milliseconds, mean tokens of the prompt and of the answer, by route.
type Kind = (f64, u64, f64, f64);

/// Returns what became of the requests of each priority, the mean number of requests per slot and
/// the mean correction.
fn simulate(kinds: [Kind; 3]) -> (BTreeMap<Priority, Sum>, f64, f64) {
    let view = fleet();
    let mut rng = StdRng::seed_from_u64(11);
    let grace = Grace {
        seen: Duration::from_secs(6),
        unseen: Duration::from_secs(1),
    };
    let mut entries: Vec<Entry> = (0..ENTRIES)
        .map(|n| Entry {
            placer: Placer::new(
                "z".into(),
                HashMap::from([("z".into(), "r".into())]),
                grace,
                StdRng::seed_from_u64(n as u64),
                START,
            ),
            admitter: Admitter::new(StdRng::seed_from_u64(n as u64)),
            correction: Correction::new(START),
            demand: Rates::new(),
            queue: Queue::new(),
            jobs: BTreeMap::new(),
            running: 0,
        })
        .collect();
    let mut engines: Vec<Batch> = (0..ENGINES).map(|_| Batch::default()).collect();
    let mut retries: Vec<(Instant, Job)> = Vec::new();
    let mut sums: BTreeMap<Priority, Sum> = BTreeMap::new();
    let (mut held, mut samples) = (0.0, 0.0);
    let service = name::Service::from("s");
    let model = name::Artifact::from("m");
    let mut sequence = 0;
    for ms in (0..SPAN_MS).step_by(5) {
        let now = START + Duration::from_millis(ms);
        let counts = |at: Instant| at >= START + Duration::from_millis(SETTLING_MS);
        // Engines.
        for (n, engine) in engines.iter_mut().enumerate() {
            while engine.running.len() < SLOTS as usize {
                let Some(job) = engine.queued.pop_front() else {
                    break;
                };
                engine.running.push((job, false));
            }
            let mut budget = TICK.as_secs_f64() * 1_000.0;
            for (job, has_begun) in &mut engine.running {
                let part = job.reading.min(budget);
                job.reading -= part;
                budget -= part;
                if job.reading <= 0.0 && !*has_begun {
                    *has_begun = true;
                    let waited = now.since(job.asked_at) + Duration::from_millis(70);
                    if counts(job.asked_at) {
                        let sum = sums.entry(job.priority).or_default();
                        match !job.is_late && waited <= job.target {
                            true => sum.on_time += 1.0,
                            false => sum.late += 1.0,
                        }
                    }
                }
            }
            let mut ended = Vec::new();
            engine.running.retain_mut(|(job, has_begun)| {
                if *has_begun {
                    job.writing -= budget;
                }
                let is_over = job.writing <= 0.0;
                if is_over {
                    ended.push(job.entry);
                }
                !is_over
            });
            for entry in ended {
                entries[entry].running -= 1;
                entries[entry].placer.end(&format!("i-{n}").as_str().into());
            }
            held += engine.running.len() as f64 + engine.queued.len() as f64;
            samples += f64::from(SLOTS);
        }
        // Reports.
        if ms % 100 == 0 {
            for (n, engine) in engines.iter().enumerate() {
                sequence += 1;
                let report = Report {
                    sender: format!("engine-{n}").as_str().into(),
                    zone: "z".into(),
                    incarnation: 1,
                    sequence,
                    content: Content::Engine(load::Engine {
                        address: address(n),
                        active: engine.running.len() as u32,
                        queued: engine.queued.len() as u32,
                        pace_percent: 100,
                        memory_percent: 0,
                        moves_in_ms: None,
                    }),
                };
                for entry in &mut entries {
                    entry.placer.observe_load(report.clone(), now);
                }
            }
        }
        if ms % 200 == 0 {
            for n in 0..ENTRIES {
                let entry = &entries[n];
                let demand = entry.admitter.offered(now).into_iter();
                let demand = demand.map(|(priority, work)| Demand {
                    service: service.clone(),
                    priority,
                    offered_ms: work as u32,
                    admitted_ms: 0,
                    waiting: entry
                        .jobs
                        .values()
                        .filter(|job| job.priority == priority && !job.is_late)
                        .count() as u32,
                });
                sequence += 1;
                let report = Report {
                    sender: format!("entry-{n}").as_str().into(),
                    zone: "z".into(),
                    incarnation: 1,
                    sequence,
                    content: Content::Entry(demand.collect()),
                };
                for (other, entry) in entries.iter_mut().enumerate() {
                    if other != n {
                        entry.placer.observe_load(report.clone(), now);
                    }
                }
            }
        }
        // Fractions.
        if ms % 100 == 0 {
            for entry in &mut entries {
                let requirements = requirements(&service, &model, 0);
                let capacity = entry.placer.capacity(&view, &requirements, now);
                let mut demand = entry.admitter.offered(now);
                let on_time = |entry: &Entry| {
                    let jobs = entry.jobs.values();
                    jobs.filter(|job| !job.is_late).count() as f64
                };
                let mut waiting = on_time(entry);
                for (priority, other) in entry.placer.reports().demand(&service, now) {
                    *demand.entry(priority).or_default() += f64::from(other.offered_ms);
                    waiting += f64::from(other.waiting);
                }
                let load = Load {
                    occupancy: capacity.occupancy,
                    waiting: waiting / (ENGINES as f64 * f64::from(SLOTS)),
                };
                let is_shedding = entry.admitter.is_shedding();
                entry.correction.observe(load, is_shedding, now);
                let all = capacity.engine_ms * entry.correction.factor();
                entry.admitter.set_fractions(fractions(all, &demand), now);
                entry.demand = demand;
            }
        }
        // Requests.
        let mut arrivals: Vec<Job> = retries
            .extract_if(.., |(at, _)| *at <= now)
            .map(|(_, job)| job)
            .collect();
        for (route, (per_s, target, prompt, answer)) in kinds.into_iter().enumerate() {
            let expected = per_s * TICK.as_secs_f64();
            let draws = 40;
            for _ in 0..draws {
                if !rng.random_bool(expected / f64::from(draws)) {
                    continue;
                }
                let customer = rng.random_range(0..24);
                let mut spread = |mean: f64, sigma: f64| {
                    let normal = (0..12).map(|_| rng.random_range(0.0..1.0)).sum::<f64>() - 6.0;
                    mean * (sigma * normal - sigma * sigma / 2.0).exp()
                };
                let prompt = spread(prompt, 1.0).clamp(20.0, 3_900.0);
                let answer = spread(answer, 0.8).clamp(7.0, 315.0);
                let hint = spread(answer, 0.5).max(7.0);
                let step = 7.4 + 0.0387 * 12.0 + 0.0203 * 12.0;
                arrivals.push(Job {
                    entry: rng.random_range(0..ENTRIES),
                    priority: Priority {
                        customer: if customer < 2 { 0 } else { 1 },
                        route: route as u8,
                    },
                    customer: format!("c-{customer}").as_str().into(),
                    size: Size {
                        prompt: prompt as u32,
                        answer_hint: Some(hint as u32),
                        answer_limit: None,
                    },
                    target: Duration::from_millis(target),
                    asked_at: now,
                    is_late: false,
                    reading: prompt / 31.9,
                    writing: answer * step,
                });
            }
        }
        for job in arrivals {
            if !job.is_late && counts(job.asked_at) {
                sums.entry(job.priority).or_default().asked += 1.0;
            }
            let entry = &mut entries[job.entry];
            let work = job.size.work(&description()).as_secs_f64() * 1_000.0;
            let is_admitted = job.is_late
                || entry
                    .admitter
                    .admit(job.priority, Some(&job.customer), work, now);
            if !is_admitted {
                refuse(entry, &mut retries, job, now, &mut rng);
                continue;
            }
            let each = (entry.running / 5).max(2);
            let bounds = Bounds {
                each,
                total: each * 2,
            };
            let timeliness = match job.is_late {
                true => Timeliness::Late,
                false => Timeliness::OnTime,
            };
            let deadline = now + job.target * 45 / 100;
            match entry.queue.join(job.priority, timeliness, deadline, bounds) {
                Ok(joined) => {
                    entry.jobs.insert(joined.place, job);
                    if let Some(displaced) = joined.displaced {
                        let job = entry.jobs.remove(&displaced).unwrap();
                        refuse(entry, &mut retries, job, now, &mut rng);
                    }
                }
                Err(_) => refuse(entry, &mut retries, job, now, &mut rng),
            }
        }
        // The queues.
        for entry in &mut entries {
            for place in entry.queue.expire(now) {
                let job = entry.jobs.remove(&place).unwrap();
                refuse(entry, &mut retries, job, now, &mut rng);
            }
            let places: Vec<Place> = entry.queue.places().collect();
            let mut busy = Vec::new();
            for place in places {
                let in_use = entry.demand.range(..place.priority());
                let rank = in_use.filter(|(_, work)| **work >= 1.0).count() as u32;
                let rank = match entry.jobs[&place].is_late {
                    true => LATE_RANK,
                    false => rank,
                };
                if busy.contains(&rank) {
                    continue;
                }
                let requirements = requirements(&service, &model, rank);
                let Ok(choice) = entry.placer.choose(&view, &requirements, now) else {
                    busy.push(rank);
                    continue;
                };
                entry.queue.remove(place);
                let job = entry.jobs.remove(&place).unwrap();
                entry.placer.begin(&view, &choice, 0, now);
                entry.running += 1;
                let id = choice.instance.id.as_str();
                let n: usize = id.trim_start_matches("i-").parse().unwrap();
                engines[n].queued.push_back(job);
            }
        }
    }
    let factor = entries.iter().map(|entry| entry.correction.factor());
    (sums, held / samples, factor.sum::<f64>() / ENTRIES as f64)
}

fn requirements<'a>(
    service: &'a name::Service,
    model: &'a name::Artifact,
    rank: u32,
) -> Requirements<'a> {
    Requirements {
        service,
        model: Some(model),
        pinned: None,
        regions: [&[], &[]],
        tried: &[],
        share: Some(Share {
            rank,
            span: Duration::ZERO,
            zone: None,
        }),
    }
}

fn refuse(
    entry: &Entry,
    retries: &mut Vec<(Instant, Job)>,
    mut job: Job,
    now: Instant,
    rng: &mut StdRng,
) {
    if job.is_late {
        return;
    }
    job.is_late = true;
    let least = (2.0 - entry.admitter.fraction(job.priority)).min(1.333);
    let delay = least * rng.random_range(1.0..1.5);
    retries.push((now + Duration::from_secs_f64(delay), job));
}

/// The mean work that callers ask for, by priority.
fn offered(kinds: [Kind; 3]) -> Rates {
    let customers = [(0, 2.0 / 24.0), (1, 22.0 / 24.0)];
    let kinds = kinds.into_iter().zip(WORK_MS).enumerate();
    let offered = kinds.flat_map(|(route, (kind, work))| {
        customers.map(|(customer, part)| {
            let route = route as u8;
            (Priority { customer, route }, kind.0 * work * part)
        })
    });
    offered.collect()
}

/// Guards against a burst or a flood in which urgent requests are late, against a floor that isn't
/// kept once requests have passed the queue and the limits of engines, and against callers that come
/// back and take the capacity of new requests. Urgent customers are served in time but for the
/// chance coincidences of a few requests, and the others at least half as often as is admitted.
#[test]
fn urgent_requests_stay_in_time_and_no_priority_starves() {
    let usual: [Kind; 3] = [
        (157.0, 400, 1_330.0, 126.0),
        (188.0, 400, 827.0, 126.0),
        (122.0, 800, 647.0, 70.0),
    ];
    // The load of each route relative to the usual one.
    let cases = [
        ("usual", [1.0, 1.0, 1.0]),
        ("flood", [1.0, 1.0, 2.5]),
        ("burst", [1.8, 1.0, 1.0]),
        ("triple", [3.0, 3.0, 3.0]),
    ];
    for (what, scale) in cases {
        let mut kinds = usual;
        kinds
            .iter_mut()
            .zip(scale)
            .for_each(|(kind, by)| kind.0 *= by);
        let level = fractions(CAPACITY, &offered(kinds));
        let (sums, occupancy, factor) = simulate(kinds);
        println!("{what}: occupancy {occupancy:.3}, correction {factor:.2}");
        for (priority, sum) in sums {
            let (in_time, late) = (sum.on_time / sum.asked, sum.late / sum.asked);
            println!(
                "  {priority}: {} asked, {in_time:.3} in time, {late:.3} late",
                sum.asked
            );
            let part = match priority.customer {
                0 => 0.85,
                _ => 0.5,
            };
            let least = part * level[&priority];
            assert!(in_time > least, "{what} {priority}: {in_time}, {least}");
        }
    }
}
