//! A caller's TCP stream that reports its progress to the table of connections.

use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use super::connections::Slot;

/// Limit in bytes on what is read and discarded after a response to an incomplete head.
const DISCARD_BYTES_MAX: usize = 1 << 20;

/// A TCP stream whose progress is reported to a [`Slot`].
#[derive(Debug)]
pub struct TrackedStream {
    tcp: TcpStream,
    slot: Rc<Slot>,
    discarded: usize,
}

impl TrackedStream {
    /// Wraps a stream.
    #[must_use]
    pub fn new(tcp: TcpStream, slot: Rc<Slot>) -> Self {
        Self {
            tcp,
            slot,
            discarded: 0,
        }
    }

    /// Discards what still arrives: closing with unread bytes resets the connection, and the
    /// caller could lose the refusal. The timeout of heads ends it.
    fn poll_discard(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let mut bytes = [0; 4096];
        while self.discarded < DISCARD_BYTES_MAX {
            let mut buf = ReadBuf::new(&mut bytes);
            ready!(Pin::new(&mut self.tcp).poll_read(cx, &mut buf))?;
            if buf.filled().is_empty() {
                break;
            }
            self.discarded += buf.filled().len();
        }
        Poll::Ready(Ok(()))
    }

    fn note_write(&self, poll: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        self.slot.set_blocked(poll.is_pending());
        poll
    }
}

impl AsyncRead for TrackedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.tcp).poll_read(cx, buf))?;
        let count = buf.filled().len() - before;
        if count > 0 {
            self.slot.received(count);
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for TrackedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let poll = Pin::new(&mut self.tcp).poll_write(cx, buf);
        self.note_write(poll)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.tcp).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.tcp).poll_shutdown(cx))?;
        if self.slot.is_in_head() {
            return self.poll_discard(cx);
        }
        Poll::Ready(Ok(()))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let poll = Pin::new(&mut self.tcp).poll_write_vectored(cx, bufs);
        self.note_write(poll)
    }

    fn is_write_vectored(&self) -> bool {
        self.tcp.is_write_vectored()
    }
}
