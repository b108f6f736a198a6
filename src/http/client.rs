//! The HTTP client for calls to backend servers, the platform and peers.

use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt as _, Full, Limited};
use hyper_util::client::legacy;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use snafu::{ResultExt as _, Snafu, ensure};
use tokio::time::timeout;

use super::is_final;

/// Timeout of a connection attempt.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time for which an idle connection stays in the pool.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Limit on the bytes of a response, since a faulty server may send bytes without end.
pub(crate) const RESPONSE_BYTES_MAX: usize = 16 << 20;

/// The body of a response that is still arriving.
pub type AnswerBody = hyper::body::Incoming;

/// Why a call got no complete response.
#[derive(Debug, Snafu)]
pub enum ClientError {
    /// The connection attempt failed, so no byte of the request was sent.
    #[snafu(display("no connection: {source}"))]
    Connect {
        /// The cause.
        source: legacy::Error,
    },
    /// The connection broke after bytes may have been sent.
    #[snafu(display("connection broke: {source}"))]
    Send {
        /// The cause.
        source: legacy::Error,
    },
    /// The connection broke before the response was complete, or the response is too large.
    #[snafu(display("answer broke off or over {RESPONSE_BYTES_MAX} bytes: {source}"))]
    Receive {
        /// The cause.
        source: Box<dyn std::error::Error + Send + Sync>,
    },
    /// The response has a status that no final response has.
    #[snafu(display("status {status} is none of a final response"))]
    Status {
        /// The status.
        status: http::StatusCode,
    },
    /// The response did not arrive in time.
    #[snafu(display("no answer within {limit:?}"))]
    Timeout {
        /// The time allowed.
        limit: Duration,
    },
    /// The request could not be built, so nothing was sent.
    #[snafu(display("malformed request: {source}"))]
    Malformed {
        /// The cause.
        source: http::Error,
    },
}

impl ClientError {
    /// Wraps an error from building a request.
    #[must_use]
    pub fn malformed(source: http::Error) -> Self {
        Self::Malformed { source }
    }

    /// Whether it is certain that no byte of the request was sent.
    #[must_use]
    pub fn is_unsent(&self) -> bool {
        matches!(self, Self::Connect { .. } | Self::Malformed { .. })
    }
}

/// An HTTP client. Clones share the connection pool.
///
/// A connection whose response was not read to the end is closed, never reused.
#[derive(Clone, Debug)]
pub struct Client {
    pooled: legacy::Client<HttpConnector, Full<Bytes>>,
    unpooled: legacy::Client<HttpConnector, Full<Bytes>>,
}

impl Default for Client {
    fn default() -> Self {
        Self::new()
    }
}

impl Client {
    /// Creates a client without connections.
    #[must_use]
    pub fn new() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_nodelay(true);
        let pooled = legacy::Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .build(connector.clone());
        // Without connection reuse and retries, a connect error proves that nothing was sent.
        let unpooled = legacy::Client::builder(TokioExecutor::new())
            .pool_max_idle_per_host(0)
            .retry_canceled_requests(false)
            .build(connector);
        Self { pooled, unpooled }
    }

    /// Sends a repeatable request over the pool; the response body is still arriving.
    ///
    /// # Errors
    /// [`ClientError`]; see [`ClientError::is_unsent`].
    pub async fn send(&self, request: Request<Bytes>) -> Result<Response<AnswerBody>, ClientError> {
        check(self.pooled.request(request.map(Full::new)).await)
    }

    /// Sends a request that must not be repeated, on a new connection.
    ///
    /// # Errors
    /// [`ClientError`]; see [`ClientError::is_unsent`].
    pub async fn send_once(
        &self,
        request: Request<Bytes>,
    ) -> Result<Response<AnswerBody>, ClientError> {
        check(self.unpooled.request(request.map(Full::new)).await)
    }

    /// Sends a repeatable request and reads the whole response within `limit`.
    ///
    /// # Errors
    /// [`ClientError`]; see [`ClientError::is_unsent`].
    pub async fn fetch(
        &self,
        request: Request<Bytes>,
        limit: Duration,
    ) -> Result<Response<Bytes>, ClientError> {
        let fetched = timeout(limit, async { collect(self.send(request).await?).await });
        fetched.await.unwrap_or(TimeoutSnafu { limit }.fail())
    }
}

/// Classifies an error, and rejects a response without a final status.
fn check(
    sent: Result<Response<AnswerBody>, legacy::Error>,
) -> Result<Response<AnswerBody>, ClientError> {
    let answer = sent.map_err(classify)?;
    let status = answer.status();
    ensure!(is_final(status), StatusSnafu { status });
    Ok(answer)
}

fn classify(source: legacy::Error) -> ClientError {
    if source.is_connect() {
        ClientError::Connect { source }
    } else {
        ClientError::Send { source }
    }
}

/// Reads the whole body of a response.
pub(crate) async fn collect(answer: Response<AnswerBody>) -> Result<Response<Bytes>, ClientError> {
    let (head, body) = answer.into_parts();
    let body = Limited::new(body, RESPONSE_BYTES_MAX).collect().await;
    let body = body.context(ReceiveSnafu)?;
    Ok(Response::from_parts(head, body.to_bytes()))
}
