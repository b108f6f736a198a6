//! Passes plain requests and streams on to backend servers.

use std::collections::HashSet;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use bytes::Bytes;
use http::{Response, StatusCode};
use hyper::body::{Body as HttpBody, Frame, Incoming};
use tokio::task::spawn_local;
use tokio::time::timeout;

use super::admit::Admitted;
use super::handle::Call;
use super::reply::{Body, come_back, status, whole};
use super::suspect::allowed_attempts;
use crate::boot::Boot;
use crate::instance::Shared;
use crate::instance::edge::{Backend, Dispatch};
use crate::instance::events::event;
use crate::names::Fingerprint;
use crate::relay::call::{self, Answer, CallError, Outgoing};
use crate::relay::choose::COME_BACK;
use crate::relay::crash::{self, RequestParts, Sent};
use crate::relay::load::Running;
use crate::relay::pool::Lane;
use crate::relay::repeat::{self, Claim, Done};
use crate::util::unix_ms;

/// The instant at which a caller must have its answer.
fn deadline(call: &Call, admitted: &Admitted) -> Boot {
    let timeout = admitted.route.timeout;
    call.arrived
        + call
            .intake
            .patience
            .map_or(timeout, |patience| patience.min(timeout))
}

fn target(call: &Call) -> &str {
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
        target: target(call),
        body: &call.body,
    }
}

/// Passes a request on and gives the server's whole answer.
pub async fn plain(shared: &Shared, call: &Call, admitted: &Admitted) -> Response<Body> {
    let parts = parts(call, admitted);
    let attempts =
        match allowed_attempts(shared, &call.intake.id, &parts, admitted.route.attempts).await {
            Ok(attempts) => attempts,
            Err(refusal) => return *refusal,
        };
    let job = repeat::Sending {
        id: &call.intake.id,
        route: &admitted.route,
        method: call.head.method.clone(),
        target: target(call),
        headers: &call.head.headers,
        body: call.body.clone(),
        tenant: admitted.tenant.as_deref(),
        attempts,
        claim: Claim::Answer,
        failed: None,
        deadline: deadline(call, admitted),
    };
    let began = unix_ms();
    let done = repeat::run(shared, &job).await;
    if let Some(tenant) = admitted.tenant.as_deref()
        && !matches!(done, Done::NotRun)
    {
        shared.count_usage(tenant, began);
    }
    match done {
        Done::Answered(answer) => pass(*answer),
        Done::NotRun => come_back(COME_BACK),
        Done::Unknown if Boot::now() >= job.deadline => status(StatusCode::GATEWAY_TIMEOUT),
        Done::Unknown => status(StatusCode::BAD_GATEWAY),
    }
}

fn pass(answer: Answer) -> Response<Body> {
    let (mut head, body) = answer.whole.into_parts();
    call::strip_hop(&mut head.headers);
    Response::from_parts(head, whole(body))
}

/// What a stream's end tells of its server.
struct Watched {
    shared: Rc<Shared>,
    request: Fingerprint,
    backend: Rc<Backend>,
    sent: Boot,
}

impl Watched {
    fn whole(self) {
        crash::forgive(&self.shared, self.request);
    }

    fn broke(self) {
        spawn_local(async move {
            crash::broke(&self.shared, self.request, &self.backend, self.sent).await;
        });
    }
}

/// A stream on its way to the caller. Dropping it closes the server's connection unless the
/// stream has ended.
struct Relayed {
    body: Incoming,
    lane: Option<Lane>,
    watched: Option<Watched>,
    _running: Running,
}

impl HttpBody for Relayed {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let polled = Pin::new(&mut self.body).poll_frame(cx);
        match &polled {
            Poll::Ready(None) => {
                if let Some(lane) = self.lane.take() {
                    lane.keep();
                }
                if let Some(watched) = self.watched.take() {
                    watched.whole();
                }
            }
            Poll::Ready(Some(Err(_))) => {
                if let Some(watched) = self.watched.take() {
                    watched.broke();
                }
            }
            Poll::Ready(Some(Ok(_))) | Poll::Pending => {}
        }
        polled
    }
}

/// Passes a stream on as it arrives.
pub async fn stream(shared: &Rc<Shared>, call: &Call, admitted: &Admitted) -> Response<Body> {
    let parts = parts(call, admitted);
    let id = &call.intake.id;
    if let Err(refusal) = allowed_attempts(shared, id, &parts, 1).await {
        return *refusal;
    }
    let deadline = deadline(call, admitted);
    let outgoing = Outgoing {
        method: call.head.method.clone(),
        target: target(call),
        headers: &call.head.headers,
        body: call.body.clone(),
    };
    let service = admitted.route.target(rand::random());
    let mut tried = HashSet::new();
    let began = unix_ms();
    loop {
        let Some(backend) = shared.choose(service, &tried) else {
            return come_back(COME_BACK);
        };
        if !tried.insert(backend.id.clone()) {
            return come_back(COME_BACK);
        }
        let running = shared.load.enter(&backend.id);
        let left = deadline.left(Boot::now());
        let dispatch = Dispatch {
            id: Some(&call.intake.id),
            server: &backend.id,
            tenant: admitted.tenant.as_deref(),
            left: Some(left),
            resume: None,
        };
        let sent = Boot::now();
        let watch = Sent::new(shared, parts, &backend);
        let sending = call::send(shared, &backend, &outgoing, &dispatch);
        let arriving = match timeout(left, sending).await {
            Ok(Ok(arriving)) => {
                running.heard(backend.born);
                watch.settled();
                arriving
            }
            Ok(Err(error @ (CallError::Unsent { .. } | CallError::Malformed { .. }))) => {
                event!("call_failed", "id" => call.intake.id, "server" => backend.id,
                    "error" => error);
                watch.settled();
                continue;
            }
            Ok(Err(error)) => {
                event!("call_failed", "id" => call.intake.id, "server" => backend.id,
                    "error" => error);
                if error.is_cut() {
                    watch.broke().await;
                } else {
                    watch.settled();
                }
                return status(StatusCode::BAD_GATEWAY);
            }
            Err(_) => return status(StatusCode::GATEWAY_TIMEOUT),
        };
        if arriving.reply.not_run || arriving.head.status == StatusCode::MISDIRECTED_REQUEST {
            continue;
        }
        if let Some(tenant) = admitted.tenant.as_deref() {
            shared.count_usage(tenant, began);
        }
        let call::Arriving {
            mut head,
            body,
            lane,
            ..
        } = arriving;
        call::strip_hop(&mut head.headers);
        let relayed = Relayed {
            body,
            lane: Some(lane),
            watched: Some(Watched {
                shared: Rc::clone(shared),
                request: parts.fingerprint(),
                backend,
                sent,
            }),
            _running: running,
        };
        return Response::from_parts(head, Body::Stream(Box::pin(relayed)));
    }
}
