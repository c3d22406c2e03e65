//! What control hears of a VM, whenever its status changes.
#![allow(clippy::unwrap_used)]

use std::{rc::Rc, sync::Arc, time::Duration};

use domain::{
    clock::{Clock, Instant},
    ledger, name,
    order::Fence,
    quarantine,
    record::Batch,
    vm::{Announcement, Lifecycle, Status, Upstream, Vm},
};
use futures::FutureExt;
use peer::{
    connection::Dialer,
    control::{Answer, Poll, Scope, Service},
    seeds::Seeds,
    server::Server,
    uplink::{Client, Config},
};
use slog::{Discard, Logger, o};
use tokio::{
    net::TcpListener,
    sync::{Semaphore, mpsc, watch},
    task::LocalSet,
    time,
};

const SECRET: &[u8] = b"between processes";
/// Far above the time between two heartbeats.
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

/// A replica that answers a heartbeat when the test lets it.
struct Replica {
    announced: mpsc::UnboundedSender<Status>,
    asked: mpsc::UnboundedSender<()>,
    answers: Rc<Semaphore>,
}

impl Service for Replica {
    fn poll(&self, _: Poll) -> Answer<Batch> {
        std::future::pending().boxed_local()
    }

    fn announce(&self, _: Announcement, status: Status) -> Answer<()> {
        let sent = self.announced.send(status);
        async move { sent.map_err(|_| capnp::Error::failed("the test is over".to_owned())) }
            .boxed_local()
    }

    fn heartbeat(&self, _: name::Vm, _: u64) -> Answer<bool> {
        // The test may have heard enough.
        let _ = self.asked.send(());
        let answers = self.answers.clone();
        async move {
            answers.acquire().await.unwrap().forget();
            Ok(true)
        }
        .boxed_local()
    }

    fn leave(&self, _: name::Vm, _: u64) -> Answer<()> {
        async { Ok(()) }.boxed_local()
    }

    fn ledger(&self, _: ledger::Write) -> Answer<ledger::Reply> {
        std::future::pending().boxed_local()
    }

    fn quarantine(&self, _: quarantine::Write) -> Answer<quarantine::Reply> {
        std::future::pending().boxed_local()
    }
}

fn vm(limit: u32) -> Option<Arc<Vm>> {
    let addr = "127.0.0.1:1".parse().unwrap();
    Some(Arc::new(Vm {
        announcement: Announcement {
            vm: "sesriem-1".into(),
            zone: "north".into(),
            region: "west".into(),
            incarnation: 1,
            call_addr: addr,
            chunk_addr: addr,
            upstream: Upstream::Engine {
                checks_fencing: true,
            },
        },
        status: Status {
            lifecycle: Lifecycle::Warm,
            holdings: Default::default(),
            fence: Fence::default(),
            limit,
        },
    }))
}

#[test]
fn a_change_during_a_heartbeat_is_announced() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    LocalSet::new().block_on(&runtime, async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        let (announced, mut statuses) = mpsc::unbounded_channel();
        let (asked, mut heartbeats) = mpsc::unbounded_channel();
        let answers = Rc::new(Semaphore::new(0));
        let replica = Replica {
            announced,
            asked,
            answers: answers.clone(),
        };
        let server = Server::new(SECRET).with_control(Rc::new(replica));
        tokio::task::spawn_local(server.run(listener));
        let (presence, reports) = watch::channel(vm(1));
        let config = Config {
            vm: "sesriem-1".into(),
            zone: "north".into(),
            control: Seeds::new([addr]),
            dialer: Dialer::new(SECRET),
            scope: Scope::Agent,
            logger: Logger::root(Discard, o!()),
        };
        let _client = Client::new(config, Arc::new(Still), Some(reports)).unwrap();

        time::timeout(LIMIT, heartbeats.recv()).await.unwrap();
        presence.send_replace(vm(2));
        answers.add_permits(1_000);
        let heard = async {
            while let Some(status) = statuses.recv().await {
                if status.limit == 2 {
                    return;
                }
            }
        };
        let heard = time::timeout(LIMIT, heard).await;
        assert!(heard.is_ok(), "control never heard of the change");
    });
}
