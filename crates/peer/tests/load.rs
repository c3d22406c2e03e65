//! Load reports between sockets on the loopback interface.
#![allow(clippy::unwrap_used)]

use std::{cell::RefCell, net::SocketAddr, rc::Rc, sync::Arc, time::Duration};

use domain::{
    clock::{Clock, Instant},
    load::{Content, Demand, Engine, Priority, Report},
};
use opentelemetry::metrics::{MeterProvider, noop::NoopMeterProvider};
use peer::load::{Endpoint, Node, decode, encode};
use policy::load::exchange::{
    AGENT_FANOUT, ENGINE_PERIOD, MAX_DATAGRAM_BYTES, Outgoing, Refusal, bounded,
};
use slog::{Discard, Logger, o};
use tokio::{
    net::UdpSocket,
    sync::mpsc,
    task::{LocalSet, spawn_local},
    time,
};

/// Far above the time that a datagram takes.
const LIMIT: Duration = Duration::from_secs(20);

struct Still;

impl Clock for Still {
    fn now(&self) -> Instant {
        Instant::ZERO
    }

    fn wall_ms(&self) -> u64 {
        0
    }
}

/// Sends what the test hands it, and hands the test what comes.
struct Desk {
    due: RefCell<Vec<Outgoing>>,
    came: mpsc::UnboundedSender<Report>,
    /// Where reports are forwarded.
    next: Vec<SocketAddr>,
}

impl Node for Desk {
    fn take(&self) -> Vec<Outgoing> {
        self.due.take()
    }

    fn receive(&self, report: Report) -> Result<Option<Outgoing>, Refusal> {
        self.came.send(report.clone()).unwrap();
        Ok(Some(Outgoing {
            report,
            receivers: self.next.clone(),
        }))
    }
}

fn endpoint(
    due: Vec<Outgoing>,
    next: Vec<SocketAddr>,
) -> (Endpoint, mpsc::UnboundedReceiver<Report>) {
    let (came, reports) = mpsc::unbounded_channel();
    let due = RefCell::new(due);
    let desk = Rc::new(Desk { due, came, next });
    let logger = Logger::root(Discard, o!());
    let meter = NoopMeterProvider::new().meter("test");
    (
        Endpoint::new(desk, Arc::new(Still), logger, &meter),
        reports,
    )
}

fn report(content: Content) -> Report {
    Report {
        sender: "agent.machine-12".into(),
        zone: "zone-a".into(),
        incarnation: 1_765_000_000_000,
        sequence: 100_000,
        content,
    }
}

fn engine() -> Content {
    Content::Engine(Engine {
        address: "10.0.0.1:8080".parse().unwrap(),
        active: 12,
        queued: 24,
        pace_percent: 135,
        memory_percent: 80,
        moves_in_ms: Some(1_500),
    })
}

fn demand(count: usize, name: &str) -> Vec<Demand> {
    let part = |n| Demand {
        service: name.into(),
        priority: Priority {
            customer: 0,
            route: n as u8,
        },
        offered_ms: 40_000,
        admitted_ms: 30_000,
        waiting: 300,
    };
    (0..count).map(part).collect()
}

/// Guards against a socket that ends, or stops forwarding, after datagrams that hold no report, are
/// too large, or go to a port that nobody listens at.
#[test]
fn reports_pass_after_bad_datagrams() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    LocalSet::new().block_on(&runtime, async {
        let bind = || UdpSocket::bind("127.0.0.1:0");
        let (first, second, third) = (bind().await, bind().await, bind().await);
        let (first, second, third) = (first.unwrap(), second.unwrap(), third.unwrap());
        let (to_second, to_third) = (second.local_addr().unwrap(), third.local_addr().unwrap());
        let closed = bind().await.unwrap().local_addr().unwrap();

        let stranger = bind().await.unwrap();
        for bad in [Vec::new(), b"no report".to_vec(), vec![0xc0; 9_000]] {
            stranger.send_to(&bad, to_second).await.unwrap();
        }
        let sent = [report(engine()), report(Content::Entry(demand(3, "llm")))];
        let due = sent.iter().map(|report| Outgoing {
            report: report.clone(),
            receivers: vec![closed, to_second],
        });
        let (sender, _) = endpoint(due.collect(), Vec::new());
        let (middle, mut at_second) = endpoint(Vec::new(), vec![closed, to_third]);
        let (last, mut at_third) = endpoint(Vec::new(), Vec::new());
        spawn_local(async move { middle.serve(second).await });
        spawn_local(async move { last.serve(third).await });
        spawn_local(async move { sender.serve(first).await });
        for reports in [&mut at_second, &mut at_third] {
            for expected in &sent {
                let came = time::timeout(LIMIT, reports.recv()).await.unwrap();
                assert_eq!(came.as_ref(), Some(expected));
            }
        }
    });
}

/// Guards against reports that don't survive their encoding or don't fit into a datagram, whatever
/// the number of priorities and the length of names.
#[test]
fn reports_survive_encoding_and_fit() {
    let long = "x".repeat(128);
    for (count, name) in [
        (6, "service-1"),
        (200, "s"),
        (200, "service-1"),
        (200, &long),
    ] {
        let mut report = report(Content::Zone(bounded(demand(count, name))));
        report.sender = long.as_str().into();
        report.zone = long.as_str().into();
        let bytes = encode(&report).unwrap();
        assert_eq!(decode(&bytes).unwrap(), report, "{count} of {name}");
    }
    let large = report(Content::Entry(demand(100, &long)));
    assert_eq!(encode(&large), Err(Refusal::Oversized));
    let bytes = vec![0; MAX_DATAGRAM_BYTES + 1];
    assert_eq!(decode(&bytes), Err(Refusal::Oversized));
}

/// Guards against reports of an agent that use more than the 12 KB/s which a node may spend for
/// control, when they go to as many entries as allowed.
#[test]
fn reports_of_an_agent_keep_to_the_traffic_of_a_node() {
    const NODE_BYTES_PER_S: usize = 12_000;
    const HEADER_BYTES: usize = 28;
    let bytes = encode(&report(engine())).unwrap().len() + HEADER_BYTES;
    let per_s = Duration::from_secs(1).as_millis() / ENGINE_PERIOD.as_millis();
    let sent = bytes * AGENT_FANOUT * per_s as usize;
    assert!(sent <= NODE_BYTES_PER_S, "{sent}");
}

/// Guards against datagrams that end the process.
#[test]
fn any_datagram_is_decoded_or_refused() {
    bolero::check!().with_type::<Vec<u8>>().for_each(|bytes| {
        // Either result is right.
        let _ = decode(bytes);
    });
}
