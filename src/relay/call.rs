//! Sends one HTTP request to one backend server.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode, Uri, header};
use http_body_util::Full;
use hyper::body::Incoming;
use snafu::{ResultExt as _, Snafu, ensure};

use super::choose::Link;
use super::pool::{PoolError, PooledConnection};
use crate::boot::Boot;
use crate::http::body::ReadError;
use crate::http::is_final;
use crate::instance::Shared;

use crate::instance::interfaces::{Backend, StatedLimit, UpstreamHeaders, UpstreamReply};
use crate::util::unix_ms;

/// Limit on a buffered response body, since a faulty server may send bytes without end.
///
/// The limit is about a thousand times the size of the specified responses.
const RESPONSE_BYTES_MAX: usize = 4 << 20;

/// Why a call got no complete response.
#[derive(Debug, Snafu)]
pub enum CallError {
    /// No connection was available, so nothing was sent.
    #[snafu(display("{source}"))]
    Unsent {
        /// The cause.
        source: PoolError,
    },
    /// The server takes no new requests any more, so nothing was sent.
    #[snafu(display("the server takes no new requests any more"))]
    Unusable,
    /// The server's limit leaves this instance no request now, so nothing was sent.
    #[snafu(display("the server's limit on requests leaves none to this instance now"))]
    Limited,
    /// The request could not be built, so nothing was sent.
    #[snafu(display("malformed path or query in the request: {source}"))]
    Malformed {
        /// The cause.
        source: http::Error,
    },
    /// The connection broke before the response head; the request may have run.
    #[snafu(display("{link} connection broke: {source}"))]
    Broken {
        /// Whether the connection was reused or new.
        link: Link,
        /// The cause.
        source: hyper::Error,
    },
    /// The response body broke off or is too large; the request may have run.
    #[snafu(display("incomplete response: {source}"))]
    Body {
        /// The cause.
        source: ReadError,
    },
    /// The response has a status that no final response has; the request may have run.
    #[snafu(display("status {status} is none of a final response"))]
    Status {
        /// The status.
        status: StatusCode,
    },
    /// The response does not carry the id of this request.
    #[snafu(display("response does not carry the id of the request"))]
    WrongId,
    /// No complete response arrived within the time limit.
    #[snafu(display("no complete response within the time limit"))]
    Timeout,
}

impl CallError {
    /// Whether the request was certainly not sent.
    #[must_use]
    pub fn is_unsent(&self) -> bool {
        matches!(
            self,
            Self::Unsent { .. } | Self::Unusable | Self::Limited | Self::Malformed { .. }
        )
    }

    /// Whether a reused connection broke; the server may have closed it before the request.
    #[must_use]
    pub fn is_stale(&self) -> bool {
        matches!(
            self,
            Self::Broken {
                link: Link::Reused,
                ..
            }
        )
    }

    /// Whether the connection broke after sending, as opposed to an invalid response.
    #[must_use]
    pub fn is_broken(&self) -> bool {
        match self {
            Self::Broken { source, .. }
            | Self::Body {
                source: ReadError::Broken { source },
            } => !source.is_parse(),
            Self::Unsent { .. }
            | Self::Unusable
            | Self::Limited
            | Self::Malformed { .. }
            | Self::Body { .. }
            | Self::Status { .. }
            | Self::WrongId
            | Self::Timeout => false,
        }
    }

    /// Whether this instance's share of the server's connections or of its limit was in use.
    #[must_use]
    pub fn is_busy(&self) -> bool {
        matches!(
            self,
            Self::Limited
                | Self::Unsent {
                    source: PoolError::Exhausted
                }
        )
    }
}

/// A request to send to a backend server.
#[derive(Clone, Debug)]
pub struct OutgoingRequest<'a> {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub target: &'a str,
    /// Headers to forward; hop-by-hop headers are removed.
    pub headers: &'a HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// A response whose head has arrived and whose body is still to be read.
