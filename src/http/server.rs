//! The HTTP server: one handler function on `xitca-web`'s worker threads.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::pin::Pin;
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
/// Timeout for receiving a request's head.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
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
    while let Some(data) = Pin::new(&mut *body).data().await {
        let data = data.map_err(|_| BodyError::Broken)?;
        if buf.len() + data.len() > limit {
            return Err(BodyError::TooLarge { limit });
        }
        buf.extend_from_slice(&data);
    }
    Ok(buf.freeze())
}

/// Discards the unread rest of a request body before its response is sent.
///
/// Closing a connection with unread bytes resets it, and the caller could lose the response.
/// If the rest exceeds the discard limits, the response announces `Connection: close`.
pub async fn finish(mut answer: Response, body: &mut RequestBody) -> Response {
    let rest = read_body(body, DISCARD_BYTES_MAX, Instant::now() + DISCARD_TIMEOUT).await;
    if rest.is_err() {
        let close = HeaderValue::from_static("close");
        answer.headers_mut().insert(header::CONNECTION, close);
    }
    answer
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
