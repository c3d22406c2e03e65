//! The way to one other replica: a bounded queue of messages, and a session for calls.

use std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration};

use domain::replica::{Body, Message};
use futures::{StreamExt, stream::FuturesUnordered};
use peer::{connection::Dialer, replica::Session};
use rand::RngExt;
use slog::{Logger, debug};
use tokio::{sync::mpsc, task::JoinHandle, time};

/// Messages that wait for a session; more are dropped, which the protocol bears.
const QUEUE_MESSAGES: usize = 256;
/// Messages whose receipt is not confirmed yet.
const MAX_IN_FLIGHT: usize = 64;
const MIN_BACKOFF: Duration = Duration::from_millis(50);
const MAX_BACKOFF: Duration = Duration::from_millis(1_000);
/// A snapshot of the whole state over a slow region link takes its time.
const INSTALL_TIMEOUT: Duration = Duration::from_secs(60);

/// The way to one other replica. Dropping it ends its sessions.
pub(super) struct Link {
    queue: mpsc::Sender<Message>,
    task: JoinHandle<()>,
    peer: SocketAddr,
    dialer: Dialer,
    calls: RefCell<Option<Rc<Session>>>,
}

impl Link {
    pub(super) fn new(peer: SocketAddr, dialer: Dialer, logger: Logger) -> Self {
        let (queue, messages) = mpsc::channel(QUEUE_MESSAGES);
        let task = tokio::task::spawn_local(carry(peer, dialer.clone(), messages, logger));
        Self {
            queue,
            task,
            peer,
            dialer,
            calls: RefCell::default(),
        }
    }

    /// Queues a message, and says whether there was room.
    pub(super) fn send(&self, message: Message) -> bool {
        self.queue.try_send(message).is_ok()
    }

    /// A session for calls. [`Self::forget`] it when a call fails.
    pub(super) async fn session(&self) -> Result<Rc<Session>, peer::Error> {
        let known = self.calls.borrow().clone();
        if let Some(session) = known.filter(|session| !session.connection().is_closed()) {
            return Ok(session);
        }
        let session = Rc::new(Session::open(&self.dialer, self.peer).await?);
        *self.calls.borrow_mut() = Some(session.clone());
        Ok(session)
    }

    /// Drops the session: a connection can be silent for good while new ones work.
    pub(super) fn forget(&self) {
        *self.calls.borrow_mut() = None;
    }

    /// Makes one call, and forgets the session if it fails.
    pub(super) async fn call<T>(
        &self,
        call: impl AsyncFnOnce(Rc<Session>) -> Result<T, peer::Error>,
    ) -> Result<T, peer::Error> {
        let result = call(self.session().await?).await;
        if result.is_err() {
            self.forget();
        }
        result
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn carry(
    peer: SocketAddr,
    dialer: Dialer,
    mut messages: mpsc::Receiver<Message>,
    logger: Logger,
) {
    let mut backoff = MIN_BACKOFF;
    loop {
        match Session::open(&dialer, peer).await {
            Ok(session) => {
                debug!(logger, "log: connected"; "peer" => %peer);
                backoff = MIN_BACKOFF;
                let Err(error) = carry_over(Rc::new(session), &dialer, &mut messages).await else {
                    return;
                };
                debug!(logger, "log: connection dropped"; "peer" => %peer, "error" => %error);
            }
            Err(error) => {
                debug!(logger, "log: could not connect"; "peer" => %peer, "error" => %error);
            }
        }
        let jitter = rand::rng().random_range(0.5..1.5);
        time::sleep(backoff.mul_f64(jitter)).await;
        backoff = (backoff * 2).min(MAX_BACKOFF);
        // What waited here is old by now, and the protocol repeats what still matters.
        while messages.try_recv().is_ok() {}
    }
}

/// Carries messages until a call fails, or until the queue is closed.
async fn carry_over(
    session: Rc<Session>,
    dialer: &Dialer,
    messages: &mut mpsc::Receiver<Message>,
) -> Result<(), peer::Error> {
    let mut in_flight = FuturesUnordered::new();
    loop {
        tokio::select! {
            // A message is on its way before the next one is taken.
            biased;
            Some(result) = in_flight.next(), if !in_flight.is_empty() => result?,
            message = messages.recv(), if in_flight.len() < MAX_IN_FLIGHT => {
                let Some(message) = message else { return Ok(()) };
                in_flight.push(step(session.clone(), dialer, message));
            }
        }
    }
}

async fn step(session: Rc<Session>, dialer: &Dialer, message: Message) -> Result<(), peer::Error> {
    match message.body {
        Body::Install { .. } => {
            let dialer = dialer.clone().with_timeout(INSTALL_TIMEOUT);
            let peer = session.connection().peer();
            Session::open(&dialer, peer).await?.step(&message).await
        }
        _ => session.step(&message).await,
    }
}
