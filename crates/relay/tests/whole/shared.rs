//! Admission by priority: who is served first, who is refused, and what others are told of it.

use std::{cell::RefCell, net::SocketAddr, rc::Rc, sync::Arc, time::Duration};

use domain::load::{Content, Demand, Engine, Priority, Report};
use policy::{admission::Timeliness, placement};
use relay::{
    dialect::Ask,
    gate::shared::{self, Reason, Refusal, Request, Start},
};
use tokio::task::{JoinHandle, spawn_local, yield_now};

use crate::common::{Manual, Relay, Upstream, run, shared_control};

/// Long enough that nothing expires unless a test says so.
const TARGET: Duration = Duration::from_secs(100);
/// The slots of an instance.
const SLOTS: u32 = 2;
/// Requests at an engine at which it accepts no further one.
const FULL: u32 = SLOTS + 3;
/// Requests that may wait of one priority while few run.
const EACH: usize = 2;

fn priority(route: u8) -> Priority {
    Priority {
        customer: route,
        route,
    }
}

type Entered = JoinHandle<Result<Start, Refusal>>;

/// A relay before engines whose load the test reports.
struct Bench {
    relay: Relay,
    clock: Arc<Manual>,
    engines: Vec<SocketAddr>,
    sequence: RefCell<u64>,
}

impl Bench {
    fn new(engines: &[SocketAddr]) -> Self {
        Self::among(engines, 1)
    }

    /// One of so many entries.
    fn among(engines: &[SocketAddr], entries: u16) -> Self {
        let (control, clock) = shared_control(engines, entries);
        let bench = Self {
            relay: Relay::join(control),
            clock,
            engines: engines.to_vec(),
            sequence: RefCell::default(),
        };
        (0..engines.len()).for_each(|n| bench.occupy(n, 0));
        bench
    }

    /// Engines at which nobody listens.
    fn without_engines(count: u16) -> Self {
        let engines: Vec<_> = (0..count)
            .map(|n| SocketAddr::from(([127, 0, 0, 1], n + 1)))
            .collect();
        Self::new(&engines)
    }

    fn report(&self, sender: &str, content: Content) {
        *self.sequence.borrow_mut() += 1;
        let report = Report {
            sender: sender.into(),
            zone: "z".into(),
            incarnation: 1,
            sequence: *self.sequence.borrow(),
            content,
        };
        let now = self.relay.site.now();
        assert!(
            self.relay
                .site
                .place(|placer| placer.observe_load(report, now))
        );
    }

    /// An engine reports so many requests.
    fn occupy(&self, engine: usize, requests: u32) {
        let content = Engine {
            address: self.engines[engine],
            active: requests,
            queued: 0,
            pace_percent: 100,
            memory_percent: 0,
            moves_in_ms: None,
        };
        self.report(&format!("engine-{engine}"), Content::Engine(content));
    }

    /// Another entry reports so much work, by route. It counts from the next computation on.
    fn demand(&self, offered_ms: &[u32]) {
        let demand = offered_ms.iter().enumerate();
        let demand = demand.map(|(route, offered_ms)| Demand {
            service: "s".into(),
            priority: priority(route as u8),
            offered_ms: *offered_ms,
            admitted_ms: *offered_ms,
            waiting: 0,
        });
        self.report("entry", Content::Entry(demand.collect()));
        self.clock.advance(Duration::from_millis(100));
    }

    fn request(&self, route: u8, timeliness: Timeliness) -> Request {
        Request {
            service: "s".into(),
            regions: [Vec::new(), Vec::new()],
            priority: priority(route),
            customer: None,
            timeliness,
            target: TARGET,
            left: Duration::from_secs(6),
            ask: Ask::default(),
        }
    }

    /// Lets a request enter as far as it gets without further events.
    async fn enter(&self, request: Request) -> Entered {
        let site = self.relay.site.clone();
        let entered = spawn_local(async move { shared::enter(&site, request).await });
        settle().await;
        entered
    }

    async fn enter_on_time(&self, route: u8) -> Entered {
        self.enter(self.request(route, Timeliness::OnTime)).await
    }

    fn waiting(&self) -> u32 {
        let demand = self.relay.site.gate.demand(self.relay.site.now());
        demand.iter().map(|demand| demand.waiting).sum()
    }
}

async fn settle() {
    for _ in 0..20 {
        yield_now().await;
    }
}

