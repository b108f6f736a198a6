//! Response bodies, and the responses that an instance makes itself.

use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use derive_more::Debug;
use http::{HeaderValue, Response, StatusCode, header};
use http_body_util::Full;
use hyper::body::{Body as HttpBody, Frame, SizeHint};
use snafu::Snafu;

/// Why a response body that is forwarded ends early.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum StreamError {
    /// The server's response broke off.
    #[snafu(display("the server's response broke off: {source}"))]
    Broken {
        /// The cause.
        source: hyper::Error,
    },
    /// The server closed the connection in the middle of an event.
    #[snafu(display("the server's response ended in the middle of an event"))]
    Truncated,
    /// The response was not complete at the request's deadline.
    #[snafu(display("the response was not complete at the deadline"))]
    Timeout,
}

/// Body of a response to a caller.
#[derive(Debug)]
pub enum Body {
    /// Buffered in memory.
    Whole(Full<Bytes>),
    /// Forwarded as it arrives.
    Stream(#[debug(skip)] Pin<Box<dyn HttpBody<Data = Bytes, Error = StreamError>>>),
}

impl HttpBody for Body {
    type Data = Bytes;
    type Error = StreamError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamError>>> {
        match self.get_mut() {
            Self::Whole(body) => {
                let polled = Pin::new(body).poll_frame(cx);
                polled.map(|frame| frame.map(|frame| frame.map_err(|never| match never {})))
            }
            Self::Stream(body) => body.as_mut().poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(body) => body.is_end_stream(),
            Self::Stream(body) => body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(body) => body.size_hint(),
            Self::Stream(body) => body.size_hint(),
        }
    }
}

/// Returns a buffered body.
pub fn full_body(bytes: impl Into<Bytes>) -> Body {
    Body::Whole(Full::new(bytes.into()))
}

/// Returns a response with a status and an empty body.
#[must_use]
pub fn status(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(full_body(Bytes::new()));
    *response.status_mut() = status;
    response
}

/// Returns a 503 response, which states that the request has not run, with `Retry-After`.
#[must_use]
pub fn retry_later(after: Duration) -> Response<Body> {
    let mut response = status(StatusCode::SERVICE_UNAVAILABLE);
    let seconds = format!("{:.2}", after.as_secs_f64());
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        response.headers_mut().insert(header::RETRY_AFTER, value);
    }
    response
}

/// Returns a response with a JSON body.
#[must_use]
pub fn json(bytes: Bytes) -> Response<Body> {
    let mut response = Response::new(full_body(bytes));
    let value = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, value);
    response
}
