//! The UDP socket of load reports.
//!
//! A lost report is replaced by the next one, so nothing is repeated or acknowledged. What to send
//! and what to accept are decisions of `policy::load::exchange`. See `docs/design/load-reports.md`.

use std::{cell::RefCell, fmt::Display, io, net::SocketAddr, rc::Rc, sync::Arc, time::Duration};

use domain::{
    clock::{Clock, Instant},
    load::{Content, Report},
};
use opentelemetry::{
    KeyValue,
    metrics::{Counter, Meter},
};
use policy::load::exchange::{MAX_DATAGRAM_BYTES, Outgoing, Refusal};
use slog::{Logger, info, warn};
use telemetry::budget::{Budget, Class, Rate};
use tokio::{net::UdpSocket, time};

/// How often it is checked whether reports are due.
const TICK: Duration = Duration::from_millis(20);
/// The pause after an error of the socket, so that a lasting one doesn't occupy the processor.
const ERROR_PAUSE: Duration = Duration::from_millis(20);
/// The pause before the next attempt to bind the address.
const BIND_RETRY: Duration = Duration::from_secs(1);
/// Log lines about dropped reports and errors of the socket.
const LINES: Rate = Rate {
    per_s: 1,
    burst: 10,
};

/// What sends and receives reports.
pub trait Node {
    /// Returns the reports that are due.
    fn take(&self) -> Vec<Outgoing>;
    /// Handles a received report. Returns what is to be forwarded.
    ///
    /// # Errors
    ///
    /// [`Refusal`] if the report was dropped.
    fn receive(&self, report: Report) -> Result<Option<Outgoing>, Refusal>;
}

/// Encodes a report.
///
/// # Errors
///
/// [`Refusal::Oversized`] if it doesn't fit into a datagram, [`Refusal::Malformed`] if it has no
/// encoding.
pub fn encode(report: &Report) -> Result<Vec<u8>, Refusal> {
    // Fields go without their names, to keep datagrams small.
    match rmp_serde::to_vec(report) {
        Ok(bytes) if bytes.len() > MAX_DATAGRAM_BYTES => Err(Refusal::Oversized),
        Ok(bytes) => Ok(bytes),
        Err(_) => Err(Refusal::Malformed),
    }
}

/// Decodes a datagram.
///
/// # Errors
///
/// [`Refusal::Oversized`] or [`Refusal::Malformed`].
pub fn decode(datagram: &[u8]) -> Result<Report, Refusal> {
    match datagram.len() > MAX_DATAGRAM_BYTES {
        true => Err(Refusal::Oversized),
        false => rmp_serde::from_slice(datagram).map_err(|_| Refusal::Malformed),
    }
}

struct Meters {
    sent: Counter<u64>,
    received: Counter<u64>,
    dropped: Counter<u64>,
    errors: Counter<u64>,
}

impl Meters {
    fn new(meter: &Meter) -> Self {
        let counter = |name: &'static str, description: &'static str| {
            meter
                .u64_counter(name)
                .with_description(description)
                .build()
        };
        Self {
            sent: counter(
                "gypsum_load_reports_sent",
                "Load reports sent, one for each receiver, by kind",
            ),
            received: counter(
                "gypsum_load_reports_received",
                "Load reports received and accepted, by kind",
            ),
            dropped: counter(
                "gypsum_load_reports_dropped",
                "Load reports received and dropped, by reason",
            ),
            errors: counter(
                "gypsum_load_socket_errors",
                "Errors of the socket of load reports, by step",
            ),
        }
    }
}

fn kind(report: &Report) -> KeyValue {
    let kind = match report.content {
        Content::Engine(_) => "engine",
        Content::Entry(_) => "entry",
        Content::Zone(_) => "zone",
    };
    KeyValue::new("kind", kind)
}

/// Sends and receives the reports of one process.
pub struct Endpoint {
    node: Rc<dyn Node>,
    clock: Arc<dyn Clock>,
    logger: Logger,
    meters: Meters,
    lines: RefCell<Budget>,
}