/// Waits until the relay has polled the engines.
async fn until(is_done: impl Fn() -> bool) {
    let wait = async {
        while !is_done() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(Duration::from_secs(10), wait)
        .await
        .unwrap();
}

async fn reason(entered: Entered) -> Option<Reason> {
    entered.await.unwrap().err().map(|refusal| refusal.reason)
}

/// Guards against urgent requests that wait behind others, late ones that are served before those
/// in time, and requests of one priority that overtake each other.
#[test]
fn waiting_requests_are_served_in_their_order_when_a_slot_is_free() {
    use Timeliness::{Late, OnTime};
    run(async {
        let bench = Bench::without_engines(1);
        let held = bench.enter_on_time(0).await.await.unwrap().ok().unwrap();
        bench.occupy(0, FULL);
        let served = Rc::new(RefCell::new(Vec::new()));
        let arrivals = [(1, Late), (1, OnTime), (0, Late), (0, OnTime)];
        for (n, (route, timeliness)) in arrivals.into_iter().enumerate() {
            let (site, served) = (bench.relay.site.clone(), served.clone());
            let request = bench.request(route, timeliness);
            spawn_local(async move {
                let start = shared::enter(&site, request).await.ok().unwrap();
                served.borrow_mut().push(n);
                // Its place at the engine is not given back.
                std::mem::forget(start);
            });
            settle().await;
        }
        assert_eq!((bench.waiting(), served.borrow().len()), (2, 0), "in time");
        bench.occupy(0, FULL);
        drop(held);
        settle().await;
        assert_eq!(*served.borrow(), [3], "one slot, at once");
        // Late requests get only slots that nobody else needs.
        for expected in [&[3, 1][..], &[3, 1, 2], &[3, 1, 2, 0]] {
            bench.occupy(0, u32::from(expected.len() == 2));
            bench.clock.advance(Duration::from_millis(20));
            until(|| served.borrow().len() == expected.len()).await;
            assert_eq!(*served.borrow(), expected);
        }
    });
}

/// Guards against requests that notice a free slot only when a request of their entry ends.
#[test]
fn waiting_requests_notice_what_other_entries_free() {
    run(async {
        let bench = Bench::without_engines(1);
        bench.occupy(0, FULL);
        let waiting = bench.enter_on_time(0).await;
        assert_eq!(bench.waiting(), 1);
        bench.occupy(0, 0);
        bench.clock.advance(Duration::from_millis(20));
        assert!(waiting.await.unwrap().is_ok());
    });
}

/// Guards against a queue that stands still because its first request needs an engine that is full.
#[test]
fn a_request_without_an_engine_does_not_hold_up_others() {
    run(async {
        let bench = Bench::without_engines(2);
        bench.occupy(0, FULL);
        let request = |route, model: &str| {
            let mut request = bench.request(route, Timeliness::OnTime);
            request.ask.model = Some(model.into());
            request
        };
        let mut first = Vec::new();
        for _ in 0..EACH {
            first.push(bench.enter(request(0, "m-0")).await);
        }
        // More of them than may wait are refused, but not those for which there is an engine.
        for route in [0, 2] {
            let other = bench.enter(request(route, "m-1")).await;
            assert!(
                other.is_finished() && other.await.unwrap().is_ok(),
                "{route}"
            );
        }
        let refused = bench.enter(request(0, "m-0")).await;
        assert_eq!(reason(refused).await, Some(Reason::Full));
        assert!(first.iter().all(|entered| !entered.is_finished()));
        let unserved = bench.enter(request(0, "m-9")).await;
        let error = placement::Error::NoInstance;
        assert_eq!(
            reason(unserved).await,
            Some(Reason::Unserved(error)),
            "at once"
        );
    });
}

/// Guards against less urgent requests that take the place kept for the most urgent ones, and against a
/// rank that counts priorities which nobody uses.
#[test]
fn less_urgent_requests_leave_a_place_free() {
    run(async {
        // Offered work by route, requests at the engine, which routes start.
        let cases: [(&[u32], u32, [bool; 3]); 5] = [
            (&[100, 100, 100], FULL, [false, false, false]),
            (&[100, 100, 100], FULL - 1, [true, false, false]),
            (&[100, 100, 100], FULL - 2, [true, true, false]),
            (&[100, 100, 100], FULL - 3, [true, true, true]),
            (&[0, 0, 100], FULL - 1, [true, true, true]),
        ];
        for (offered, requests, expected) in cases {
            for (route, expected) in (0..).zip(expected) {
                let bench = Bench::without_engines(1);
                bench.demand(offered);
                bench.occupy(0, requests);
                let entered = bench.enter_on_time(route).await;
                assert_eq!(
                    entered.is_finished(),
                    expected,
                    "{offered:?} {requests} {route}"
                );
            }
        }
    });
}

/// Guards against a flood of the least urgent that fills the queue, and against requests that wait
/// past their time or after their caller left.
#[test]
fn the_queue_is_bounded_and_forgets_who_left() {
    run(async {
        let bench = Bench::without_engines(1);
        bench.occupy(0, FULL);
        let mut waiting = Vec::new();
        for route in [2, 2, 1, 1] {
            waiting.push(bench.enter_on_time(route).await);
        }
        assert_eq!(
            reason(bench.enter_on_time(2).await).await,
            Some(Reason::Full)
        );
        let urgent = bench.enter_on_time(0).await;
        let displaced = waiting.remove(1);
        assert_eq!(reason(displaced).await, Some(Reason::Displaced));
        assert_eq!(bench.waiting(), 4);
        urgent.abort();
        settle().await;
        assert_eq!(bench.waiting(), 3, "its caller left");
        bench.clock.advance(Duration::from_secs(6));
        bench.occupy(0, FULL);
        for entered in waiting {
            assert_eq!(reason(entered).await, Some(Reason::Expired));
        }
        assert_eq!(bench.waiting(), 0);
    });
}

/// Guards against a caller that does as it was told and is refused again although an engine is free,
/// and against a response that is cut off when its caller resumes it.
#[test]
fn the_fraction_applies_only_to_new_requests() {
    run(async {
        let bench = Bench::without_engines(1);
        bench.demand(&[u32::MAX, u32::MAX, u32::MAX]);
        for route in 0..3 {
            let refusal = bench
                .enter_on_time(route)
                .await
                .await
                .unwrap()
                .err()
                .unwrap();
            assert_eq!(refusal.reason, Reason::Shed);
            assert!(refusal.retry <= Duration::from_secs(2));
            let late = bench.enter(bench.request(route, Timeliness::Late)).await;
            assert!(late.await.unwrap().is_ok(), "{route}");
            let mut resumed = bench.request(route, Timeliness::OnTime);
            resumed.ask.last_event = Some(3);
            let resumed = bench.enter(resumed).await.await.unwrap();
            assert_eq!(resumed.ok().unwrap().rank, 0, "{route}");
        }
    });
}

/// Guards against an entry without reports that admits everything, and against a shortage that stays
/// after the demand has fallen.
#[test]
fn an_entry_without_reports_goes_by_its_own_demand() {
    run(async {
        let bench = Bench::without_engines(1);
        let offer = async || {
            let mut request = bench.request(1, Timeliness::OnTime);
            request.ask.prompt_tokens = 500;
            let entered = bench.enter(request).await;
            bench.clock.advance(Duration::from_millis(100));
            bench.occupy(0, 0);
            reason(entered).await
        };
        let mut refused = 0;
        // Each is half a second of work, and ten come in a second.
        for _ in 0..50 {
            refused += u32::from(offer().await == Some(Reason::Shed));
        }
        assert!((25..50).contains(&refused), "{refused}");
        let demand = bench.relay.site.gate.demand(bench.relay.site.now());
        let [demand] = demand.as_slice() else {
            panic!("{demand:?}");
        };
        assert_eq!(demand.priority, priority(1));
        assert!((3_500..6_500).contains(&demand.offered_ms), "{demand:?}");
        assert!(demand.admitted_ms < demand.offered_ms, "{demand:?}");
        bench.clock.advance(Duration::from_secs(60));
        bench.occupy(0, 0);
        assert_eq!(bench.relay.site.gate.demand(bench.relay.site.now()), []);
        assert_eq!(offer().await, None, "the shortage is over");
    });
}

/// Guards against an entry that takes the demand of others for nothing while their reports are
/// missing, and against one that still guesses it when reports come.
#[test]
fn without_reports_the_other_entries_are_taken_to_have_the_same_demand() {
    run(async {
        // Entries, whether another one reports no demand, whether work is shed. The own demand is
        // half of the capacity.
        let cases = [(1, false, false), (5, false, true), (5, true, false)];
        for (entries, is_reported, expected) in cases {
            let engine = SocketAddr::from(([127, 0, 0, 1], 1));
            let bench = Bench::among(&[engine], entries);
            settle().await;
            // An entry that has just started doesn't know yet how many others there are.
            bench.clock.advance(Duration::from_secs(5));
            let mut refused = 0;
            for _ in 0..50 {
                bench.occupy(0, 0);
                if is_reported {
                    bench.report("entry-1", Content::Entry(Vec::new()));
                }
                let mut request = bench.request(1, Timeliness::OnTime);
                request.ask.prompt_tokens = 50;
                let entered = bench.enter(request).await;
                refused += u32::from(reason(entered).await == Some(Reason::Shed));
                bench.clock.advance(Duration::from_millis(100));
            }
            assert_eq!(refused > 5, expected, "{entries} {is_reported}: {refused}");
            assert!(
                expected || refused == 0,
                "{entries} {is_reported}: {refused}"
            );
        }
    });
}

/// Guards against callers that all come back together, before capacity is free, so soon that they
/// can't be told from callers with shorter deadlines, or after the time that they wait.
#[test]
fn callers_come_back_after_a_typical_response_and_later_in_a_shortage() {
    // Duration of a usual answer, fraction, time left, bounds of the delay, in milliseconds.
    let cases = [
        (1_000, 1.0, 6_000, 1_000, 1_500),
        (1_000, 0.5, 6_000, 1_333, 2_000),
        (1_000, 0.9, 6_000, 1_100, 1_650),
        (100, 0.0, 6_000, 1_000, 1_500),
        (5_000, 0.0, 6_000, 1_333, 2_000),
        (1_000, 1.0, 1_500, 333, 500),
        (1_000, 1.0, 0, 0, 0),
    ];
    for (answer, fraction, left, least, most) in cases {
        let millis = Duration::from_millis;
        let bounds = shared::retry::bounds(millis(answer), fraction, millis(left));
        let got = (bounds.start.as_millis(), bounds.end.as_millis());
        let is_near = |got: u128, expected: u128| got.abs_diff(expected) <= 1;
        assert!(
            is_near(got.0, least) && is_near(got.1, most),
            "{got:?} {least} {most}"
        );
    }
}

const EVENT: &str = "HTTP/1.1 200 OK\r\nid: q\r\nseal: 1\r\ncontent-type: text/event-stream\r\n";

/// Guards against engines that don't learn the urgency, and against a running response that is
/// refused elsewhere because the engine is kept for more urgent requests.
#[test]
fn engines_learn_the_rank_and_a_resumed_response_is_the_most_urgent() {
    run(async {
        let broken = format!("{EVENT}content-length: 900\r\n\r\nid: 1\ndata: a\n\n");
        let whole = "id: 2\ndata: b\n\n";
        let rest = format!("{EVENT}content-length: {}\r\n\r\n{whole}", whole.len());
        let first = Upstream::start(&[&broken]).await;
        let second = Upstream::start(&[&rest]).await;
        let bench = Bench::new(&[first.address, second.address]);
        bench.demand(&[1, 1, 1]);
        // No room for the third priority, but for the first.
        bench.occupy(1, FULL - 1);
        let answer = bench.relay.send("/2/x").await;
        let has = |upstream: &Upstream, text: &str| upstream.heads.borrow()[0].contains(text);
        assert!(answer.contains("data: b"), "{answer}");
        assert!(has(&first, "urgency: 2"));
        assert!(has(&second, "urgency: 0"));
    });
}

/// Guards against decisions of services that don't share by priority that change with reports.
#[test]
fn services_that_do_not_share_by_priority_have_no_demand_and_no_urgency() {
    run(async {
        let whole = "id: 1\ndata: a\n\n";
        let answer = format!("{EVENT}content-length: {}\r\n\r\n{whole}", whole.len());
        let upstream = Upstream::start(&[&answer]).await;
        let relay = Relay::start(&[upstream.address]);
        assert!(relay.send("/stream/x").await.contains("data: a"));
        assert!(!upstream.heads.borrow()[0].contains("urgency"));
        assert_eq!(relay.site.gate.demand(relay.site.now()), []);
    });
}
