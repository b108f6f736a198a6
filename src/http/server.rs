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

/// Time for which an idle connection is kept: longer than clients keep theirs, so that the
/// client closes first and never sends on a connection that the server is closing.
const KEEP_ALIVE: Duration = Duration::from_secs(75);
/// Time within which a request's head must arrive.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Bytes of an unread body that are read and dropped.
const DISCARD_BYTES: usize = 4 << 20;
/// Time for which an unread body is read.
const DISCARD_TIME: Duration = Duration::from_millis(200);

/// A request whose body is still arriving.
pub type Request = http::Request<RequestExt<RequestBody>>;

/// An answer, whole or streamed.
pub type Response = WebResponse;

/// A running HTTP server. Dropping it stops the server without waiting for requests.
#[derive(Debug)]
pub struct Server {
    handle: xitca_server_handle::Handle,
}

mod xitca_server_handle {
    //! Hides the server handle's type, which `xitca-web` does not name.

    /// Stops the server when called with whether to finish open requests.
    pub(super) struct Handle(pub(super) Box<dyn Fn(bool) + Send + Sync>);

    impl std::fmt::Debug for Handle {
        fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
            f.write_str("Handle(..)")
        }
    }
}

impl Server {
    /// Starts serving `handler` on `address` with a number of worker threads.
    ///
    /// # Errors
    /// The address cannot be bound.
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

/// Why a request's body was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Snafu)]
pub enum BodyError {
    /// It is larger than the limit.
    #[snafu(display("the body is larger than {limit} bytes"))]
    TooLarge {
        /// The limit in bytes.
        limit: usize,
    },
    /// It did not arrive in time.
    #[snafu(display("the body did not arrive in time"))]
    TooSlow,
    /// The connection broke.
    #[snafu(display("the body broke off"))]
    Broken,
}

/// Reads a request's body up to `limit` bytes and until `deadline`.
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

/// Makes an answer ready to send while the request's body may not have been read.
///
/// The rest of the body is read first, within limits: a connection that is closed with bytes
/// unread is reset, and the caller could lose the answer. What cannot be read in time ends
/// the connection, which the answer announces.
pub async fn finish(mut answer: Response, body: &mut RequestBody) -> Response {
    let rest = read_body(body, DISCARD_BYTES, Instant::now() + DISCARD_TIME).await;
    if rest.is_err() {
        let close = HeaderValue::from_static("close");
        answer.headers_mut().insert(header::CONNECTION, close);
    }
    answer
}

/// A whole answer.
#[must_use]
pub fn whole(status: StatusCode, kind: &'static str, body: Bytes) -> Response {
    let mut answer = Response::new(ResponseBody::bytes(body));
    *answer.status_mut() = status;
    answer
        .headers_mut()
        .insert(header::CONTENT_TYPE, HeaderValue::from_static(kind));
    answer
}

/// A whole answer in JSON.
///
/// # Panics
/// A value that does not serialise is a bug.
#[must_use]
pub fn json(status: StatusCode, value: &impl Serialize) -> Response {
    let body = serde_json::to_vec(value).expect("wire types serialise");
    whole(status, "application/json", Bytes::from(body))
}

/// An answer whose body is made piece by piece.
#[must_use]
pub fn streamed<S>(kind: &'static str, pieces: S) -> Response
where
    S: Stream<Item = Result<Bytes, std::io::Error>> + 'static,
{
    let mut answer = Response::new(ResponseBody::boxed(StreamDataBody::new(pieces)));
    answer
        .headers_mut()
        .insert(header::CONTENT_TYPE, HeaderValue::from_static(kind));
    answer
}
