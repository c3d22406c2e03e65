//! A connection that fails once its other end is silent at its opening, or takes nothing later.
//!
//! Without it a caller that stops reading would hold its upstream until the call's deadline, and
//! one that never says which protocol it speaks would hold a connection for good.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll, ready},
    time::Duration,
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    time::{Instant, Sleep, sleep},
};

/// Enough bytes to tell the protocol: the length of the preface of HTTP/2.
const OPENING_BYTES: usize = 24;

/// A TCP connection with a limit on its opening and on stalled writes.
#[derive(Debug)]
pub struct Stream {
    inner: TcpStream,
    limit: Duration,
    opening: Option<Pin<Box<Sleep>>>,
    received: usize,
    timer: Pin<Box<Sleep>>,
    is_stalled: bool,
}

impl Stream {
    /// Wraps a connection that must say something within `opening`, and whose other end may take
    /// nothing for at most `limit`.
    pub fn new(inner: TcpStream, opening: Duration, limit: Duration) -> Self {
        Self {
            inner,
            limit,
            opening: Some(Box::pin(sleep(opening))),
            received: 0,
            timer: Box::pin(sleep(limit)),
            is_stalled: false,
        }
    }

    fn check<T>(
        &mut self,
        cx: &mut Context<'_>,
        written: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if written.is_ready() {
            self.opening = None;
            self.is_stalled = false;
            return written;
        }
        if !self.is_stalled {
            self.is_stalled = true;
            self.timer.as_mut().reset(Instant::now() + self.limit);
        }
        ready!(self.timer.as_mut().poll(cx));
        let millis = self.limit.as_millis();
        let message = format!("the peer has taken nothing for {millis} ms");
        Poll::Ready(Err(io::Error::new(io::ErrorKind::TimedOut, message)))
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let read = Pin::new(&mut self.inner).poll_read(cx, buf);
        self.received += buf.filled().len() - before;
        if self.received >= OPENING_BYTES {
            self.opening = None;
        }
        match (read, &mut self.opening) {
            (Poll::Pending, Some(opening)) => {
                ready!(opening.as_mut().poll(cx));
                let message = "the peer said too little to tell its protocol";
                Poll::Ready(Err(io::Error::new(io::ErrorKind::TimedOut, message)))
            }
            (read, _) => read,
        }
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.inner).poll_write(cx, buf);
        self.check(cx, written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.inner).poll_write_vectored(cx, bufs);
        self.check(cx, written)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}
