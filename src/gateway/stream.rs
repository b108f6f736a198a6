//! Forwards streams to backend servers, and takes up streams that broke off.

use std::cell::RefCell;
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

use super::admit::{Admitted, UNSURE_RETRY_AFTER};
use super::event_boundary::EventBoundary;
use super::forward::{deadline, parts, path_and_query};
use super::handle::Call;
use super::reply::{
    Body, BrokenSnafu, StreamError, TimeoutSnafu, TruncatedSnafu, retry_later, status,
};
use super::stop::Timer;
use super::suspect::allowed_attempts;
use crate::boot::Boot;
use crate::instance::Shared;
use crate::instance::deployment::RequestKind;
use crate::instance::events::event;
use crate::instance::identity::is_confirmed;
use crate::instance::interfaces::{Backend, TakeUp, UpstreamHeaders};
use crate::instance::origins::{self, Found, RecordedStream};
use crate::ledger::origins::Origin;
use crate::names::Fingerprint;
use crate::relay::call::{self, OutgoingRequest};
use crate::relay::crash::{self, SendGuard};
use crate::relay::load::InFlight;
use crate::relay::pool::PooledConnection;
use crate::util::unix_ms;

/// `Retry-After` for a stream whose origin no instance has recorded, or whose route leads to
/// another service now.
const UNKNOWN_RETRY_AFTER: Duration = Duration::from_secs(1);

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

/// The record of a stream's origin, once that is certain.
type RecordedSlot = Rc<RefCell<Option<RecordedStream>>>;

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
    /// Empty if the stream can't be taken up, or not yet.
    recorded: RecordedSlot,
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
                if let Some(recorded) = self.recorded.borrow_mut().as_mut() {
                    recorded.refresh();
                }
                if let (Some(boundary), Some(bytes)) = (&mut self.boundary, frame.data_ref()) {
                    boundary.push(bytes);
                }
            }
            Poll::Pending => {}
        }
        polled.map(|frame| frame.map(|frame| frame.context(BrokenSnafu)))
    }
}

/// The id and the origin of a stream that a caller takes up, or the refusal.
///
/// What two software versions write doesn't fit together, so a stream whose origin isn't known for
/// certain can't go on.
async fn origin_of<'a>(
    shared: &Shared,
    call: &Call,
    admitted: &Admitted,
    take_up: &'a TakeUp,
) -> Result<(&'a str, Origin), Box<Response<Body>>> {
    let id = &call.caller_request.id;
    let stream = take_up.origin.as_deref().unwrap_or_default();
    let (outcome, wait) = match origins::find(shared, stream).await {
        Found::Origin(origin) if admitted.route.has_target(&origin.service) => {
            return Ok((stream, origin));
        }
        Found::Origin(_) => ("moved", UNKNOWN_RETRY_AFTER),
        Found::Unknown => ("unknown", UNKNOWN_RETRY_AFTER),
        Found::Unreadable => ("unreadable", UNSURE_RETRY_AFTER),
    };
    event!("take_up_refused", "id" => id, "stream" => stream, "why" => outcome);
    Err(Box::new(retry_later(wait)))
}

/// Decides from an answer's head whether the answer is passed on, and records the origin of a
/// stream that can be taken up.
///
/// # Errors
/// The answer for the caller if the server's one doesn't count.
async fn accept(
    shared: &Rc<Shared>,
    id: &str,
    resumable: bool,
    origin: Option<&(&str, Origin)>,
    backend: &Rc<Backend>,
    pending: &call::PendingResponse,
) -> Result<RecordedSlot, Box<Response<Body>>> {
    let is_success = pending.head.status.is_success();
    if is_success && pending.reply.signature.is_none() {
        event!("unsigned_answer", "id" => id, "server" => backend.id);
        return Err(Box::new(status(StatusCode::BAD_GATEWAY)));
    }
    if !resumable || !is_success {
        return Ok(RecordedSlot::default());
    }
    record(shared, id, origin, backend, pending.connection.opened).await
}

/// Records where a stream began that a server's answer begins or goes on with.
///
/// # Errors
/// The answer for the caller if the server is not the one that was chosen to go on.
async fn record(
    shared: &Rc<Shared>,
    id: &str,
    origin: Option<&(&str, Origin)>,
    backend: &Rc<Backend>,
    opened: Boot,
) -> Result<RecordedSlot, Box<Response<Body>>> {
    match origin {
        Some((stream, origin)) if is_confirmed(shared, backend, opened).await => {
            let recorded = RecordedStream::new(shared, stream, origin.clone());
            Ok(Rc::new(RefCell::new(Some(recorded))))
        }
        Some((stream, _)) => {
            event!("take_up_refused", "id" => id, "stream" => stream, "why" => "restarted");
            Err(Box::new(status(StatusCode::BAD_GATEWAY)))
        }
        None => Ok(record_once_confirmed(shared, id, backend, opened)),
    }
}

/// Records where a stream began, once it is certain which start of the server began it.
fn record_once_confirmed(
    shared: &Rc<Shared>,
    stream: &str,
    backend: &Rc<Backend>,
    opened: Boot,
) -> RecordedSlot {
    let slot = RecordedSlot::default();
    let (shared, backend) = (Rc::clone(shared), Rc::clone(backend));
    let (stream, recorded) = (stream.to_owned(), Rc::clone(&slot));
    spawn_local(async move {
        if is_confirmed(&shared, &backend, opened).await {
            let origin = Origin::of(&backend);
            recorded.replace(Some(RecordedStream::new(&shared, &stream, origin)));
        }
    });
    slot
}

/// Forwards a request and streams the response as it arrives; `timer` measures it to its end.
pub async fn forward(
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
    let resumable = matches!(admitted.route.kind, RequestKind::Stream { resumable: true });
    let origin = match &call.caller_request.take_up {
        Some(take_up) if resumable => match origin_of(shared, call, admitted, take_up).await {
            Ok(origin) => Some(origin),
            Err(refusal) => return *refusal,
        },
        Some(_) | None => None,
    };
    let service = match &origin {
        Some((_, origin)) => &*origin.service,
        None => admitted.route.target(rand::random()),
    };
    let software = origin.as_ref().map(|(_, origin)| &origin.software);
    let mut tried = HashSet::new();
    let began = unix_ms();
    loop {
        let Some(backend) = shared.choose_server(service, &tried, software) else {
            event!("no_server", "id" => id, "service" => service,
                "software" => software.map(ToString::to_string).unwrap_or_default());
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
        let accepted = accept(shared, id, resumable, origin.as_ref(), &backend, &pending).await;
        let recorded = match accepted {
            Ok(recorded) => recorded,
            Err(refusal) => return *refusal,
        };
        let watch = StreamWatch {
            shared: Rc::clone(shared),
            request: parts.fingerprint(),
            backend,
            sent,
        };
        return relay(call, pending, recorded, watch, (running, timer), deadline);
    }
}

/// Turns a server's answer into one that is streamed to the caller as it arrives.
fn relay(
    call: &Call,
    pending: call::PendingResponse,
    recorded: RecordedSlot,
    watch: StreamWatch,
    (running, timer): (InFlight, Timer),
    deadline: Boot,
) -> Response<Body> {
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
        id: call.caller_request.id.clone(),
        body,
        deadline: Box::pin(sleep(end_in)),
        boundary,
        connection: Some(connection),
        recorded,
        watch: Some(watch),
        _running: running,
        _timer: timer,
    };
    Response::from_parts(head, Body::Stream(Box::pin(relayed)))
}
