//! Handles a caller's request: reads the body, checks admission and routes the request.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;

use super::active::{ActiveBody, ActiveRequest};
use super::admit::{Admitted, ConfigView, Denied, UNSURE_RETRY_AFTER, admit, tenant};
use super::connections::Slot;
use super::evict::Shortage;
use super::reply::{Body, retry_later, status};
use super::{forward, jobs, stream, submit, waiting};
use crate::boot::Boot;
use crate::http::body::{ReadError, Size};
use crate::instance::Shared;
use crate::instance::deployment::{Deployment, RequestKind, Route};
use crate::instance::events::event;
use crate::instance::interfaces::{CallerRequest, Operation};

/// `Retry-After` of a request whose body does not fit beside those of others; a large one is
/// handled within about a second.
const BODY_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Response time above which a request is logged.
const SLOW_RESPONSE: Duration = Duration::from_millis(400);
/// Share of the time allowed to apply a configuration, up to which a read counts as current.
const CURRENT_AGE_SHARE: f64 = 0.75;

/// A caller's request whose body has been read.
#[derive(Debug)]
pub struct Call {
    /// The fields that the codec decoded from the head.
    pub caller_request: CallerRequest,
    /// The request head.
    pub head: http::request::Parts,
    /// The request body.
    pub body: Bytes,
    /// Arrival time of the request head.
    pub arrived: Boot,
}

/// Handles a request and returns the response.
///
/// # Errors
/// None; the HTTP server requires a `Result`.
pub async fn handle(
    shared: Rc<Shared>,
    slot: Rc<Slot>,
    request: Request<Incoming>,
) -> Result<Response<ActiveBody>, Infallible> {
    let active = ActiveRequest::enter(&shared);
    let response = respond(&shared, &slot, request).await;
    Ok(response.map(|body| ActiveBody::new(body, active, slot)))
}

/// Reads a request and returns the response.
async fn respond(shared: &Rc<Shared>, slot: &Slot, request: Request<Incoming>) -> Response<Body> {
    let arrived = Boot::now();
    let (head, body) = request.into_parts();
    let caller_request = shared.codec.decode_request(&head);
    let limit = shared.caller_limits().body_bytes;
    let make_room = |size| {
        slot.make_room(match size {
            Size::Small => Shortage::SmallBodies,
            Size::Large => Shortage::LargeBodies,
        })
    };
    let body = shared
        .request_bodies
        .read_with(body, limit, make_room)
        .await;
    slot.body_done();
    let body = match body {
        Ok(body) => body,
        Err(error) => {
            event!("body_failed", "id" => caller_request.id, "error" => error);
            return with_close(match error {
                ReadError::Broken { .. } => status(StatusCode::BAD_REQUEST),
                ReadError::TooLarge { .. } => status(StatusCode::PAYLOAD_TOO_LARGE),
                ReadError::Exhausted { .. } => retry_later(BODY_RETRY_AFTER),
            });
        }
    };
    let call = Call {
        caller_request,
        head,
        body: body.bytes.clone(),
        arrived,
    };
    let id = call.caller_request.id.clone();
    let unfinished = match call.caller_request.operation {
        // The request may have run, or may still be carried out.
        Operation::Forward | Operation::End { .. } | Operation::Unknown => {
            status(StatusCode::BAD_GATEWAY)
        }
        Operation::Results { .. } | Operation::Body { .. } => retry_later(UNSURE_RETRY_AFTER),
    };
    let answered = tokio::select! {
        biased;
        answered = answer(shared, call) => Some(answered),
        () = shared.until_closing() => None,
    };
    let (route, mut response) = answered.unwrap_or_else(|| {
        event!("stopped", "id" => id);
        ("none".to_owned(), unfinished)
    });
    let took = Boot::now().since(arrived);
    let code = response.status();
    shared.metrics.observe_request(&route, code.as_str(), took);
    if !code.is_success() || took > SLOW_RESPONSE {
        event!("answer", "id" => id, "route" => route, "status" => code.as_u16(),
            "took_ms" => took.as_millis());
    }
    if shared.leaving.get().is_some() {
        response = with_close(response);
    }
    response
}

/// Tells the caller to close the connection after the response.
fn with_close(mut response: Response<Body>) -> Response<Body> {
    let value = http::HeaderValue::from_static("close");
    response
        .headers_mut()
        .insert(http::header::CONNECTION, value);
    response
}

