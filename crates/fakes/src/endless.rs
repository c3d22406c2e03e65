//! A server that writes without end.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time,
};

/// How much is written at once, in bytes, so that a fast link is filled.
const PART_BYTES: usize = 64 * 1024;
/// The pause between two looks at the connections.
const CLOSED_PERIOD: Duration = Duration::from_millis(10);

/// A server that answers whatever comes by a beginning and then by the same bytes until the
/// connection is closed.
pub struct Endless {
    address: SocketAddr,
    counts: Arc<Counts>,
}

/// Connections on which something came, and those of them that have ended.
#[derive(Default)]
struct Counts {
    begun: AtomicUsize,
    ended: AtomicUsize,
}

impl Endless {
    /// Starts the server on a free port of the loopback address.
    ///
    /// # Errors
    ///
    /// If the port can't be had.
    pub async fn start(
        beginning: impl Into<Vec<u8>>,
        fill: impl Into<Vec<u8>>,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let fill = fill.into();
        let part: Arc<[u8]> = fill.repeat(PART_BYTES / fill.len()).into();
        let beginning: Arc<[u8]> = beginning.into().into();
        let counts = Arc::<Counts>::default();
        let shared = counts.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(answer(
                    stream,
                    beginning.clone(),
                    part.clone(),
                    shared.clone(),
                ));
            }
        });
        Ok(Self { address, counts })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// How many connections it has answered on.
    pub fn begun(&self) -> usize {
        self.counts.begun.load(Ordering::Relaxed)
    }

    /// Waits until all connections that it has answered on are closed.
    pub async fn closed(&self) {
        while self.counts.ended.load(Ordering::Relaxed) < self.begun() {
            time::sleep(CLOSED_PERIOD).await;
        }
    }
}

async fn answer(mut stream: TcpStream, beginning: Arc<[u8]>, part: Arc<[u8]>, counts: Arc<Counts>) {
    if !matches!(stream.read(&mut [0; 4_096]).await, Ok(1..)) {
        return;
    }
    counts.begun.fetch_add(1, Ordering::Relaxed);
    let mut written = stream.write_all(&beginning).await;
    while written.is_ok() {
        written = stream.write_all(&part).await;
    }
    counts.ended.fetch_add(1, Ordering::Relaxed);
}
