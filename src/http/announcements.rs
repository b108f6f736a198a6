//! A connection that breaks if a server announces a response again and again, and sends none.
//!
//! The HTTP client skips announcements (status 100 to 199) for as long as they come, and nothing
//! else of the process runs meanwhile.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll};

use http::Request;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Limit on the client's read buffer in bytes, and so on a response's head.
pub const READ_BUFFER_BYTES: usize = 64 << 10;
/// Limit on the announcements of one response.
const ANNOUNCEMENTS_MAX: usize = 16;

/// Counts the announcements of the current response; clones share the count.
#[derive(Clone, Debug, Default)]
pub struct Announcements(Arc<AtomicUsize>);

impl Announcements {
    /// Starts to count for a request that is about to be sent.
    pub fn count_for<B>(&self, request: &mut Request<B>) {
        self.0.store(0, Ordering::Relaxed);
        let count = Arc::clone(&self.0);
        hyper::ext::on_informational(request, move |_| {
            count.fetch_add(1, Ordering::Relaxed);
        });
    }

    fn check(&self) -> io::Result<()> {
        if self.0.load(Ordering::Relaxed) <= ANNOUNCEMENTS_MAX {
            return Ok(());
        }
        let message = format!("over {ANNOUNCEMENTS_MAX} announcements of a response");
        Err(io::Error::new(io::ErrorKind::InvalidData, message))
    }
}

/// A TCP stream that fails to read after too many announcements.
#[derive(Debug)]
pub struct CheckedStream {
    tcp: TcpStream,
    announcements: Announcements,
}

impl CheckedStream {
    /// Wraps a stream whose requests `announcements` counts for.
    #[must_use]
    pub fn new(tcp: TcpStream, announcements: Announcements) -> Self {
        Self { tcp, announcements }
    }
}

impl AsyncRead for CheckedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.announcements.check()?;
        Pin::new(&mut self.tcp).poll_read(cx, buf)
    }
}

impl AsyncWrite for CheckedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.tcp).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.tcp).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.tcp).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.tcp).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.tcp.is_write_vectored()
    }
}
