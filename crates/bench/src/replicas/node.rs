//! One replica on a thread of its own.

use std::{
    cell::RefCell, net::SocketAddr, path::PathBuf, rc::Rc, sync::Arc, thread, time::Duration,
};

use control::{
    log::{Error, Log, Machine, Role},
    replication::{self, Setup, Vms},
};
use domain::{
    command::{Command, Reply},
    record,
};
use opentelemetry::metrics::{MeterProvider, noop::NoopMeterProvider};
use peer::{control::Answer, seeds::Seeds, server::Server};
use policy::replica::{Promotion, Timing};
use tokio::{
    net::TcpListener,
    sync::{mpsc, oneshot},
    task::LocalSet,
};

use super::relay::{self, Count};

/// The shared secret of the bench.
const SECRET: [u8; 6] = *b"secret";

/// Keeps the last commands, so that a snapshot has some size.
#[derive(Default)]
struct Recent(Vec<u64>);

impl Machine for Recent {
    fn apply(&mut self, _: u64, _: u64, command: Command) -> Reply {
        if let Command::Expire { before_ms } = command {
            self.0.push(before_ms);
        }
        Reply::Done
    }

    fn snapshot(&self) -> Vec<u8> {
        peer::pack::encode(&self.0).unwrap_or_default()
    }

    fn restore(&mut self, _: u64, bytes: &[u8]) -> Result<(), rmp_serde::decode::Error> {
        self.0 = rmp_serde::from_slice(bytes)?;
        Ok(())
    }
}

struct NoVms;

impl Vms for NoVms {
    fn vms(&self, _: record::Cursor, _: Duration) -> Answer<record::Batch> {
        Box::pin(async { Err(capnp::Error::failed("no sessions here".to_owned())) })
    }
}

/// How a replica stands.
#[derive(Clone, Copy, Debug)]
pub(super) struct View {
    pub(super) is_leader: bool,
    pub(super) applied: usize,
    pub(super) age: Option<Duration>,
}

enum Question {
    Submit(Command, oneshot::Sender<Result<Reply, Error>>),
    View(oneshot::Sender<View>),
    Freeze(Duration),
}

/// Where and how a replica runs.
#[derive(Clone)]
pub(super) struct Seat {
    pub(super) folder: PathBuf,
    pub(super) address: SocketAddr,
    pub(super) replicas: Vec<SocketAddr>,
    pub(super) snapshot_entries: u64,
    pub(super) timing: Timing,
    /// Where the bytes are counted, if they are.
    pub(super) count: Option<Count>,
}

/// A running replica. Dropping it is a crash.
pub(super) struct Node {
    questions: Option<mpsc::UnboundedSender<Question>>,
    thread: Option<thread::JoinHandle<()>>,
}

impl Node {
    pub(super) fn new(seat: Seat) -> Self {
        let (questions, receiver) = mpsc::unbounded_channel();
        let thread = thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build();
            if let Ok(runtime) = runtime
                && let Err(error) = LocalSet::new().block_on(&runtime, serve(seat, receiver))
            {
                eprintln!("replica: {error}");
            }
        });
        Self {
            questions: Some(questions),
            thread: Some(thread),
        }
    }

    /// Submits a command; the answer comes through the receiver.
    pub(super) fn submit(&self, number: u64) -> oneshot::Receiver<Result<Reply, Error>> {
        let (sender, reply) = oneshot::channel();
        let command = Command::Expire { before_ms: number };
        self.ask(Question::Submit(command, sender));
        reply
    }

    pub(super) fn view(&self) -> Option<View> {
        let (sender, reply) = oneshot::channel();
        self.ask(Question::View(sender));
        reply.blocking_recv().ok()
    }

    /// Stops the replica's thread for a while.
    pub(super) fn freeze(&self, span: Duration) {
        self.ask(Question::Freeze(span));
    }

    fn ask(&self, question: Question) {
        if let Some(questions) = &self.questions {
            let _ = questions.send(question);
        }
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.questions = None;
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

async fn serve(
    seat: Seat,
    mut questions: mpsc::UnboundedReceiver<Question>,
) -> Result<(), Box<dyn std::error::Error>> {
    let recent = Rc::new(RefCell::new(Recent::default()));
    let setup = Setup {
        folder: seat.folder,
        address: seat.address,
        seeds: Seeds::new(seat.replicas),
        may_found: true,
        promotion: Promotion::Manual,
        timing: seat.timing,
        snapshot_entries: seat.snapshot_entries,
        secret: Arc::from(SECRET),
        clock: Arc::new(host::clock::Boot),
        logger: telemetry::log::discard(),
        meter: NoopMeterProvider::new().meter("bench"),
    };
    let replication = replication::open(setup, recent.clone(), Rc::new(NoVms)).await?;
    let listener = TcpListener::bind(seat.address).await?;
    let listener = match seat.count {
        None => listener,
        Some(count) => {
            let inner = TcpListener::bind((seat.address.ip(), 0)).await?;
            let target = inner.local_addr()?;
            tokio::task::spawn_local(relay::run(listener, target, count));
            inner
        }
    };
    let server = Server::new(SECRET).with_replica(replication.service);
    tokio::task::spawn_local(server.run(listener));
    tokio::task::spawn_local(replication.run);
    while let Some(question) = questions.recv().await {
        answer(&replication.log, &recent, question);
    }
    Ok(())
}

fn answer(log: &Rc<dyn Log>, recent: &Rc<RefCell<Recent>>, question: Question) {
    match question {
        Question::Submit(command, sender) => {
            let reply = log.submit(command);
            tokio::task::spawn_local(async move { sender.send(reply.await) });
        }
        Question::View(sender) => {
            let view = View {
                is_leader: log.standing().role == Role::Leader,
                applied: recent.borrow().0.len(),
                age: log.age(),
            };
            let _ = sender.send(view);
        }
        Question::Freeze(span) => thread::sleep(span),
    }
}
