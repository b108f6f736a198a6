//! A small HTTP server that drops all its connections when its handle is dropped.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use futures_util::{Stream, StreamExt as _};
use http::{HeaderValue, Request, Response, StatusCode};
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt as _, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde::Serialize;
use tokio::net::TcpListener;
use tokio::task::{AbortHandle, JoinSet};

use crate::names::sha256_hex;

/// The body of a response.
pub type Body = BoxBody<Bytes, io::Error>;

/// A response; an error closes the connection without a response.
pub type Answer = io::Result<Response<Body>>;

/// A running server, stopped when the handle is dropped.
#[derive(Debug)]
pub struct ServerHandle {
    /// The address that the server listens on.
    pub address: SocketAddr,
    task: AbortHandle,
}

impl Drop for ServerHandle {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Serves `handler` on `address`; port 0 takes a free port.
///
/// # Errors
/// The address cannot be bound.
pub async fn serve<F, Fut>(address: SocketAddr, handler: F) -> io::Result<ServerHandle>
where
    F: Fn(Request<Incoming>) -> Fut + Send + Sync + 'static,
    Fut: Future<Output = Answer> + Send + 'static,
{
    let listener = TcpListener::bind(address).await?;
    let address = listener.local_addr()?;
    let task = tokio::spawn(accept(listener, Arc::new(handler)));
    Ok(ServerHandle {
        address,
        task: task.abort_handle(),
    })
}

/// Accepts connections, whose tasks end when this task is aborted.
async fn accept<F, Fut>(listener: TcpListener, handler: Arc<F>)
where
    F: Fn(Request<Incoming>) -> Fut + Send + Sync + 'static,
    Fut: Future<Output = Answer> + Send + 'static,
{
    let mut connections = JoinSet::new();
    loop {
        while connections.try_join_next().is_some() {}
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        let _ = stream.set_nodelay(true);
        let handler = Arc::clone(&handler);
        connections.spawn(async move {
            let service = service_fn(move |request| handler(request));
            let io = TokioIo::new(stream);
            let _ = hyper::server::conn::http1::Builder::new()
                .serve_connection(io, service)
                .await;
        });
    }
}

/// Reads a request's whole body.
///
/// # Errors
/// The connection broke.
pub async fn read(body: Incoming) -> io::Result<Bytes> {
    let collected = body.collect().await.map_err(io::Error::other)?;
    Ok(collected.to_bytes())
}

/// Returns a response with a complete body.
#[must_use]
pub fn full_response(status: StatusCode, body: impl Into<Bytes>) -> Response<Body> {
    let body = Full::new(body.into()).map_err(|never: Infallible| match never {});
    let mut answer = Response::new(BoxBody::new(body));
    *answer.status_mut() = status;
    answer
}

/// Returns a JSON response.
///
/// # Panics
/// The value does not serialise, which is a bug.
#[must_use]
pub fn json(value: &impl Serialize) -> Response<Body> {
    let body = serde_json::to_vec(value).expect("stand-in types serialise");
    full_response(StatusCode::OK, body)
}

/// Returns a JSON response with its entity tag, or 304 if the tag is `if_none_match`.
///
/// # Panics
/// The value does not serialise, which is a bug.
#[must_use]
pub fn json_with_etag(
    value: &impl Serialize,
    if_none_match: Option<&HeaderValue>,
) -> Response<Body> {
    let body = serde_json::to_vec(value).expect("stand-in types serialise");
    let tag = format!("\"{}\"", sha256_hex(&body));
    let tag = HeaderValue::try_from(tag).expect("a hash in quotes is a valid header value");
    let mut answer = if if_none_match == Some(&tag) {
        full_response(StatusCode::NOT_MODIFIED, Bytes::new())
    } else {
        full_response(StatusCode::OK, body)
    };
    answer.headers_mut().insert(http::header::ETAG, tag);
    answer
}

/// Returns a streamed response of server-sent events.
#[must_use]
pub fn events<S>(events: S) -> Response<Body>
where
    S: Stream<Item = io::Result<Bytes>> + Send + Sync + 'static,
{
    let body = StreamBody::new(events.map(|event| event.map(Frame::data)));
    let mut answer = Response::new(BoxBody::new(body));
    let kind = HeaderValue::from_static("text/event-stream");
    answer
        .headers_mut()
        .insert(http::header::CONTENT_TYPE, kind);
    answer
}

/// Returns the value of a query parameter.
#[must_use]
pub fn query<'a>(target: &'a http::Uri, name: &str) -> Option<&'a str> {
    let query = target.query()?;
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
}
