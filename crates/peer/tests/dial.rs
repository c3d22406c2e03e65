//! Connections to peers that do not answer at first.
#![allow(clippy::unwrap_used)]

use std::{net::SocketAddr, time::Duration};

use peer::connection::Dialer;
use tokio::{
    net::{TcpSocket, TcpStream},
    task::LocalSet,
    time,
};

/// Below the second after which the kernel sends a lost first packet again.
const TIMEOUT: Duration = Duration::from_millis(950);

/// A listener whose queue is full drops the first packets of connections, as a peer does that has
/// no power yet.
#[tokio::test]
async fn a_lost_first_packet_costs_less_than_the_kernels_second() {
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind(SocketAddr::from(([127, 0, 0, 1], 0))).unwrap();
    let listener = socket.listen(1).unwrap();
    let addr = listener.local_addr().unwrap();
    let mut queued = Vec::new();
    while let Ok(Ok(stream)) =
        time::timeout(Duration::from_millis(50), TcpStream::connect(addr)).await
    {
        queued.push(stream);
    }
    let accepting = async {
        time::sleep(Duration::from_millis(100)).await;
        let mut taken = Vec::new();
        loop {
            taken.push(listener.accept().await.unwrap());
        }
    };
    let dialer = Dialer::new(*b"secret").with_timeout(TIMEOUT);
    let local = LocalSet::new();
    let dialled = local.run_until(async {
        tokio::select! {
            connection = dialer.dial(addr) => connection.map(|_| ()),
            () = accepting => unreachable!("the listener accepts for ever"),
        }
    });
    dialled.await.unwrap();
}
