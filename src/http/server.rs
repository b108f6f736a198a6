//! The HTTP server: one handler function on `xitca-web`'s worker threads.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use futures_util::Stream;
use http::{HeaderValue, StatusCode, header};
use serde::Serialize;
use snafu::Snafu;
use xitca_web::HttpServer;
use xitca_web::body::{BodyExt as _, RequestBody, ResponseBody, StreamDataBody};
use xitca_web::http::{RequestExt, WebResponse};
use xitca_web::service::fn_service;

/// Time for which an idle connection is kept. It exceeds the clients' idle timeout, so that
/// the client closes first and never sends on a connection that the server is closing.
const KEEP_ALIVE: Duration = Duration::from_secs(75);
/// Timeout for receiving a request's head: compliant clients take 3 s at most, and the server's
/// clock is coarse.
const HEAD_TIMEOUT: Duration = Duration::from_secs(4);
/// Limit on a connection's read buffer in bytes, and so on a head: 60 KB of header names and values,
/// the most that a manifest can allow, with the request line and separators.
const READ_BUFFER_BYTES: usize = 72 << 10;
/// Limit on the bytes of all request bodies that are incomplete; a single one always fits.
const INCOMPLETE_BYTES_MAX: usize = 16 << 20;
/// Most bytes of an unread request body that are read and discarded before the response.
const DISCARD_BYTES_MAX: usize = 4 << 20;
/// Timeout for reading and discarding an unread request body.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(200);

/// A request whose body is still arriving.
pub type Request = http::Request<RequestExt<RequestBody>>;

/// A response, whole or streamed.
pub type Response = WebResponse;

/// A running HTTP server, which stops without waiting for requests when dropped.
#[derive(Debug)]
pub struct Server {
    handle: xitca_server_handle::Handle,
}

mod xitca_server_handle {
    //! Wraps the server handle in a closure, because `xitca-web` does not export its type.

    /// A closure that stops the server; its argument says whether to finish open requests.
    pub(super) struct Handle(pub(super) Box<dyn Fn(bool) + Send + Sync>);

    impl std::fmt::Debug for Handle {
        fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
            f.write_str("Handle(..)")
        }
    }
}

impl Server {
    /// Starts a server for `handler` on `address` with `threads` worker threads.
    ///
    /// # Errors
    /// Fails if the address cannot be bound or the server's thread cannot be started.
    pub fn start<F, Fut>(address: SocketAddr, threads: usize, handler: F) -> std::io::Result<Self>
    where
        F: Fn(Request) -> Fut + Clone + Send + Sync + 'static,
        Fut: Future<Output = Response> + 'static,
    {
        let service = fn_service(move |request: Request| {
            let answer = handler(request);
            async move { Ok::<_, Infallible>(answer.await) }
        });
        let mut running = HttpServer::serve(service)
            .worker_threads(threads)
            .keep_alive_timeout(KEEP_ALIVE)
            .request_head_timeout(HEAD_TIMEOUT)
            .max_read_buf_size::<READ_BUFFER_BYTES>()
            .disable_signal()
            .bind(address)?
            .run();
        let handle = running.handle()?;
        std::thread::Builder::new()
            .name("http-server".to_owned())
            .spawn(move || running.wait())?;
        let stop = move |graceful| handle.stop(graceful);
        Ok(Self {
            handle: xitca_server_handle::Handle(Box::new(stop)),
        })
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        (self.handle.0)(false);
    }
}

/// Why a request body could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Snafu)]
pub enum BodyError {
    /// The body is larger than the limit.
    #[snafu(display("the body is larger than {limit} bytes"))]
    TooLarge {
        /// The limit in bytes.
        limit: usize,
    },
    /// The body does not fit beside those that are arriving.
    #[snafu(display("no memory left for the body"))]
    Exhausted,
    /// The body did not arrive in time.
    #[snafu(display("the body did not arrive in time"))]
    TooSlow,
    /// The connection broke before the body was complete.
    #[snafu(display("the body broke off"))]
    Broken,
}

