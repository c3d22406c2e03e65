//! A relay in front of a replica that counts the bytes of its subscribers.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

use crate::error::Error;

/// How much is passed on at a time.
const BUFFER_BYTES: usize = 16 * 1024;

/// Bytes in both directions.
#[derive(Clone, Debug, Default)]
pub struct Counter(Arc<AtomicU64>);

impl Counter {
    /// The bytes so far.
    pub fn bytes(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }

    fn add(&self, bytes: usize) {
        self.0.fetch_add(bytes as u64, Ordering::Relaxed);
    }
}

/// Starts a relay to a replica and returns its address.
///
/// # Errors
///
/// If no address can be listened on.
pub async fn start(replica: SocketAddr, counter: Counter) -> Result<SocketAddr, Error> {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let listener = TcpListener::bind(any)
        .await
        .map_err(Error::step("listen for a relay"))?;
    let addr = listener
        .local_addr()
        .map_err(Error::step("listen for a relay"))?;
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(pass(stream, replica, counter.clone()));
        }
    });
    Ok(addr)
}

async fn pass(near: TcpStream, replica: SocketAddr, counter: Counter) {
    let Ok(far) = TcpStream::connect(replica).await else {
        return;
    };
    if near.set_nodelay(true).is_err() || far.set_nodelay(true).is_err() {
        return;
    }
    let (near_reader, near_writer) = near.into_split();
    let (far_reader, far_writer) = far.into_split();
    tokio::join!(
        copy(near_reader, far_writer, counter.clone()),
        copy(far_reader, near_writer, counter),
    );
}

async fn copy(
    mut from: impl AsyncReadExt + Unpin,
    mut to: impl AsyncWriteExt + Unpin,
    counter: Counter,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        match from.read(&mut buffer).await {
            Ok(0) | Err(_) => return,
            Ok(bytes) if to.write_all(&buffer[..bytes]).await.is_err() => return,
            Ok(bytes) => counter.add(bytes),
        }
    }
}
