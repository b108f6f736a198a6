//! One call to one backend server.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode, Uri, header};
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::body::Incoming;
use snafu::{ResultExt as _, Snafu};

use super::choose::Link;
use super::pool::{Lane, PoolError};
use crate::instance::Shared;
use crate::instance::edge::{Backend, Dispatch, Reply};
use crate::util::unix_ms;

/// Bytes of an answer that is held whole: some thousand times those of the sheets' answers.
///
/// A server in trouble may send bytes without end.
const ANSWER_BYTES: usize = 4 << 20;

/// Why a call got no whole answer.
#[derive(Debug, Snafu)]
pub enum CallError {
    /// No connection: nothing was sent.
    #[snafu(display("{source}"))]
    Unsent {
        /// The cause.
        source: PoolError,
    },
    /// The request could not be formed.
    #[snafu(display("malformed request: {source}"))]
    Malformed {
        /// The cause.
        source: http::Error,
    },
    /// The connection broke: the request may have run.
    #[snafu(display("{link} connection broke: {source}"))]
    Broken {
        /// The connection.
        link: Link,
        /// The cause.
        source: hyper::Error,
    },
    /// The answer broke off, or its body is too large: the request may have run.
    #[snafu(display("no whole body of {ANSWER_BYTES} bytes or less: {source}"))]
    Body {
        /// The cause.
        source: Box<dyn std::error::Error + Send + Sync>,
    },
    /// The answer belongs to another request.
    #[snafu(display("the answer belongs to another request"))]
    Foreign,
    /// No answer in time.
    #[snafu(display("no answer in time"))]
    Late,
}

impl CallError {
    /// Whether it is certain that nothing was sent.
    #[must_use]
    pub fn is_unsent(&self) -> bool {
        matches!(self, Self::Unsent { .. } | Self::Malformed { .. })
    }

    /// Whether the server may have closed a kept connection just before the request.
    #[must_use]
    pub fn is_stale(&self) -> bool {
        matches!(
            self,
            Self::Broken {
                link: Link::Kept,
                ..
            }
        )
    }

    /// Whether the connection was cut under the request, rather than the answer being wrong.
    #[must_use]
    pub fn is_cut(&self) -> bool {
        match self {
            Self::Broken { source, .. } => !source.is_parse(),
            Self::Body { source } => source
                .downcast_ref::<hyper::Error>()
                .is_some_and(|source| !source.is_parse()),
            Self::Unsent { .. } | Self::Malformed { .. } | Self::Foreign | Self::Late => false,
        }
    }

    /// Whether only this instance's share of connections was used up.
    #[must_use]
    pub fn is_busy(&self) -> bool {
        matches!(
            self,
            Self::Unsent {
                source: PoolError::Exhausted
            }
        )
    }
}

/// What to send.
#[derive(Clone, Debug)]
pub struct Outgoing<'a> {
    /// Method.
    pub method: Method,
    /// Path with its query.
    pub target: &'a str,
    /// Headers to pass on; headers of one connection are taken out.
    pub headers: &'a HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// A server's answer whose body is still arriving.
#[derive(Debug)]
pub struct Arriving {
    /// Its head, decoded.
    pub reply: Reply,
    /// Its head.
    pub head: http::response::Parts,
    /// Its body.
    pub body: Incoming,
    /// The connection that it arrives on.
    pub lane: Lane,
}

/// A whole answer.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Its head, decoded.
    pub reply: Reply,
    /// The answer as the server gave it.
    pub whole: Response<Bytes>,
}

impl Answer {
    /// Whether it is a success that the server signed.
    #[must_use]
    pub fn is_success(&self) -> bool {
        self.whole.status().is_success() && self.reply.stamp.is_some()
    }

    /// Whether the server states that the request has not run.
    #[must_use]
    pub fn is_not_run(&self) -> bool {
        self.reply.not_run || self.whole.status() == StatusCode::MISDIRECTED_REQUEST
    }
}

/// Headers that concern one connection only.
const HOP: [header::HeaderName; 7] = [
    header::CONNECTION,
    header::TRANSFER_ENCODING,
    header::TE,
    header::TRAILER,
    header::UPGRADE,
    header::PROXY_AUTHENTICATE,
    header::CONTENT_LENGTH,
];

