//! Counts the bytes that a replica's peers send it and get from it.

use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
};

use tokio::{
    io::{self, AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    task,
};

/// A count shared by all relays of a group.
pub(super) type Count = Arc<AtomicU64>;

/// Passes connections on to `target` and counts, until the listener fails.
pub(super) async fn run(listener: TcpListener, target: std::net::SocketAddr, count: Count) {
    while let Ok((near, _)) = listener.accept().await {
        let Ok(far) = TcpStream::connect(target).await else {
            continue;
        };
        let _ = near.set_nodelay(true);
        let _ = far.set_nodelay(true);
        let (near_in, near_out) = near.into_split();
        let (far_in, far_out) = far.into_split();
        task::spawn_local(pass(near_in, far_out, count.clone()));
        task::spawn_local(pass(far_in, near_out, count.clone()));
    }
}

async fn pass(
    mut from: impl AsyncRead + Unpin,
    mut to: impl AsyncWrite + Unpin,
    count: Count,
) -> io::Result<()> {
    let mut buffer = vec![0; 64 * 1024];
    loop {
        let bytes = from.read(&mut buffer).await?;
        if bytes == 0 {
            return to.shutdown().await;
        }
        count.fetch_add(bytes as u64, Ordering::Relaxed);
        to.write_all(&buffer[..bytes]).await?;
    }
}
