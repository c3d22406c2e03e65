//! One replica on a thread of its own, and what a test may ask it.

use std::{
    cell::RefCell,
    net::SocketAddr,
    path::PathBuf,
    rc::Rc,
    sync::{Arc, mpsc},
    thread,
    time::Duration,
};

use control::{
    log::{Error, Log, Machine, Standing},
    replication::{self, Setup, Vms},
};
use domain::{
    command::{Command, Reply},
    record,
    replica::Identity,
};
use opentelemetry::metrics::{MeterProvider, noop::NoopMeterProvider};
use peer::{control::Answer, seeds::Seeds, server::Server};
use policy::replica::{Promotion, Timing};
use tokio::{net::TcpListener, sync::mpsc as questions, task::LocalSet};

/// The list of all numbers that were submitted.
#[derive(Default)]
struct Numbers(Vec<u64>);

impl Machine for Numbers {
    fn apply(&mut self, _: u64, _: u64, command: Command) -> Reply {
        if let Command::Expire { before_ms } = command
            && !self.0.contains(&before_ms)
        {
            self.0.push(before_ms);
        }
        Reply::Done
    }

    fn snapshot(&self) -> Vec<u8> {
        peer::pack::encode(&self.0).unwrap()
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
#[derive(Debug)]
pub(crate) struct View {
    pub(crate) standing: Standing,
    pub(crate) age: Option<Duration>,
    pub(crate) numbers: Vec<u64>,
}

enum Question {
    Submit(u64, mpsc::Sender<Result<(), Error>>),
    Replace(Identity, SocketAddr, mpsc::Sender<Result<(), Error>>),
    View(mpsc::Sender<View>),
    Freeze(Duration),
}

/// Where and how a replica runs.
#[derive(Clone)]
pub(crate) struct Seat {
    pub(crate) folder: PathBuf,
    pub(crate) address: SocketAddr,
    pub(crate) replicas: Vec<SocketAddr>,
    pub(crate) snapshot_entries: u64,
    pub(crate) promotion: Promotion,
}

/// A running replica. Dropping it is a crash: nothing is said to the others.
pub(crate) struct Node {
    questions: Option<questions::UnboundedSender<Question>>,
    thread: Option<thread::JoinHandle<()>>,
}

impl Node {
    pub(crate) fn new(seat: Seat) -> Self {
        let (questions, receiver) = questions::unbounded_channel();
        let thread = thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build()
                .unwrap();
            LocalSet::new().block_on(&runtime, serve(seat, receiver));
        });
        Self {
            questions: Some(questions),
            thread: Some(thread),
        }
    }

    pub(crate) fn submit(&self, number: u64) -> Result<(), Error> {
        let (sender, reply) = mpsc::channel();
        self.ask(Question::Submit(number, sender));
        reply.recv().unwrap()
    }

    pub(crate) fn replace(&self, old: Identity, address: SocketAddr) -> Result<(), Error> {
        let (sender, reply) = mpsc::channel();
        self.ask(Question::Replace(old, address, sender));
        reply.recv().unwrap()
    }

    pub(crate) fn view(&self) -> View {
        let (sender, reply) = mpsc::channel();
        self.ask(Question::View(sender));
        reply.recv().unwrap()
    }

    /// Stops the replica's thread for a while, as a paused VM does.
    pub(crate) fn freeze(&self, span: Duration) {
        self.ask(Question::Freeze(span));
    }

    fn ask(&self, question: Question) {
        self.questions.as_ref().unwrap().send(question).ok();
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

async fn serve(seat: Seat, mut questions: questions::UnboundedReceiver<Question>) {
    let numbers = Rc::new(RefCell::new(Numbers::default()));
    let setup = Setup {
        folder: seat.folder,
        address: seat.address,
        seeds: Seeds::new(seat.replicas),
        may_found: true,
        promotion: seat.promotion,
        timing: Timing::new(Duration::from_millis(50), Duration::from_millis(300)),
        snapshot_entries: seat.snapshot_entries,
        secret: Arc::from(*b"secret"),
        clock: Arc::new(host::clock::Boot),
        logger: telemetry::log::discard(),
        meter: NoopMeterProvider::new().meter("test"),
    };
    let replication = replication::open(setup, numbers.clone(), Rc::new(NoVms))
        .await
        .unwrap();
    let listener = TcpListener::bind(seat.address).await.unwrap();
    let server = Server::new(*b"secret").with_replica(replication.service);
    tokio::task::spawn_local(server.run(listener));
    tokio::task::spawn_local(replication.run);
    while let Some(question) = questions.recv().await {
        answer(&replication.log, &numbers, question);
    }
}

fn answer(log: &Rc<dyn Log>, numbers: &Rc<RefCell<Numbers>>, question: Question) {
    match question {
        Question::Submit(number, sender) => {
            let reply = log.submit(Command::Expire { before_ms: number });
            tokio::task::spawn_local(async move { sender.send(reply.await.map(|_| ())) });
        }
        Question::Replace(old, address, sender) => {
            let reply = log.replace(old, address);
            tokio::task::spawn_local(async move { sender.send(reply.await) });
        }
        Question::View(sender) => {
            let view = View {
                standing: log.standing(),
                age: log.age(),
                numbers: numbers.borrow().0.clone(),
            };
            sender.send(view).ok();
        }
        Question::Freeze(span) => thread::sleep(span),
    }
}
