//! A replica on the thread of the test, and what subscribers and operators need to reach it.

use std::{future::Future, net::SocketAddr, rc::Rc, sync::Arc, time::Duration};

use control::{
    core::Core, desk, machine::Machine, metrics::Metrics, service::Service, single::Single,
};
use domain::{
    clock::Clock,
    digest::Digest,
    edit::{Change, Edit, Outcome, Revision},
    record::Cursor,
    vm::{Announcement, Lifecycle, Status, Upstream},
};
use opentelemetry::metrics::{MeterProvider, noop::NoopMeterProvider};
use operator::access::{Access, Operator};
use peer::{
    connection::Dialer,
    control::{Poll, Scope, Session},
    server::Server,
};
use serde_json::json;
use settings::{control::Control, file};
use tokio::{net::TcpListener, task::LocalSet, time};
use tokio_util::sync::CancellationToken;

const SECRET: &[u8] = b"secret";
pub(crate) const OPERATOR_KEY: &str = "operator-key";
/// How long a condition is waited for.
const LIMIT: Duration = Duration::from_secs(20);

/// A running replica with a log in memory.
pub(crate) struct Node {
    pub(crate) core: Rc<Core>,
    pub(crate) log: Rc<Single>,
    pub(crate) peer_addr: SocketAddr,
    pub(crate) operator_addr: SocketAddr,
}

/// Runs a test inside a `LocalSet`.
pub(crate) fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    LocalSet::new().block_on(&runtime, test);
}

fn settings(origin: SocketAddr) -> Control {
    file::check(json!({
        "place": { "vm": "control-1", "zone": "durban", "region": "kwazulu-natal" },
        "secret_file": "secret",
        "data": "data",
        "peer_listen": "127.0.0.1:0",
        "operator_listen": "127.0.0.1:0",
        "status_listen": "127.0.0.1:0",
        "replicas": ["127.0.0.1:1"],
        "operators": [{ "name": "test", "key_digest": Digest::of(OPERATOR_KEY.as_bytes()) }],
        "origin": origin,
        "session_ms": 500,
    }))
    .unwrap()
}

impl Node {
    /// A replica whose origin nobody can reach, once it is ready.
    pub(crate) async fn start() -> Self {
        Self::start_with_origin(SocketAddr::from(([127, 20, 99, 1], 9))).await
    }

    pub(crate) async fn start_with_origin(origin: SocketAddr) -> Self {
        let clock: Arc<dyn Clock> = Arc::new(host::clock::Boot);
        let metrics = Metrics::new(&NoopMeterProvider::new().meter("test"));
        let logger = telemetry::log::discard();
        let core = Core::new(settings(origin), clock, logger, metrics);
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let listener = TcpListener::bind(any).await.unwrap();
        let peer_addr = listener.local_addr().unwrap();
        let log = Single::new(Machine::new(core.clone()), peer_addr);
        core.bind(log.clone());
        let server = Server::new(SECRET).with_control(Service::new(core.clone()));
        tokio::task::spawn_local(async move {
            server.run(listener).await.unwrap();
        });
        let (desk, inbox) = desk::pair(origin::Client::new(origin));
        tokio::task::spawn_local(inbox.run(core.clone()));
        let operators = TcpListener::bind(any).await.unwrap();
        let operator_addr = operators.local_addr().unwrap();
        let access = Access::new(vec![Operator {
            name: "test".into(),
            key_digest: Digest::of(OPERATOR_KEY.as_bytes()),
        }]);
        let router = operator::router::router(Arc::new(desk), access);
        tokio::spawn(async move {
            let drain = CancellationToken::new();
            operator::server::run(operators, router, drain)
                .await
                .unwrap();
        });
        let node = Self {
            core,
            log,
            peer_addr,
            operator_addr,
        };
        node.wait_until(|core| core.obstacles().is_empty()).await;
        node
    }

    pub(crate) async fn session(&self) -> Session {
        Session::open(&dialer(), self.peer_addr).await.unwrap()
    }

    pub(crate) fn operator(&self) -> operator::Client {
        operator::Client::new(vec![self.operator_addr], OPERATOR_KEY)
    }

    pub(crate) async fn wait_until(&self, is_done: impl Fn(&Core) -> bool) {
        let reached = async {
            while !is_done(&self.core) {
                time::sleep(Duration::from_millis(10)).await;
            }
        };
        time::timeout(LIMIT, reached).await.unwrap();
    }
}

pub(crate) fn dialer() -> Dialer {
    Dialer::new(SECRET)
}

pub(crate) fn poll(cursor: Cursor, scope: Scope, wait_ms: u64) -> Poll {
    Poll {
        cursor,
        scope,
        wait: Duration::from_millis(wait_ms),
    }
}

pub(crate) fn edit(id: &str, change: Change) -> Edit {
    Edit {
        id: id.into(),
        base: None,
        change,
        allow_outage: false,
        author: None,
    }
}

pub(crate) fn zone(name: &str, in_service: bool) -> Change {
    Change::Zone {
        zone: name.into(),
        in_service,
    }
}

pub(crate) fn accepted(revision: u64) -> Outcome {
    Outcome::Accepted {
        revision: Revision(revision),
    }
}

pub(crate) fn announcement(n: u8, incarnation: u64) -> Announcement {
    Announcement {
        vm: format!("vm-{n}").as_str().into(),
        zone: ["durban", "saldanha"][usize::from(n % 2)].into(),
        region: "r".into(),
        incarnation,
        call_addr: SocketAddr::from(([127, 20, 98, n], 1)),
        chunk_addr: SocketAddr::from(([127, 20, 98, n], 2)),
        upstream: Upstream::Service {
            name: "berths".into(),
        },
    }
}

pub(crate) fn status(lifecycle: Lifecycle) -> Status {
    Status {
        lifecycle,
        holdings: Default::default(),
        fence: Default::default(),
        limit: 4,
    }
}
