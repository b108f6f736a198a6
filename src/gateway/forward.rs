//! Forwards plain requests and streams to backend servers.

use std::collections::HashSet;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http::{Response, StatusCode};
use hyper::body::{Body as HttpBody, Frame, Incoming};
use snafu::ResultExt as _;
use tokio::task::spawn_local;
use tokio::time::{Sleep, sleep, timeout};

use super::admit::Admitted;
use super::event_boundary::EventBoundary;
use super::handle::Call;
use super::reply::{
    Body, BrokenSnafu, StreamError, TimeoutSnafu, TruncatedSnafu, full_body, retry_later, status,
};
use super::stop::Timer;
use super::suspect::allowed_attempts;
use crate::boot::Boot;
use crate::instance::Shared;
use crate::instance::events::event;
use crate::instance::interfaces::{Backend, UpstreamHeaders};
use crate::names::Fingerprint;
use crate::relay::call::{self, FullResponse, OutgoingRequest};
use crate::relay::crash::{self, RequestParts, SendGuard};
use crate::relay::load::InFlight;
use crate::relay::pool::PooledConnection;
use crate::relay::retry::{self, Entitlement, RelayOutcome};
use crate::util::unix_ms;

/// Returns the time by which the caller must have a response.
pub(super) fn deadline(call: &Call, admitted: &Admitted) -> Boot {
    let timeout = admitted.route.timeout;
    call.arrived
        + call
            .caller_request
            .caller_timeout
            .map_or(timeout, |caller_timeout| caller_timeout.min(timeout))
}

fn path_and_query(call: &Call) -> &str {
    call.head
        .uri
        .path_and_query()
        .map_or("/", http::uri::PathAndQuery::as_str)
}

fn parts<'a>(call: &'a Call, admitted: &'a Admitted) -> RequestParts<'a> {
    RequestParts {
        tenant: admitted.tenant.as_deref(),
        host: &admitted.route.host,
        method: &call.head.method,
        target: path_and_query(call),
        body: &call.body,
    }
}

/// Forwards a request and returns the server's complete response.
pub async fn plain(shared: &Shared, call: &Call, admitted: &Admitted) -> Response<Body> {
    let parts = parts(call, admitted);
    let deadline = deadline(call, admitted);
    let attempts = match allowed_attempts(
        shared,
        &call.caller_request.id,
        &parts,
        admitted.route.attempts,
        deadline,
    )
    .await
    {
        Ok(attempts) => attempts,
        Err(refusal) => return *refusal,
    };
    let relay_request = retry::RelayRequest {
        id: &call.caller_request.id,
        route: &admitted.route,
        method: call.head.method.clone(),
        target: path_and_query(call),
        headers: &call.head.headers,
        body: call.body.clone(),
        tenant: admitted.tenant.as_deref(),
        attempts,
        entitlement: Entitlement::Response,
        failed: None,
        deadline,
    };
    let began = unix_ms();
    let outcome = retry::run(shared, &relay_request).await;
    if let Some(tenant) = admitted.tenant.as_deref()
        && !matches!(outcome, RelayOutcome::NotRun(_))
    {
        shared.count_usage(tenant, began);
    }
    match outcome {
        RelayOutcome::Answered(answer) => into_response(*answer),
        RelayOutcome::NotRun(wait) => retry_later(wait),
        RelayOutcome::Unknown if Boot::now() >= relay_request.deadline => {
            status(StatusCode::GATEWAY_TIMEOUT)
        }
        RelayOutcome::Unknown => status(StatusCode::BAD_GATEWAY),
    }
}

fn into_response(answer: FullResponse) -> Response<Body> {
    let (mut head, body) = answer.response.into_parts();
    call::strip_hop_headers(&mut head.headers);
    Response::from_parts(head, full_body(body))
}

/// Records from the end of a stream whether its server crashed.
struct StreamWatch {
    shared: Rc<Shared>,
    request: Fingerprint,
    backend: Rc<Backend>,
    sent: Boot,
}

impl StreamWatch {
    fn completed(self) {
        crash::forgive(&self.shared, self.request);
    }

    fn broke(self) {
        spawn_local(async move {
            crash::check_crash(&self.shared, self.request, &self.backend, self.sent).await;
        });
    }
}

/// Time after a stream's deadline in which its last bytes arrive: the server got the deadline as
/// time left and stops by itself, a little later than this instance would.
const STREAM_END_MARGIN: Duration = Duration::from_millis(100);

/// A response body that is streamed to the caller.
///
/// Dropping an unfinished stream closes the connection to the server.
struct RelayedStream {
    /// Request id.
    id: String,
    body: Incoming,
    /// Completes when the stream is ended, whether or not it is complete.
    deadline: Pin<Box<Sleep>>,
    /// Present if the body ends with its connection.
    boundary: Option<EventBoundary>,
    connection: Option<PooledConnection>,
    watch: Option<StreamWatch>,
    _running: InFlight,
    _timer: Timer,
}