/// Reads a request body of up to `limit` bytes until `deadline`.
///
/// # Errors
/// [`BodyError`].
pub async fn read_body(
    body: &mut RequestBody,
    limit: usize,
    deadline: Instant,
) -> Result<Bytes, BodyError> {
    let read = read_limited(body, limit);
    let read = tokio::time::timeout_at(deadline.into(), read);
    read.await.unwrap_or(Err(BodyError::TooSlow))
}

async fn read_limited(body: &mut RequestBody, limit: usize) -> Result<Bytes, BodyError> {
    let mut buf = BytesMut::new();
    let mut share = Incomplete(0);
    while let Some(data) = Pin::new(&mut *body).data().await {
        let data = data.map_err(|_| BodyError::Broken)?;
        if buf.len() + data.len() > limit {
            return Err(BodyError::TooLarge { limit });
        }
        share.grow(data.len())?;
        buf.extend_from_slice(&data);
    }
    Ok(buf.freeze())
}

/// Bytes of all request bodies that are incomplete.
static INCOMPLETE_BYTES: AtomicUsize = AtomicUsize::new(0);

/// Bytes of one incomplete body, which count until this is dropped.
#[derive(Debug)]
struct Incomplete(usize);

impl Incomplete {
    fn grow(&mut self, bytes: usize) -> Result<(), BodyError> {
        self.0 += bytes;
        let all = INCOMPLETE_BYTES.fetch_add(bytes, Ordering::Relaxed) + bytes;
        if all > INCOMPLETE_BYTES_MAX && all > self.0 {
            return Err(BodyError::Exhausted);
        }
        Ok(())
    }
}

impl Drop for Incomplete {
    fn drop(&mut self) {
        INCOMPLETE_BYTES.fetch_sub(self.0, Ordering::Relaxed);
    }
}

/// Discards the unread rest of a request body before its response is sent.
///
/// Closing a connection with unread bytes resets it, and the caller could lose the response.
/// If the rest exceeds the discard limits, the response announces `Connection: close`.
pub async fn finish(mut answer: Response, body: &mut RequestBody) -> Response {
    let rest = tokio::time::timeout(DISCARD_TIMEOUT, discard(body)).await;
    if rest != Ok(true) {
        let close = HeaderValue::from_static("close");
        answer.headers_mut().insert(header::CONNECTION, close);
    }
    answer
}

/// Reads and drops a body; returns whether it ended within the limit.
async fn discard(body: &mut RequestBody) -> bool {
    let mut length = 0;
    while let Some(data) = Pin::new(&mut *body).data().await {
        let bytes = data.map_or(usize::MAX, |data| data.len());
        length = bytes.saturating_add(length);
        if length > DISCARD_BYTES_MAX {
            return false;
        }
    }
    true
}

/// Builds a response with a whole body of content type `kind`.
#[must_use]
pub fn full_response(status: StatusCode, kind: &'static str, body: Bytes) -> Response {
    let mut answer = Response::new(ResponseBody::bytes(body));
    *answer.status_mut() = status;
    answer
        .headers_mut()
        .insert(header::CONTENT_TYPE, HeaderValue::from_static(kind));
    answer
}

/// Builds a response with a JSON body.
///
/// # Panics
/// Panics if the value does not serialise, which is a bug.
#[must_use]
pub fn json(status: StatusCode, value: &impl Serialize) -> Response {
    let body = serde_json::to_vec(value).expect("wire types serialise");
    full_response(status, "application/json", Bytes::from(body))
}

/// Builds a response that streams its body from `pieces`.
#[must_use]
pub fn stream_response<S>(kind: &'static str, pieces: S) -> Response
where
    S: Stream<Item = Result<Bytes, std::io::Error>> + 'static,
{
    let mut answer = Response::new(ResponseBody::boxed(StreamDataBody::new(pieces)));
    answer
        .headers_mut()
        .insert(header::CONTENT_TYPE, HeaderValue::from_static(kind));
    answer
}