#[derive(Debug)]
pub struct PendingResponse {
    /// The fields that the codec decoded from the head.
    pub reply: UpstreamReply,
    /// The response head.
    pub head: http::response::Parts,
    /// The response body.
    pub body: Incoming,
    /// The connection that carries the response.
    pub connection: PooledConnection,
}

/// A complete response with its body in memory.
#[derive(Clone, Debug)]
pub struct FullResponse {
    /// The fields that the codec decoded from the head.
    pub reply: UpstreamReply,
    /// The response as the server sent it.
    pub response: Response<Bytes>,
}

impl FullResponse {
    /// Whether the response has a success status and the server's signature.
    #[must_use]
    pub fn is_success(&self) -> bool {
        self.response.status().is_success() && self.reply.signature.is_some()
    }

    /// Whether the server states that the request has not run.
    #[must_use]
    pub fn is_not_run(&self) -> bool {
        self.reply.not_run || self.response.status() == StatusCode::MISDIRECTED_REQUEST
    }
}

/// Hop-by-hop headers, which are not forwarded.
const HOP_BY_HOP: [header::HeaderName; 7] = [
    header::CONNECTION,
    header::TRANSFER_ENCODING,
    header::TE,
    header::TRAILER,
    header::UPGRADE,
    header::PROXY_AUTHENTICATE,
    header::CONTENT_LENGTH,
];

/// Removes hop-by-hop headers, including those listed in `Connection`.
pub fn strip_hop_headers(headers: &mut HeaderMap) {
    let listed: Vec<String> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    for name in HOP_BY_HOP {
        headers.remove(name);
    }
    headers.remove("keep-alive");
    headers.remove("proxy-connection");
    for name in listed {
        headers.remove(name.as_str());
    }
}

/// Sends a request and waits for the response head.
///
/// # Errors
/// [`CallError`]; see [`CallError::is_unsent`].
pub async fn send(
    shared: &Shared,
    backend: &Backend,
    outgoing: &OutgoingRequest<'_>,
    added_headers: &UpstreamHeaders<'_>,
) -> Result<PendingResponse, CallError> {
    ensure!(shared.takes_requests(backend), UnusableSnafu);
    ensure!(shared.has_permit(backend), LimitedSnafu);
    let connection = checkout(shared, backend, added_headers.id).await?;
    // The server may have begun to drain while the connection was opened.
    if !shared.takes_requests(backend) {
        connection.return_to_pool();
        return UnusableSnafu.fail();
    }
    send_on(connection, shared, backend, outgoing, added_headers).await
}

async fn checkout(
    shared: &Shared,
    backend: &Backend,
    id: Option<&str>,
) -> Result<PooledConnection, CallError> {
    let limit = shared.connections(&backend.service);
    let connection = shared.pool.checkout(backend, id, limit).await;
    connection.context(UnsentSnafu)
}