impl HttpBody for RelayedStream {
    type Data = Bytes;
    type Error = StreamError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamError>>> {
        if self.deadline.as_mut().poll(cx).is_ready() {
            event!("stream_timeout", "id" => self.id);
            return Poll::Ready(Some(TimeoutSnafu.fail()));
        }
        let polled = Pin::new(&mut self.body).poll_frame(cx);
        match &polled {
            Poll::Ready(None) if self.boundary.is_some_and(|known| !known.is_complete()) => {
                if let Some(watch) = self.watch.take() {
                    watch.broke();
                }
                return Poll::Ready(Some(TruncatedSnafu.fail()));
            }
            Poll::Ready(None) => {
                if let Some(connection) = self.connection.take() {
                    connection.return_to_pool();
                }
                if let Some(watch) = self.watch.take() {
                    watch.completed();
                }
            }
            Poll::Ready(Some(Err(_))) => {
                if let Some(watch) = self.watch.take() {
                    watch.broke();
                }
            }
            Poll::Ready(Some(Ok(frame))) => {
                if let (Some(boundary), Some(bytes)) = (&mut self.boundary, frame.data_ref()) {
                    boundary.push(bytes);
                }
            }
            Poll::Pending => {}
        }
        polled.map(|frame| frame.map(|frame| frame.context(BrokenSnafu)))
    }
}

/// Forwards a request and streams the response as it arrives; `timer` measures it to its end.
pub async fn stream(
    shared: &Rc<Shared>,
    call: &Call,
    admitted: &Admitted,
    timer: Timer,
) -> Response<Body> {
    let parts = parts(call, admitted);
    let id = &call.caller_request.id;
    let deadline = deadline(call, admitted);
    if let Err(refusal) = allowed_attempts(shared, id, &parts, 1, deadline).await {
        return *refusal;
    }
    let outgoing = OutgoingRequest {
        method: call.head.method.clone(),
        target: path_and_query(call),
        headers: &call.head.headers,
        body: call.body.clone(),
    };
    let service = admitted.route.target(rand::random());
    let mut tried = HashSet::new();
    let began = unix_ms();
    loop {
        let Some(backend) = shared.choose_server(service, &tried) else {
            return retry_later(shared.retry_after(service));
        };
        if !tried.insert(backend.id.clone()) {
            return retry_later(shared.retry_after(service));
        }
        let running = shared.load.enter(&backend.id);
        let left = deadline.left(Boot::now());
        let added_headers = UpstreamHeaders {
            id: Some(&call.caller_request.id),
            server: &backend.id,
            tenant: admitted.tenant.as_deref(),
            time_left: Some(left),
            resume: None,
        };
        event!("stream_send", "id" => id, "server" => backend.id, "software" => backend.software,
            "take_up" => format!("{:?}", call.caller_request.take_up));
        let sent = Boot::now();
        let guard = SendGuard::new(shared, parts, &backend);
        let sending = call::send(shared, &backend, &outgoing, &added_headers);
        let pending = match timeout(left, sending).await {
            Ok(Ok(pending)) => {
                running.note_response(backend.born);
                guard.disarm();
                pending
            }
            Ok(Err(error)) if error.is_unsent() => {
                event!("call_failed", "id" => call.caller_request.id, "server" => backend.id,
                    "error" => error);
                guard.disarm();
                continue;
            }
            Ok(Err(error)) => {
                event!("call_failed", "id" => call.caller_request.id, "server" => backend.id,
                    "error" => error);
                if error.is_broken() {
                    guard.check_crash().await;
                } else {
                    guard.disarm();
                }
                return status(StatusCode::BAD_GATEWAY);
            }
            Err(_) => return status(StatusCode::GATEWAY_TIMEOUT),
        };
        if pending.reply.not_run || pending.head.status == StatusCode::MISDIRECTED_REQUEST {
            continue;
        }
        if let Some(tenant) = admitted.tenant.as_deref() {
            shared.count_usage(tenant, began);
        }
        let call::PendingResponse {
            mut head,
            body,
            connection,
            ..
        } = pending;
        let boundary = EventBoundary::of(&head.headers);
        call::strip_hop_headers(&mut head.headers);
        let end_in = deadline.left(Boot::now()) + STREAM_END_MARGIN;
        let relayed = RelayedStream {
            id: id.clone(),
            body,
            deadline: Box::pin(sleep(end_in)),
            boundary,
            connection: Some(connection),
            watch: Some(StreamWatch {
                shared: Rc::clone(shared),
                request: parts.fingerprint(),
                backend,
                sent,
            }),
            _running: running,
            _timer: timer,
        };
        return Response::from_parts(head, Body::Stream(Box::pin(relayed)));
    }
}