/// Takes out the headers that concern one connection only.
pub fn strip_hop(headers: &mut HeaderMap) {
    let listed: Vec<String> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    for name in HOP {
        headers.remove(name);
    }
    headers.remove("keep-alive");
    headers.remove("proxy-connection");
    for name in listed {
        headers.remove(name.as_str());
    }
}

/// Sends a request and waits for the head of the answer.
///
/// # Errors
/// [`CallError`]; only [`CallError::Unsent`] and [`CallError::Malformed`] prove that it has
/// not run.
pub async fn send(
    shared: &Shared,
    backend: &Backend,
    outgoing: &Outgoing<'_>,
    dispatch: &Dispatch<'_>,
) -> Result<Arriving, CallError> {
    let dialect = &*shared.dialect;
    let limit = shared.connections(&backend.service);
    let lane = shared.pool.lane(backend, limit).await;
    let mut lane = lane.context(UnsentSnafu)?;
    let uri = outgoing.target.parse::<Uri>().map_err(http::Error::from);
    let mut request = Request::new(Full::new(outgoing.body.clone()));
    *request.uri_mut() = uri.context(MalformedSnafu)?;
    request.method_mut().clone_from(&outgoing.method);
    request.headers_mut().clone_from(outgoing.headers);
    strip_hop(request.headers_mut());
    dialect.dispatch(request.headers_mut(), dispatch);
    if !request.headers().contains_key(header::HOST)
        && let Ok(host) = HeaderValue::from_str(&backend.address.to_string())
    {
        request.headers_mut().insert(header::HOST, host);
    }
    let Some(sender) = lane.sender.as_mut() else {
        return LateSnafu.fail();
    };
    let link = lane.link;
    let sent = unix_ms();
    let answer = sender.send_request(request).await;
    let answer = answer.context(BrokenSnafu { link })?;
    let (head, body) = answer.into_parts();
    let reply = dialect.reply(&head);
    lane.answered(closes(&head), reply.keep);
    // A misdirected request was answered by another server than the one that was meant.
    if reply.leaving && head.status != StatusCode::MISDIRECTED_REQUEST {
        shared.note_leaving(backend, dispatch.id, sent);
    }
    if is_foreign(&reply, head.status, dispatch.id) {
        return ForeignSnafu.fail();
    }
    Ok(Arriving {
        reply,
        head,
        body,
        lane,
    })
}

/// Whether an answer belongs to another request than `id`.
fn is_foreign(reply: &Reply, status: StatusCode, id: Option<&str>) -> bool {
    match (id, reply.id.as_deref()) {
        (None, _) => false,
        (Some(id), Some(repeated)) => id != repeated,
        (Some(_), None) => status.is_success(),
    }
}

/// Reads the rest of an answer and gives its connection back.
///
/// # Errors
/// [`CallError::Body`] if the answer broke off or has no end.
pub async fn finish(arriving: Arriving) -> Result<Answer, CallError> {
    let Arriving {
        reply,
        head,
        body,
        lane,
    } = arriving;
    let body = Limited::new(body, ANSWER_BYTES).collect().await;
    let body = body.context(BodySnafu)?.to_bytes();
    lane.keep();
    Ok(Answer {
        reply,
        whole: Response::from_parts(head, body),
    })
}

/// Whether the server closes the connection after this answer.
fn closes(head: &http::response::Parts) -> bool {
    let value = head.headers.get(header::CONNECTION);
    value.is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"close"))
}

/// Sends a request and reads the whole answer within `limit` of time.
///
/// # Errors
/// [`CallError`].
pub async fn exchange(
    shared: &Shared,
    backend: &Backend,
    outgoing: &Outgoing<'_>,
    dispatch: &Dispatch<'_>,
    limit: Duration,
) -> Result<Answer, CallError> {
    let call = async {
        let arriving = send(shared, backend, outgoing, dispatch).await?;
        finish(arriving).await
    };
    tokio::time::timeout(limit, call)
        .await
        .unwrap_or(LateSnafu.fail())
}
