//! Forwards plain requests to backend servers.

use http::{Response, StatusCode};

use super::admit::Admitted;
use super::handle::Call;
use super::reply::{Body, full_body, retry_later, status};
use super::suspect::allowed_attempts;
use crate::boot::Boot;
use crate::instance::Shared;
use crate::instance::deployment::Route;
use crate::relay::call::{self, FullResponse};
use crate::relay::crash::RequestParts;
use crate::relay::retry::{self, Entitlement, RelayOutcome};
use crate::util::unix_ms;

/// Returns the time by which the caller must have a response.
pub(super) fn deadline(call: &Call, admitted: &Admitted) -> Boot {
    route_deadline(call, &admitted.route)
}

/// Like [`deadline`], for a request that is not admitted yet.
pub(super) fn route_deadline(call: &Call, route: &Route) -> Boot {
    let timeout = route.timeout;
    call.arrived
        + call
            .caller_request
            .caller_timeout
            .map_or(timeout, |caller_timeout| caller_timeout.min(timeout))
}

pub(super) fn path_and_query(call: &Call) -> &str {
    call.head
        .uri
        .path_and_query()
        .map_or("/", http::uri::PathAndQuery::as_str)
}

pub(super) fn parts<'a>(call: &'a Call, admitted: &'a Admitted) -> RequestParts<'a> {
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