/// Sends a request on a connection, and waits for the response head.
///
/// Every request to a server passes here, whatever its purpose, and counts towards its limit.
async fn send_on(
    mut connection: PooledConnection,
    shared: &Shared,
    backend: &Backend,
    outgoing: &OutgoingRequest<'_>,
    added_headers: &UpstreamHeaders<'_>,
) -> Result<PendingResponse, CallError> {
    let is_control = added_headers.id.is_none();
    if !shared.take_permit(backend, is_control) {
        connection.return_to_pool();
        return LimitedSnafu.fail();
    }
    let codec = &*shared.codec;
    let uri = outgoing.target.parse::<Uri>().map_err(http::Error::from);
    let mut request = Request::new(Full::new(outgoing.body.clone()));
    *request.uri_mut() = uri.context(MalformedSnafu)?;
    request.method_mut().clone_from(&outgoing.method);
    request.headers_mut().clone_from(outgoing.headers);
    strip_hop_headers(request.headers_mut());
    codec.set_headers(request.headers_mut(), added_headers);
    if !request.headers().contains_key(header::HOST)
        && let Ok(host) = HeaderValue::from_str(&backend.address.to_string())
    {
        request.headers_mut().insert(header::HOST, host);
    }
    let Some(sender) = connection.sender.as_mut() else {
        return TimeoutSnafu.fail();
    };
    if backend.zone != shared.settings.zone {
        let bytes = outgoing.body.len();
        shared.metrics.count_zone_request(&backend.zone, bytes);
    }
    let link = connection.link;
    let sent = unix_ms();
    let sent_at = Boot::now();
    connection.announcements.count_for(&mut request);
    connection.carried.add_request(added_headers.id);
    let answer = sender.send_request(request).await;
    let answer = answer.context(BrokenSnafu { link })?;
    let (head, body) = answer.into_parts();
    let status = head.status;
    ensure!(is_final(status), StatusSnafu { status });
    let reply = codec.decode_reply(&head);
    connection.set_keep_alive(closes(&head), reply.keep_alive);
    // A 421 response comes from a server other than the intended one, so it does not tell whether
    // the intended one is leaving.
    if reply.leaving && head.status != StatusCode::MISDIRECTED_REQUEST {
        shared.note_leaving(backend, added_headers.id, sent);
    }
    let (id, echoed) = (added_headers.id, reply.id.as_deref());
    if !connection
        .carried
        .is_answer(id, echoed, status.is_success())
    {
        return WrongIdSnafu.fail();
    }
    connection.carried.add_answer(id, echoed);
    // A late copy of an earlier answer would tell a limit of the past.
    if let Some(stated) = stated_limit(&reply, status, id) {
        shared.note_limit(backend, id, stated, sent_at);
    }
    Ok(PendingResponse {
        reply,
        head,
        body,
        connection,
    })
}

/// What a response says of the intended server's limit, if it says anything.
///
/// Any response of the server may name a limit, but only a success shows that there is none: other
/// responses may come without the server's usual headers, as do those to the instance's own calls.
fn stated_limit(
    reply: &UpstreamReply,
    status: StatusCode,
    id: Option<&str>,
) -> Option<StatedLimit> {
    let shows_none = id.is_some() && status.is_success() && reply.signature.is_some();
    match reply.limit {
        _ if status == StatusCode::MISDIRECTED_REQUEST => None,
        StatedLimit::None if !shows_none => None,
        stated => Some(stated),
    }
}

/// Reads the response body and returns the connection to the pool.
///
/// # Errors
/// [`CallError::Body`] if the body broke off, or there is no memory for it.
pub async fn read_body(
    shared: &Shared,
    pending: PendingResponse,
) -> Result<FullResponse, CallError> {
    let PendingResponse {
        reply,
        head,
        body,
        connection,
    } = pending;
    let body = shared
        .response_bodies
        .read(body, RESPONSE_BYTES_MAX)
        .await
        .context(BodySnafu)?;
    connection.return_to_pool();
    Ok(FullResponse {
        reply,
        response: Response::from_parts(head, body.bytes),
    })
}

/// Whether the server closes the connection after this response.
fn closes(head: &http::response::Parts) -> bool {
    let value = head.headers.get(header::CONNECTION);
    value.is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"close"))
}

/// Sends a control call and reads the complete response within `limit`.
///
/// Unlike a request, the call is also sent to a server that takes no new requests.
///
/// # Errors
/// [`CallError`] if no complete response arrived.
pub async fn exchange(
    shared: &Shared,
    backend: &Backend,
    outgoing: &OutgoingRequest<'_>,
    added_headers: &UpstreamHeaders<'_>,
    limit: Duration,
) -> Result<FullResponse, CallError> {
    let call = async {
        let connection = checkout(shared, backend, added_headers.id).await?;
        let pending = send_on(connection, shared, backend, outgoing, added_headers).await?;
        read_body(shared, pending).await
    };
    tokio::time::timeout(limit, call)
        .await
        .unwrap_or(TimeoutSnafu.fail())
}
