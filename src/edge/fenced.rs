//! HTTP calls under a lease; no byte of a call is sent after the lease's deadline.

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderValue, Request, Response, header};
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use snafu::{ResultExt as _, Snafu};
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{timeout, timeout_at};

use crate::failpoint;
use crate::http::RESPONSE_BYTES_MAX;
use crate::lease::{DEADLINE_MARGIN, HeldLease};

/// TCP user timeout, after which the kernel drops unacknowledged bytes; see [`FencedStream`].
const TCP_USER_TIMEOUT: Duration = DEADLINE_MARGIN.checked_div(2).expect("two is not zero");
/// Timeout of a request and its response, which may arrive after the lease's deadline.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);

/// Why a fenced call got no response.
#[derive(Debug, Snafu)]
pub enum FencedError {
    /// The lease's deadline passed before the call.
    #[snafu(display("the lease has lapsed; nothing was sent"))]
    Lapsed,
    /// The URL's authority is not an IP address and port.
    #[snafu(display("the URL must name an IP address and port"))]
    Address,
    /// The connection attempt failed, so nothing was sent.
    #[snafu(display("no connection: {source}"))]
    Connect {
        /// The cause.
        source: io::Error,
    },
    /// The connection broke, possibly because the lease lapsed.
    #[snafu(display("connection broke: {source}"))]
    Broken {
        /// The cause.
        source: hyper::Error,
    },
    /// The connection broke before the response was complete, or the response is too large.
    #[snafu(display("response broke off or over {RESPONSE_BYTES_MAX} bytes: {source}"))]
    Receive {
        /// The cause.
        source: Box<dyn std::error::Error + Send + Sync>,
    },
    /// The response did not arrive in time.
    #[snafu(display("no answer in time"))]
    Timeout,
}

/// An HTTP client that sends nothing after a lease's deadline.
///
/// Each call opens its own connection, which refuses writes from the deadline on.
#[derive(Clone, Copy, Debug)]
pub struct FencedClient {
    deadline: Instant,
    failpoint: &'static str,
}

impl FencedClient {
    /// Creates a client for a held lease; `failpoint` is reached before the first byte.
    #[must_use]
    pub fn new(held: HeldLease, failpoint: &'static str) -> Self {
        Self {
            deadline: held.deadline,
            failpoint,
        }
    }

    /// Sends a request and reads the whole response.
    ///
    /// # Errors
    /// [`FencedError`]. Only [`FencedError::Lapsed`], [`FencedError::Address`] and
    /// [`FencedError::Connect`] guarantee that nothing was sent.
    pub async fn send(&self, request: Request<Bytes>) -> Result<Response<Bytes>, FencedError> {
        let stream = self.connect(&request).await?;
        failpoint::reach(self.failpoint).await;
        let sent = timeout(ANSWER_TIMEOUT, exchange(stream, request));
        sent.await.unwrap_or(Err(FencedError::Timeout))
    }

    async fn connect(&self, request: &Request<Bytes>) -> Result<FencedStream, FencedError> {
        let authority = request.uri().authority();
        let address = authority.and_then(|authority| authority.as_str().parse().ok());
        let address: SocketAddr = address.ok_or(FencedError::Address)?;
        let connected = timeout_at(self.deadline.into(), TcpStream::connect(address));
        let tcp = connected.await.map_err(|_| FencedError::Lapsed)?;
        let stream = FencedStream::new(tcp.context(ConnectSnafu)?, self.deadline);
        stream.context(ConnectSnafu)
    }
}

async fn exchange(
    stream: FencedStream,
    request: Request<Bytes>,
) -> Result<Response<Bytes>, FencedError> {
    let handshake = http1::handshake(TokioIo::new(stream)).await;
    let (mut sender, connection) = handshake.context(BrokenSnafu)?;
    let driver = tokio::spawn(connection);
    let answer = sender.send_request(origin_form(request)).await;
    let (head, body) = answer.context(BrokenSnafu)?.into_parts();
    let body = Limited::new(body, RESPONSE_BYTES_MAX).collect().await;
    let body = body.context(ReceiveSnafu)?;
    driver.abort();
    Ok(Response::from_parts(head, body.to_bytes()))
}

/// Converts a request to origin form: a `Host` header, and only path and query as the target.
fn origin_form(request: Request<Bytes>) -> Request<Full<Bytes>> {
    let mut request = request.map(Full::new);
    let uri = request.uri().clone();
    let host = uri.authority().map(http::uri::Authority::as_str);
    let host = host.and_then(|host| HeaderValue::from_str(host).ok());
    if let Some(host) = host {
        request.headers_mut().insert(header::HOST, host);
    }
    if let Some(path) = uri.path_and_query() {
        *request.uri_mut() = path.clone().into();
    }
    request
}

/// A TCP stream that refuses writes once a deadline has passed.
///
/// Bytes written before the deadline are dropped by the kernel if they are not acknowledged
/// within half of the lease's margin, or when the stream is closed. So no byte of a paused
/// process arrives after a successor may act. The remaining gap is a pause between the check
/// of the deadline and the system call that follows.
#[derive(Debug)]
pub struct FencedStream {
    tcp: TcpStream,
    deadline: Instant,
}

impl FencedStream {
    /// Wraps a connected stream.
    ///
    /// # Errors
    /// Fails if a socket option cannot be set.
    pub fn new(tcp: TcpStream, deadline: Instant) -> io::Result<Self> {
        tcp.set_nodelay(true)?;
        let socket = SockRef::from(&tcp);
        socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))?;
        socket.set_linger(Some(Duration::ZERO))?;
        Ok(Self { tcp, deadline })
    }

    /// Fails once the deadline has passed.
    fn check_deadline(&self) -> io::Result<()> {
        if Instant::now() < self.deadline {
            return Ok(());
        }
        let message = "the lease has lapsed";
        Err(io::Error::new(io::ErrorKind::PermissionDenied, message))
    }
}

impl AsyncRead for FencedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.tcp).poll_read(cx, buf)
    }
}

impl AsyncWrite for FencedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.check_deadline()?;
        Pin::new(&mut self.tcp).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.check_deadline()?;
        Pin::new(&mut self.tcp).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.tcp.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.tcp).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.tcp).poll_shutdown(cx)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
    use tokio::net::TcpListener;

    #[tokio::test]
    async fn write_lapsed() {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let tcp = TcpStream::connect(address).await.expect("a connection");
        let (mut peer, _) = listener.accept().await.expect("a connection");
        let deadline = Instant::now() + Duration::from_millis(100);
        let mut fenced = FencedStream::new(tcp, deadline).expect("socket options");
        fenced
            .write_all(b"before")
            .await
            .expect("a write before the deadline");
        let mut buf = [0; 6];
        peer.read_exact(&mut buf)
            .await
            .expect("the bytes written before");
        tokio::time::sleep_until(deadline.into()).await;
        let refused = fenced
            .write_all(b"after")
            .await
            .expect_err("a write after the deadline");
        assert_eq!(refused.kind(), io::ErrorKind::PermissionDenied);
        let slices = [io::IoSlice::new(b"after")];
        let refused = fenced
            .write_vectored(&slices)
            .await
            .expect_err("a write after the deadline");
        assert_eq!(refused.kind(), io::ErrorKind::PermissionDenied);
        drop(fenced);
        let mut rest = Vec::new();
        let _ = peer.read_to_end(&mut rest).await;
        assert!(rest.is_empty(), "bytes sent after the deadline: {rest:?}");
    }
}
