//! A connection: it can end with a reset, it ends if a caller leaves an answer unread for too long,
//! and it lets a caller that still sends see an early answer.

use std::{
    cell::Cell,
    io,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, ready},
    time::Duration,
};

use socket2::SockRef;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    time::{self, Sleep},
};

/// How long the rest of a request is discarded after an answer that was given before it was read.
/// Without that, the kernel resets the connection, and a caller that still sends may lose the
/// answer.
const LINGER: Duration = Duration::from_secs(1);
/// How much is discarded at once, in bytes.
const DISCARD_BYTES: usize = 16 * 1024;

/// What the requests on a connection say of it.
#[derive(Debug, Default)]
pub(crate) struct Signals {
    /// Whether it ends with a reset. A caller then can't take an answer whose end is that of the
    /// connection for whole, and an instance drops a request that was given up.
    pub(crate) is_broken: Cell<bool>,
    /// Whether the last answer was given before its request was read.
    pub(crate) is_unread: Cell<bool>,
    /// How long the caller may leave the last answer unread, if that is bounded.
    pub(crate) unread_timeout: Cell<Option<Duration>>,
}

/// A connection to a caller or an instance.
pub(crate) struct Socket {
    stream: TcpStream,
    signals: Rc<Signals>,
    /// Runs while the caller does not read.
    stalled: Option<Pin<Box<Sleep>>>,
    /// Runs while the rest of a request is discarded.
    lingers: Option<Pin<Box<Sleep>>>,
}

impl Socket {
    /// Takes a connection.
    pub(crate) fn new(stream: TcpStream, signals: Rc<Signals>) -> Self {
        Self {
            stream,
            signals,
            stalled: None,
            lingers: None,
        }
    }

    /// Ends a write that waits for longer than the caller may leave the answer unread. What is
    /// written waits in the library, which asks for no more of the answer in the meantime.
    fn watch(
        &mut self,
        written: Poll<io::Result<usize>>,
        cx: &mut Context<'_>,
    ) -> Poll<io::Result<usize>> {
        match (&written, self.signals.unread_timeout.get()) {
            (Poll::Pending, Some(timeout)) => {
                let stalled = self
                    .stalled
                    .get_or_insert_with(|| Box::pin(time::sleep(timeout)));
                ready!(stalled.as_mut().poll(cx));
                // The instance's work for it is over too; nothing of the rest is worth sending.
                self.signals.is_broken.set(true);
                let reason = "the caller left the answer unread";
                Poll::Ready(Err(io::Error::new(io::ErrorKind::TimedOut, reason)))
            }
            _ => {
                self.stalled = None;
                written
            }
        }
    }

    /// Reads and drops what the caller still sends, for a while.
    fn discard(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let lingers = self
            .lingers
            .get_or_insert_with(|| Box::pin(time::sleep(LINGER)));
        if lingers.as_mut().poll(cx).is_ready() {
            return Poll::Ready(());
        }
        let mut part = [0; DISCARD_BYTES];
        loop {
            let mut buffer = ReadBuf::new(&mut part);
            let read = ready!(Pin::new(&mut self.stream).poll_read(cx, &mut buffer));
            if read.is_err() || buffer.filled().is_empty() {
                return Poll::Ready(());
            }
        }
    }
}

impl Drop for Socket {
    fn drop(&mut self) {
        if self.signals.is_broken.get() {
            // A socket that takes no options is closed already.
            let _ = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
        }
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buffer)
    }
}

impl AsyncWrite for Socket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, bytes);
        self.watch(written, cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, slices);
        self.watch(written, cx)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.stream).poll_shutdown(cx))?;
        if self.signals.is_unread.get() {
            ready!(self.discard(cx));
        }
        Poll::Ready(Ok(()))
    }
}