/// Admits a request and returns the name of its route, for metrics, with the response.
async fn answer(shared: &Rc<Shared>, call: Call) -> (String, Response<Body>) {
    let deployment = shared.deployment();
    let view = view(shared, deployment.as_deref(), Boot::now());
    let caller_request = &call.caller_request;
    if let Some(response) = job_response(shared, &call, view).await {
        return ("jobs".to_owned(), response);
    }
    let admitted = match admit(
        view,
        &caller_request.host,
        &caller_request.path,
        caller_request.key.as_deref(),
    ) {
        Ok(admitted) => Ok(admitted),
        Err(denied) => admit_later(shared, &call, denied).await,
    };
    let admitted = match admitted {
        Ok(admitted) => admitted,
        Err((name, response)) => return (name, *response),
    };
    let name = admitted.route.name.clone();
    if !may_finish(shared, &call, &admitted.route) {
        event!("stop_refused", "id" => call.caller_request.id, "route" => name);
        return (name, retry_later(UNSURE_RETRY_AFTER));
    }
    let timer = shared.durations.start(&admitted.route, call.arrived);
    let response = match admitted.route.kind {
        RequestKind::Rollout => submit::submit(shared, &call, admitted).await,
        RequestKind::Idempotent | RequestKind::Once => {
            forward::plain(shared, &call, &admitted).await
        }
        RequestKind::Stream { .. } => stream::forward(shared, &call, &admitted, timer).await,
    };
    (name, response)
}

/// Waits until a submission that cannot be admitted now is; refuses all other requests.
///
/// # Errors
/// The route's name and the refusal.
async fn admit_later(
    shared: &Shared,
    call: &Call,
    denied: Denied,
) -> Result<Admitted, (String, Box<Response<Body>>)> {
    let waiting = waiting::waiting_route(shared, call);
    let Some(route) = waiting.filter(|_| denied == Denied::Unsure) else {
        return Err(("none".to_owned(), Box::new(refuse(call, denied))));
    };
    let admitted = waiting::until_admitted(shared, call).await;
    admitted
        .map(|(admitted, _)| admitted)
        .map_err(|response| (route.name.clone(), response))
}

/// The present configuration, and how recent it is.
pub(super) fn view<'a>(
    shared: &Shared,
    deployment: Option<&'a Deployment>,
    now: Boot,
) -> ConfigView<'a> {
    let current_age = shared.settings.bounds.apply.mul_f64(CURRENT_AGE_SHARE);
    let contact = shared.contacts.borrow().operator;
    ConfigView {
        deployment,
        keys_fresh: shared.is_fresh(now),
        config_current: contact.is_within(current_age, now),
    }
}

/// Whether a request can be answered before the process exits.
pub(super) fn may_finish(shared: &Shared, call: &Call, route: &Route) -> bool {
    let Some(schedule) = shared.stop_schedule() else {
        return true;
    };
    let deadline = match route.kind {
        RequestKind::Rollout => submit::deadline(call, route),
        RequestKind::Idempotent | RequestKind::Once | RequestKind::Stream { .. } => {
            forward::route_deadline(call, route)
        }
    };
    let now = Boot::now();
    let usual = match route.kind {
        // A caller can send these again if they turn slow.
        RequestKind::Idempotent | RequestKind::Rollout => {
            shared.durations.longest(&route.name, now)
        }
        RequestKind::Once | RequestKind::Stream { .. } => None,
    };
    !shared.is_closing() && schedule.accepts(deadline, usual, now)
}

/// Handles a call on an existing job; none if the request is no such call or a route matches it.
async fn job_response(
    shared: &Rc<Shared>,
    call: &Call,
    view: ConfigView<'_>,
) -> Option<Response<Body>> {
    if matches!(
        call.caller_request.operation,
        Operation::Forward | Operation::Unknown
    ) {
        return None;
    }
    let Some(deployment) = view.deployment else {
        return Some(refuse(call, Denied::Unsure));
    };
    if deployment
        .route(&call.caller_request.host, &call.caller_request.path)
        .is_some()
    {
        return None;
    }
    let tenant = match tenant(deployment, view, call.caller_request.key.as_deref()) {
        Ok(tenant) => tenant,
        Err(denied) => return Some(refuse(call, denied)),
    };
    let tenant = tenant.as_deref();
    Some(match &call.caller_request.operation {
        Operation::Results { job, after, wait } => {
            jobs::results(shared, job, *after, *wait, tenant).await
        }
        Operation::Body { job, item } => jobs::body(shared, job, item, tenant).await,
        Operation::End { job } => jobs::end(shared, job, tenant).await,
        Operation::Forward | Operation::Unknown => return None,
    })
}

pub(super) fn refuse(call: &Call, denied: Denied) -> Response<Body> {
    event!("denied", "id" => call.caller_request.id, "host" => call.caller_request.host,
        "path" => call.caller_request.path, "why" => format!("{denied:?}"));
    match denied {
        Denied::Unsure => retry_later(UNSURE_RETRY_AFTER),
        Denied::NoRoute => status(StatusCode::NOT_FOUND),
        Denied::NoKey => status(StatusCode::UNAUTHORIZED),
    }
}