impl Endpoint {
    /// Creates the endpoint of a process.
    pub fn new(node: Rc<dyn Node>, clock: Arc<dyn Clock>, logger: Logger, meter: &Meter) -> Self {
        Self {
            node,
            clock,
            logger,
            meters: Meters::new(meter),
            lines: RefCell::new(Budget::new(LINES, LINES)),
        }
    }

    /// Binds the address, as often as it takes, and exchanges reports for as long as it is polled.
    /// Without reports a process still works, so an address that is in use doesn't end it.
    pub async fn run(self, address: SocketAddr) {
        loop {
            match UdpSocket::bind(address).await {
                Ok(socket) => {
                    info!(self.logger, "load: reports are exchanged"; "address" => %address);
                    return self.serve(socket).await;
                }
                Err(error) => self.fail("bind", &address, &error),
            }
            time::sleep(BIND_RETRY).await;
        }
    }

    /// Exchanges reports through a bound socket for as long as it is polled.
    pub async fn serve(&self, socket: UdpSocket) {
        // One byte more than allowed, so that a larger datagram is recognised.
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES + 1];
        let mut ticks = time::interval(TICK);
        ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
        loop {
            let received = tokio::select! {
                _ = ticks.tick() => None,
                received = socket.recv_from(&mut buffer) => Some(received),
            };
            match received {
                None => {
                    for outgoing in self.node.take() {
                        self.send(&socket, &outgoing).await;
                    }
                }
                Some(Ok((length, sender))) => {
                    let datagram = &buffer[..length];
                    match decode(datagram).and_then(|report| self.receive(report)) {
                        Ok(Some(outgoing)) => self.send(&socket, &outgoing).await,
                        Ok(None) => {}
                        Err(refusal) => self.drop(refusal, sender),
                    }
                }
                Some(Err(error)) => {
                    self.fail("receive", &"any", &error);
                    time::sleep(ERROR_PAUSE).await;
                }
            }
        }
    }

    fn receive(&self, report: Report) -> Result<Option<Outgoing>, Refusal> {
        let kind = kind(&report);
        let forwarded = self.node.receive(report)?;
        self.meters.received.add(1, &[kind]);
        Ok(forwarded)
    }

    async fn send(&self, socket: &UdpSocket, outgoing: &Outgoing) {
        let bytes = match encode(&outgoing.report) {
            Ok(bytes) => bytes,
            Err(refusal) => {
                let error = io::Error::other(refusal);
                return self.fail("encode", &"any", &error);
            }
        };
        for receiver in &outgoing.receivers {
            match socket.send_to(&bytes, receiver).await {
                Ok(_) => self.meters.sent.add(1, &[kind(&outgoing.report)]),
                Err(error) => self.fail("send", receiver, &error),
            }
        }
    }

    fn drop(&self, refusal: Refusal, sender: SocketAddr) {
        let reason = KeyValue::new("reason", refusal.to_string());
        self.meters.dropped.add(1, &[reason]);
        // Zone sums arrive from two forwarders, and views of the feed differ for a moment.
        let is_usual = matches!(refusal, Refusal::Outdated | Refusal::NotShared);
        if is_usual {
            return;
        }
        if let Some(omitted) = self.admit() {
            info!(self.logger, "load: report dropped"; "sender" => %sender, "reason" => %refusal,
                "omitted" => omitted);
        }
    }

    fn fail(&self, step: &'static str, peer: &dyn Display, error: &io::Error) {
        self.meters.errors.add(1, &[KeyValue::new("step", step)]);
        if let Some(omitted) = self.admit() {
            warn!(self.logger, "load: socket failed"; "step" => step, "peer" => %peer,
                "reason" => %error, "omitted" => omitted);
        }
    }

    fn admit(&self) -> Option<u64> {
        let now = self.clock.now().since(Instant::ZERO);
        self.lines.borrow_mut().admit(Class::Failure, now)
    }
}
